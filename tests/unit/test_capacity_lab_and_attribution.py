"""Simulation of the autoscaler, and attribution of failures from logs.

Guards against a simulation that differs from what a node does, and against requests
that are missing in the report of failures.
"""

import io
import json
import unittest
from contextlib import redirect_stdout

from bench.attribute import attribute_failures, print_report
from bench.capacity_lab import (
    CaseRanges,
    FixedFleet,
    GatewayPolicy,
    OraclePolicy,
    Simulation,
    draw_case,
    set_constants,
)
from rattanwick.internal.gateway.explanation import read_lines

SECONDS = 40.0


class CapacityLabTests(unittest.TestCase):
    DEPLOYMENTS = 20

    def test_a_seed_gives_the_same_case_and_figures(self):
        case = draw_case(7, CaseRanges(), SECONDS)
        self.assertEqual(case, draw_case(7, CaseRanges(), SECONDS))
        first, second = (Simulation(case).run(GatewayPolicy) for _ in range(2))
        self.assertEqual((first.cost, first.late), (second.cost, second.late))

    def test_the_plan_is_worth_more_than_a_fixed_fleet_on_drawn_deployments(self):
        better = 0
        for seed in range(self.DEPLOYMENTS):
            case = draw_case(seed, CaseRanges(), SECONDS)
            plan = Simulation(case).run(GatewayPolicy).worth(case)
            better += plan > Simulation(case).run(FixedFleet).worth(case)
        self.assertGreaterEqual(better, 0.9 * self.DEPLOYMENTS)

    def test_the_oracle_costs_less_than_the_plan(self):
        case = draw_case(3, CaseRanges(), SECONDS)
        plan, oracle = (
            Simulation(case).run(kind) for kind in (GatewayPolicy, OraclePolicy)
        )
        self.assertLess(oracle.cost, plan.cost)

    def test_an_unknown_constant_is_refused(self):
        with self.assertRaisesRegex(SystemExit, "no such constant"):
            set_constants(["UTILISATION=0.7"])


class AttributionTests(unittest.TestCase):
    def lines(self):
        """Return log lines that follow other text, and a truncated one."""
        ended = {"message": "relay: ended", "node": "n1", "route": "tags"}
        entries = [
            ended
            | {"time": 10.0, "outcome": "answered_200", "first_ms": 90}
            | {"expected_ms": 70},
            ended | {"time": 10.5, "outcome": "refused: first_event_too_late: x"},
            {"time": 12.1, "message": "relay: refused", "reason": "over_limit"},
            {"time": 12.2, "message": "relay: refused", "reason": "unknown_key"},
            {"time": 9.0, "message": "endpoints: entry", "endpoint": "i-1"}
            | {"leaving": False, "reclaimable": True},
            {"time": 11.0, "message": "endpoints: entry", "endpoint": "i-1"}
            | {"leaving": True, "reclaimable": True},
            {"time": 11.5, "message": "orders: order", "reclaimable": False}
            | {"outcome": "declined: none"},
        ]
        texts = [f"  1.5 n1 {json.dumps(line)}" for line in entries]
        return read_lines([*texts, "{torn"])

    def test_each_outcome_and_engine_is_counted(self):
        lines, unread = self.lines()
        report = attribute_failures(lines, 2.0)
        self.assertEqual(unread, 1)
        self.assertEqual(
            report.outcomes,
            {
                0: {"answered_200": 1, "refused: first_event_too_late": 1},
                1: {"over_limit": 1, "unknown_key": 1},
            },
        )
        self.assertEqual(report.lateness_ms, {"tags": [20]})
        self.assertEqual(report.engine_seconds, {"reclaimable": 1.0})
        self.assertEqual(report.orders, {("full price", "declined"): 1})

    def test_the_worst_window_does_not_count_faults_of_callers(self):
        output = io.StringIO()
        with redirect_stdout(output):
            print_report(attribute_failures(self.lines()[0], 2.0), 2.0, 1)
        self.assertIn("from   0.0 s     1 not served", output.getvalue())
