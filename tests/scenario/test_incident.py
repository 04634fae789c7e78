"""Replay of an incident on real processes, with its recording unchanged and altered.

Guards against a recording that misses decisions, gives other results when replayed, or
does not show that somebody changed it.
"""

import tempfile
import unittest
from pathlib import Path

from bench.incident_run import IncidentRun, list_violations
from scenarios.parser import parse_scenario

SCENARIO = """
deployment guayas
seed 43
setting recording.batch_seconds = 0.5
setting drain.notice_seconds = 2
engines token_seconds = 0.01
start
chats 50 of 40 tokens over 4 s
bookings 8 over 1 s
wait 1.5 s
fault platform table_down = true
reclaim data_centre gye-norte in 2 s
wait 2 s
fault platform table_down = false
"""


class IncidentTests(unittest.TestCase):
    def test_a_reclaim_during_a_table_outage_can_be_replayed(self):
        scenario = parse_scenario("incident", SCENARIO)
        with tempfile.TemporaryDirectory(prefix="rattanwick-incident-") as folder:
            run = IncidentRun(scenario, Path(folder))
            report = run.run()
        found = run.findings
        self.assertEqual(report.failures, [])
        self.assertEqual(list_violations(found), [])
        self.assertGreaterEqual(found.answered, 50)
        self.assertEqual(found.gaps, [])
        self.assertGreaterEqual(found.kinds["route"], 50)
        self.assertGreaterEqual(found.kinds["lease"], 1)
