"""Stand-in for the users' platform: the metadata store and the cloud, over HTTP.

Calls and fields are those of the users' protocol page. All rows have an empty part.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

ERA = 1


class Platform:
    """Store and cloud at one address each."""

    def __init__(self, host):
        self.host = host
        self.rows = {}  # (table, key): (value, ver)
        self.changes = []  # (ver, table, key, value or None)
        self.ver = 0
        self.changed = asyncio.Event()
        self.usage = {}  # window: counts
        self.calls = []  # (time, path, holder, fence, status, body)
        self.fences = {}
        self.unavailable = set()  # IPs of machines that the store turns away
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def put(self, table, key, value):
        """Write a JSON row, or remove it if the value is None; return its version."""
        return self._apply(
            table, key, None if value is None else json.dumps(value).encode()
        )

    def _apply(self, table, key, value, ver=None):
        if ver is None:
            self.ver += 1
            ver = self.ver
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, ver)
        self.changes.append((ver, table, key, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return ver

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                peer = writer.get_extra_info("peername")[0]
                status, answer = await self._answer(target, fields, body, peer)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {ERA}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, target, fields, body, peer):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path in ("/usage", "/scale"):
            return self._call(url.path, fields, json.loads(body))
        if peer in self.unavailable:
            return 503, {}
        if url.path == "/api/rows-get":
            return 200, self._get(query)
        if url.path == "/api/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/api/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        table, start = query["table"], query.get("from", "")
        found = sorted(k for t, k in self.rows if t == table and k >= start)
        limit = min(int(query.get("limit", 500)), 500)
        return {
            "rows": [self._row(table, key) for key in found[:limit]],
            "truncated": len(found) > limit,
            **self._clock(),
        }

    async def _feed(self, query):
        table, after = query["table"], int(query["start_after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            latest = {
                key: (ver, value)
                for ver, name, key, value in self.changes
                if name == table and ver > after
            }
            left = end - time.monotonic()
            if latest or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        rows = []
        for key, (ver, value) in sorted(latest.items(), key=lambda item: item[1][0]):
            row = {"table": table, "part": "", "key": key, "ver": ver}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return {"rows": rows, **self._clock()}

    def _transact(self, raw):
        rows = []
        failed = False
        for item in raw.get("expected_rev", []):
            name = item["table"], item["key"]
            known = self.rows.get(name, (None, 0))[1]
            failed = failed or known != item["ver"]
            if name in self.rows:
                rows.append(self._row(*name))
        if failed:
            return 412, {"rows": rows, **self._clock()}
        items = [*raw.get("upserts", []), *raw.get("remove", [])]
        if any(item["table"] in ("op", "servers") for item in items):
            return 403, {}
        self.ver += 1
        for item in items:
            value = item.get("value")
            value = None if value is None else base64.b64decode(value)
            self._apply(item["table"], item["key"], value, self.ver)
        return 200, self._clock()

    def _call(self, path, fields, body):
        subject = path, body.get("service"), body.get("zone")
        holder, fence = fields["x-duty-holder"], int(fields["x-fence-token"])
        status = 200 if fence >= self.fences.get(subject, 0) else 409
        if status == 200:
            self.fences[subject] = fence
            if path == "/usage":
                self.usage.setdefault(body["window"], body["counts"])
        self.calls.append((time.monotonic(), path, holder, fence, status, body))
        return status, {}

    def _row(self, table, key):
        value, ver = self.rows[table, key]
        value = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "ver": ver, "value": value}

    def _clock(self):
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
