"""Requests survive the loss of their serving node and of their backup nodes.

Guards against requests that are lost, run by two nodes or shown to another
organisation when nodes crash, leave or do not reply.
"""

import unittest
from unittest import mock

import gevent

from rattanwick.internal.peers import takeover
from tests.peer_cluster import wait_until
from tests.serving_cluster import FULL_TEXT, ServingCluster


class ReplicationTests(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch.object(takeover, "CLAIM_RETRY_SECONDS", 0.3))
        self.cluster = ServingCluster(6)
        self.addCleanup(self.cluster.stop)
        self.peers = self.cluster.peers
        self.server = self.peers["n0"]

    def test_the_backup_node_is_in_another_data_centre_and_keeps_only_the_answer(self):
        # Guards against replicas that are lost with the data centre of their serving
        # node, and against replicas that the final answer never replaces.
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        self.assertNotEqual(backup.node.data_centre, self.server.node.data_centre)
        self.assertTrue(
            wait_until(lambda: backup.parts.replicas.get("req-1").final, timeout=2.0)
        )

    def test_the_backup_node_has_the_answer_after_its_serving_node_is_lost(self):
        # Guards against a second run of a finished request when its node is lost before
        # the caller has fetched the answer.
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        self.assertTrue(wait_until(lambda: backup.parts.replicas.get("req-1").final))
        self.server.crash()
        self.assertTrue(self.cluster.wait_dead("n0", backup))
        for peer in self.peers.values():
            if peer is not self.server:
                text, reply = peer.fetch_all("req-1")
                self.assertEqual((text, reply.outcome.tag), (FULL_TEXT, "answered"))

    def test_a_request_of_a_lost_node_is_run_again_once_and_found_by_any_node(self):
        # Several nodes are asked for the request at once while it is taken over. Guards
        # against more than one new run and against fetches that do not find it.
        self.server.serve("req-1")
        gevent.sleep(0.1)
        self.server.crash()
        others = [peer for peer in self.peers.values() if peer is not self.server]
        fetches = [gevent.spawn(peer.fetch_all, "req-1") for peer in others]
        gevent.joinall(fetches, timeout=6, raise_error=True)
        for fetch in fetches:
            text, reply = fetch.value
            self.assertEqual((text, reply.restarted), (FULL_TEXT, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 2)

    def test_a_request_of_a_node_killed_while_leaving_is_run_again(self):
        # Guards against a takeover that does not start because the lost node was last
        # known as leaving, not as dead.
        self.server.serve("req-1")
        self.server.parts.members.leave()
        gevent.sleep(0.1)
        self.server.crash()
        text, reply = self.peers["n1"].fetch_all("req-1")
        self.assertEqual((text, reply.restarted), (FULL_TEXT, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 2)

    def test_a_lost_request_that_is_not_idempotent_ends_as_unknown(self):
        # Guards against running a request twice that may already have had its effect.
        self.server.serve("req-1", idempotent=False)
        gevent.sleep(0.05)
        self.server.crash()
        _, reply = self.peers["n1"].fetch_all("req-1")
        self.assertEqual(reply.outcome.tag, "unknown")
        self.assertEqual(len(self.cluster.runs("req-1")), 1)

    def test_another_organisation_cannot_fetch_the_request(self):
        # Guards against fetches that check the organisation only at the serving node.
        self.server.serve("req-1")
        for peer in self.peers.values():
            text, reply = peer.fetch_all("req-1", "bakers")
            self.assertEqual((text, reply.state), ("", "absent"))

    def test_a_lost_backup_node_is_replaced(self):
        # Guards against a request that has no replica after its backup node crashed.
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        backup.crash()
        self.assertTrue(self.cluster.wait_dead(backup.node.id, self.server))
        new = lambda: [p for p in self.cluster.copy_holders("req-1") if p is not backup]  # noqa: E731
        self.assertTrue(wait_until(lambda: len(new()) == 1, 3.0))

    def test_a_leaving_backup_node_transfers_the_replicas_of_a_node_just_lost(self):
        # The serving node is not yet known to be lost when its backup node leaves with
        # the only replica.
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
        self.assertEqual((text, reply.restarted), (FULL_TEXT, True))
        self.assertEqual(len(self.cluster.runs("req-1")), 1)

    def test_a_node_lost_just_after_its_backup_node_left_has_another_replica(self):
        # Guards against a backup node that leaves before the serving node, still
        # alive, has sent its replica to another one.
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

    def test_a_leaving_backup_node_keeps_the_replicas_of_a_node_that_answers(self):
        # A live serving node chooses its next backup node itself; a transfer would
        # create a second replica of the same rank.
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        (backup,) = self.cluster.copy_holders("req-1")
        backup.parts.replica_transfer.transfer_once()
        self.assertEqual(self.cluster.copy_holders("req-1"), [backup])

    def test_two_holders_of_replicas_run_the_request_once(self):
        self.server.generate = lambda req, output: None
        self.server.serve("req-1")
        # The reply to an earlier replica was lost, so that replica was not dropped.
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

    def test_a_holder_that_gets_no_reply_repeats_its_claim_before_running(self):
        # A node that counts as live does not reply and may be running the request.
        # Guards against a takeover after the first unanswered claim.
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
