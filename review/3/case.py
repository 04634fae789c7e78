"""Open connections to the store go silent between two configurations."""

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
CONTACT_SECONDS = 3.0  # contact_ms
APPLY_SECONDS = 2.0  # config_apply_ms
# From a configuration to the moment at which connections go silent. By then the nodes
# wait for the next change.
SILENCE_AFTER_SECONDS = 0.4
# From that moment to the configuration that is judged. The machines are in touch, and
# the store is stable, from 3 s on.
CHANGE_AFTER_SECONDS = CONTACT_SECONDS + 0.2
WATCH_SECONDS = 5.0
SEND_INTERVAL_SECONDS = 0.05
TIMEOUT_MS = 1500


async def run_booking(worker, first, headers, body, writer) -> bool:
    await asyncio.sleep(0.01)
    body = f"booked by {worker.service}".encode()
    return await worker.answer(writer, 200, headers["x-request-id"], body)


def configuration(version: int, service: str, visits: str = "") -> dict:
    """Return a configuration whose bookings go to a service."""
    routes = [make_route("r-reserva", "/reserva/", "unsafe", service, slo_ms=200)]
    if visits:
        routes.append(make_route("r-visits", "/visits/", "safe", visits, slo_ms=200))
    return make_configuration(version, routes, agenda_old={}, agenda_new={})


async def case(record) -> bool:
    d = Deployment(record, NODES)
    try:
        return await run_case(record, d)
    finally:
        d.close()


async def run_case(record, d) -> bool:
    await d.platform.start()
    d.configure(configuration(1, "agenda_old"))
    for service in ("agenda_old", "agenda_new"):
        for number in range(2):
            await d.add_worker(f"i-{service}{number}", service, run_booking)
    await d.start()
    await asyncio.sleep(2.0)
    d.configure(configuration(4, "agenda_old", visits="agenda_old"))
    await asyncio.sleep(SILENCE_AFTER_SECONDS)
    if with_trouble():
        count = d.platform.silence_connections()
        record.say(f"{count} open connections to the store go silent for good")
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    acknowledged = d.configure(configuration(9, "agenda_new", visits="agenda_old"))
    record.say("acknowledged: bookings move to agenda_new")
    results: list[tuple[float, str, object]] = []

    async def send(node, number: int) -> None:
        client = Client(node.front, record)
        request_id = f"{node.name}-{number:04d}"
        answer = await client.send(
            "POST", "/reserva/2f", request_id, TIMEOUT_MS, body=b"visit"
        )
        client.close()
        results.append((answer.sent_at - acknowledged, node.name, answer))

    tasks = []
    for number in range(int(WATCH_SECONDS / SEND_INTERVAL_SECONDS)):
        tasks += [asyncio.create_task(send(node, number)) for node in d.nodes]
        await asyncio.sleep(SEND_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    return judge(record, results)


def judge(record, results) -> bool:
    """Judge: a request sent after the bound is not run by the old service."""
    stale, last = 0, {}
    for sent, node, answer in sorted(results, key=lambda item: item[0]):
        old = answer.body == b"booked by agenda_old"
        if old:
            last[node] = sent
        wrong = old and sent > APPLY_SECONDS
        stale += wrong
        record.write(
            f"{sent:.3f} s after the acknowledgement to {node}: {answer.status} "
            f"{answer.body.decode()!r}{' WRONG' if wrong else ''}"
        )
    for node, sent in sorted(last.items()):
        record.say(f"{node} last used the old service {sent:.2f} s after it")
    record.say(f"{len(results)} bookings, {stale} run by the old service too late")
    return stale == 0


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
