"""Members agree on who is live through losses, partitions and lagging lists."""

import time
import unittest

import gevent

from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from tests.peer_cluster import Cluster, wait_until


class MemberTests(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.stop)

    def test_a_lost_node_leaves_live_in_time_everywhere(self):
        peers = self.cluster.add_many(6)
        peers[0].crash()
        began = time.monotonic()
        rest = [peer.node.id for peer in peers[1:]]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 3.0))
        self.assertLess(time.monotonic() - began, 0.5 + 0.3)

    def test_a_listed_node_that_nobody_hears_of_is_not_live(self):
        peers = self.cluster.add_many(3)
        peers[2].crash()
        rest = [peer.node.id for peer in peers[:2]]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 3.0))
        late = self.cluster.add("late")
        wanted = sorted([*rest, "late"])
        self.assertTrue(wait_until(lambda: late.live_ids() == wanted))
        self.assertIn("n2", self.cluster.listed)

    def test_an_unlisted_node_with_a_valid_proof_is_live(self):
        self.cluster.add_many(3)
        self.cluster.add("new", listed=False)
        self.assertTrue(wait_until(lambda: self.cluster.agree(self.cluster.peers)))

    def test_a_cut_link_between_two_live_nodes_leaves_both_live(self):
        peers = self.cluster.add_many(4)
        peers[0].cut("n1")
        peers[1].cut("n0")
        seen = set()
        limit = time.monotonic() + 1.0
        while time.monotonic() < limit:
            seen.update(tuple(peer.live_ids()) for peer in peers)
            gevent.sleep(0.02)
        self.assertEqual(seen, {("n0", "n1", "n2", "n3")})

    def test_a_flapping_link_leaves_both_live(self):
        peers = self.cluster.add_many(4)
        for _ in range(4):
            peers[0].cut("n1")
            gevent.sleep(0.15)
            peers[0].blocked.clear()
            gevent.sleep(0.15)
            self.assertTrue(self.cluster.agree(self.cluster.peers))

    def test_a_partition_separates_and_heals_with_the_news_of_both_sides(self):
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

    def test_leaving_is_known_everywhere_though_the_list_lags(self):
        peers = self.cluster.add_many(6)
        peers[4].members.leave()
        rest = [peer for peer in peers if peer is not peers[4]]
        gone = lambda: all("n4" not in peer.live_ids() for peer in rest)  # noqa: E731
        self.assertTrue(wait_until(gone, 3.0))
        self.assertFalse(self.cluster.listed["n4"].leaving)

    def test_endpoint_leaving_is_known_everywhere_within_three_seconds(self):
        peers = self.cluster.add_many(6)
        heard = []
        for peer in peers:
            peer.gossip.subscribe(
                ENDPOINT_LEAVING_TOPIC, lambda key, version, body: heard.append(key)
            )
        peers[2].gossip.publish(
            ENDPOINT_LEAVING_TOPIC, "engine-1", 5, {"leaving": True}
        )
        self.assertTrue(wait_until(lambda: heard == ["engine-1"] * 6, 3.0))

    def test_a_restarted_node_confirms_its_list_version_again(self):
        peers = self.cluster.add_many(3)
        peers[0].list_version = 4
        confirmed = lambda: peers[1].members.confirmed_versions()  # noqa: E731
        self.assertTrue(wait_until(lambda: confirmed().get("n0") == 4))
        peers[0].crash()
        self.assertTrue(wait_until(lambda: "n0" not in confirmed(), 3.0))
        self.cluster.add("n0", "dc-0")
        self.assertTrue(wait_until(lambda: confirmed().get("n0") == 1))

    def test_a_stopped_node_is_dropped_without_suspicion(self):
        peers = self.cluster.add_many(4)
        peers[3].members.stop()
        peers[3].network.stop()
        rest = ["n0", "n1", "n2"]
        self.assertTrue(wait_until(lambda: self.cluster.agree(rest), 0.3))

    def test_a_small_data_centre_is_not_flooded_with_links(self):
        cluster = Cluster(max_links=4)
        self.addCleanup(cluster.stop)
        peers = [cluster.add(f"n{i}", "dc-a" if i else "dc-b") for i in range(16)]
        self.assertTrue(wait_until(lambda: cluster.agree(cluster.peers)))
        gevent.sleep(0.5)
        self.assertTrue(cluster.agree(cluster.peers))
        most = max(len(peer.members.links.all()) for peer in peers)
        self.assertLessEqual(most, 4 + 4 + 2)

    def _versions(self, peers, keys) -> list[dict]:
        """Return the distinct views of some keys of the topic."""
        views = []
        for peer in peers:
            items = {key: peer.gossip.get("topic", key) for key in keys}
            view = {key: item.version for key, item in items.items() if item}
            if view not in views:
                views.append(view)
        return views
