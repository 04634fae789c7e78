"""Stand-ins for the workers of a plain service, as the protocol page describes them."""

import asyncio
import time

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_SECONDS = 1.2


class Worker:
    """Worker that answers each request after ``work`` seconds.

    A request with the body ``crashing`` crashes it as it begins to run. After a crash
    the worker is away for ``away`` seconds and starts again: under its id if
    ``keeps_id``, else under a new one.
    """

    def __init__(self, platform, service, name, zone, work, away, keeps_id):
        self.platform, self.service, self.zone = platform, service, zone
        self.name, self.id = name, name
        self.work, self.away, self.keeps_id = work, away, keeps_id
        self.crashing = None
        self.slots = 6
        self.starts = 0
        self.arrivals = []  # (time, request id, id of this worker, peer's address)
        self.ran = set()  # ids of requests that ran to their end
        self.crashes = []  # times
        self.up = False
        self.writers = {}
        self.running = 0
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.platform.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.starts += 1
        if not self.keeps_id:
            self.id = f"{self.name}-{self.starts}"
        self.up, self.born, self.sequence = True, int(time.time() * 1000), 0
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            self.platform.put(
                "servers",
                self.id,
                {
                    "service": self.service,
                    "address": f"{self.platform.host}:{self.port}",
                    "zone": self.zone,
                    "version": "1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def crash(self):
        if not self.up:
            return
        self.up, self.running = False, 0
        self.crashes.append(time.monotonic())
        self.beats.cancel()
        self.server.close()
        for task, writer in list(self.writers.items()):
            writer.transport.abort()
            if task is not asyncio.current_task():
                task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(self.away, lambda: loop.create_task(self.start()))
        loop.call_later(3 * HEARTBEAT_SECONDS, self._expire, self.id, self.starts)

    def _expire(self, worker_id, starts):
        if not self.keeps_id or self.starts == starts:
            self.platform.put("servers", worker_id, None)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.writers[task] = writer
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self.writers[task]
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        own_id = fields["x-request-id"]
        if fields.get("x-expect-instance", self.id) != self.id:
            return await self._answer(writer, own_id, "421 X", "X-Not-Run: 1\r\n")
        peer = writer.get_extra_info("peername")[0]
        self.arrivals.append((time.monotonic(), own_id, self.id, peer))
        if self.running >= self.slots:
            return await self._answer(writer, own_id, "503 X", "X-Not-Run: 1\r\n")
        if body == self.crashing:
            self.crash()
            return False
        self.running += 1
        await asyncio.sleep(self.work)
        self.running -= 1
        self.ran.add(own_id)
        return await self._answer(
            writer, own_id, "200 OK", f"X-Server-Stamp: {STAMP}\r\n", b"done"
        )

    async def _answer(self, writer, own_id, status, more, body=b""):
        writer.write(
            f"HTTP/1.1 {status}\r\nX-Request-Id: {own_id}\r\n{more}"
            f"X-Worker-Load: {self.running},0,{self.slots},100\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True
