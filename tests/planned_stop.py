"""Callers that record what became of each request while a gateway node stops."""

import time
from dataclasses import dataclass

import gevent
import h11
from gevent import socket

from fakes.gateway_deployment import HOST, KEY

READ_BYTES = 65_536
SOCKET_TIMEOUT_SECONDS = 12.0  # longer than the grace time of a node


@dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it; times are in monotonic seconds."""

    id: str
    sent_at: float  # when its last byte was handed to the kernel
    status: int = 0  # 0 if no response came
    complete: bool = False  # the response was read to its end
    ended_at: float = 0.0  # when the response or the connection ended
    keeps_connection: bool = False


class RecordingCaller:
    """Caller of one node that keeps its connection and records each request."""

    def __init__(self, address: tuple[str, int], name: str, path: str = "/unsafe/x"):
        self._address = address
        self._name = name
        self._path = path
        self._sock: socket.socket | None = None
        self._http: h11.Connection | None = None
        self.sent: list[SentRequest] = []

    def run(self) -> None:
        """Send one request after the other until no connection can be opened."""
        try:
            while True:
                if not self.send():
                    gevent.sleep(0.02)
        except OSError:
            return

    def send(
        self,
        body: bytes = b"hi",
        pauses: tuple[float, ...] = (),
        deadline_ms: int = 7500,
    ) -> SentRequest | None:
        """Send a request and read the response; None if it was not sent whole.

        A pause in seconds precedes each of the last bytes of the body. Raises OSError
        if no connection can be opened.
        """
        if self._sock is None:
            self.connect()
        call_id = f"{self._name}-{len(self.sent)}"
        request = h11.Request(
            method="POST",
            target=self._path,
            headers=[
                ("Host", HOST),
                ("X-Request-Id", call_id),
                ("X-Api-Key", KEY),
                ("X-Deadline-Ms", str(deadline_ms)),
                ("Content-Length", str(len(body))),
            ],
        )
        data = self._http.send(request)
        data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        try:
            self._sock.sendall(data[: len(data) - len(pauses)])
            for position, pause in enumerate(pauses, len(data) - len(pauses)):
                gevent.sleep(pause)
                self._sock.sendall(data[position : position + 1])
        except OSError:
            self.close()
            return None
        sent = SentRequest(call_id, time.monotonic())
        self.sent.append(sent)
        self._read(sent)
        sent.ended_at = time.monotonic()
        if sent.keeps_connection:
            self._http.start_next_cycle()
        else:
            self.close()
        return sent

    def connect(self) -> None:
        """Open a connection; raises OSError if the node accepts none."""
        self._sock = socket.create_connection(self._address, 1.0)
        self._sock.settimeout(SOCKET_TIMEOUT_SECONDS)
        self._http = h11.Connection(h11.CLIENT)

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _read(self, sent: SentRequest) -> None:
        try:
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(self._sock.recv(READ_BYTES))
                elif isinstance(event, h11.Response):
                    sent.status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    sent.complete = True
                    sent.keeps_connection = self._http.our_state is h11.DONE
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except (OSError, h11.RemoteProtocolError):
            return  # the connection ended without a complete response
