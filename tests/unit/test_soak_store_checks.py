"""Tests of the soak test's checks of a store that fails or comes back older.

They guard against a soak test that passes because its checks miss a violation.
"""

import json
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from fakes.gateway_platform import LeaderCall
from soak.callers import CallResult
from soak.checks import CONFIGURATION_EVENT, STARTED_EVENT
from soak.store_checks import (
    NodeTimeline,
    calm_moments,
    check_configurations,
    check_denials,
    check_departures,
    check_fences,
    read_timeline,
)
from soak.system import Acknowledgement, Departure, Disruption, NodeOutage

NODE = ("127.0.0.1", 1)
RESTORED = Disruption(20.0, 24.0)


class TimelineTests(unittest.TestCase):
    def test_starts_and_configurations_are_read_from_a_log(self):
        lines = [
            {"time": 1000.0, "message": STARTED_EVENT},
            {"time": 1001.0, "message": CONFIGURATION_EVENT, "version": 3},
            {"time": 1002.0, "message": "node: other"},
        ]
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "n1.log"
            path.write_text("\n".join(json.dumps(line) for line in lines))
            timeline = read_timeline(path, NODE, 990.0)
        self.assertEqual(timeline.versions, [(10.0, 0), (11.0, 3)])
        self.assertEqual(timeline.version_at(10.5), 0)
        self.assertEqual(timeline.version_at(9.0), 0)
        self.assertEqual(timeline.version_at(12.0), 3)

    def test_a_moment_in_or_soon_after_a_disruption_is_not_calm(self):
        self.assertEqual(calm_moments(10.0, [RESTORED]), [10.0, 27.0])
        self.assertEqual(calm_moments(21.0, [RESTORED]), [27.0])
        overlapping = [RESTORED, Disruption(26.0, 28.0)]
        self.assertEqual(calm_moments(21.0, overlapping), [31.0])


class ConfigurationCheckTests(unittest.TestCase):
    """Guard against a node that stays on, or returns to, an older configuration."""

    ACKS = [Acknowledgement(5.0, 1), Acknowledgement(15.0, 2)]

    def check(self, *versions, outages=(), until=60.0) -> str:
        """Return what the check finds at a node with these versions."""
        timeline = NodeTimeline(NODE, "n1", list(versions))
        return "; ".join(
            check_configurations(
                [timeline], self.ACKS, list(outages), [RESTORED], until
            )
        )

    def test_versions_in_force_in_time_are_no_violation(self):
        self.assertEqual(self.check((0.0, 0), (5.1, 1), (15.1, 2)), "")

    def test_a_version_that_comes_late_is_found(self):
        self.assertIn("had configuration 1", self.check((0.0, 0), (5.1, 1), (18.0, 2)))

    def test_a_node_that_returns_to_an_older_version_is_found(self):
        versions = (0.0, 0), (5.1, 1), (15.1, 2), (24.0, 1)
        self.assertIn("had configuration 1", self.check(*versions))

    def test_a_node_that_starts_with_an_older_version_is_found(self):
        versions = (0.0, 0), (5.1, 1), (15.1, 2), (22.0, 0), (22.5, 1)
        outage = NodeOutage(NODE, 21.0, 23.0)
        self.assertIn("had configuration 1", self.check(*versions, outages=[outage]))
        later = *versions, (26.0, 2)
        self.assertEqual(self.check(*later, outages=[outage]), "")

    def test_moments_after_the_end_are_passed_over(self):
        self.assertEqual(self.check((0.0, 0), (5.1, 1), until=16.0), "")


class DepartureCheckTests(unittest.TestCase):
    """Guard against an endpoint that is used again when its entry is back."""

    def check(self, *arrivals: float, outages=(), disruptions=(RESTORED,)) -> list:
        """Return what the check finds if an endpoint left at 10 s."""
        endpoint = SimpleNamespace(
            id="q-0", arrivals=[(arrived, "c-1") for arrived in arrivals]
        )
        result = CallResult("c-1", "safe", NODE, 0.0)
        return check_departures(
            [Departure(endpoint, 10.0)], [result], list(outages), list(disruptions)
        )

    def test_a_request_after_the_bound_is_found(self):
        self.assertEqual(self.check(9.0, 12.4), [])
        self.assertEqual(len(self.check(9.0, 12.6)), 1)
        self.assertEqual(len(self.check(22.0)), 1)

    def test_a_disruption_before_all_nodes_have_heard_excuses_requests(self):
        soon = Disruption(11.0, 13.0)
        self.assertEqual(self.check(18.0, disruptions=[soon]), [])
        self.assertEqual(len(self.check(18.6, disruptions=[soon])), 1)

    def test_the_bound_begins_when_the_store_is_calm(self):
        during = Disruption(9.0, 12.0)
        self.assertEqual(self.check(16.0, disruptions=[during]), [])
        self.assertEqual(len(self.check(18.0, disruptions=[during])), 1)

    def test_a_node_in_an_outage_since_then_is_passed_over(self):
        self.assertEqual(self.check(22.0, outages=[NodeOutage(NODE, 20.0, 21.0)]), [])
        other = NodeOutage(("127.0.0.9", 1), 20.0, 21.0)
        self.assertEqual(len(self.check(22.0, outages=[other])), 1)
        before = NodeOutage(NODE, 1.0, 2.0)
        self.assertEqual(len(self.check(22.0, outages=[before])), 1)


class FenceCheckTests(unittest.TestCase):
    """Guard against a fence that two nodes hold, or that goes back."""

    def check(self, *calls: tuple) -> str:
        """Return what the check finds in calls (holder, fence, refused) a second."""
        return "; ".join(
            check_fences(
                [
                    LeaderCall(float(number), "usage", *call)
                    for number, call in enumerate(calls)
                ]
            )
        )

    def test_fences_that_rise_with_the_holder_are_no_violation(self):
        calls = ("a", 1, False), ("a", 2, False), ("b", 3, False), ("a", 2, True)
        self.assertEqual(self.check(*calls, ("a", 4, False)), "")

    def test_a_fence_of_two_holders_is_found(self):
        calls = ("a", 2, False), ("b", 2, False), ("b", 2, False)
        self.assertEqual(self.check(*calls), "a and b sent fence 2 for usage")

    def test_a_fence_that_goes_back_is_found(self):
        self.assertIn(
            "sent fence 2 after 5", self.check(("a", 5, False), ("a", 2, True))
        )

    def test_a_holder_that_goes_on_with_a_refused_fence_is_found(self):
        refused = ("b", 2, True)
        self.assertEqual(self.check(*[refused] * 7), "")
        self.assertIn("sent the refused fence 2 4 times", self.check(*[refused] * 8))


class DenialCheckTests(unittest.TestCase):
    def test_requests_that_every_configuration_allows_must_not_be_denied(self):
        """Guard against a node that serves with an older or no configuration."""
        results = [
            CallResult(f"c-{status}", "safe", NODE, 0.0, status=status)
            for status in (200, 503, 401, 404)
        ]
        self.assertEqual(
            check_denials(results), ["c-401 was denied: 401", "c-404 was denied: 404"]
        )
