"""Routers place through the owners of cells, and locally if none is reachable."""

import unittest

from rattanwick.internal.base.errors import Refused
from tests.unit.routing_support import POOL, RoutingCluster


class RouterTests(unittest.TestCase):
    def test_nodes_share_the_count_in_flight(self):
        # Guards against nodes that fill the same endpoint because each one counts only
        # its own requests.
        cluster = RoutingCluster(nodes=3, endpoints=3, slots=1)
        names = list(cluster.routers)
        chosen = {cluster.place(name).endpoint_id for name in names}
        self.assertEqual(len(chosen), 3)

    def test_a_queued_request_is_placed_after_a_release(self):
        # Guards against a queue that does not react to a free slot.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        first = cluster.place(owner)
        waiting = cluster.start(other)
        self.assertFalse(waiting.ready())
        cluster.release(owner, first)
        self.assertEqual(waiting.get(timeout=1).endpoint_id, first.endpoint_id)

    def test_places_locally_if_the_owner_is_unreachable(self):
        # Guards against refusals while endpoints are free and the owner is cut off.
        cluster = RoutingCluster(nodes=2)
        owner, other = cluster.owner_id(), cluster.non_owner_id()
        cluster.mesh.cut.add(frozenset((owner, other)))
        self.assertEqual(cluster.place(other).owner, "")

    def test_never_places_on_leaving_or_excluded_endpoints(self):
        # Guards against work for a leaving endpoint that the instance list still shows.
        cluster = RoutingCluster(nodes=2, endpoints=3, slots=4)
        cluster.gossip.publish("endpoint.leaving", f"{POOL}-0", 1, {})
        for policy in ("owner", "alone", "least-in-flight", "round-robin"):
            cluster.settings.policy = policy
            for name in cluster.routers:
                chosen = cluster.place(name, excluded=frozenset([f"{POOL}-1"]))
                self.assertEqual(chosen.endpoint_id, f"{POOL}-2")
                cluster.release(name, chosen)

    def test_refuses_if_no_endpoint_is_left(self):
        # Guards against requests that wait for an endpoint until their deadline.
        cluster = RoutingCluster(nodes=1, endpoints=1)
        cluster.instances.replace([])
        with self.assertRaises(Refused):
            cluster.place("node-0")

    def test_refuses_a_queued_request_at_its_deadline(self):
        # Guards against callers that wait for a slot after their deadline.
        cluster = RoutingCluster(nodes=2, endpoints=1, slots=1)
        cluster.place(cluster.owner_id())
        deadline = cluster.timers.wall_time() + 1
        waiting = cluster.start(cluster.non_owner_id(), deadline=deadline)
        cluster.advance(1.5)
        with self.assertRaises(Refused):
            waiting.get(timeout=1)

    def test_requests_spread_over_the_cells_of_a_pool(self):
        # Guards against a large pool of which only the first cell gets work.
        cluster = RoutingCluster(nodes=1, endpoints=6, slots=40, cell_endpoints=2)
        chosen = {cluster.place("node-0").endpoint_id for _ in range(24)}
        self.assertEqual(len(chosen), 6)


if __name__ == "__main__":
    unittest.main()
