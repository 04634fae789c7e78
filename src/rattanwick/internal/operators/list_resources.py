"""Falcon resources to read, compare and change the plans and allowances."""

import difflib

import falcon

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.operators.request_bodies import (
    read_author,
    read_body,
    read_field,
)
from rattanwick.internal.state.list_format import ALLOWANCES_FILE, PLANS_FILE
from rattanwick.internal.state.list_versions import EMPTY_VERSION, ListsVersion
from rattanwick.internal.state.lists import MAX_HISTORY, ListStore

DEFAULT_HISTORY_LENGTH = 20


def diff_texts(
    old: ListsVersion, plans_text: str, allowances_text: str, new_name: str
) -> str:
    """Return the unified diff of both files, from ``old`` to the given texts."""
    lines: list[str] = []
    pairs = (
        (PLANS_FILE, old.plans_text, plans_text),
        (ALLOWANCES_FILE, old.allowances_text, allowances_text),
    )
    for file, before, after in pairs:
        lines.extend(
            difflib.unified_diff(
                before.splitlines(),
                after.splitlines(),
                f"{file} (version {old.number})",
                f"{file} ({new_name})",
                lineterm="",
            )
        )
    return "\n".join(lines)


class ListsResource:
    """/v1/operator/lists: the versions of the lists, and changes to them."""

    def __init__(self, lists: ListStore):
        self._lists = lists

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with this node's current version, or with number ``version``."""
        number = req.get_param_as_int("version", min_value=0)
        resp.media = read_version(self._lists, number).to_message()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Store the next version and wait until all listed nodes confirm it.

        Respond with the result: 200 accepted, 202 stored but not confirmed by all,
        409 stale, 422 faulty, 503 not stored, 504 not known whether it is stored.
        """
        body = read_body(req)
        plans_text = read_field(body, "plans", str)
        allowances_text = read_field(body, "allowances", str)
        from_version = read_field(body, "from_version", int)
        author = read_author(body)
        try:
            version = self._lists.apply(
                plans_text, allowances_text, from_version, author
            )
        except SettingsError as exc:
            resp.status = falcon.HTTP_UNPROCESSABLE_ENTITY
            resp.media = {
                "result": "faulty",
                "faults": [str(item) for item in exc.problems],
            }
            return
        except Conflict as exc:
            resp.status = falcon.HTTP_CONFLICT
            resp.media = self._stale_result(exc.current, plans_text, allowances_text)
            return
        except MaybeApplied as exc:
            resp.status = falcon.HTTP_GATEWAY_TIMEOUT
            resp.media = {"result": "unknown", "reason": str(exc)}
            return
        except StepError as exc:
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
            resp.media = {"result": "not_stored", "reason": str(exc)}
            return
        missing = self._lists.wait_for_confirmation(version.number)
        resp.status = falcon.HTTP_ACCEPTED if missing else falcon.HTTP_OK
        resp.media = {
            "result": "stored" if missing else "accepted",
            "version": version.number,
            "unconfirmed": list(missing),
        }

    def _stale_result(self, current: ListsVersion, plans: str, allowances: str) -> dict:
        """Return the response for an edit of an older version than ``current``."""
        return {
            "result": "stale",
            "version": current.number,
            "author": current.author,
            "difference": diff_texts(current, plans, allowances, "your edit"),
        }


class HistoryResource:
    """/v1/operator/lists/history: the newest versions."""

    def __init__(self, lists: ListStore):
        self._lists = lists

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with number, author and time of each version, newest first."""
        limit = req.get_param_as_int(
            "limit", min_value=1, max_value=MAX_HISTORY, default=DEFAULT_HISTORY_LENGTH
        )
        try:
            versions = self._lists.history(limit)
        except StepError as exc:
            raise falcon.HTTPServiceUnavailable(description=str(exc))
        names = ("version", "author", "time", "from_version", "digest")
        messages = [version.to_message() for version in versions]
        resp.media = [{name: item[name] for name in names} for item in messages]


class DiffResource:
    """/v1/operator/lists/diff: differences between versions, or of an edit."""

    def __init__(self, lists: ListStore):
        self._lists = lists

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the difference from version ``from`` to ``to``.

        Without ``to``, the node's current version takes its place.
        """
        old = req.get_param_as_int("from", required=True, min_value=0)
        new = req.get_param_as_int("to", min_value=0)
        after = read_version(self._lists, new)
        before = read_version(self._lists, old)
        name = f"version {after.number}"
        text = diff_texts(before, after.plans_text, after.allowances_text, name)
        resp.media = {"difference": text}

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the difference from the current version to the edited texts."""
        body = read_body(req)
        plans_text = read_field(body, "plans", str)
        allowances_text = read_field(body, "allowances", str)
        current = self._lists.current()
        resp.media = {
            "version": current.number,
            "difference": diff_texts(current, plans_text, allowances_text, "your edit"),
        }


def read_version(lists: ListStore, number: int | None) -> ListsVersion:
    """Return a version by number, or this node's current one for None.

    Raises falcon.HTTPNotFound (404) for a version that does not exist, and
    HTTPServiceUnavailable (503) if the store cannot be read.
    """
    if number is None:
        return lists.current()
    if number == 0:
        return EMPTY_VERSION
    try:
        version = lists.read_version(number)
    except StepError as exc:
        raise falcon.HTTPServiceUnavailable(description=str(exc))
    if version is None:
        raise falcon.HTTPNotFound(description=f"there is no version {number}")
    return version
