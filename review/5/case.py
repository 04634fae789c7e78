"""A worker names a limit while prompts have many parts."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Client  # noqa: E402
from configurations import (  # noqa: E402
    ENGINE,
    make_configuration,
    make_route,
)
from deployment import Deployment  # noqa: E402
from recording import play, with_trouble  # noqa: E402
from workers import chunk  # noqa: E402

NODES = 6
PARTS = int(os.environ.get("PARTS", "200"))  # of a prompt; the last is its own
PART_TOKENS = 4
REQUESTS_PER_SECOND = 60.0  # at all nodes together
LIMIT = 10.0  # requests per second that the worker takes from all machines
LIMIT_AT, END_AT = 28.0, 45.0  # seconds since the nodes know each other
EVENTS, EVENT_SECONDS = 4, 0.02
TIMEOUT_MS = 4000
CONTACT_SECONDS = 3.0  # contact_ms
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5


async def run_stream(worker, first, headers, body, writer) -> bool:
    await asyncio.sleep(0.03)
    kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    writer.write(worker.head(200, headers["x-request-id"], **kind))
    for number in range(1, EVENTS + 1):
        writer.write(chunk(f"id: {number}\ndata: word {number}\n\n".encode()))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def case(record) -> bool:
    d = Deployment(record, NODES)
    try:
        return await run_case(record, d)
    finally:
        d.close()


async def run_case(record, d) -> bool:
    await d.platform.start()
    route = make_route(
        "r-consulta",
        "/consulta/",
        "stream",
        "rattan-afila",
        timeout_ms=TIMEOUT_MS,
        slo_ms=500,
        sticky=True,
    )
    d.configure(make_configuration(1, [route], **{"rattan-afila": ENGINE}))
    worker = await d.add_worker("i-engine", "rattan-afila", run_stream)
    await d.start()
    begun = record.now()
    shared = ",".join(f"{0x5C1E07A2 + n:08x}:{PART_TOKENS}" for n in range(PARTS - 1))
    record.say(f"{PARTS} parts a prompt, a header of {len(shared)} bytes")
    answers: dict[int, list[tuple[float, int]]] = {n: [] for n in range(NODES)}
    passed_on: dict[int, float] = {}  # by node: the first answer with the limit

    async def send(number: int) -> None:
        node = d.nodes[number % NODES]
        client = Client(node.front, record)
        answer = await client.send(
            "POST",
            "/consulta/2f",
            f"s{number:06d}",
            TIMEOUT_MS,
            {
                "X-Model": "m",
                "X-Token-Counts": f"{PARTS * PART_TOKENS},12",
                "X-Prompt-Prefix": f"{shared},{number:08x}:{PART_TOKENS}",
            },
            b"x" * 200,
        )
        client.close()
        answers[number % NODES].append((answer.sent_at, answer.status))
        if "server-limit" in answer.headers:
            passed_on.setdefault(number % NODES, answer.ended_at)

    tasks, number, named_at = [], 0, None
    while (now := record.now() - begun) < END_AT:
        while number < now * REQUESTS_PER_SECOND:
            tasks.append(asyncio.create_task(send(number)))
            number += 1
        if now >= LIMIT_AT and named_at is None:
            named_at = record.now()
            if with_trouble():
                worker.more_headers["Server-Limit"] = f"{LIMIT:g}"
                record.say(f"the worker names a limit of {LIMIT:g} requests a second")
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    for index, node in enumerate(d.nodes):
        statuses = [status for _, status in answers[index]]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        record.say(f"{node.name}: answers by status {counts}")
    return judge(record, worker, passed_on, named_at)


def node_of(request_id: str) -> int:
    """Return the number of the node to which a request was sent."""
    return int(request_id[1:]) % NODES


def judge(record, worker, passed_on, named_at) -> bool:
    """Judge: in no window the worker gets more than the rule allows."""
    if not with_trouble():
        record.say("the worker named no limit")
        return True
    # Of nodes that had passed on such an answer half a second before or earlier.
    times = [
        at
        for at, request_id, _ in worker.arrivals
        if at >= named_at + CONTACT_SECONDS
        and at - passed_on.get(node_of(request_id), float("inf")) >= 0.5
    ]
    for at, request_id, _ in worker.arrivals:
        if at >= named_at:
            node = node_of(request_id)
            record.write(f"{request_id} arrives at {at:.3f} from node {node}")
    most = max(
        (sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times),
        default=0,
    )
    record.say(
        f"at most {most} requests in {WINDOW_SECONDS:g} s, {ALLOWED:g} are allowed"
    )
    return most <= ALLOWED


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
