"""Stand-in for a client."""

import asyncio

from recording import Record

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"


class Answer:
    """What a client got for a request."""

    def __init__(self):
        self.sent_at = self.ended_at = 0.0
        self.status = 0  # 0 if there is no answer
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False


class Client:
    """A client with one connection, which it opens anew if need be."""

    def __init__(self, address: tuple[str, int], record: Record):
        self.address, self._record = address, record
        self._reader = self._writer = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._reader = self._writer = None

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        patience: float = 10.0,
    ) -> Answer:
        """Send a request and return what came back in ``patience`` seconds."""
        answer = Answer()
        answer.sent_at = self._record.now()
        try:
            async with asyncio.timeout(patience):
                await self._exchange(
                    answer, method, path, request_id, deadline_ms, headers or {}, body
                )
        except (TimeoutError, asyncio.IncompleteReadError, OSError):
            self.close()
        answer.ended_at = self._record.now()
        if answer.headers.get("connection", "") == "close":
            self.close()
        return answer

    async def _exchange(
        self, answer, method, path, request_id, deadline_ms, headers, body
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self.address, limit=1 << 20
            )
            answer.sent_at = self._record.now()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {KEY}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join((*lines, "", "")).encode() + body)
        await self._writer.drain()
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in rest:
            if line:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip().lower()
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(length)
            answer.complete = True
            return
        while True:
            line = await self._reader.readuntil(b"\r\n")
            size = int(line, 16)
            data = (await self._reader.readexactly(size + 2))[:-2]
            if size == 0:
                answer.complete = True
                return
            answer.body += data
