"""All nodes agree on the live members.

Guards against members that stay live after a loss, are dropped although they run,
or stay separated after a partition, also while the instance list is old.
"""

import time
import unittest

import gevent

from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from tests.peer_cluster import Cluster, wait_until


class MemberTests(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.stop)

    def test_all_nodes_drop_a_crashed_node_within_the_timeout(self):
        # Guards against a suspicion that does not reach the nodes without a link to the
        # crashed one, or reaches them too late.
        peers = self.cluster.add_many(6)
        peers[0].crash()
        started_at = time.monotonic()
        rest = [peer.node.id for peer in peers[1:]]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 3.0))
        self.assertLess(time.monotonic() - started_at, 0.5 + 0.3)

    def test_a_listed_node_that_no_node_can_reach_is_not_live(self):
        # The instance list still has a node that has crashed. Guards against a node
        # that starts later and counts every listed node as live.
        peers = self.cluster.add_many(3)
        peers[2].crash()
        rest = [peer.node.id for peer in peers[:2]]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 3.0))
        late = self.cluster.add("late")
        wanted = sorted([*rest, "late"])
        self.assertTrue(wait_until(lambda: late.live_ids() == wanted))
        self.assertIn("n2", self.cluster.listed)

    def test_a_node_missing_from_the_list_is_live_after_its_handshake(self):
        # Guards against new nodes that get no work until the instance list is read
        # again.
        self.cluster.add_many(3)
        self.cluster.add("new", listed=False)
        self.assertTrue(wait_until(lambda: self.cluster.agree(self.cluster.peers)))

    def test_nodes_that_only_cannot_reach_each_other_stay_live(self):
        # Guards against dropping a node that one peer cannot reach but others can.
        peers = self.cluster.add_many(4)
        peers[0].cut("n1")
        peers[1].cut("n0")
        seen = set()
        limit = time.monotonic() + 1.0
        while time.monotonic() < limit:
            seen.update(tuple(peer.live_ids()) for peer in peers)
            gevent.sleep(0.02)
        self.assertEqual(seen, {("n0", "n1", "n2", "n3")})

    def test_nodes_whose_link_is_interrupted_repeatedly_stay_live(self):
        # Guards against suspicions that add up over several short interruptions.
        peers = self.cluster.add_many(4)
        for _ in range(4):
            peers[0].cut("n1")
            gevent.sleep(0.15)
            peers[0].blocked.clear()
            gevent.sleep(0.15)
            self.assertTrue(self.cluster.agree(self.cluster.peers))

    def test_a_healed_partition_merges_the_gossip_of_both_sides(self):
        # Guards against sides that never dial each other again after they have declared
        # each other dead, and against items that only one side keeps.
        peers = self.cluster.add_many(6)
        left, right = {"n0", "n1", "n2"}, {"n3", "n4", "n5"}
        self.cluster.partition(left, right)
        for side in (left, right):
            self.assertTrue(wait_until(lambda: self.cluster.agree(side), 3.0))  # noqa: B023
        peers[0].gossip.publish("topic", "left", 7, {"side": "left"})
        peers[3].gossip.publish("topic", "right", 8, {"side": "right"})
        peers[0].gossip.publish("topic", "both", 2, {"side": "left"})
        peers[3].gossip.publish("topic", "both", 1, {"side": "right"})
        self.cluster.heal()
        self.assertTrue(wait_until(lambda: self.cluster.agree(left | right)))
        wanted = {"left": 7, "right": 8, "both": 2}
        self.assertTrue(wait_until(lambda: self._versions(peers, wanted) == [wanted]))

    def test_a_leaving_node_is_not_live_anywhere_although_the_list_is_old(self):
        # Guards against new work for a leaving node that the list does not yet mark.
        peers = self.cluster.add_many(6)
        peers[4].members.leave()
        rest = [peer for peer in peers if peer is not peers[4]]
        absent = lambda: all("n4" not in peer.live_ids() for peer in rest)  # noqa: E731
        self.assertTrue(wait_until(absent, 3.0))
        self.assertFalse(self.cluster.listed["n4"].leaving)

    def test_endpoint_leaving_is_known_everywhere_within_three_seconds(self):
        # Guards against requests that are placed on an endpoint which is about to be
        # reclaimed, because its notice has reached some nodes only.
        peers = self.cluster.add_many(6)
        received = []
        for peer in peers:
            peer.gossip.subscribe(
                ENDPOINT_LEAVING_TOPIC, lambda key, version, body: received.append(key)
            )
        peers[2].gossip.publish(
            ENDPOINT_LEAVING_TOPIC, "engine-1", 5, {"leaving": True}
        )
        self.assertTrue(wait_until(lambda: received == ["engine-1"] * 6, 3.0))

    def test_a_restarted_node_confirms_its_list_version_again(self):
        # Guards against counting the version that the process before the crash
        # confirmed.
        peers = self.cluster.add_many(3)
        peers[0].list_version = 4
        confirmed = lambda: peers[1].members.confirmed_versions()  # noqa: E731
        self.assertTrue(wait_until(lambda: confirmed().get("n0") == 4))
        peers[0].crash()
        self.assertTrue(wait_until(lambda: "n0" not in confirmed(), 3.0))
        self.cluster.add("n0", "dc-0")
        self.assertTrue(wait_until(lambda: confirmed().get("n0") == 1))

    def test_a_stopped_node_is_dropped_without_suspicion(self):
        # Guards against a planned stop that is noticed only after the suspicion
        # timeout.
        peers = self.cluster.add_many(4)
        peers[3].members.stop()
        peers[3].network.stop()
        rest = ["n0", "n1", "n2"]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 0.3))

    def test_a_node_alone_in_its_data_centre_limits_its_inbound_links(self):
        # All nodes prefer links to other data centres. Guards against the single node
        # of one data centre having to exchange heartbeats with all others.
        cluster = Cluster(max_links=4)
        self.addCleanup(cluster.stop)
        peers = [cluster.add(f"n{i}", "dc-a" if i else "dc-b") for i in range(16)]
        self.assertTrue(wait_until(lambda: cluster.agree(cluster.peers)))
        gevent.sleep(0.5)
        self.assertTrue(cluster.agree(cluster.peers))
        most = max(len(peer.members.links.all()) for peer in peers)
        self.assertLessEqual(most, 4 + 4 + 2)

    def _versions(self, peers, keys) -> list[dict]:
        """Return the distinct sets of versions that peers have for these keys."""
        views = []
        for peer in peers:
            items = {key: peer.gossip.get("topic", key) for key in keys}
            view = {key: item.version for key, item in items.items() if item}
            if view not in views:
                views.append(view)
        return views
