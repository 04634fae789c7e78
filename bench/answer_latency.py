"""Measure short answers and streams through a gateway node, one after another.

``python -m bench.answer_latency`` prints the time to an answer and to the first event
of a stream as a caller sees them, and the processor time that the node takes for each.
Run it in two checkouts in turn to compare them.
"""

import argparse
import json
import sys
import tempfile
import time
from pathlib import Path

from gevent import socket

from bench.stats import make_histogram, summarize
from bench.stream_latency import processor_seconds
from fakes.gateway_deployment import (
    CALLER_PORT,
    HOST,
    KEY,
    GatewayDeployment,
    make_configuration,
)

NODE = "n1"
# Kind of answer: route, fault of the endpoint, and what ends the measured time.
KINDS = {
    "plain": ("unsafe", "", b"whole"),
    "unframed": ("unsafe", "unframed", b"whole"),
    "stream": ("stream", "", b"data:"),
}


def read_answer(address: tuple[str, int], route: str, number: int, mark: bytes):
    """Return the seconds until a mark arrives in an answer, None if it does not."""
    lines = (
        f"POST /{route}/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {route}-{number}",
        f"X-Api-Key: {KEY}",
        "X-Deadline-Ms: 2000",
        "Connection: close",
        "Content-Length: 1",
    )
    arrived, data = None, b""
    with socket.create_connection(address, 5.0) as sock:
        started = time.monotonic()
        sock.sendall("\r\n".join((*lines, "", "")).encode() + b"b")
        while part := sock.recv(65_536):
            data += part
            if arrived is None and mark in data:
                arrived = time.monotonic() - started
    return arrived


def measure(requests: int) -> dict:
    """Return the summary of each kind of answer."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = GatewayDeployment(Path(folder), (NODE,))
        try:
            deployment.configure(make_configuration(1))
            endpoints = {}
            for route, stream in (("unsafe", False), ("stream", True)):
                endpoints[route] = deployment.add_endpoint(f"i-{route}", stream)
            node = deployment.start_node(NODE)
            if not deployment.wait_joined():
                raise RuntimeError(f"node not ready: {node.read_output()[-2000:]}")
            address = (deployment.ips[NODE], CALLER_PORT)
            summary = {}
            for kind, (route, fault, mark) in KINDS.items():
                endpoints[route].fault = fault
                before = processor_seconds(node.pid)
                times = [
                    read_answer(address, route, number, mark)
                    for number in range(requests)
                ]
                sound = [seconds for seconds in times if seconds is not None]
                summary[kind] = {
                    "missing": requests - len(sound),
                    "time_ms": summarize(make_histogram(sound)),
                    "node_us": round(
                        (processor_seconds(node.pid) - before) / requests * 1e6, 1
                    ),
                }
            return summary
        finally:
            deployment.close()


def main() -> None:
    """Measure and print one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1500, help="of each kind")
    args = parser.parse_args()
    sys.stdout.write(json.dumps(measure(args.requests)) + "\n")


if __name__ == "__main__":
    main()
