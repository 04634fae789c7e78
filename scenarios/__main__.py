"""Run scenarios and print one row for each; exit with status 1 if one fails."""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import functools  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from pathlib import Path  # noqa: E402

from gevent.pool import Pool  # noqa: E402

from scenarios.evaluation import VIOLATIONS, Tally  # noqa: E402
from scenarios.parser import Scenario, load_scenario, parse_scenario  # noqa: E402
from scenarios.runner import Report, run_scenario  # noqa: E402
from scenarios.scenario_generator import generate_scenario  # noqa: E402
from scenarios.suite import DEFAULT_PARALLEL, LONG_CASES, SHORT_CASES  # noqa: E402

COLUMNS = ("faults", "requests", "answered", "resumed", "moved", "restarted")
COLUMNS += ("refused", "not_run", "failed", "unknown")


def read_seeds(text: str) -> range:
    """Return the seeds of a range ``FIRST-LAST`` or of one number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def select_scenarios(args: argparse.Namespace) -> list[Scenario]:
    """Return the scenarios that the arguments name; all of them by default."""
    if args.random:
        return [
            parse_scenario(f"random-{seed}", generate_scenario(seed))
            for seed in args.seeds
        ]
    # Long scenarios start first; short ones then fill the remaining time.
    cases = LONG_CASES | SHORT_CASES
    unknown = [name for name in args.names if name not in cases]
    if unknown:
        raise SystemExit(f"no such scenario: {', '.join(unknown)}")
    return [load_scenario(cases[name]) for name in args.names or cases]


def run_all(
    scenarios: list[Scenario], parallel: int, logs: Path | None
) -> Iterator[Report]:
    """Yield the reports in the order of the scenarios.

    The nodes' logs are kept below ``logs`` if it is given.
    """
    pool = Pool(parallel)
    run = functools.partial(run_scenario, logs=logs)
    try:
        yield from pool.imap(run, scenarios)
    finally:
        pool.kill()  # ends the processes of scenarios that still run


def print_report(report: Report) -> None:
    """Print the row of a scenario and its failures."""
    cells = [f"{getattr(report.tally, name):>9}" for name in COLUMNS]
    verdict = "pass" if report.passed else "FAIL"
    print(f"{report.name:<24}{verdict}{report.seconds:>7.1f}", *cells, flush=True)
    for failure in report.failures:
        print(f"    {failure}", flush=True)


def main() -> int:
    """Run the selected scenarios and return the exit status."""
    parser = argparse.ArgumentParser(prog="scenarios", description=__doc__)
    parser.add_argument("names", nargs="*", help="scenarios to run; all by default")
    parser.add_argument("--parallel", type=int, default=DEFAULT_PARALLEL)
    parser.add_argument(
        "--random", action="store_true", help="generate scenarios by seed"
    )
    parser.add_argument("--seeds", type=read_seeds, default=read_seeds("1-10"))
    parser.add_argument("--logs", type=Path, help="folder for the nodes' logs")
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    scenarios = select_scenarios(args)
    total, failed = Tally(), 0
    print(f"{'scenario':<24}    {'seconds':>7}", *(f"{name:>9}" for name in COLUMNS))
    for report in run_all(scenarios, args.parallel, args.logs):
        print_report(report)
        total.add(report.tally)
        failed += not report.passed
    print(f"{'total':<35}", *(f"{getattr(total, name):>9}" for name in COLUMNS))
    for name in VIOLATIONS:
        print(f"{name.replace('_', ' ')}: {getattr(total, name)}")
    print(f"{len(scenarios) - failed} of {len(scenarios)} scenarios passed")
    return 0 if scenarios and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
