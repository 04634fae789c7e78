"""A worker in trouble answers one request with a body that does not end."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Client  # noqa: E402
from configurations import make_configuration, make_route  # noqa: E402
from deployment import Deployment  # noqa: E402
from recording import play, with_trouble  # noqa: E402

NODES = 3
WORKERS = 6
SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS = 800, 6000
SHORT_INTERVAL_SECONDS = 0.1  # at each node
TROUBLE_AT, END_AT = 4.0, 16.0  # seconds since the nodes know each other
LATE_SECONDS = 0.5  # after the timeout of the route
PATIENCE_SECONDS = 8.0
# What the worker sends again and again: chunks of one byte.
ENDLESS = b"1\r\nx\r\n" * 10_000
MIN_REQUESTS = 20


async def run_call(worker, first, headers, body, writer) -> bool:
    request_id = headers["x-request-id"]
    if worker.in_trouble and request_id.startswith("long"):
        return await send_without_end(worker, request_id, writer)
    await asyncio.sleep(0.03)
    return await worker.answer(writer, 200, request_id, b"schedule")


async def send_without_end(worker, request_id, writer) -> bool:
    """Send a body until the caller closes the connection."""
    worker.record.say(f"{worker.id} answers {request_id} with a body without end")
    writer.write(worker.head(200, request_id, Transfer_Encoding="chunked"))
    sent = 0
    try:
        while True:
            writer.write(ENDLESS)
            sent += len(ENDLESS)
            await writer.drain()
    finally:
        worker.record.say(f"{worker.id}: the caller has closed after {sent} bytes")


async def case(record) -> bool:
    d = Deployment(record, NODES)
    try:
        return await run_case(record, d)
    finally:
        d.close()


async def run_case(record, d) -> bool:
    await d.platform.start()
    routes = [
        make_route(
            "r-ver",
            "/ver/",
            "safe",
            "agenda-vans",
            timeout_ms=SHORT_TIMEOUT_MS,
            slo_ms=150,
            max_attempts=2,
        ),
        make_route(
            "r-reserva",
            "/reserva/",
            "unsafe",
            "agenda-vans",
            timeout_ms=LONG_TIMEOUT_MS,
            slo_ms=400,
        ),
    ]
    d.configure(make_configuration(1, routes))
    for n in range(WORKERS):
        worker = await d.add_worker(f"i-{n}", "agenda-vans", run_call)
        worker.in_trouble = False
    await d.start()
    begun = record.now()
    done: list[tuple[str, float, object]] = []  # node, timeout, answer

    async def send(node, method, path, request_id, timeout_ms) -> None:
        client = Client(node.front, record)
        answer = await client.send(
            method, path, request_id, timeout_ms, patience=PATIENCE_SECONDS
        )
        client.close()
        done.append((node.name, timeout_ms / 1000, answer))

    async def send_shorts(node) -> None:
        number = 0
        while record.now() - begun < END_AT - PATIENCE_SECONDS / 2:
            number += 1
            request_id = f"short-{node.name}-{number}"
            args = (node, "GET", "/ver/2f", request_id, SHORT_TIMEOUT_MS)
            tasks.append(asyncio.create_task(send(*args)))
            await asyncio.sleep(SHORT_INTERVAL_SECONDS)

    async def watch_ready(node) -> None:
        was = True
        while record.now() - begun < END_AT:
            status, _ = await d.get(node.ip, d.ports["ready"], "/api/ready", 0.5)
            if (status == 200) != was:
                was = status == 200
                text = "answers" if was else "does not answer"
                record.say(f"{node.name} {text} the check of readiness")
            await asyncio.sleep(0.1)

    tasks: list[asyncio.Task] = []
    for node in d.nodes:
        tasks.append(asyncio.create_task(send_shorts(node)))
        tasks.append(asyncio.create_task(watch_ready(node)))
    await asyncio.sleep(TROUBLE_AT)
    if with_trouble():
        for worker in d.workers:
            worker.in_trouble = True
    args = (d.nodes[0], "POST", "/reserva/2f", "long-1", LONG_TIMEOUT_MS)
    tasks.append(asyncio.create_task(send(*args)))
    await asyncio.sleep(0.5)
    for worker in d.workers:
        worker.in_trouble = False
    while pending := [task for task in tasks if not task.done()]:
        await asyncio.gather(*pending)
    return judge(record, done)


def judge(record, done) -> bool:
    """Judge: of the requests unanswered at their timeout, half are answered soon."""
    late, very_late, worst = 0, 0, 0.0
    for node, timeout, answer in sorted(done, key=lambda item: item[2].sent_at):
        seconds = answer.ended_at - answer.sent_at
        record.write(
            f"sent {answer.sent_at:.3f} to {node}: status {answer.status}, "
            f"complete {answer.complete}, after {seconds:.3f} s"
        )
        if seconds > timeout:
            late += 1
            very_late += seconds > timeout + LATE_SECONDS
            worst = max(worst, seconds - timeout)
    record.say(
        f"{len(done)} requests; {late} unanswered at their route's timeout, "
        f"{very_late} of them half a second later; worst {worst:.1f} s after it"
    )
    return very_late < MIN_REQUESTS or very_late * 2 <= late


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
