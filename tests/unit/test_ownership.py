"""Nodes with the same members choose the same owners, backup nodes and links.

Guards against choices that differ between nodes, move more keys than needed or put
a replica into the data centre of its serving node.
"""

import unittest

from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.fetch import MAX_HINTED_NODES
from rattanwick.internal.peers.ownership import choose_links, rank_nodes
from rattanwick.internal.peers.replication import choose_backup_nodes, rank_backup_nodes
from tests.peer_cluster import Cluster, wait_until


def make_nodes(count: int, data_centres: int = 6) -> tuple[Node, ...]:
    """Return nodes spread over data centres of two regions."""
    return tuple(
        Node(f"n{i}", f"dc-{i % data_centres}", f"r{i % 2}", "ip", 1, 2, 3)
        for i in range(count)
    )


class RankTests(unittest.TestCase):
    def test_any_node_finds_the_backup_node_of_any_serving_node(self):
        # A node that looks for a request does not know its serving node. Guards against
        # a backup node that is not among the nodes it asks.
        nodes = make_nodes(48)
        for number in range(50):
            request_id = f"req-{number}"
            hints = rank_backup_nodes(request_id, nodes)[:MAX_HINTED_NODES]
            for server in nodes:
                backup = choose_backup_nodes(request_id, server, nodes)[0]
                self.assertIn(backup, hints)
                self.assertNotEqual(backup.data_centre, server.data_centre)
                self.assertEqual(backup.region, server.region)

    def test_a_single_data_centre_still_has_a_backup_node(self):
        # Guards against requests without a replica when there is no other data centre.
        nodes = make_nodes(2, data_centres=1)
        self.assertEqual(choose_backup_nodes("req", nodes[0], nodes), [nodes[1]])
        self.assertEqual(choose_backup_nodes("req", nodes[0], nodes[:1]), [])

    def test_a_lost_node_moves_only_its_own_keys(self):
        # Guards against a change of owner for keys that the lost node did not own.
        nodes = make_nodes(12)
        for number in range(100):
            before = rank_nodes(f"key-{number}", nodes)
            after = rank_nodes(f"key-{number}", nodes[1:])
            self.assertEqual(after, [node for node in before if node is not nodes[0]])

    def test_links_reach_all_data_centres_and_two_links_reach_another_one(self):
        # Guards against data centres without a path of links between them, also if each
        # node may have only a few links.
        nodes = make_nodes(48)
        for node in nodes:
            others = [item for item in nodes if item is not node]
            links = choose_links(node, others, 8)
            self.assertEqual(len({link.id for link in links}), 8)
            self.assertEqual(len({link.data_centre for link in links}), 6)
            few = choose_links(node, others, 2)
            self.assertIn(node.data_centre, {link.data_centre for link in few})
            self.assertEqual(len({link.data_centre for link in few}), 2)


class ListVersionTests(unittest.TestCase):
    def test_list_versions_of_nodes_without_a_link_are_fetched(self):
        # With one link each, most versions do not arrive by heartbeat. Guards against a
        # change of the lists that is never confirmed.
        cluster = Cluster(max_links=1)
        self.addCleanup(cluster.stop)
        peers = cluster.add_many(8)
        for peer in peers:
            peer.list_version = 6
        asked = peers[0].members
        asked.refresh_versions(1.0)
        wanted = {peer.node.id: 6 for peer in peers}
        self.assertTrue(wait_until(lambda: asked.confirmed_versions() == wanted))
