"""Stand-in for the platform's store and cloud."""

import asyncio
import base64
import json
import time
from contextlib import suppress

from http_server import Server
from recording import Record


class Platform(Server):
    """The platform's store and cloud."""

    def __init__(self, ip: str, record: Record):
        super().__init__(ip)
        self._record = record
        self.version = 0
        self.era = 1  # rises by one with each return from an older copy
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.changes: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self.busy = False  # whether every call is refused with 503
        # Connections that have gone silent for good; nothing is read or written there.
        self.silent: set[asyncio.StreamWriter] = set()
        self.duty_calls: list[tuple[float, str, str, int, dict, int]] = []
        self._fence = 0

    def put(self, table: str, key: str, value: dict | bytes | None) -> int:
        """Write or remove a row as the operator or a worker does."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.changes.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def silence_connections(self) -> int:
        """Let all open connections go silent for good; new ones work."""
        self.silent |= self.open
        return len(self.open)

    def restore(self, number: int) -> None:
        """Come back from a copy with the rows as of a version, in a new era."""
        self.era += 1
        self.changes = [change for change in self.changes if change[0] <= number]
        self.version = number
        self.rows = {}
        for ver, table, key, value in self.changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (ver, value)
        self.wake()

    def wake(self) -> None:
        """Let waiting calls look at the state of the store again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, first, headers, body, writer) -> bool:
        method, target, _ = first.split(" ", 2)
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        status, answer = await self._handle(path, args, headers, body)
        era = self.era
        if writer in self.silent:
            await asyncio.sleep(3600)
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {era}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    async def _handle(self, path, args, headers, body) -> tuple[int, dict]:
        if self.busy and path.startswith("/api/"):
            return 503, {}
        if path == "/api/rows-get":
            rows = sorted(
                (key, ver, value)
                for (table, key), (ver, value) in self.rows.items()
                if table == args["table"]
            )
            found = [self._row(args["table"], k, ver, v) for k, ver, v in rows]
            return 200, self._page(found, truncated=False)
        if path == "/api/rows-feed":
            return await self._feed(args)
        if path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if path in ("/usage", "/scale"):
            return self._note_duty(path, headers, json.loads(body))
        return 404, {}

    async def _feed(self, args) -> tuple[int, dict]:
        table, after = args["table"], int(args["start_after"])
        deadline = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        era = self.era
        while True:
            if self.busy:
                return 503, {}
            if after > self.version or era != self.era:
                return 410, {}
            newest = {
                key: (ver, value)
                for ver, name, key, value in self.changes
                if name == table and ver > after
            }
            left = deadline - time.monotonic()
            if newest or left <= 0:
                rows = sorted((ver, key, value) for key, (ver, value) in newest.items())
                return 200, self._page([self._row(table, k, v, x) for v, k, x in rows])
            with suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, raw: dict) -> tuple[int, dict]:
        wrong = []
        for row in raw.get("expected_rev", []):
            ver, value = self.rows.get((row["table"], row["key"]), (0, None))
            if ver != row["ver"]:
                wrong.append(self._row(row["table"], row["key"], ver, value))
        if wrong:
            return 412, self._page([row for row in wrong if row["ver"]])
        for row in raw.get("upserts", []):
            if row["table"] in ("op", "servers"):
                return 403, {}
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in raw.get("remove", []):
            self.put(row["table"], row["key"], None)
        return 200, self._page([])

    def _note_duty(self, path, headers, raw) -> tuple[int, dict]:
        fence = int(headers["x-fence-token"])
        status = 409 if fence < self._fence else 200
        self._fence = max(self._fence, fence)
        self.duty_calls.append(
            (self._record.now(), path, headers["x-duty-holder"], fence, raw, status)
        )
        return status, {}

    def _row(self, table, key, ver, value) -> dict:
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _page(self, rows, **more) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "now_ms": now_ms, **more}
