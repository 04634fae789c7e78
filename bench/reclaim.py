"""Measure the tokens that are computed again when a data centre is reclaimed.

Run as ``python -m bench.reclaim``. Six nodes of deploy/guayas stream long answers, and
the engines of one data centre are reclaimed after a notice. The ratio, taken from the
engines' own ledgers, is the number of tokens that later attempts computed again over
those that a restart of the same streams would have computed again: the prompt and the
text so far.
"""

import argparse
import json
import os
import statistics
import tempfile
import time
from pathlib import Path

from gevent import monkey

monkey.patch_all()

from scenarios.evaluation import read_ledgers  # noqa: E402
from scenarios.parser import parse_scenario  # noqa: E402
from scenarios.runner import ScenarioRun  # noqa: E402

RESULTS_PATH = Path(__file__).parent / "results" / "reclaim.json"
SCENARIO = """
deployment guayas
seed {seed}
engines token_seconds = 0.03
start
chats 48 of 250 tokens over 1 s
wait 2 s
reclaim endpoint rattan-afila-gye-norte-1 in {notice} s
reclaim endpoint rattan-afila-gye-norte-2 in {notice} s
reclaim endpoint rattan-afila-gye-norte-3 in {notice} s
wait {notice} s
expect all answered within 40 s
"""


class MeasuredRun(ScenarioRun):
    """Scenario run that keeps the ledgers of the endpoints."""

    ledgers = None

    def _do_expect_answered(self, step) -> None:
        super()._do_expect_answered(step)
        self.ledgers = read_ledgers(self._deployment)


def measure(seed: int, notice: float) -> dict:
    """Return the figures of one run."""
    scenario = parse_scenario("reclaim", SCENARIO.format(seed=seed, notice=notice))
    with tempfile.TemporaryDirectory(prefix="rattanwick-bench-") as folder:
        run = MeasuredRun(scenario, Path(folder))
        report = run.run()
    moved = [
        entry
        for entries in run.ledgers.entries.values()
        for entry in entries
        if entry["ran"] and entry["resumed_tokens"]
    ]
    restart_tokens = sum(
        item["prompt_tokens"] + item["resumed_tokens"] for item in moved
    )
    recomputed_tokens = sum(
        max(item["prompt_tokens"] + item["resumed_tokens"] - item["cached_tokens"], 0)
        for item in moved
    )
    return {
        "seed": seed,
        "notice_seconds": notice,
        "requests": report.tally.requests,
        "answered": report.tally.answered,
        "failures": report.failures,
        "streams_moved": len(moved),
        "tokens_of_a_restart": restart_tokens,
        "tokens_computed_again": recomputed_tokens,
        "ratio": recomputed_tokens / restart_tokens if restart_tokens else 0.0,
    }


def main() -> None:
    """Run each seed, print the figures and write them."""
    parser = argparse.ArgumentParser(prog="bench.reclaim", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--notice", type=float, default=4.0, help="seconds")
    args = parser.parse_args()
    load = os.getloadavg()[0]
    runs = []
    for seed in args.seeds:
        runs.append(measure(seed, args.notice))
        print(json.dumps(runs[-1]), flush=True)
    ratios = [run["ratio"] for run in runs]
    summary = {
        "command": f"python -m bench.reclaim --notice {args.notice}",
        "date": time.strftime("%Y-%m-%d", time.gmtime()),
        "load_average": load,
        "ratio_median": statistics.median(ratios),
        "ratio_range": [min(ratios), max(ratios)],
        "runs": runs,
    }
    RESULTS_PATH.write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    print(f"ratio median {summary['ratio_median']:.3f}, range {summary['ratio_range']}")


if __name__ == "__main__":
    main()
