"""Run the soak test: ``python -m soak --seeds 1-50``."""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import os  # noqa: E402
import secrets  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

from gevent.pool import Pool  # noqa: E402

from fakes.processes import SpawnedProcess  # noqa: E402
from soak.regressions import PLANNED_REGRESSIONS, REGRESSIONS  # noqa: E402
from soak.run import SoakReport, SoakSize, run_soak  # noqa: E402

DEFAULT_SIZE = SoakSize()
KNOWN_SEEDS = {"known": REGRESSIONS, "known-planned": PLANNED_REGRESSIONS}
CALLERS_PER_ENGINE = 4
MAX_SEED_SECONDS = 300.0  # of one seed


def read_seeds(value: str) -> list[int]:
    """Return the seeds of a number, of a range such as ``1-50``, or of a name.

    ``known`` stands for all seeds in ``REGRESSIONS``, ``known-planned`` for those in
    ``PLANNED_REGRESSIONS``.
    """
    if value in KNOWN_SEEDS:
        return list(KNOWN_SEEDS[value])
    first, _, last = value.partition("-")
    try:
        return list(range(int(first), int(last or first) + 1))
    except ValueError:
        raise argparse.ArgumentTypeError(
            "expected a number, a range such as 1-50, known or known-planned"
        )


def print_report(report: SoakReport) -> None:
    """Print the result of a seed and its first 20 failures."""
    answers = " ".join(f"{status}:{n}" for status, n in sorted(report.answers.items()))
    verdict = "FAILED" if report.failures else "passed"
    print(f"seed {report.seed}: {verdict}, {len(report.faults)} faults, {answers}")
    for failure in report.failures[:20]:
        print(f"  {failure}")
    sys.stdout.flush()


def run_in_subprocess(seed: int, options: list[str]) -> bool:
    """Run a seed in a subprocess, print its output and return whether it passed."""
    with tempfile.TemporaryDirectory(prefix="rattanwick-soak-") as name:
        command = [sys.executable, "-m", "soak", f"--seeds={seed}", *options]
        process = SpawnedProcess(command, dict(os.environ), Path(name, "output"))
        status = process.wait(MAX_SEED_SECONDS)
        process.kill()
        print(process.read_output(), end="", flush=True)
    return status == 0


def main() -> int:
    """Run all seeds, a random one by default, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=read_seeds, default=None)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SIZE.seconds)
    parser.add_argument("--nodes", type=int, default=DEFAULT_SIZE.nodes)
    parser.add_argument("--callers", type=int, default=DEFAULT_SIZE.callers)
    parser.add_argument(
        "--planned-only",
        action="store_true",
        help="stop nodes, reload and change the configuration, and inject no faults",
    )
    parser.add_argument("--logs", type=Path, default=Path("soak-logs"))
    parser.add_argument("--jobs", type=int, default=1, help="seeds to run in parallel")
    args = parser.parse_args()
    seeds = args.seeds or [secrets.randbelow(1 << 30)]
    if args.jobs > 1:
        options = [f"--seconds={args.seconds}", f"--nodes={args.nodes}"]
        options += [f"--callers={args.callers}", f"--logs={args.logs}"]
        options += ["--planned-only"] if args.planned_only else []
        passed = Pool(args.jobs).map(
            lambda seed: run_in_subprocess(seed, options), seeds
        )
        print(f"{passed.count(False)} of {len(passed)} seeds failed")
        return 0 if all(passed) else 1
    # Otherwise the endpoints have too few slots for many callers, also without faults.
    endpoints = max(DEFAULT_SIZE.engines, args.callers // CALLERS_PER_ENGINE)
    size = SoakSize(
        args.nodes,
        endpoints,
        endpoints,
        args.callers,
        args.seconds,
        planned_only=args.planned_only,
    )
    failed = 0
    for seed in seeds:
        report = run_soak(seed, size, args.logs)
        print_report(report)
        failed += bool(report.failures)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
