"""Client of the platform's store."""

import base64
import json
from urllib.parse import urlencode

from rattanwick.internal.base.errors import (
    Conflict,
    ConnectionLost,
    MaybeApplied,
    ProtocolError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.gateway.interfaces import (
    HistoryLost,
    RowPage,
    RowStore,
    StoredRow,
)
from rattanwick.internal.platform.http import HttpPool, HttpResponse

# Generous, so that a store that is several hundred times slower than usual still
# counts as available.
READ_TIMEOUT_SECONDS = 2.5
WRITE_TIMEOUT_SECONDS = 2.5
LONG_POLL_MARGIN_SECONDS = 1.5  # added to the wait in the request
POOL_CONNECTIONS = 4
PEER = "store"


class PlatformStore(RowStore):
    """Client of the platform's store, over HTTP with JSON bodies."""

    def __init__(self, address: tuple[str, int]):
        self._pool = HttpPool(
            "http://{}:{}".format(*address), PEER, connections=POOL_CONNECTIONS
        )

    def read(self, table: str) -> RowPage:
        """Return all rows of a table, read page by page."""
        rows: list[StoredRow] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": 500}
            if start:
                query["from"] = start
            response = self._get("read", "/api/rows-get", query, READ_TIMEOUT_SECONDS)
            body = _decode_body(response)
            page = _decode_page(body)
            rows.extend(page.rows)
            if not body.get("truncated"):
                return RowPage(tuple(rows), page.version)
            if not page.rows:
                raise ProtocolError("decode", PEER, "truncated page has no rows")
            start = rows[-1].key + "\x00"

    def wait_for_changes(self, table: str, after: int, wait: float) -> RowPage:
        """Return the rows changed after a version; wait up to ``wait`` seconds."""
        query = {"table": table, "start_after": after, "wait_ms": int(wait * 1000)}
        timeout = wait + LONG_POLL_MARGIN_SECONDS
        response = self._get("follow", "/api/rows-feed", query, timeout)
        return _decode_page(_decode_body(response))

    def write(self, table: str, key: str, value: bytes | None, expected: int) -> int:
        """Write a row if it has version ``expected``; a value of None removes it.

        Returns the new version. Raises Conflict if the row has another version, and
        MaybeApplied if it is unknown whether the row was written.
        """
        condition = {"table": table, "part": "", "key": key, "ver": expected}
        return self._transact(table, key, value, [condition])

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row whatever its version; a value of None removes it.

        Returns the new version.
        """
        return self._transact(table, key, value, [])

    def _transact(
        self, table: str, key: str, value: bytes | None, conditions: list[dict]
    ) -> int:
        row = {"table": table, "part": "", "key": key}
        upserts, removed = [], []
        if value is None:
            removed.append(row)
        else:
            upserts.append({**row, "value": base64.b64encode(value).decode()})
        body = json.dumps(
            {"expected_rev": conditions, "upserts": upserts, "remove": removed}
        ).encode()
        headers = {"Content-Type": "application/json"}
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
        if response.status == 412:
            found = _decode_page(_decode_body(response)).rows
            raise Conflict("write", PEER, f"row {key} has changed", found)
        _check_status("write", response)
        version = _decode_body(response).get("ver")
        if type(version) is not int:
            raise MaybeApplied(
                "write", PEER, f"response has no valid version: {version!r}"
            )
        return version

    def _get(self, step: str, path: str, query: dict, timeout: float) -> HttpResponse:
        target = f"{path}?{urlencode(query)}"
        response = self._pool.request(step, "GET", target, {}, b"", timeout)
        if response.status == 410:
            raise HistoryLost(
                step, PEER, "changes after this version are no longer available"
            )
        _check_status(step, response)
        return response


def _check_status(step: str, response: HttpResponse) -> None:
    if response.status in (429, 503):
        raise Unavailable(step, PEER, f"status {response.status}")
    if response.status != 200:
        raise ProtocolError(
            step, PEER, f"status {response.status} {response.body[:200]!r}"
        )


def _decode_body(response: HttpResponse) -> dict:
    try:
        body = json.loads(response.body)
    except ValueError as exc:
        raise ProtocolError("decode", PEER, str(exc))
    if not isinstance(body, dict):
        raise ProtocolError("decode", PEER, "body is not an object")
    return body


def _decode_page(body: dict) -> RowPage:
    """Return the rows of a response; raise ProtocolError if one is malformed.

    One malformed row invalidates the whole page. Each change is reported only once, so
    without that row the copy of the table would stay out of date.
    """
    raw_rows, version = body.get("rows", []), body.get("ver", 0)
    if not isinstance(raw_rows, list) or type(version) is not int:
        raise ProtocolError("decode", PEER, "rows or version have the wrong type")
    return RowPage(tuple(_decode_row(raw) for raw in raw_rows), version)


def _decode_row(raw) -> StoredRow:
    if not isinstance(raw, dict) or not isinstance(raw.get("key"), str):
        raise ProtocolError("decode", PEER, f"row without a key: {raw!r:.80}")
    key, version = raw["key"], raw.get("ver", 0)
    if type(version) is not int:
        raise ProtocolError(
            "decode", PEER, f"row {key} has no valid version: {version!r}"
        )
    if raw.get("deleted") or raw.get("value") is None:
        return StoredRow(key, None, version)
    try:
        value = base64.b64decode(raw["value"], validate=True)
    except (TypeError, ValueError) as exc:
        raise ProtocolError("decode", PEER, f"value of row {key} is not base64: {exc}")
    return StoredRow(key, value, version)
