"""HTTP/1.1 server of a stand-in."""

import asyncio
import socket
from contextlib import suppress


class Closed(Exception):
    """The other side closed the connection."""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the first line, the headers and the body of a request."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Closed
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", 0)):
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            raise Closed
    return first, headers, body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server on a loopback address."""

    def __init__(self, ip: str):
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, at the port used before if there was one."""
        self._server = await asyncio.start_server(
            self._run, self.ip, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def address(self) -> str:
        """Return IP:PORT."""
        return f"{self.ip}:{self.port}"

    async def _run(self, reader, writer) -> None:
        self.open.add(writer)
        try:
            while await self.serve(*await read_message(reader), writer):
                pass
        except (Closed, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def serve(self, first, headers, body, writer) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError
