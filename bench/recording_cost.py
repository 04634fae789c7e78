"""Measure the CPU time and the stored bytes of a recorded decision."""

import argparse
import json
import logging
import random
import statistics
import time
from pathlib import Path

from fakes.memory import MemoryObjectStore
from rattanwick.internal.base.settings import RecordingSettings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.instances import Node
from rattanwick.internal.recording.decisions import Decision, DecisionKind
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.requests.decisions import AdmissionInputs, decide_admission

DECISIONS = 5_000
ENDPOINTS = 12  # of a full cell
ROUNDS = 5
REQUESTS_PER_SECOND = 14.6  # of a node at the target peak
NODE = Node("node-1", "dc-1", "region", "127.0.0.1", 1, 2, 3, incarnation=1)


def make_admissions(seed: int) -> list[Decision]:
    """Return admission decisions with inputs drawn from a seed."""
    source = random.Random(seed)
    decisions = []
    for number in range(DECISIONS):
        inputs = AdmissionInputs(
            False,
            source.randint(0, 200),
            2000,
            True,
            True,
            "",
            source.uniform(1, 120),
            f"organisation-{source.randint(1, 5)}",
            f"plan-{source.randint(1, 3)}",
            "rattan-afila",
            source.randint(20, 5_000),
        ).to_message()
        choice, reason = decide_admission(inputs)
        request_id = f"req_{number:019x}"
        decisions.append(
            Decision(DecisionKind.ADMIT, inputs, choice, reason, request_id)
        )
    return decisions


def make_routes(seed: int) -> list[Decision]:
    """Return route decisions over a full cell with inputs drawn from a seed."""
    source = random.Random(seed)
    decisions = []
    for number in range(DECISIONS):
        endpoints = [
            {
                "id": f"endpoint-{index}",
                "in_flight": source.randint(0, 8),
                "queued_tokens": source.randint(0, 20_000),
                "reported_load": round(source.random(), 3),
                "report_age": round(source.uniform(0, 3), 3),
                "cached_tokens": source.choice((0, 0, 512, 2_048)),
                "distance": source.choice((0.001, 0.004, 0.012)),
                "price": source.choice((1.0, 2.5)),
            }
            for index in range(ENDPOINTS)
        ]
        inputs = {
            "endpoints": endpoints,
            "prompt_tokens": source.randint(10, 4_000),
            "expected_output": source.randint(10, 1_000),
            "now": 1_800_000_000.0 + number / REQUESTS_PER_SECOND,
            "seed": source.getrandbits(32),
        }
        choice = f"endpoint-{source.randrange(ENDPOINTS)}"
        request_id = f"req_{number:019x}"
        decisions.append(
            Decision(
                DecisionKind.ROUTE, inputs, choice, "least_finish_time", request_id
            )
        )
    return decisions


def measure(decisions: list[Decision]) -> dict:
    """Record all decisions and return the mean cost of one."""
    objects = MemoryObjectStore()
    settings = RecordingSettings(buffer_bytes=64 << 20)
    recorder = ObjectStoreRecorder(objects, NODE, ManualTimerService(), settings)
    started = time.process_time()
    for decision in decisions:
        recorder.record(decision)
    recorded = time.process_time()
    buffered_bytes = recorder.status()["buffered_bytes"]
    recorder.flush()
    flushed = time.process_time()
    stored = sum(len(data) for data in objects.objects.values())
    return {
        "record_microseconds": (recorded - started) / DECISIONS * 1e6,
        "flush_microseconds": (flushed - recorded) / DECISIONS * 1e6,
        "memory_bytes": buffered_bytes / DECISIONS,
        "stored_bytes": stored / DECISIONS,
        "dropped": recorder.dropped,
    }


def main() -> None:
    """Print the medians and write the raw results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/recording_cost.json")
    args = parser.parse_args()
    logging.disable(logging.ERROR)
    results = {}
    request = 0.0  # microseconds
    for kind, make in (("route", make_routes), ("admit", make_admissions)):
        rounds = results[kind] = [measure(make(seed)) for seed in range(ROUNDS)]
        for name in rounds[0]:
            values = [item[name] for item in rounds]
            median = statistics.median(values)
            spread = f"({min(values):.1f} to {max(values):.1f})"
            print(f"{kind} {name:20} {median:9.1f}  {spread}")
        request += statistics.median(
            item["record_microseconds"] + item["flush_microseconds"] for item in rounds
        )
    share = request * REQUESTS_PER_SECOND / 1e6
    print(f"{request:.1f} us a request with one decision of each kind")
    print(f"{share:.4%} of a core at {REQUESTS_PER_SECOND} requests a second")
    Path(args.output).write_text(json.dumps(results, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
