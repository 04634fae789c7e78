"""The falcon application of the operator interface."""

import json
from collections.abc import Callable

import falcon

from rattanwick.internal.operators.authentication import OperatorAuthentication
from rattanwick.internal.operators.list_resources import (
    DiffResource,
    HistoryResource,
    ListsResource,
)
from rattanwick.internal.operators.status_resources import (
    HealthResource,
    MetricsResource,
    ReadinessResource,
    RecordingsResource,
    StatusProvider,
    StatusResource,
)
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.state.api_keys import OperatorKeys
from rattanwick.internal.state.lists import ListStore


def build_operator_application(
    keys: OperatorKeys,
    lists: ListStore,
    objects: ObjectStore,
    providers: dict[str, StatusProvider],
    not_ready_reason: Callable[[], str],
) -> falcon.App:
    """Return the WSGI application.

    ``lists`` stores the plans and allowances. ``providers`` return the sections of
    /v1/operator/status, by name.
    ``not_ready_reason`` returns an empty string when the node is ready.
    """
    app = falcon.App(middleware=[OperatorAuthentication(keys)])
    app.set_error_serializer(write_error)
    app.add_route("/v1/operator/lists", ListsResource(lists))
    app.add_route("/v1/operator/lists/history", HistoryResource(lists))
    app.add_route("/v1/operator/lists/diff", DiffResource(lists))
    app.add_route("/v1/operator/status", StatusResource(providers))
    app.add_route("/v1/operator/recordings", RecordingsResource(objects))
    app.add_route("/metrics", MetricsResource())
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadinessResource(not_ready_reason))
    return app


def write_error(
    req: falcon.Request, resp: falcon.Response, exc: falcon.HTTPError
) -> None:
    """Write an HTTP error as JSON to its response."""
    resp.content_type = falcon.MEDIA_JSON
    resp.data = json.dumps(exc.to_dict()).encode()


def lists_status(lists: ListStore, now: Callable[[], float]) -> dict:
    """Return the status of the plans and allowances; ages are in seconds."""
    current = lists.current()
    return {
        "version": current.number,
        "digest": current.digest,
        "author": current.author,
        "adopted_seconds_ago": _seconds_since(lists.adopted_at, now()),
        "table_read_seconds_ago": _seconds_since(lists.checked_at, now()),
        "unconfirmed": list(lists.unconfirmed_nodes(current.number)),
    }


def _seconds_since(moment: float | None, now: float) -> float | None:
    return None if moment is None else round(now - moment, 1)
