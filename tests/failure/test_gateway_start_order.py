"""Starts of nodes that hear late of the configuration in force."""

import gevent

from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.operator_configuration import START_WAIT_SECONDS
from tests.failure import test_gateway_configuration as configuration


class LateStoreTests(configuration.ConfigurationCase):
    """Guard against an older configuration in force at a node that starts.

    The store has come back with version 9, and a peer has 12 in force.
    """

    def setUp(self):
        super().setUp()
        older = self.write(configuration.encode(9))
        self.write(configuration.encode(12))
        self.peer.read()
        self.store.restore(older.number)

    # The wait for members has passed before the node could know of any.
    def test_a_node_that_starts_while_the_store_is_away_waits_for_members(self):
        self.store.down = True
        self.node.read()
        started = self.timers.now()
        while self.timers.now() - started < START_WAIT_SECONDS + 0.2:
            self.node.copies.catch_up(self.timers.now())
            gevent.sleep(0.05)
        self.store.down = False
        self.node.read()
        versions = set()
        started = self.timers.now()
        while self.timers.now() - started < 2.0:
            # Peers hear of this node from its row, which is written only now.
            if self.timers.now() - started > 0.3:
                self.hear(12)
            self.node.copies.catch_up(self.timers.now())
            if self.node.state.configuration is not None:
                versions.add(self.node.state.configuration.version)
            gevent.sleep(0.02)
        self.assertEqual(versions, {12})

    # All known members have sent their state, and none could tell anything.
    def test_a_member_without_a_configuration_tells_nothing(self):
        self.node.read()
        now = self.timers.now()
        other = Member("n0", 1, ("127.0.0.1", 1), "x:1", "a", now, now)
        self.node.state.members.put(other)
        self.node.copies.catch_up(now)
        self.assertIsNone(self.node.state.configuration)
