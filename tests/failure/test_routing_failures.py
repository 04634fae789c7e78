"""Placement survives lost messages, dead nodes and a change of owner."""

import unittest

from rattanwick.internal.base.errors import Refused
from rattanwick.internal.model.requests import Usage
from tests.unit.routing_support import RoutingCluster


class RoutingFailureTests(unittest.TestCase):
    def test_a_queued_request_is_repeated_after_a_lost_reply(self):
        # Guards against a request that keeps waiting after the owner has placed it,
        # because the message with the placement was lost.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        first = cluster.place(owner)
        waiting = cluster.start(other)
        cluster.mesh.lose.append("cell.placed")
        cluster.release(owner, first)
        self.assertFalse(waiting.ready())
        cluster.advance(1.5)
        self.assertEqual(waiting.get(timeout=1).owner, owner)

    def test_reconciling_frees_the_slot_of_a_lost_release(self):
        # Guards against slots that leak with each lost release message.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        other = cluster.non_owner_id()
        placement = cluster.place(other)
        cluster.mesh.lose.append("cell.release")
        cluster.release(other, placement)
        waiting = cluster.start(other)
        self.assertFalse(waiting.ready())
        cluster.advance(5.5)
        self.assertTrue(waiting.ready())

    def test_placements_of_a_dead_node_are_freed(self):
        # Guards against slots that stay in use by a node that cannot release them.
        cluster = RoutingCluster(nodes=3, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        cluster.place(other)
        waiting = cluster.start(owner)
        self.assertFalse(waiting.ready())
        cluster.mesh.set_down(other)
        cluster.advance(0.2)
        self.assertEqual(waiting.get(timeout=1).owner, owner)

    def test_a_new_owner_fetches_placements_and_serves_waiting_requests(self):
        # Guards against a new owner that fills slots which are in use, since it does
        # not know the placements of the previous owner.
        cluster = RoutingCluster(nodes=3, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        held = cluster.place(other)
        waiting = cluster.start(other)
        cluster.mesh.set_down(owner)
        cluster.advance(0.5)
        self.assertFalse(waiting.ready())
        cluster.release(other, held)
        cluster.advance(0.2)
        self.assertEqual(waiting.get(timeout=1).owner, cluster.owner_id())

    def test_a_cancelled_wait_leaves_no_placement_behind(self):
        # Guards against a slot that is given to a request which nobody waits for.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        first = cluster.place(owner)
        cluster.start(other).kill()
        cluster.release(owner, first)
        self.assertTrue(cluster.start(owner).ready())

    def test_a_leaving_endpoint_gets_no_queued_work(self):
        # Guards against queued work that starts on an endpoint shortly before it stops.
        cluster = RoutingCluster(nodes=1, endpoints=1, slots=1)
        placement = cluster.place("node-0")
        waiting = cluster.start("node-0")
        cluster.gossip.publish("endpoint.leaving", placement.endpoint_id, 1, {})
        cluster.release("node-0", placement)
        with self.assertRaises(Refused):
            waiting.get(timeout=1)

    def test_a_deadline_that_cannot_be_met_is_refused_at_once(self):
        # Guards against a caller that learns of the refusal only at its deadline.
        cluster = RoutingCluster(nodes=1, endpoints=1, slots=1)
        for _ in range(8):
            placement = cluster.place("node-0")
            cluster.release(
                "node-0", placement, output_tokens=40, **cluster.stream_usage(0.1)
            )
        cluster.place("node-0")
        with self.assertRaises(Refused) as caught:
            cluster.place("node-0", deadline=cluster.timers.wall_time() + 1.0)
        self.assertEqual(caught.exception.reason, "deadline")

    def test_an_owner_with_an_older_list_does_not_refuse_for_others(self):
        # Guards against refusals while the owner's instance list is out of date.
        cluster = RoutingCluster(nodes=2, endpoints=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        lagging = cluster.routers[owner]._directory
        lagging._usable = set()
        self.assertEqual(cluster.place(other).owner, "")

    def test_a_new_placement_survives_reconciling(self):
        # Guards against a slot that is freed while the reply is on its way to the
        # node, which does not report the placement yet.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        first = cluster.place(owner)
        waiting = cluster.start(other)
        cluster.advance(4.5)
        cluster.mesh.lose.append("cell.placed")
        cluster.release(owner, first)
        cluster.advance(0.5)
        self.assertFalse(cluster.start(owner).ready())
        cluster.advance(1.0)
        self.assertTrue(waiting.ready())

    def test_places_locally_on_a_slow_endpoint_if_no_other_is_left(self):
        # Guards against a refusal although an endpoint could run the request.
        cluster = RoutingCluster(nodes=1, endpoints=3, slots=9, policy="alone")
        router = cluster.routers["node-0"]
        for _ in range(12):
            placement = cluster.place("node-0")
            cluster.release("node-0", placement, **cluster.stream_usage(0.01))
        held = [cluster.place("node-0") for _ in range(12)]
        slow = held[0].endpoint_id
        for _ in range(2):
            for placement in held:
                if placement.endpoint_id == slow:
                    router.report_progress(placement, None, 0.05)
            cluster.advance(0.2)
        others = {item.endpoint_id for item in held} - {slow}
        self.assertNotEqual(cluster.place("node-0").endpoint_id, slow)
        chosen = cluster.place("node-0", excluded=frozenset(others))
        self.assertEqual(chosen.endpoint_id, slow)

    def test_retries_and_hedges_stay_within_their_shares(self):
        # Guards against extra attempts that prolong an overload.
        cluster = RoutingCluster(nodes=1, endpoints=3, slots=100)
        router = cluster.routers["node-0"]
        retried = hedged = 0
        for _ in range(200):
            req = cluster.request(hedge=True)
            first = router.place(req)
            try:
                router.release(router.place(req), Usage(reason="cancelled"))
                hedged += 1
            except Refused as exc:
                self.assertEqual(exc.reason, "hedge_budget")
            router.release(first, Usage(ok=True, output_tokens=5))
            retried += router.may_retry(req)
        initial_attempts = 3
        self.assertLessEqual(retried, 200 * 0.1 + initial_attempts)
        self.assertLessEqual(hedged, 200 * 0.05 + initial_attempts)
        self.assertGreater(hedged, 0)

    def test_a_slow_stream_is_reported_to_the_owner(self):
        # Guards against an owner that keeps using an endpoint that is slow for the
        # requests of other nodes.
        cluster = RoutingCluster(nodes=2, endpoints=3, slots=4)
        other = cluster.non_owner_id()
        router = cluster.routers[other]
        for _ in range(12):
            placement = cluster.place(other)
            cluster.release(other, placement, **cluster.stream_usage(0.01))
        held = [cluster.place(other) for _ in range(9)]
        slow = held[0].endpoint_id
        for placement in held:
            between = 0.05 if placement.endpoint_id == slow else 0.01
            router.report_progress(placement, None, between)
        cluster.advance(0.2)
        chosen = {cluster.place(cluster.owner_id()).endpoint_id for _ in range(2)}
        self.assertNotIn(slow, chosen)


if __name__ == "__main__":
    unittest.main()
