"""Writer of the response to a caller's request."""

from typing import TYPE_CHECKING

import h11

from rattanwick.internal.gateway.active_request import ResponseWriter
from rattanwick.internal.gateway.model import Headers

if TYPE_CHECKING:
    from rattanwick.internal.gateway.caller_connection import CallerConnection

MAX_JOINED_BYTES = 65_536  # of a body that is written together with its head


class CallerResponseWriter(ResponseWriter):
    """Writer of the response to one request."""

    __slots__ = ("_conn", "closes", "completing", "request", "started", "status")

    def __init__(self, conn: "CallerConnection"):
        self._conn = conn
        self.closes = False
        self.request = None
        self.started = False
        self.completing = False  # the response is being written to its end
        self.status = 0

    def start(self, status: int, headers: Headers) -> bytes:
        """Return the encoded head of the response."""
        # The node may have begun to stop while the request was served.
        self.closes = self.closes or self._conn.draining
        if self.closes:
            headers = [*headers, (b"Connection", b"close")]
        # This raises if the head cannot be encoded; another one may then be sent.
        head = h11.Response(status_code=status, headers=headers, reason=b"")
        self.started, self.status = True, status
        return self._conn.http.send(head)

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; a Content-Length in ``headers`` is replaced."""
        headers = [item for item in headers if item[0].lower() != b"content-length"]
        headers.append((b"Content-Length", b"%d" % len(body)))
        head = self.start(status, headers)
        self.completing = True
        http = self._conn.http
        if self._conn.answers_head_request:
            body = b""  # such a response ends with its head
        data = http.send(h11.Data(data=body)) if body else b""
        end = http.send(h11.EndOfMessage())
        if len(data) <= MAX_JOINED_BYTES:
            self._conn.write(head + data + end)
            return
        # A copy of a large body would take as much memory again.
        for part in (head, data, end):
            self._conn.write(part)

    def send_chunk(self, data: bytes, head: tuple[int, Headers] | None) -> None:
        """Send some bytes of a stream, after the head if one is given."""
        prefix = self.start(*head) if head else b""
        self._conn.write(prefix + self._conn.http.send(h11.Data(data=data)))

    def finish(self) -> None:
        """End the stream as complete."""
        self.completing = True
        self._conn.write(self._conn.http.send(h11.EndOfMessage()))
