"""Stand-in for a worker."""

import asyncio
import time

from http_server import Server, reset
from recording import Record

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


class Worker(Server):
    """A worker; ``behave`` is an async function that answers a request."""

    def __init__(self, ip: str, name: str, service: str, zone: str, record: Record):
        super().__init__(ip)
        self.id, self.service, self.zone = name, service, zone
        self.slots = 64
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.behave = None
        self.record = record
        self.more_headers: dict[str, str] = {}  # of every answer
        self.arrivals: list[tuple[float, str, str]] = []  # time, id, node's address
        self.running = 0
        self._tasks: set[asyncio.Task] = set()

    def entry(self) -> dict:
        """Return the entry that the worker writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def serve(self, first, headers, body, writer) -> bool:
        request_id = headers.get("x-request-id", "")
        peer = writer.get_extra_info("peername")
        self.arrivals.append((self.record.now(), request_id, peer[0] if peer else ""))
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            return await self.answer(writer, 421, request_id, b"", stamp=False)
        self.running += 1
        try:
            return await self.behave(self, first, headers, body, writer)
        finally:
            self.running -= 1

    def head(self, status: int, request_id: str, stamp=True, **headers) -> bytes:
        """Return the head of an answer."""
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}"]
        if stamp:
            lines.append(f"X-Server-Stamp: {STAMP}")
        for name, value in {**self.more_headers, **headers}.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        return "\r\n".join((*lines, "", "")).encode("latin-1")

    async def answer(
        self, writer, status, request_id, body: bytes, stamp=True, **headers
    ) -> bool:
        """Send a whole answer."""
        head = self.head(status, request_id, stamp, Content_Length=len(body), **headers)
        writer.write(head + body)
        await writer.drain()
        return True

    async def crash(self, seconds: float) -> None:
        """Reset all connections and refuse new ones for ``seconds``, then come back."""
        self.stop_listening()
        for writer in list(self.open):
            reset(writer)
        await asyncio.sleep(seconds)
        await self.start()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
