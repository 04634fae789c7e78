"""Stand-in for clients: each request on a connection of its own."""

import asyncio
import time
from dataclasses import dataclass, field

HOST, KEY = "api.example", "k1"


@dataclass
class Result:
    """One request, and what came back."""

    id: str
    node: str
    sent: float  # monotonic seconds
    status: int = 0  # 0 if there was no answer
    ended: float = 0.0
    complete: bool = False
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


async def send(node, own_id, path, fields=(), body=b"", deadline_ms=4000, limit=None):
    """Send a request to a node and read its answer to the end."""
    result = Result(own_id, node.name, time.monotonic())
    try:
        await asyncio.wait_for(
            _exchange(node, result, path, fields, body, deadline_ms),
            limit or deadline_ms / 1000 + 2.0,
        )
    except (OSError, EOFError, ValueError, TimeoutError) as exc:
        result.error = f"{type(exc).__name__} {exc}"
    result.ended = time.monotonic()
    return result


async def _exchange(node, result, path, fields, body, deadline_ms):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(node.ip, node.ports[0]), 1.0
    )
    try:
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {result.id}",
            f"X-Api-Key: {KEY}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in fields),
        ]
        writer.write("\r\n".join((*lines, "", "")).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        result.status = int(head[0].split()[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            result.headers[name.lower()] = value.strip()
        if "chunked" in result.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                result.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            size = int(result.headers.get("content-length", 0))
            result.body = await reader.readexactly(size)
        result.complete = True
    finally:
        writer.close()
