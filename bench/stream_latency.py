"""Measure sound streams through a gateway node: an event for each token.

``python -m bench.stream_latency`` prints the time to the first event and between
events as callers see them, and the processor time that the node takes for an event.
"""

import argparse
import json
import os
import sys
import tempfile
import time
from itertools import pairwise
from pathlib import Path

import gevent
from gevent import socket

from bench.stats import make_histogram, summarize
from fakes.gateway_deployment import (
    CALLER_PORT,
    DATA_CENTRE,
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration,
)
from fakes.scripted_endpoint import ScriptedEndpoint, chunk

NODE = "n1"
SLOTS = 256
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def send_events(endpoint: ScriptedEndpoint, sock, headers: dict[str, str]) -> None:
    """Send the events of a stream at their times."""
    count, interval = (float(value) for value in headers["x-events"].split(","))
    endpoint.send_head(sock, headers, "Transfer-Encoding: chunked\r\n")
    started = time.monotonic()
    for number in range(int(count)):
        gevent.sleep(max(started + number * interval - time.monotonic(), 0))
        text = f'id: {number + 1}\ndata: {{"text": "token {number}"}}\n\n'
        sock.sendall(chunk(text.encode()))
    sock.sendall(b"0\r\n\r\n")


def read_stream(address, number: int, events: int, interval: float) -> list[float]:
    """Return the times of a stream's events, in seconds from its request."""
    lines = (
        "POST /stream/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: stream-{number}",
        f"X-Api-Key: {KEY}",
        "X-Deadline-Ms: 60000",
        f"X-Events: {events},{interval}",
        "Connection: close",
        "Content-Length: 0",
    )
    times: list[float] = []
    with socket.create_connection(address, 5.0) as sock:
        started = time.monotonic()
        sock.sendall("\r\n".join((*lines, "", "")).encode())
        while data := sock.recv(65_536):
            times += [time.monotonic() - started] * data.count(b"data:")
    return times


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND


def measure(streams: int, events: int, interval: float) -> dict:
    """Return the summary of one run."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = GatewayDeployment(Path(folder), (NODE,))
        endpoint = ScriptedEndpoint(send_events)
        try:
            cfg = make_configuration(1)
            cfg["routes"][2]["timeout_ms"] = 60_000
            cfg["services"][0].update(
                max_conns=SLOTS, engine={"slots": SLOTS, "kv_capacity": 1 << 20}
            )
            deployment.configure(cfg)
            deployment.platform.put_json(
                "servers",
                "i-1",
                {
                    "service": "engine",
                    "address": endpoint.address,
                    "zone": DATA_CENTRE,
                    "slots": SLOTS,
                    "state": "ready",
                    "born": 1,
                },
            )
            node = deployment.start_node(NODE)
            if not deployment.wait_joined():
                raise RuntimeError(f"node not ready: {node.read_output()[-2000:]}")
            return _measure(deployment, node.pid, streams, events, interval)
        finally:
            endpoint.stop()
            deployment.close()


def _measure(deployment, pid: int, streams: int, events: int, interval: float) -> dict:
    address = (deployment.ips[NODE], CALLER_PORT)
    before = processor_seconds(pid)
    tasks = []
    for number in range(streams):
        tasks.append(gevent.spawn(read_stream, address, number, events, interval))
        gevent.sleep(interval / streams)
    gevent.joinall(tasks)
    times = [task.get() for task in tasks]
    received = sum(len(stream) for stream in times)
    pauses = [b - a for stream in times for a, b in pairwise(stream)]
    return {
        "events": received,
        "missing": streams * events - received,
        "first_ms": summarize(make_histogram(stream[0] for stream in times if stream)),
        "between_ms": summarize(make_histogram(pauses)),
        "node_us_per_event": round(
            (processor_seconds(pid) - before) / max(received, 1) * 1e6, 1
        ),
    }


def main() -> None:
    """Measure and print one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--events", type=int, default=200)
    parser.add_argument("--interval", type=float, default=0.04, help="seconds")
    args = parser.parse_args()
    summary = measure(args.streams, args.events, args.interval)
    sys.stdout.write(json.dumps(summary) + "\n")


if __name__ == "__main__":
    main()
