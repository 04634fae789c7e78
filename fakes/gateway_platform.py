"""Fake of the gateway's platform: store and cloud API over HTTP.

Paths and fields are those of the platform's published API."""

import base64
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qs

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from fakes.addresses import LOOPBACK, address_of
from fakes.gateway_rows import MemoryRowStore
from rattanwick.internal.base.errors import Conflict, MaybeApplied, Unavailable
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    HistoryLost,
    RowPage,
    StoredRow,
    Version,
)

SOCKET_KEY = "fake.socket"  # WSGI environment


@dataclass(slots=True, frozen=True)
class LeaderCall:
    """Call of a leader, with what the platform decided."""

    at: float  # monotonic seconds
    duty: str
    holder: str
    fence: int
    refused: bool


class _Handler(WSGIHandler):
    def get_environ(self):
        """Return the environment with the connection, which a lost answer closes."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class FakeGatewayPlatform:
    """Platform that serves the store's rows and accepts the leader's calls.

    The leader's calls are endpoint orders and usage reports; those with a lower fence
    than an earlier call are refused with 409.
    """

    def __init__(self, host: str = LOOPBACK):
        self.rows = MemoryRowStore()
        self.reports: dict[int, dict] = {}
        # Windows that were reported again with other counts.
        self.conflicting_reports: list[str] = []
        self.orders: list[dict] = []
        self.leader_calls: list[LeaderCall] = []
        self.fence = 0
        self._server = WSGIServer(
            (host, 0),
            self._respond,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )

    @property
    def address(self) -> str:
        """Return the platform's address as IP:PORT."""
        return address_of(self._server)

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; open connections go on."""
        self._server.stop(timeout=0.1)

    def put_json(self, table: str, key: str, value: dict) -> Version:
        """Write a JSON row regardless of faults; return its version."""
        return self.rows.set_row(table, key, json.dumps(value).encode())

    def _respond(self, environ, start_response):
        path = environ["PATH_INFO"]
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        try:
            status, answer = self._handle(path, query, body, environ)
        except Unavailable:
            status, answer = "503 Service Unavailable", {}
        except HistoryLost:
            status, answer = "410 Gone", {}
        except Conflict as exc:
            status = "412 Precondition Failed"
            answer = _encode(exc.current, self.rows.version)
        except MaybeApplied:
            # A lost answer: the connection closes without a response.
            environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            return []
        data = json.dumps(answer).encode()
        headers = [("Content-Length", str(len(data)))]
        if path.startswith("/api/"):
            headers.append(("Store-Era", str(self.rows.era)))
        start_response(status, headers)
        return [data]

    def _handle(self, path: str, query: dict, body: bytes, environ: dict):
        if path == "/api/rows-get":
            page = self.rows.read(query["table"])
            return "200 OK", {**_page(page), "truncated": False}
        if path == "/api/rows-feed":
            wait = int(query["wait_ms"]) / 1000
            after = Version(self.rows.era, int(query["start_after"]))
            return "200 OK", _page(
                self.rows.wait_for_changes(query["table"], after, wait)
            )
        if path == "/api/rows-tx":
            return "200 OK", {"ver": self._transact(json.loads(body)).number}
        return self._handle_leader_call(path, json.loads(body), environ)

    def _transact(self, raw: dict) -> Version:
        expected = {
            row["key"]: Version(self.rows.era, row["ver"]) if row["ver"] else NO_VERSION
            for row in raw["expected_rev"]
        }
        version = NO_VERSION
        for row in (*raw["upserts"], *raw["remove"]):
            value = base64.b64decode(row["value"]) if "value" in row else None
            key = row["key"]
            if key in expected:
                version = self.rows.write(row["table"], key, value, expected[key])
            else:
                version = self.rows.put(row["table"], key, value)
        return version

    def _handle_leader_call(self, path: str, raw: dict, environ: dict):
        fence = int(environ["HTTP_X_FENCE_TOKEN"])
        refused = fence < self.fence
        holder = environ["HTTP_X_DUTY_HOLDER"]
        self.leader_calls.append(
            LeaderCall(time.monotonic(), path.strip("/"), holder, fence, refused)
        )
        if refused:
            return "409 Conflict", {"error": "a higher fence was seen"}
        self.fence = fence
        if path == "/usage":
            window, counts = raw["window"], raw["counts"]
            if self.reports.setdefault(window, counts) != counts:
                self.conflicting_reports.append(
                    f"window {window} was reported again with other counts"
                )
        else:
            self.orders.append(raw)
        return "200 OK", {}


def _page(page: RowPage) -> dict:
    return _encode(page.rows, page.version)


def _encode(rows: tuple[StoredRow, ...], version: Version) -> dict:
    encoded = []
    for row in rows:
        item = {"key": row.key, "ver": row.version.number}
        if row.value is None:
            item["deleted"] = True
        else:
            item["value"] = base64.b64encode(row.value).decode()
        encoded.append(item)
    now_ms = int(time.monotonic() * 1000)
    return {"rows": encoded, "ver": version.number, "now_ms": now_ms}
