"""A part of prompts crashes workers; are sound requests with its neighbours served?"""

import asyncio
import json
import random
import sys
import time
import zlib
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from standins import (  # noqa: E402
    CONTACT_SECONDS,
    KEY,
    ZONES,
    Worker,
    call,
    configuration,
    run_case,
)

NODES = 3
ENGINES = 4
BLOCK_TOKENS = 16  # as of the site's engines
COMMON_PARTS = 20  # that all prompts of the organisation share
DOCUMENT_PARTS = 200
POISON_INDEX = 150  # place of the part that crashes workers, in the prompt
DOCUMENTS = 40  # that sound requests are about
TIMEOUT_SECONDS = 4.0  # timeout_ms of the route
DEADLINE_SECONDS = 6.0  # of the clients
EVENTS, EVENT_SECONDS = 20, 0.1
FIRST_EVENT_SECONDS = 0.15
RETURN_SECONDS = 2.0  # from a crash to the next start of the worker
WARM_SECONDS = 12.0
TROUBLE_SECONDS = 30.0
PER_SECOND = 4  # sound requests about other documents
POISON_SECONDS = 0.8  # between two requests with the part
POISON = "badbad00"
# Sound requests about the same document, so that all its parts are also in those.
SHARING_DELAY_SECONDS, SHARING_SECONDS = 4.0, 0.125

ROUTE = {
    "name": "chat",
    "host": "api.example",
    "prefix": "/chat/",
    "kind": "stream",
    "timeout_ms": int(TIMEOUT_SECONDS * 1000),
    "slo_ms": 600,
    "gap_aim_ms": 400,
    "priority": 0,
    "service": "engine",
    "max_attempts": 2,
    "resumable": True,
    "sticky": True,
}
SERVICE = {
    "name": "engine",
    "max_conns": 360,
    "engine": {"slots": 64, "kv_capacity": 374098},
}


class Case:
    """Traffic, crashing workers and what was seen."""

    def __init__(self, deployment, record, trouble):
        self.deployment, self.record, self.trouble = deployment, record, trouble
        self.random = random.Random(7)
        self.answers, self.poisoned = [], []
        self.crashes, self.engines = [], {}
        self.ran = set()
        self.number = 0

    async def start_engine(self, place: int) -> None:
        """Start a worker as a new incarnation."""
        self.number += 1
        worker = Worker(
            self.deployment.platform,
            self.deployment.worker_ip(),
            f"i-{place}-{self.number}",
            "engine",
            ZONES[place % len(ZONES)],
            self.serve,
            64,
        )
        await worker.start()
        self.engines[place] = worker

    async def serve(self, worker, writer, line, values, body) -> bool:
        """Answer with a stream, or crash as the answer begins."""
        request_id = values["x-request-id"]
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        if POISON in values.get("x-prompt-prefix", ""):
            if not worker.stopped:
                self.crashes.append(time.monotonic())
                self.record.note(f"crash: {worker.id} runs {request_id}")
                place = int(worker.id.split("-")[1])
                worker.crash()
                asyncio.ensure_future(self.restart(place))
            return False
        self.ran.add(request_id)
        self.record.note(f"run: {worker.id} runs {request_id}")
        await worker.start_stream(writer, values)
        first = int(values.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await worker.send_event(writer, number, f"{request_id} {number}")
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def restart(self, place: int) -> None:
        await asyncio.sleep(RETURN_SECONDS)
        await self.start_engine(place)

    def prompt(self, request_id: str, document: str) -> list[str]:
        """Return the ids of a prompt's parts: common, of a document, its own."""
        common = [f"c{n:07x}" for n in range(COMMON_PARTS)]
        parts = [f"{document}{n:05x}" for n in range(DOCUMENT_PARTS)]
        return [*common, *parts, f"{zlib.crc32(request_id.encode()):08x}"]

    async def send(self, request_id: str, parts: list[str], answers: list) -> None:
        """Send one request to a random machine."""
        name = self.random.choice(sorted(self.deployment.ips))
        tokens = BLOCK_TOKENS * len(parts)
        headers = [
            ("X-Request-Id", request_id),
            ("X-Api-Key", KEY),
            ("X-Deadline-Ms", str(int(DEADLINE_SECONDS * 1000))),
            ("X-Model", "m"),
            ("X-Token-Counts", f"{tokens},60"),
            ("X-Prompt-Prefix", ",".join(f"{p}:{BLOCK_TOKENS}" for p in parts)),
            ("Content-Type", "application/json"),
        ]
        self.record.note(f"send: {request_id} to {name}")
        answer = await call(
            self.deployment.ips[name],
            "POST",
            "/chat/x",
            headers,
            json.dumps({"prompt": request_id}).encode(),
            DEADLINE_SECONDS,
            request_id,
        )
        answers.append(answer)
        self.record.note(answer.describe())

    async def traffic(self, tasks: set) -> None:
        """Send sound requests."""
        number = 0
        while True:
            number += 1
            document = f"{number % DOCUMENTS:03x}"
            request_id = f"sound-{number}"
            parts = self.prompt(request_id, document)
            tasks.add(asyncio.ensure_future(self.send(request_id, parts, self.answers)))
            await asyncio.sleep(self.random.expovariate(PER_SECOND))

    async def poison(self, tasks: set) -> None:
        """Send requests that hold the part; no two are alike."""
        number = 0
        while True:
            number += 1
            request_id = f"poison-{number}"
            parts = self.prompt(request_id, "bad")
            if self.trouble:
                parts.insert(POISON_INDEX, POISON)
            tasks.add(
                asyncio.ensure_future(self.send(request_id, parts, self.poisoned))
            )
            await asyncio.sleep(POISON_SECONDS)

    async def share(self, tasks: set) -> None:
        """Send sound requests about the document whose requests hold the part."""
        number = 0
        await asyncio.sleep(SHARING_DELAY_SECONDS)
        while True:
            number += 1
            request_id = f"sharing-{number}"
            parts = self.prompt(request_id, "bad")
            tasks.add(asyncio.ensure_future(self.send(request_id, parts, self.answers)))
            await asyncio.sleep(SHARING_SECONDS)

    def judge(self, warm: float, began: float, ended: float) -> int:
        """Apply LOST, and count what DENIED does."""
        since = max(self.crashes, default=began) + 2 * CONTACT_SECONDS
        before = [a for a in self.answers if warm <= a.sent < began]
        during = [a for a in self.answers if since <= a.sent <= ended]
        shares = []
        for name, answers in (("before", before), ("during", during)):
            began_count = sum(a.id in self.ran for a in answers)
            shares.append(began_count / max(len(answers), 1))
            statuses = Counter(a.status for a in answers)
            self.record.note(
                f"LOST: {name}: {began_count} of {len(answers)} sound requests with "
                f"the same key and first part began at a worker; {dict(statuses)}"
            )
        refused = sum(400 <= a.status < 500 for a in self.answers)
        total = len(self.answers) + len(self.poisoned)
        self.record.note(
            f"DENIED: {refused} sound requests ended with a 4xx of the machines, of "
            f"{total} requests in all; allowed are {5 + total // 500}"
        )
        self.record.note(f"{len(self.crashes)} crashes of workers")
        if min(len(before), len(during)) < 20:
            return 2
        return int(2 * shares[1] < shares[0])


async def play(deployment, record, trouble) -> int:
    case = Case(deployment, record, trouble)
    await deployment.platform.start()
    deployment.platform.put_json("op", "config", configuration(1, [ROUTE], [SERVICE]))
    for place in range(ENGINES):
        await case.start_engine(place)
    for name in deployment.ips:
        deployment.start_node(name)
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_SECONDS)
    tasks: set = set()
    warm = time.monotonic()
    jobs = [asyncio.ensure_future(case.traffic(tasks))]
    await asyncio.sleep(WARM_SECONDS)
    began = time.monotonic()
    jobs.append(asyncio.ensure_future(case.poison(tasks)))
    jobs.append(asyncio.ensure_future(case.share(tasks)))
    await asyncio.sleep(TROUBLE_SECONDS)
    ended = time.monotonic()
    for job in jobs:
        job.cancel()
    await asyncio.wait(tasks, timeout=DEADLINE_SECONDS + 2)
    return case.judge(warm, began, ended)


run_case(FOLDER, NODES, play)
