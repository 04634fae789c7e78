"""Cost of the relay: latency added by a node, chunks and short calls per second.

Starts the endpoint fake and a node's request path as processes on loopback. The
dependencies of the request path are in memory, so the figures cover the request path
and its HTTP server, but not placement, grants and replication over the network.

    python -m bench.relay_cost [--part latency|chunks|calls|all] [--rounds N]
"""

import argparse
import json
import os
import sys
import tempfile
import time

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

from fakes.endpoint_text import expected_text
from fakes.processes import SpawnedProcess

ENGINE = {"pool": "p", "kind": "engine", "slots": 4096, "cache_blocks": 64}
FAST_ENGINE = {"first_token_seconds": 0.0, "token_seconds": 0.0}
START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 10.0
MAX_LATENCY_MICROSECONDS = 60_000_000


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class ServerProcess:
    """Child process of a module that prints its ports as JSON when it is ready."""

    def __init__(self, module: str, config: list | dict):
        self._folder = tempfile.TemporaryDirectory()
        path = os.path.join(self._folder.name, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        command = [sys.executable, "-m", module, "--config", path]
        output = os.path.join(self._folder.name, "output")
        self.process = SpawnedProcess(command, dict(os.environ), output)
        self.ports = json.loads(self.process.read_first_line(START_TIMEOUT_SECONDS))

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far."""
        return read_cpu_seconds(self.process.pid)

    def stop(self) -> None:
        """Terminate the process, wait for its end and delete its files."""
        self.process.terminate()
        self.process.wait(STOP_TIMEOUT_SECONDS)
        self._folder.cleanup()


class Client:
    """Client that sends one request at a time over one connection."""

    def __init__(self, port: int):
        self._sock = socket.create_connection(("127.0.0.1", port))
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def post(self, prompt: str, stream: bool) -> tuple[bytes, float]:
        """Return the raw response and the time of its first event.

        The time is that of ``time.perf_counter``; without events it is that of the end.
        """
        body = {"model": "p", "messages": [{"role": "user", "content": prompt}]}
        data = json.dumps({**body, "stream": stream}).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            "Authorization: Bearer key-a\r\nX-Request-Id: bench\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        self._sock.sendall(head.encode() + data)
        end = b"\r\n0\r\n\r\n" if stream else b"}}"
        response = bytearray()
        first = 0.0
        while not response.endswith(end):
            piece = self._sock.recv(262_144)
            if not piece:
                raise RuntimeError("connection closed before the end of the answer")
            response += piece
            if not first and b"data: " in response:
                first = time.perf_counter()
        return bytes(response), first or time.perf_counter()


def make_histogram() -> HdrHistogram:
    """Return an empty histogram in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)


def percentile_milliseconds(values: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram in milliseconds."""
    return values.get_value_at_percentile(percentile) / 1000


def measure_latency(rounds: int, calls: int) -> None:
    """Print the time to first token, direct and through a node, called in turn."""
    engine = {"id": "e1", **ENGINE, "first_token_seconds": 0.02, "token_seconds": 0.005}
    fake = ServerProcess("fakes.endpoints", [engine])
    node = ServerProcess("bench.relay_node", fake.ports)
    print(f"idle resident memory: {resident_megabytes(node.process.pid):.1f} MB")
    targets = {"direct": fake.ports["e1"], "node": node.ports["port"]}
    clients = {name: Client(port) for name, port in targets.items()}
    medians, p99s = [], []
    for round_number in range(rounds):
        histograms = {name: make_histogram() for name in targets}
        for index in range(calls):
            for name, client in clients.items():
                start = time.perf_counter()
                prompt = f"blade steel {round_number} {index} #tokens=3"
                _, first = client.post(prompt, True)
                histograms[name].record_value(int((first - start) * 1e6))
        row = {
            name: [percentile_milliseconds(values, p) for p in (50, 90, 99, 99.9, 100)]
            for name, values in histograms.items()
        }
        medians.append(row["node"][0] - row["direct"][0])
        p99s.append(row["node"][2] - row["direct"][2])
        print(f"round {round_number + 1}: p50 p90 p99 p99.9 max, ms: {row}")
    _print_spread("added latency, median", medians, "ms")
    _print_spread("added latency, p99", p99s, "ms")
    node.stop()
    fake.stop()


def measure_chunks(
    rounds: int, streams: int, tokens: int, per_write: int, token_seconds: float = 0.0
) -> None:
    """Print how many chunks per second one node process relays.

    ``token_seconds`` paces the engines, so that chunks arrive one by one and are not
    merged on the way. Raise RuntimeError if a stream does not have every chunk once.
    """
    speed = {"first_token_seconds": 0.0, "token_seconds": token_seconds}
    names = [f"e{number}" for number in range(3)]
    fakes = [
        ServerProcess(
            "fakes.endpoints",
            [{"id": name, **ENGINE, **speed, "tokens_per_write": per_write}],
        )
        for name in names
    ]
    ports = {name: fake.ports[name] for name, fake in zip(names, fakes, strict=True)}
    node = ServerProcess("bench.relay_node", ports)
    prompt = f"route summary #tokens={tokens}"
    expected = expected_text(f"user: {prompt}\n", tokens)

    def run_stream(check: bool) -> None:
        response, _ = Client(node.ports["port"]).post(prompt, True)
        if response.count(b'"content"') != tokens:
            raise RuntimeError("chunks are missing or repeated")
        if check and _read_text(response) != expected:
            raise RuntimeError("the relayed text differs from the engine's")

    run_stream(True)
    rates, cpu_rates = [], []
    for round_number in range(rounds):
        start, cpu_used = time.perf_counter(), node.cpu_seconds()
        tasks = [gevent.spawn(run_stream, False) for _ in range(streams)]
        gevent.joinall(tasks, raise_error=True)
        seconds = time.perf_counter() - start
        cpu_used = node.cpu_seconds() - cpu_used
        rates.append(streams * tokens / seconds)
        cpu_rates.append(streams * tokens / cpu_used)
        print(
            f"round {round_number + 1}: {rates[-1]:.0f} chunks/s, "
            f"node {cpu_used:.2f} s CPU"
        )
    print(f"{streams} streams of {tokens} tokens, {per_write} chunk(s) per write")
    _print_spread("chunks a second, wall", rates, "/s")
    _print_spread("chunks a second of the node's processor time", cpu_rates, "/s")
    node.stop()
    for fake in fakes:
        fake.stop()


def measure_calls(rounds: int, clients: int, calls: int) -> None:
    """Print how many short calls per second one node process answers."""
    names = [f"e{number}" for number in range(3)]
    fakes = [
        ServerProcess("fakes.endpoints", [{"id": name, **ENGINE, **FAST_ENGINE}])
        for name in names
    ]
    ports = {name: fake.ports[name] for name, fake in zip(names, fakes, strict=True)}
    node = ServerProcess("bench.relay_node", ports)

    def run_client() -> None:
        client = Client(node.ports["port"])
        for _ in range(calls):
            client.post("blade steel #tokens=2", False)

    rates, cpu_rates = [], []
    for round_number in range(rounds):
        start, cpu_used = time.perf_counter(), node.cpu_seconds()
        tasks = [gevent.spawn(run_client) for _ in range(clients)]
        gevent.joinall(tasks, raise_error=True)
        seconds = time.perf_counter() - start
        cpu_used = node.cpu_seconds() - cpu_used
        rates.append(clients * calls / seconds)
        cpu_rates.append(clients * calls / cpu_used)
        print(
            f"round {round_number + 1}: {rates[-1]:.0f} calls/s, "
            f"node {cpu_used:.2f} s CPU"
        )
    _print_spread("short calls a second, wall", rates, "/s")
    _print_spread("short calls a second of the node's processor time", cpu_rates, "/s")
    node.stop()
    for fake in fakes:
        fake.stop()


def _read_text(response: bytes) -> str:
    """Return the text of a streamed response."""
    texts = []
    for line in response.split(b"\n"):
        if line.startswith(b'data: {"id"'):
            delta = json.loads(line[6:])["choices"][0]["delta"]
            texts.append(delta.get("content", ""))
    return "".join(texts)


def _print_spread(name: str, values: list[float], unit: str) -> None:
    ordered = sorted(values)
    middle = ordered[len(ordered) // 2]
    print(f"{name}: {middle:.2f} {unit} ({ordered[0]:.2f} to {ordered[-1]:.2f})")


def main() -> int:
    """Run the chosen parts."""
    parser = argparse.ArgumentParser(prog="bench.relay_cost")
    parser.add_argument(
        "--part",
        choices=("latency", "chunks", "paced", "calls", "all"),
        default="all",
    )
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--per-write", type=int, default=1)
    args = parser.parse_args()
    if args.part in ("latency", "all"):
        measure_latency(args.rounds, 100)
    if args.part in ("chunks", "all"):
        measure_chunks(args.rounds, 100, 1000, args.per_write)
    if args.part in ("paced", "all"):
        measure_chunks(args.rounds, 450, 100, 1, 0.025)
    if args.part in ("calls", "all"):
        measure_calls(args.rounds, 16, 250)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
