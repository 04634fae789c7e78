"""A worker in trouble answers one stream with a body that does not end."""

import asyncio
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

NODES = 3
ENGINES, WORKERS = 3, 3
STREAM_TIMEOUT_MS = 6000
# Of a booking: its route's timeout, and how long its client waits.
TIMEOUT_MS, DEADLINE_MS = 800, 1500
INTERVAL_SECONDS = 0.1  # between two bookings at each node
TROUBLE_AT, END_AT = 4.0, 16.0  # seconds since the nodes know each other
LATE_SECONDS = 0.5  # after the timeout of the route
# What the worker sends again and again: chunks of one byte.
ENDLESS = b"1\r\nx\r\n" * 10_000
MIN_REQUESTS = 20


async def run_booking(worker, first, headers, body, writer) -> bool:
    await asyncio.sleep(0.03)
    return await worker.answer(writer, 200, headers["x-request-id"], b"booked")


async def run_stream(worker, first, headers, body, writer) -> bool:
    """Send a body until the caller closes the connection."""
    request_id = headers["x-request-id"]
    worker.record.say(f"{worker.id} answers {request_id} with a body without end")
    kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    writer.write(worker.head(200, request_id, **kind))
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
            "r-ruta",
            "/ruta/",
            "stream",
            "rattan-afila",
            timeout_ms=STREAM_TIMEOUT_MS,
            slo_ms=800,
            sticky=True,
        ),
        make_route(
            "r-reserva",
            "/reserva/",
            "unsafe",
            "agenda-vans",
            timeout_ms=TIMEOUT_MS,
            slo_ms=150,
        ),
    ]
    d.configure(make_configuration(1, routes, **{"rattan-afila": ENGINE}))
    for n in range(ENGINES):
        await d.add_worker(f"i-engine{n}", "rattan-afila", run_stream)
    for n in range(WORKERS):
        await d.add_worker(f"i-plain{n}", "agenda-vans", run_booking)
    await d.start()
    begun = record.now()
    done: list[tuple[str, object]] = []  # node, answer
    tasks: list[asyncio.Task] = []

    async def book(node, request_id) -> None:
        client = Client(node.front, record)
        answer = await client.send(
            "POST",
            "/reserva/2f",
            request_id,
            DEADLINE_MS,
            body=b"visit",
            patience=DEADLINE_MS / 1000,
        )
        client.close()
        done.append((node.name, answer))

    async def book_often(node) -> None:
        number = 0
        while record.now() - begun < END_AT:
            number += 1
            task = asyncio.create_task(book(node, f"{node.name}-{number}"))
            tasks.append(task)
            await asyncio.sleep(INTERVAL_SECONDS)

    async def watch_ready(node) -> None:
        was = True
        while record.now() - begun < END_AT:
            status, _ = await d.get(node.ip, d.ports["ready"], "/api/ready", 0.5)
            if (status == 200) != was:
                was = status == 200
                text = "answers" if was else "does not answer"
                record.say(f"{node.name} {text} the check of readiness")
            await asyncio.sleep(0.1)

    async def ask_for_stream() -> None:
        client = Client(d.nodes[0].front, record)
        prompt = {
            "X-Model": "m",
            "X-Token-Counts": "1460,80",
            "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        }
        answer = await client.send(
            "POST", "/ruta/2f", "stream", STREAM_TIMEOUT_MS, prompt, b"x" * 200
        )
        client.close()
        record.say(f"the stream ends with status {answer.status}")

    for node in d.nodes:
        tasks.append(asyncio.create_task(book_often(node)))
        tasks.append(asyncio.create_task(watch_ready(node)))
    await asyncio.sleep(TROUBLE_AT)
    if with_trouble():
        tasks.append(asyncio.create_task(ask_for_stream()))
    while pending := [task for task in tasks if not task.done()]:
        await asyncio.gather(*pending)
    return judge(record, done)


def judge(record, done) -> bool:
    """Judge: of the requests unanswered at their timeout, half are answered soon."""
    timeout = TIMEOUT_MS / 1000
    late = very_late = 0
    for node, answer in sorted(done, key=lambda item: item[1].sent_at):
        seconds = answer.ended_at - answer.sent_at
        record.write(
            f"sent {answer.sent_at:.3f} to {node}: status {answer.status}, "
            f"complete {answer.complete}, after {seconds:.3f} s"
        )
        late += seconds > timeout
        very_late += seconds > timeout + LATE_SECONDS
    record.say(
        f"{len(done)} bookings; {late} unanswered at their route's timeout, "
        f"{very_late} of them half a second later"
    )
    return very_late < MIN_REQUESTS or very_late * 2 <= late


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
