"""Cause an incident on real processes and replay it: ``python -m bench.incident``.

Six nodes serve chats and bookings. The object store fails for longer than the
recorders can buffer, so that records are dropped. The table fails at the same time and
is still down when the reclaim of a data centre is announced. The recording is then
replayed by time, by request and by node, its CPU time and size are measured, and a
change to it must be detected.
"""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from dataclasses import asdict  # noqa: E402
from pathlib import Path  # noqa: E402

from bench.incident_run import Findings, IncidentRun, list_violations  # noqa: E402
from scenarios.parser import parse_scenario  # noqa: E402

SCENARIO = """
deployment guayas
seed {seed}
setting recording.batch_seconds = 1
setting recording.buffer_bytes = 65536
setting drain.notice_seconds = 4
engines token_seconds = 0.02
start
chats 150 of 40 tokens over 14 s
chats 100 of 250 tokens over 14 s
completions 20 of 60 tokens over 14 s
bookings 60 over 14 s
wait 2 s
fault platform object_down = true
fault platform table_down = true
wait 5 s
fault platform object_down = false
reclaim data_centre gye-norte in 4 s
wait 3 s
fault platform table_down = false
"""


def make_report(found: Findings) -> dict:
    """Return the figures of a run as they are printed and written."""
    requests = max(found.requests_recorded, 1)
    commands = {
        name: {
            "exit": result.status,
            "decisions": result.decisions,
            "differences": result.differences,
            "gaps": result.gaps,
            "changed": result.changed,
        }
        for name in ("by_time", "by_request", "by_node", "altered", "forged")
        for result in [getattr(found, name)]
    }
    return {
        "commands": commands,
        "kinds": dict(found.kinds),
        "answered": found.answered,
        "admissions_dropped": found.admissions_dropped,
        "answered_and_explained": found.answered - len(found.unexplained),
        "gaps": found.gaps,
        "requests_recorded": found.requests_recorded,
        "decisions_per_request": sum(found.kinds.values()) / requests,
        "stored_bytes_per_request": found.stored_bytes / requests,
        "recording_cpu_seconds": found.recording_seconds,
        "node_cpu_seconds": found.node_seconds,
        "recording_cpu_share": found.recording_seconds / max(found.node_seconds, 1e-9),
    }


def run_once(seed: int) -> tuple[dict, list[str]]:
    """Run the incident and return its figures and what it violated."""
    scenario = parse_scenario("incident", SCENARIO.format(seed=seed))
    with tempfile.TemporaryDirectory(prefix="rattanwick-incident-") as folder:
        run = IncidentRun(scenario, Path(folder))
        result = run.run()
    figures = {"seed": seed, "seconds": result.seconds}
    figures |= {"tally": asdict(result.tally), **make_report(run.findings)}
    return figures, result.failures + list_violations(run.findings)


def main() -> int:
    """Run the incident for each seed; return 1 if a run violated an expectation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=41, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--output", default="")
    args = parser.parse_args()
    results = []
    all_violations = []
    for seed in range(args.seed, args.seed + args.runs):
        figures, violations = run_once(seed)
        results.append(figures)
        all_violations += violations
        print(json.dumps(figures, indent=1))
        for violation in violations:
            print(f"FAULT: {violation}")
    if args.output:
        Path(args.output).write_text(json.dumps(results, indent=1), encoding="utf-8")
    return 1 if all_violations else 0


if __name__ == "__main__":
    sys.exit(main())
