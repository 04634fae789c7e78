"""Client of the platform's store."""

import base64
import json
import re
import time
from urllib.parse import urlencode

from rattanwick.internal.base.errors import (
    Conflict,
    ConnectionLost,
    MaybeApplied,
    ProtocolError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
    Version,
)
from rattanwick.internal.gateway.shapes import MAX_EXACT_INTEGER
from rattanwick.internal.platform.http import HttpPool, HttpResponse
from rattanwick.platform.fields import check_object, check_text

log = get_logger("store")

# Generous, so that a store that is several hundred times slower than usual still
# counts as available.
READ_TIMEOUT_SECONDS = 2.5
WRITE_TIMEOUT_SECONDS = 2.5
# Added to the wait in a request: a multiple of the slowest recent response. A shorter
# time shows sooner that a connection has gone silent.
MIN_POLL_MARGIN_SECONDS = 0.5
MAX_POLL_MARGIN_SECONDS = 1.5
POLL_MARGIN_FACTOR = 4.0
LATENCY_DECAY = 0.9  # of the slowest recent response, with each response
POOL_CONNECTIONS = 4
PEER = "store"
MAX_VERSION = MAX_EXACT_INTEGER - 1  # peers send versions to each other
UNREADABLE = b""  # value of a malformed row; no decoder accepts it
ERA = "store-era"  # header
ERA_PATTERN = re.compile(r"[0-9]{1,9}")
MALFORMED_ERA_LOG_INTERVAL_SECONDS = 60.0


class PlatformStore(RowStore):
    """Client of the platform's store, over HTTP with JSON bodies."""

    def __init__(self, address: tuple[str, int]):
        self._pool = HttpPool(
            "http://{}:{}".format(*address), PEER, connections=POOL_CONNECTIONS
        )
        self._era = 0
        self._slowest_seconds = 0.0  # see LATENCY_DECAY
        self._malformed_era_logged_at = float("-inf")  # monotonic seconds

    @property
    def era(self) -> int:
        """Return the latest era that a response has named; 0 if none has."""
        return self._era

    def read(self, table: str) -> RowPage:
        """Return all rows of a table, read page by page.

        The version is that of the first page, since later pages do not show changes to
        the rows of the first one.
        """
        rows: list[StoredRow] = []
        version: Version | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            body, era = self._get("read", "/api/rows-get", query, READ_TIMEOUT_SECONDS)
            page = _decode_page(body, era)
            version = version or page.version
            if era != version.era:
                raise Unavailable("read", PEER, "restored between two pages")
            rows.extend(row for row in page.rows if row.value is not None)
            if not body.get("truncated"):
                return RowPage(tuple(rows), version, page.store_time)
            if not page.rows:
                raise ProtocolError("decode", PEER, "truncated page has no usable rows")
            start = page.rows[-1].key + "\x00"

    def wait_for_changes(self, table: str, after: Version, wait: float) -> RowPage:
        """Return the rows changed after a version; wait up to ``wait`` seconds."""
        query = {
            "table": table,
            "start_after": after.number,
            "wait_ms": int(wait * 1000),
        }
        # A call without a wait follows a failure: the store may be slow.
        margin = self._poll_margin() if wait else MAX_POLL_MARGIN_SECONDS
        path = "/api/rows-feed"
        body, era = self._get("follow", path, query, wait + margin, wait)
        if era != after.era:
            # The store has given out the number again. Changes since the older copy
            # that it was restored from may precede it.
            raise HistoryLost("follow", PEER, f"store is in era {era}, not {after.era}")
        page = _decode_page(body, era)
        if len(page.rows) < len(body.get("rows", [])):
            # Each change is reported only once, and it is unknown which row changed.
            raise HistoryLost("follow", PEER, "a changed row has no usable key")
        return page

    def write(
        self, table: str, key: str, value: bytes | None, expected: Version
    ) -> Version:
        """Write a row if it has version ``expected``; a value of None removes it.

        Returns the new version. Raises Conflict if the row has another version, and
        MaybeApplied if it is unknown whether the row was written.
        """
        if expected != NO_VERSION and expected.era < self._era:
            # The number may belong to another version by now.
            raise Conflict(
                "write", PEER, f"version of row {key} is of era {expected.era}"
            )
        return self._transact(table, key, value, expected)

    def put(self, table: str, key: str, value: bytes | None) -> Version:
        """Write a row whatever its version; a value of None removes it.

        Returns the new version.
        """
        return self._transact(table, key, value, None)

    def _transact(
        self, table: str, key: str, value: bytes | None, expected: Version | None
    ) -> Version:
        row = {"table": table, "part": "", "key": key}
        conditions, upserts, removed = [], [], []
        if expected is not None:
            conditions.append({**row, "ver": expected.number})
        if value is None:
            removed.append(row)
        else:
            upserts.append({**row, "value": base64.b64encode(value).decode()})
        body = json.dumps(
            {"expected_rev": conditions, "upserts": upserts, "remove": removed}
        ).encode()
        headers = {"Content-Type": "application/json"}
        sent_era = self._era
        try:
            response = self._pool.request(
                "write", "POST", "/api/rows-tx", headers, body, WRITE_TIMEOUT_SECONDS
            )
        except TimedOut as exc:
            raise MaybeApplied("write", PEER, exc.reason)
        except ConnectionLost as exc:
            if exc.sent:
                raise MaybeApplied("write", PEER, exc.reason)
            raise Unavailable("write", PEER, exc.reason)
        era = self._note_era(response, sent_era)
        _check_available("write", response)
        if era < self._era:
            raise MaybeApplied("write", PEER, f"response is of the earlier era {era}")
        if response.status == 412:
            found = _decode_rows(_decode_body(response), era, MAX_VERSION)
            raise Conflict("write", PEER, f"row {key} has changed", found)
        _check_status("write", response)
        conditional = expected is not None and expected != NO_VERSION
        if 0 < sent_era < era or (conditional and expected.era < era):
            raise MaybeApplied("write", PEER, f"restored meanwhile, era is {era}")
        number = _decode_body(response).get("ver")
        if not _is_version(number, MAX_VERSION):
            raise MaybeApplied("write", PEER, "response has no valid version")
        return Version(era, number)

    def _note_era(self, response: HttpResponse, sent_era: int) -> int:
        """Return the era of a response, and record it if it is the latest.

        ``sent_era`` is the latest one when the call was sent. It is returned if the
        response names none.
        """
        value = response.headers.get(ERA)
        if value is None:
            return sent_era
        if not ERA_PATTERN.fullmatch(value):
            now = time.monotonic()
            if now - self._malformed_era_logged_at > MALFORMED_ERA_LOG_INTERVAL_SECONDS:
                self._malformed_era_logged_at = now
                log.warning("malformed era ignored", extra={"value": value[:40]})
            return sent_era
        era = int(value)
        if era > self._era:
            log.warning("new era of the store", extra={"former": self._era, "era": era})
            self._era = era
        return era

    def _poll_margin(self) -> float:
        margin = POLL_MARGIN_FACTOR * self._slowest_seconds
        return min(max(margin, MIN_POLL_MARGIN_SECONDS), MAX_POLL_MARGIN_SECONDS)

    def _note_latency(self, seconds: float) -> None:
        self._slowest_seconds = max(seconds, LATENCY_DECAY * self._slowest_seconds)

    def close_idle(self) -> None:
        """Close idle connections, so that the next call opens a new one."""
        self._pool.close_idle()

    def _get(
        self, step: str, path: str, query: dict, timeout: float, wait: float = 0.0
    ) -> tuple[dict, int]:
        """Return the body and the era of a response.

        ``wait`` is the time in seconds that the store may wait for changes.
        """
        target = f"{path}?{urlencode(query)}"
        sent_era, started = self._era, time.monotonic()
        response = self._pool.request(step, "GET", target, {}, b"", timeout)
        self._note_latency(time.monotonic() - started - wait)
        era = self._note_era(response, sent_era)
        if era < self._era:
            raise Unavailable(step, PEER, f"response is of the earlier era {era}")
        if response.status == 410:
            raise HistoryLost(
                step, PEER, "changes after this version are no longer available"
            )
        _check_status(step, response)
        return _decode_body(response), era


def _check_available(step: str, response: HttpResponse) -> None:
    if response.status in (429, 503):
        raise Unavailable(step, PEER, f"status {response.status}")


def _check_status(step: str, response: HttpResponse) -> None:
    _check_available(step, response)
    if response.status != 200:
        raise ProtocolError(
            step, PEER, f"status {response.status} {response.body[:200]!r}"
        )


def _decode_body(response: HttpResponse) -> dict:
    try:
        body = json.loads(response.body)
    except (ValueError, RecursionError) as exc:
        raise ProtocolError("decode", PEER, f"{type(exc).__name__} {exc}")
    if not isinstance(body, dict):
        raise ProtocolError("decode", PEER, "body is not an object")
    return body


def _decode_page(body: dict, era: int) -> RowPage:
    """Return the usable rows of a response.

    Raises ProtocolError if the page's own version is malformed, since it tells which
    changes have been read.
    """
    number = body.get("ver")
    if not _is_version(number, MAX_VERSION):
        raise ProtocolError("decode", PEER, "page has no valid version")
    rows = _decode_rows(body, era, number)
    return RowPage(rows, Version(era, number), _decode_time(body.get("now_ms")))


def _decode_time(milliseconds: object) -> float | None:
    """Return the store's clock in seconds; None if the response has no usable one."""
    if type(milliseconds) is not int or not 0 <= milliseconds <= MAX_EXACT_INTEGER:
        return None
    return milliseconds / 1000


def _decode_rows(body: dict, era: int, newest: int) -> tuple[StoredRow, ...]:
    """Return the rows of a response that have a usable key.

    ``newest`` is the highest version number that a row can have.
    """
    raw_rows = body.get("rows", [])
    if not isinstance(raw_rows, list):
        raise ProtocolError("decode", PEER, "rows are not a list")
    rows = (_decode_row(raw, era, newest) for raw in raw_rows)
    return tuple(row for row in rows if row is not None)


def _decode_row(raw, era: int, newest: int) -> StoredRow | None:
    """Return a row, or None if it has no usable key.

    A malformed row must not hide the others of its page. Its value is then UNREADABLE,
    so that it replaces what was known of the row.
    """
    try:
        key = check_text(check_object(raw, "row").get("key"), "key")
    except ValueError as exc:
        log.warning("row without a usable key ignored", extra={"error": str(exc)})
        return None
    number, value, error = raw.get("ver"), raw.get("value"), ""
    if not _is_version(number, newest):
        number, error = newest, "version"
    version = Version(era, number)
    if raw.get("deleted") or value is None:
        return StoredRow(key, None, version)
    try:
        value = base64.b64decode(value, validate=True)
    except (TypeError, ValueError):
        error = "value"
    if error:
        log.warning("malformed row", extra={"key": key, "field": error})
        value = UNREADABLE
    return StoredRow(key, value, version)


def _is_version(value, newest: int) -> bool:
    return type(value) is int and 0 <= value <= newest
