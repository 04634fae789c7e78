"""Measure the CPU time and memory that platform clients and claims cost a process.

``python -m bench.platform_cost`` starts the platform fake on loopback and prints
the CPU time of signed table calls, the rate of claims, and the resident memory after
the imports. The fake runs in a process of its own.
"""

import argparse
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from gevent.pool import Pool

from rattanwick.internal.base.ids import new_write_token
from rattanwick.internal.base.outcomes import Answered
from rattanwick.internal.base.settings import ClaimSettings, PlatformSettings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.platform.interfaces import Precondition
from rattanwick.internal.platform.object_store import S3ObjectStore
from rattanwick.internal.platform.signing import CredentialsFile, RequestSigner
from rattanwick.internal.platform.table import DynamoTable
from rattanwick.internal.state.claim_types import Claimed, ServiceCall
from rattanwick.internal.state.claims import Claims

ROUNDS = 5
CONCURRENT_CLAIMS = 16
ANSWER = StoredResponse(200, {"Content-Type": "application/json"}, b"x" * 500)
RSS_SCRIPT = """
import gevent, prometheus_client, msgpack
{imports}
with open("/proc/self/status") as status:
    print(next(line.split()[1] for line in status if line.startswith("VmRSS")))
"""
CLIENT_IMPORTS = """
import rattanwick.internal.platform.ec2
import rattanwick.internal.platform.instance_list
import rattanwick.internal.state.order_reconciler
import rattanwick.internal.state.claims
import rattanwick.internal.platform.table
"""


def print_figure(name: str, unit: str, values: list[float]) -> None:
    """Print the median, the lowest and the highest value of the rounds."""
    median = statistics.median(values)
    spread = f"{min(values):.3f} to {max(values):.3f}"
    print(f"{name}: median {median:.3f} {unit} ({spread}, {len(values)} rounds)")


def measure_cpu_milliseconds(calls: int, run) -> float:
    """Return the CPU time of this process per call in milliseconds."""
    started = time.process_time()
    for _ in range(calls):
        run()
    return (time.process_time() - started) / calls * 1000


def measure_calls(cfg: PlatformSettings, timers, calls: int) -> None:
    """Print the CPU time of signing alone, of a read and of a write."""
    table = DynamoTable(cfg, timers, "bench")
    credentials = CredentialsFile(cfg.credentials_file, timers)
    signer = RequestSigner(credentials, "dynamodb", cfg.region)
    headers = {"X-Amz-Target": "DynamoDB_20120810.GetItem"}
    table.put("bench#row", {"x": 1}, Precondition.any(), new_write_token())

    def put():
        table.put(
            f"bench#{new_write_token()}",
            {"x": 1},
            Precondition.absent(),
            new_write_token(),
        )

    runs = {
        "sign": lambda: signer.sign("POST", cfg.table_url + "/", headers, b"x" * 300),
        "get": lambda: table.get("bench#row"),
        "put": put,
    }
    for name, run in runs.items():
        values = [measure_cpu_milliseconds(calls, run) for _ in range(ROUNDS)]
        print_figure(f"CPU of {name}", "ms a call", values)


def measure_claims(cfg: PlatformSettings, timers, count: int) -> None:
    """Print how many claims are made and settled per second, and their CPU time."""
    table = DynamoTable(cfg, timers, "bench")
    objects = S3ObjectStore(cfg, timers, "bench")
    claims = Claims(table, objects, timers, ClaimSettings(), "bench/1")

    def run(_: int) -> None:
        call = ServiceCall(
            "o", "s", new_write_token(), "d" * 64, timers.wall_time() + 30
        )
        claimed = claims.claim(call)
        if not isinstance(claimed, Claimed):
            raise RuntimeError(f"claim failed: {claimed}")
        claims.settle(claimed, Answered(), ANSWER)

    rates, costs = [], []
    for _ in range(ROUNDS):
        started, cpu = time.monotonic(), time.process_time()
        Pool(CONCURRENT_CLAIMS).map(run, range(count))
        rates.append(count / (time.monotonic() - started))
        costs.append((time.process_time() - cpu) / count * 1000)
    print_figure(f"claim and settle, {CONCURRENT_CLAIMS} at once", "a second", rates)
    print_figure("CPU of claim and settle", "ms", costs)


def measure_memory() -> None:
    """Print the resident memory of a process with and without the clients."""
    for name, imports in (("base libraries", ""), ("and clients", CLIENT_IMPORTS)):
        script = RSS_SCRIPT.format(imports=imports)
        sizes = [
            int(subprocess.check_output([sys.executable, "-c", script])) / 1024
            for _ in range(ROUNDS)
        ]
        print_figure(f"resident memory, {name}", "MB", sizes)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description="Measure platform clients.")
    parser.add_argument("--calls", type=int, default=500)
    args = parser.parse_args()
    command = [sys.executable, "-m", "fakes.platform", "--port", "0"]
    fake = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    timers = GeventTimerService()
    try:
        url = f"http://127.0.0.1:{fake.stdout.readline().split()[1]}"
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "credentials.ini"
            path.write_text("[credentials]\naccess_key = a\nsecret_key = s\n")
            cfg = PlatformSettings(
                table_url=url,
                object_url=url,
                instance_list_url=url,
                cloud_url=url,
                credentials_file=str(path),
                region="bench",
            )
            measure_calls(cfg, timers, args.calls)
            measure_claims(cfg, timers, args.calls)
        measure_memory()
    finally:
        timers.stop()
        fake.terminate()
        fake.wait()
        gevent.sleep(0)


if __name__ == "__main__":
    main()
