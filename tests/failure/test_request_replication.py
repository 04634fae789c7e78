"""Requests survive the loss of their serving node and of their keepers."""

import unittest
from unittest import mock

import gevent

from rattanwick.internal.peers import takeover
from tests.peer_cluster import wait_until
from tests.serving_cluster import WHOLE, ServingCluster


class KeeperTests(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch.object(takeover, "CLAIM_RETRY_SECONDS", 0.3))
        self.cluster = ServingCluster(6)
        self.addCleanup(self.cluster.stop)
        self.peers = self.cluster.peers
        self.server = self.peers["n0"]

    def test_the_keeper_is_in_another_data_centre_and_forgets_after_the_end(self):
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        self.assertNotEqual(backup.node.data_centre, self.server.node.data_centre)
        self.assertTrue(
            wait_until(lambda: backup.parts.replicas.get("req-1").final, timeout=2.0)
        )

    def test_the_answer_outlives_its_node_at_the_keeper(self):
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        self.assertTrue(wait_until(lambda: backup.parts.replicas.get("req-1").final))
        self.server.crash()
        self.assertTrue(self.cluster.wait_dead("n0", backup))
        for peer in self.peers.values():
            if peer is not self.server:
                text, reply = peer.fetch_all("req-1")
                self.assertEqual((text, reply.outcome.tag), (WHOLE, "answered"))

    def test_a_lost_node_is_replaced_by_one_run_that_any_node_finds(self):
        self.server.serve("req-1")
        gevent.sleep(0.1)
        self.server.crash()
        others = [peer for peer in self.peers.values() if peer is not self.server]
        fetches = [gevent.spawn(peer.fetch_all, "req-1") for peer in others]
        gevent.joinall(fetches, timeout=6, raise_error=True)
        for fetch in fetches:
            text, reply = fetch.value
            self.assertEqual((text, reply.restarted), (WHOLE, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 2)

    def test_a_node_that_is_killed_while_it_leaves_is_replaced(self):
        self.server.serve("req-1")
        self.server.parts.members.leave()
        gevent.sleep(0.1)
        self.server.crash()
        text, reply = self.peers["n1"].fetch_all("req-1")
        self.assertEqual((text, reply.restarted), (WHOLE, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 2)

    def test_a_call_that_must_not_run_again_is_unknown(self):
        self.server.serve("req-1", idempotent=False)
        gevent.sleep(0.05)
        self.server.crash()
        _, reply = self.peers["n1"].fetch_all("req-1")
        self.assertEqual(reply.outcome.tag, "unknown")
        self.assertEqual(len(self.cluster.runs("req-1")), 1)

    def test_another_organisation_sees_nothing(self):
        self.server.serve("req-1")
        for peer in self.peers.values():
            text, reply = peer.fetch_all("req-1", "bakers")
            self.assertEqual((text, reply.state), ("", "absent"))

    def test_a_lost_keeper_is_replaced(self):
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        backup.crash()
        self.assertTrue(self.cluster.wait_dead(backup.node.id, self.server))
        new = lambda: [p for p in self.cluster.copy_holders("req-1") if p is not backup]  # noqa: E731
        self.assertTrue(wait_until(lambda: len(new()) == 1, 3.0))

    def test_a_keeper_that_leaves_passes_on_the_copies_of_a_node_just_lost(self):
        # The loss of the serving node is not yet known when its keeper goes.
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        self.server.crash()
        drain = backup.drain()
        drain.handle_reclaim_notice(backup.timers.wall_time() + 1.0)
        drain.run()
        backup.crash()
        left = [p for p in self.peers.values() if p not in (self.server, backup)]
        text, reply = left[0].fetch_all("req-1")
        self.assertEqual((text, reply.restarted), (WHOLE, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 1)

    def test_a_node_lost_just_after_its_keeper_left_has_a_copy_elsewhere(self):
        # The keeper may go only after the copies were moved.
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        drain = backup.drain()
        drain.handle_reclaim_notice(backup.timers.wall_time() + 3.0)
        drain.run()
        backup.crash()
        self.server.crash()
        left = [p for p in self.peers.values() if p not in (self.server, backup)]
        self.assertTrue([p for p in left if p.parts.replicas.get("req-1")])

    def test_a_keeper_that_leaves_keeps_the_copies_of_a_node_that_answers(self):
        # That node chooses its next keeper itself.
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        backup.parts.replica_transfer.transfer_once()
        self.assertEqual(self.cluster.copy_holders("req-1"), [backup])

    def test_two_keepers_of_one_request_run_it_once(self):
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        # A reply that is lost leaves a copy that the server has replaced.
        served = self.server.parts.replicator._served["req-1"]
        other = next(
            p for p in self.peers.values() if p.node.id not in ("n0", served.holders[0])
        )
        self.server.parts.replicator._send(served, other.node, 1.0)
        self.assertEqual(len(self.cluster.copy_holders("req-1")), 2)
        self.server.crash()
        self.peers["n1"].fetch_all("req-1")
        gevent.sleep(0.5)
        self.assertEqual(self.cluster.runs("req-1"), [(other.node.id, 0)])

    def test_a_keeper_that_gets_no_answer_waits_before_it_runs_a_request(self):
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        order = backup.parts.takeover._possible_holders(
            backup.parts.replicas.get("req-1")
        )
        silent = self.peers[next(item for item in order if item != "n0")]
        asked = []

        def hang(node_id, body):
            asked.append(node_id)
            gevent.sleep(30)

        self.enterContext(mock.patch.object(takeover, "CLAIM_TIMEOUT_SECONDS", 0.1))
        self.enterContext(mock.patch.object(takeover, "MAX_UNANSWERED_CLAIMS", 2))
        silent.parts.network.handle("keeper.claim", hang)
        self.server.crash()
        self.assertTrue(wait_until(lambda: len(self.cluster.runs("req-1")) == 1))
        self.assertEqual(len(asked), 3)
