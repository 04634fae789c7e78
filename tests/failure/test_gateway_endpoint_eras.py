"""Endpoints while the store returns with older entries."""

import json
import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.endpoint_directory import (
    LAPSED_RETENTION_SECONDS,
    EndpointDirectory,
)
from rattanwick.internal.gateway.endpoint_lives import OUTDATED_SECONDS
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.platform.codec import PlatformCodec

KEY = "i-1"


class EndpointEraTests(unittest.TestCase):
    """Guard against requests to an endpoint that has left, or that is leaving.

    Its entry is back because the store returned with older rows.
    """

    def setUp(self):
        self.timers = ManualTimerService()
        self.directory = EndpointDirectory(PlatformCodec(), self.timers)
        self.number = 0
        self.write(1)

    def write(self, era: int, state: str = "ready", born: int = 1) -> None:
        """Apply a new entry of the endpoint."""
        self.number += 1
        entry = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 4,
            "state": state,
            "born": born,
        }
        row = StoredRow(KEY, json.dumps(entry).encode(), Version(era, self.number))
        self.directory.apply({KEY: row}, {KEY}, None, era)

    def remove(self, era: int, failed: float | None = None) -> None:
        """Apply a page without the entry."""
        self.directory.apply({}, {KEY}, failed, era)

    def states(self) -> list[bool]:
        """Return whether the endpoint is leaving, for the view if there is one."""
        return [v.endpoint.leaving for v in self.directory.of_service("s")]

    def test_a_leaving_endpoint_stays_so_when_its_entry_is_back_as_ready(self):
        self.write(1, "draining")
        self.write(2)
        self.assertEqual(self.states(), [True])
        self.write(2, born=2)
        self.assertEqual(self.states(), [False])

    def test_an_endpoint_that_left_is_not_used_again(self):
        for state in ("draining", "ready"):
            with self.subTest(state):
                self.setUp()
                self.write(1, state)
                self.remove(1)
                self.write(2)
                self.assertEqual(self.states(), [])
                self.timers.advance(OUTDATED_SECONDS - 1.0)
                self.assertEqual(self.states(), [])
                self.remove(2)
                self.timers.advance(2.0)
                self.assertEqual(self.states(), [])

    def test_an_endpoint_that_was_cut_off_is_used_once_it_writes_again(self):
        self.remove(1)
        self.write(2)
        self.assertEqual(self.states(), [])
        self.write(2)
        self.assertEqual(self.states(), [False])

    def test_an_endpoint_whose_entry_outlasts_its_heartbeats_is_used(self):
        self.remove(1)
        self.write(2)
        self.timers.advance(OUTDATED_SECONDS + 0.1)
        self.assertEqual(self.states(), [False])

    def test_an_endpoint_that_left_while_draining_and_writes_again_is_leaving(self):
        self.write(1, "draining")
        self.remove(1)
        self.write(2)
        self.write(2)
        self.assertEqual(self.states(), [True])

    def test_an_entry_that_is_missing_after_the_return_is_a_last_resort(self):
        self.remove(2)
        (view,) = self.directory.of_service("s")
        self.assertIsNotNone(view.last_resort_until)
        self.timers.advance(LAPSED_RETENTION_SECONDS + 0.1)
        self.assertEqual(self.states(), [])

    def test_a_lapsed_entry_that_is_written_again_is_used(self):
        self.remove(2)
        self.timers.advance(LAPSED_RETENTION_SECONDS + 0.1)
        self.assertEqual(self.states(), [])
        self.write(2)
        self.assertEqual(self.states(), [False])

    def test_a_second_return_is_treated_like_the_first(self):
        self.remove(1)
        self.write(2)
        self.write(3)
        self.assertEqual(self.states(), [])
        self.write(3)
        self.assertEqual(self.states(), [False])

    def test_a_cut_off_endpoint_that_returns_without_a_return_of_the_store(self):
        self.remove(1)
        self.write(1)
        self.assertEqual(self.states(), [False])


if __name__ == "__main__":
    unittest.main()
