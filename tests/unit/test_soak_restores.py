"""Tests of the soak test's restores of the store and of endpoints that leave.

They guard against faults that have no effect, with which the soak test would pass
whatever the nodes do.
"""

import json
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from fakes.addresses import split_address
from soak import store_restores
from soak.proxy import LoopbackProxy
from soak.store_restores import EndpointDeparture, RestoreStore
from soak.system import SoakSystem


class RestoreTests(unittest.TestCase):
    """A system whose nodes are not started."""

    def setUp(self):
        for name, value in (
            ("AWAY_SECONDS", (0.01, 0.02)),
            ("COPY_AGE_SECONDS", (5.0, 6.0)),
            ("AGAIN_SECONDS", (0.0, 0.01)),
            ("REWRITE_SECONDS", (0.1, 0.2)),
            ("NODE_FAULT_SHARE", 0.0),
            ("DRAIN_SECONDS", 0.1),
            ("LEAVE_INTERVAL_SECONDS", (0.0, 0.0)),
        ):
            patch = mock.patch.object(store_restores, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.system = SoakSystem(Path(folder.name), 2, 1, 1)
        self.addCleanup(self.system.close)
        self.platform = self.system.deployment.platform
        for name in self.system.names:
            store = split_address(self.platform.address)
            self.system.store_proxies[name] = LoopbackProxy(store)

    def read_rows(self, table: str) -> dict:
        """Return the decoded rows of a table of the store."""
        rows = self.platform.rows.tables.get(table, {})
        return {key: json.loads(row.value) for key, row in rows.items()}

    def test_the_store_loses_rows_in_a_new_era_and_gets_them_again(self):
        written = [self.system.change_configuration() for _ in range(3)]
        before = self.read_rows("servers")
        restore = self.platform.rows.restore
        lost = []

        def record(number: int) -> None:
            restore(number)
            lost.append(self.read_rows("op"))

        with mock.patch.object(self.platform.rows, "restore", record):
            RestoreStore(self.system, random.Random(3)).inject()
        self.assertEqual(lost, [{}] * len(lost))
        self.assertEqual(self.platform.rows.era, 1 + len(lost))
        self.assertEqual(self.read_rows("op")["config"]["version"], written[-1])
        self.assertEqual(self.read_rows("servers"), before)
        (disruption,) = self.system.store_disruptions
        self.assertLess(disruption.started, disruption.ended)
        self.assertFalse(self.platform.rows.down)
        proxies = self.system.store_proxies.values()
        self.assertFalse(any(proxy.is_faulty for proxy in proxies))

    def test_an_endpoint_that_has_left_is_removed_and_recorded(self):
        EndpointDeparture(self.system, random.Random(1)).inject()
        (departure,) = self.system.departures
        self.assertNotIn(departure.endpoint.id, self.read_rows("servers"))
        self.assertIsNone(self.system.deployment.entries[departure.endpoint.id])
        self.platform.rows.restore(self.platform.rows.number_before(5.0))
        for write in self.system.rewrites():
            write()
        self.assertNotIn(departure.endpoint.id, self.read_rows("servers"))
