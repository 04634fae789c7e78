"""Explanation of a failed request from nothing but the logs of the nodes.

Guards against decisions that are not logged, and against causes that the explain
command does not recognise.
"""

import tempfile
import unittest
from pathlib import Path

from bench.gateway_incident import run_incident


class IncidentTests(unittest.TestCase):
    def test_the_command_names_the_cause_of_a_failed_request(self):
        with tempfile.TemporaryDirectory() as name:
            incident = run_incident(3, Path(name))
        self.assertRegex(
            incident.cause,
            r"(stream_broken|unknown|refused)[^:]*: .*: .+",
            incident.output,
        )
