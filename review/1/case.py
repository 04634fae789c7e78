"""An engine crashes in the middle of resumable streams whose text holds "id:"."""

import asyncio
import re
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Client  # noqa: E402
from configurations import ENGINE, make_configuration, make_route  # noqa: E402
from deployment import Deployment  # noqa: E402
from recording import play, with_trouble  # noqa: E402
from workers import chunk  # noqa: E402

NODES = 3
ENGINES = 6
CRASH_SECONDS = 4.0
EVENT_SECONDS = 0.08
STREAMS = 280
STREAMS_PER_SECOND = 40.0
CRASH_AT = 4.0
TIMEOUT_MS = 6000
# The text of a service log entry, as an engine writes it: one event for each piece.
TEXT = [
    "Kitchen: school.",
    "Bid: none.",
    "Blades in grid: six.",
    "Sharpening fluid: used.",
    "Amount due: 18.00.",
    "Amount paid: 18.00.",
    "Receipt valid: yes.",
    "Van: 3.",
    "Acid: none.",
    "Next visit: May.",
    "Log entry void: no.",
    "Signed by the cook.",
]
EVENT_ID = re.compile(rb"(?m)^id: (\d+)$")


async def run_stream(worker, first, headers, body, writer) -> bool:
    request_id = headers["x-request-id"]
    start = int(headers.get("last-event-id") or 0)
    worker.record.write(
        f"{worker.id} runs {request_id}"
        + (f" on from Last-Event-Id {start}" if start else "")
    )
    await asyncio.sleep(0.05)
    kind = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    writer.write(worker.head(200, request_id, **kind))
    for number, text in enumerate(TEXT, 1):
        if number > start:
            writer.write(chunk(f"id: {number}\ndata: {text}\n\n".encode()))
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
        "r-bitacora", "/bitacora/", "stream", "rattan-afila",
        timeout_ms=TIMEOUT_MS, max_attempts=2, resumable=True, sticky=True,
        gap_aim_ms=400,
    )  # fmt: skip
    d.configure(make_configuration(1, [route], **{"rattan-afila": ENGINE}))
    engines = [
        await d.add_worker(f"i-engine{n}", "rattan-afila", run_stream)
        for n in range(ENGINES)
    ]
    await d.start()
    begun = record.now()
    answers: dict[str, object] = {}

    async def send_stream(number: int) -> None:
        client = Client(d.nodes[number % NODES].front, record)
        request_id = f"s{number:06d}"
        answers[request_id] = await client.send(
            "POST", "/bitacora/2f", request_id, TIMEOUT_MS,
            {
                "X-Model": "m",
                "X-Token-Counts": "600,40",
                "X-Prompt-Prefix": f"5c1e07a2:340,91bd3f06:230,{number:08x}:30",
            },
            b"x" * 200,
        )  # fmt: skip
        client.close()

    tasks, crashed = [], False
    for number in range(STREAMS):
        await asyncio.sleep(max(0, begun + number / STREAMS_PER_SECOND - record.now()))
        tasks.append(asyncio.create_task(send_stream(number)))
        if record.now() - begun >= CRASH_AT and not crashed:
            crashed = True
            busiest = max(engines, key=lambda worker: worker.running)
            record.say(f"{busiest.id} runs {busiest.running} streams")
            if with_trouble():
                record.say(f"{busiest.id} crashes")
                tasks.append(asyncio.create_task(busiest.crash(CRASH_SECONDS)))
    await asyncio.gather(*tasks)
    return judge(record, answers)


def judge(record, answers) -> bool:
    """Judge: no piece is missing or comes twice, and no end comes too early."""
    broken = 0
    for request_id, answer in sorted(answers.items()):
        numbers = [int(number) for number in EVENT_ID.findall(answer.body)]
        whole = list(range(1, len(TEXT) + 1))
        wrong = numbers != whole[: len(numbers)] or (
            answer.complete and answer.status == 200 and numbers != whole
        )
        broken += wrong
        record.write(
            f"{request_id}: status {answer.status}, complete {answer.complete}, "
            f"events {numbers}" + (" WRONG" if wrong else "")
        )
    complete = sum(answer.complete for answer in answers.values())
    record.say(f"{len(answers)} streams, {complete} complete, {broken} out of order")
    return broken == 0


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
