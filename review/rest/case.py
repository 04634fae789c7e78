"""The entries of workers lapse and come back while one of them wants a rest."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Client  # noqa: E402
from configurations import make_configuration, make_route  # noqa: E402
from deployment import Deployment  # noqa: E402
from recording import play, with_trouble  # noqa: E402

NODES = 6
REQUESTS_PER_SECOND = 30.0  # at all nodes together
WORK_SECONDS = 0.045
REST_SECONDS = 20
# Seconds since the nodes know each other.
FULL_FROM, FULL_UNTIL = 3.0, 3.6
DOWN_AT, DOWN_SECONDS = 5.0, 4.5
# Heartbeats are 1.2 s apart; the store removes an entry after three of them.
LAPSE_SECONDS = 3.6
BACK_SECONDS = 2.0  # from the return of the store to that of the entries
END_AT = 22.0
TIMEOUT_MS = 800
GRACE_SECONDS = 0.5
MOST = 2


async def run_call(worker, first, headers, body, writer) -> bool:
    request_id = headers["x-request-id"]
    if worker.full:
        worker.told[node_of(request_id)] = worker.record.now()
        worker.record.write(f"{worker.id} turns {request_id} away for {REST_SECONDS} s")
        more = {"X_Not_Run": 1, "Retry_After": REST_SECONDS}
        return await worker.answer(writer, 503, request_id, b"", **more)
    await asyncio.sleep(WORK_SECONDS)
    return await worker.answer(writer, 200, request_id, b"schedule")


def node_of(request_id: str) -> int:
    """Return the number of the node to which a request was sent."""
    return int(request_id[1:]) % NODES


async def case(record) -> bool:
    d = Deployment(record, NODES)
    try:
        return await run_case(record, d)
    finally:
        d.close()


async def run_case(record, d) -> bool:
    await d.platform.start()
    route = make_route(
        "r-ver",
        "/ver/",
        "safe",
        "agenda-vans",
        timeout_ms=TIMEOUT_MS,
        slo_ms=150,
        max_attempts=2,
    )
    d.configure(make_configuration(1, [route]))
    workers = [await d.add_worker(f"i-{n}", "agenda-vans", run_call) for n in range(2)]
    for worker in workers:
        worker.full, worker.told = False, {}
    await d.start()
    begun = record.now()
    statuses: dict[int, int] = {}

    async def send(number: int) -> None:
        client = Client(d.nodes[number % NODES].front, record)
        answer = await client.send("GET", "/ver/2f", f"v{number:06d}", 1500)
        client.close()
        statuses[answer.status] = statuses.get(answer.status, 0) + 1

    async def play_trouble() -> None:
        await asyncio.sleep(FULL_FROM)
        workers[0].full = True
        await asyncio.sleep(FULL_UNTIL - FULL_FROM)
        workers[0].full = False
        if not with_trouble():
            return
        await asyncio.sleep(DOWN_AT - FULL_UNTIL)
        record.say("the store is down")
        d.platform.busy = True
        d.platform.wake()
        await asyncio.sleep(LAPSE_SECONDS)
        for worker in workers:
            d.platform.put("servers", worker.id, None)
        await asyncio.sleep(DOWN_SECONDS - LAPSE_SECONDS)
        d.platform.busy = False
        record.say("the store is back, without the entries that lapsed")
        await asyncio.sleep(BACK_SECONDS)
        for worker in workers:
            d.platform.put("servers", worker.id, worker.entry())
        record.say("the workers have written their entries again")

    tasks, number = [asyncio.create_task(play_trouble())], 0
    while (now := record.now() - begun) < END_AT:
        while number < now * REQUESTS_PER_SECOND:
            tasks.append(asyncio.create_task(send(number)))
            number += 1
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    record.say(f"answers by status: {dict(sorted(statuses.items()))}")
    return judge(record, workers[0])


def judge(record, worker) -> bool:
    """Judge: from each machine, no more than two requests come in the rest."""
    counts = dict.fromkeys(worker.told, 0)
    for at, request_id, _ in worker.arrivals:
        node = node_of(request_id)
        told = worker.told.get(node, float("inf"))
        if told + GRACE_SECONDS <= at < told + REST_SECONDS:
            counts[node] += 1
            record.write(
                f"{request_id} reaches {worker.id} from node {node}, "
                f"{at - told:.2f} s after it asked for {REST_SECONDS} s"
            )
    for node, count in sorted(counts.items()):
        record.say(f"node {node}: {count} requests in the rest, {MOST} are allowed")
    return max(counts.values(), default=0) <= MOST


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
