"""The recording of an incident on real processes can be replayed.

Guards against decisions that are not recorded, a replay that decides differently, and
altered or forged records that the replay does not report.
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
