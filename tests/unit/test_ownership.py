"""All nodes agree on owners, keepers and links without asking each other."""

import unittest

from rattanwick.internal.model.instances import Node
from rattanwick.internal.peers.fetch import MAX_HINTED_NODES
from rattanwick.internal.peers.ownership import choose_links, rank_nodes
from rattanwick.internal.peers.replication import choose_backup_nodes, rank_backup_nodes
from tests.peer_cluster import Cluster, wait_until


def make_nodes(count: int, data_centres: int = 6) -> tuple[Node, ...]:
    """Return nodes over data centres of two regions."""
    return tuple(
        Node(f"n{i}", f"dc-{i % data_centres}", f"r{i % 2}", "ip", 1, 2, 3)
        for i in range(count)
    )


class RankTests(unittest.TestCase):
    def test_any_node_finds_the_keeper_of_any_serving_node(self):
        nodes = make_nodes(48)
        for number in range(50):
            request_id = f"req-{number}"
            hints = rank_backup_nodes(request_id, nodes)[:MAX_HINTED_NODES]
            for server in nodes:
                backup = choose_backup_nodes(request_id, server, nodes)[0]
                self.assertIn(backup, hints)
                self.assertNotEqual(backup.data_centre, server.data_centre)
                self.assertEqual(backup.region, server.region)

    def test_a_single_data_centre_still_has_a_keeper(self):
        nodes = make_nodes(2, data_centres=1)
        self.assertEqual(choose_backup_nodes("req", nodes[0], nodes), [nodes[1]])
        self.assertEqual(choose_backup_nodes("req", nodes[0], nodes[:1]), [])

    def test_a_lost_node_moves_only_its_own_keys(self):
        nodes = make_nodes(12)
        for number in range(100):
            before = rank_nodes(f"key-{number}", nodes)
            after = rank_nodes(f"key-{number}", nodes[1:])
            self.assertEqual(after, [node for node in before if node is not nodes[0]])

    def test_links_reach_all_data_centres_and_even_few_leave_the_own_one(self):
        nodes = make_nodes(48)
        for node in nodes:
            others = [item for item in nodes if item is not node]
            links = choose_links(node, others, 8)
            self.assertEqual(len({link.id for link in links}), 8)
            self.assertEqual(len({link.data_centre for link in links}), 6)
            few = choose_links(node, others, 2)
            self.assertIn(node.data_centre, {link.data_centre for link in few})
            self.assertEqual(len({link.data_centre for link in few}), 2)


class AgreementTests(unittest.TestCase):
    def test_versions_of_nodes_without_a_link_are_asked_for(self):
        cluster = Cluster(max_links=1)
        self.addCleanup(cluster.stop)
        peers = cluster.add_many(8)
        for peer in peers:
            peer.list_version = 6
        asked = peers[0].members
        asked.refresh_versions(1.0)
        wanted = {peer.node.id: 6 for peer in peers}
        self.assertTrue(wait_until(lambda: asked.confirmed_versions() == wanted))
