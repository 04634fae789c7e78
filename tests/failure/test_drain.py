"""A draining node interrupts no request, whatever fails during the drain.

Guards against requests that are lost, run twice or given a mixed text when a node
stops or is reclaimed while other nodes, replies or the table fail.
"""

import unittest
from unittest import mock

import gevent

from rattanwick.internal.peers import drain, handover
from rattanwick.internal.peers.member_records import MemberState
from tests.peer_cluster import wait_until
from tests.serving_cluster import FULL_TEXT, WORDS, ServingCluster


class DrainTests(unittest.TestCase):
    def setUp(self):
        self.cluster = ServingCluster(6)
        self.addCleanup(self.cluster.stop)
        self.peers = self.cluster.peers
        self.server = self.peers["n0"]

    def test_a_planned_stop_waits_for_requests(self):
        # Guards against a planned stop that moves requests although it could wait.
        records = [self.server.serve(f"req-{i}") for i in range(3)]
        self.server.drain().run()
        self.assertEqual([r.output.text() for r in records], [FULL_TEXT] * 3)
        self.assertEqual([len(self.cluster.runs(r.req.id)) for r in records], [1] * 3)

    def test_a_reclaim_notice_moves_requests_and_relays_each_word_once(self):
        # Guards against words that are lost or duplicated when the generation moves
        # and the old node relays the rest to its callers.
        records = [self.server.serve(f"req-{i}") for i in range(5)]
        gevent.sleep(0.1)
        self._reclaim(self.server, 2.0)
        for record in records:
            self.assertEqual(record.output.text(), FULL_TEXT)
            (_, first), (holder, second) = self.cluster.runs(record.req.id)
            self.assertEqual((first, holder), (0, record.moved_to))
            self.assertGreater(second, 0)

    def test_callers_are_redirected_when_the_notice_is_short(self):
        # With too little time for a relay, callers must learn the new serving node
        # before the old one is gone.
        record = self.server.serve("req-1")
        self._reclaim(self.server, 0.1)
        node = self.peers[record.moved_to].node
        self.assertEqual(
            self.server.moved, [("req-1", f"{node.host}:{node.caller_port}")]
        )
        self.server.crash()
        text, _ = self.peers["n3"].fetch_all("req-1")
        self.assertEqual(text, FULL_TEXT)

    def test_the_backup_node_runs_a_request_when_its_first_holder_is_lost(self):
        # Guards against the loss of a request when its old node and its new serving
        # node are both lost after the handover.
        record = self.server.serve("req-1")
        gevent.sleep(0.1)
        self.assertTrue(self.server.stop_generation("req-1"))
        first = self.server.parts.handover.hand_over(record)
        (backup,) = self.cluster.copy_holders("req-1")
        centres = {self.server.node, first, backup.node}
        self.assertEqual(len({node.data_centre for node in centres}), 3)
        self.peers[first.id].crash()
        self.server.crash()
        text, reply = backup.fetch_all("req-1")
        # The first holder may have given out text that differs from the backup's.
        self.assertEqual((text, reply.restarted), (FULL_TEXT, True))
        runs = [node_id for node_id, _ in self.cluster.runs("req-1")]
        self.assertEqual(sorted(runs), sorted(["n0", first.id, backup.node.id]))

    def test_a_relay_does_not_join_the_texts_of_two_runs(self):
        # The new serving node is lost during the relay and another one runs the request
        # again. Its text may differ, so the relay must end and redirect the caller.
        record = self.server.serve("req-1")
        gevent.sleep(0.06)
        task = gevent.spawn(self._reclaim, self.server, 1.8)
        self.assertTrue(wait_until(lambda: record.moved_to))
        first = self.peers[record.moved_to]
        gevent.sleep(0.06)
        first.crash()
        task.join()
        self.assertTrue(FULL_TEXT.startswith(record.output.text()))
        self.assertIsNone(record.output.outcome)
        ((request_id, _),) = self.server.moved
        self.assertEqual(request_id, "req-1")
        self.assertNotIn(first.node.id, self.server.parts.members.live())

    def test_a_new_serving_node_that_is_reclaimed_hands_the_request_over_again(self):
        # Guards against a relay that stops, or a run from the start, when the new
        # serving node is reclaimed too and hands the request over a second time.
        record = self.server.serve("req-1")
        gevent.sleep(0.06)
        task = gevent.spawn(self._reclaim, self.server, 3.0)
        self.assertTrue(wait_until(lambda: record.moved_to))
        second = self.peers[record.moved_to]
        gevent.sleep(0.06)
        self._reclaim(second, 3.0)
        task.join()
        self.assertEqual(record.output.text(), FULL_TEXT)
        starts = [words for _, words in self.cluster.runs("req-1")]
        self.assertEqual(len(starts), 3)
        self.assertLess(max(starts), WORDS)

    def test_a_target_that_is_leaving_too_is_skipped(self):
        record = self.server.serve("req-1")
        backup = self.cluster.copy_holders("req-1")[0]
        # The backup node is leaving, but its gossip item has not reached the server,
        # so it refuses the first handover and another target must be tried.
        backup.parts.members._state = MemberState.LEAVING
        self._reclaim(self.server, 2.0)
        self.assertEqual(record.output.text(), FULL_TEXT)
        self.assertNotEqual(record.moved_to, backup.node.id)

    def test_a_request_whose_handover_reply_is_lost_runs_once(self):
        # The target accepts the handover but its reply is lost, so the server repeats
        # the message. The repeat must not start a second run.
        self.enterContext(mock.patch.object(handover, "CALL_TIMEOUT_SECONDS", 0.3))
        record = self.server.serve("req-1")
        target = self.server.parts.handover.targets("req-1")[0]
        take = self.peers[target.id].parts.handover._on_handover
        lose = [True]

        def take_and_lose_the_reply(node_id, body):
            reply = take(node_id, body)
            if lose and body["holders"][0] == target.id:
                lose.clear()
                gevent.sleep(0.5)
            return reply

        network = self.peers[target.id].parts.network
        network.handle("keeper.handover", take_and_lose_the_reply)
        self._reclaim(self.server, 4.0)
        self.assertEqual(record.output.text(), FULL_TEXT)
        self.assertEqual(len(self.cluster.runs("req-1")), 2)

    def test_a_node_killed_during_handover_loses_no_request(self):
        # Guards against requests that no node runs, or two nodes run, when the server
        # is killed while it hands over some of them.
        records = [self.server.serve(f"req-{i}") for i in range(8)]
        gevent.sleep(0.1)
        task = gevent.spawn(self._reclaim, self.server, 5.0)
        wait_until(lambda: any(record.moved_to for record in records))
        task.kill()
        self.server.crash()
        for record in records:
            text, _ = self.peers["n4"].fetch_all(record.req.id)
            self.assertEqual(text, FULL_TEXT)
            others = [run for run in self.cluster.runs(record.req.id) if run[0] != "n0"]
            self.assertEqual(len(others), 1)

    def test_a_hanging_table_does_not_delay_handovers(self):
        # Releasing leases waits for the table. Guards against handovers and settlements
        # that wait behind it until the notice has ended.
        self.enterContext(mock.patch.object(drain, "STEP_TIMEOUT_SECONDS", 0.4))
        self.server.leases_hang = True
        record = self.server.serve("req-1")
        task = gevent.spawn(self._reclaim, self.server, 1.0)
        self.assertTrue(wait_until(lambda: record.moved_to, 0.5))
        task.join()
        self.assertEqual(record.output.text(), FULL_TEXT)
        settled = [body for peer in self.peers.values() for body in peer.settled]
        self.assertEqual(settled, [{"claim": "c1"}])

    def test_late_settlements_reach_a_node_that_stays_while_the_table_hangs(self):
        # Guards against a call that ends during the drain and becomes unknown,
        # because its settlement was handed over only once or to nodes that refuse it.
        self.server.leases_hang = True
        others = [peer for peer in self.peers.values() if peer is not self.server]
        for peer in others[:2]:
            peer.refuses_settlements = True
        self.server.serve("req-1")
        task = gevent.spawn(self._reclaim, self.server, 1.5)

        def settled() -> list[str]:
            return [body["claim"] for peer in others for body in peer.settled]

        self.assertTrue(wait_until(lambda: settled() == ["c1"], 0.8))
        self.server.pending.append({"claim": "c2"})
        self.assertTrue(wait_until(lambda: settled() == ["c1", "c2"], 0.6))
        task.kill()

    def test_a_request_admitted_just_before_the_drain_is_handed_over(self):
        # A request admitted just before the drain appears in the registry after the
        # first handovers. Guards against leaving it behind.
        first = self.server.serve("req-1")
        task = gevent.spawn(self._reclaim, self.server, 2.0)
        self.assertTrue(wait_until(lambda: first.moved_to))
        late = self.server.serve("req-2")
        task.join()
        self.assertEqual(late.output.text(), FULL_TEXT)
        self.assertNotEqual(late.moved_to, "")

    def test_a_request_that_no_node_accepts_finishes_here(self):
        # Guards against a request that stays stopped when no node accepts it.
        for peer in list(self.peers.values())[1:]:
            peer.parts.members.stop()
            peer.crash()
        self.assertTrue(wait_until(lambda: len(self.server.parts.members.live()) == 1))
        record = self.server.serve("req-1")
        self._reclaim(self.server, 3.0)
        self.assertEqual(record.output.text(), FULL_TEXT)

    def _reclaim(self, peer, seconds: float) -> None:
        node_drain = peer.drain()
        node_drain.handle_reclaim_notice(self.cluster.timers.wall_time() + seconds)
        node_drain.run()
