"""Choice of the nodes that serve callers and of those that poll the store."""

import unittest
from dataclasses import replace

from rattanwick.internal.gateway.node_selection import (
    MAX_NODES_ALL_SERVING,
    MIN_SERVING_CORES,
    POLLERS_PER_DATA_CENTRE,
    REQUESTS_PER_SECOND_PER_CORE,
    CandidateNode,
    choose_serving_nodes,
    choose_store_pollers,
)

CENTRES = ("a", "b", "c")


def make_nodes(count: int, rate: float = 4.0, large: int = 0) -> list[CandidateNode]:
    """Return nodes in three data centres, the first ``large`` ones with two cores."""
    return [
        CandidateNode(
            f"n{number}",
            CENTRES[number % 3],
            f"10.0.0.{number}:80",
            2.15 if number < large else 0.52,
            rate,
        )
        for number in range(count)
    ]


class ManyNodesTests(unittest.TestCase):
    """Guard against callers spread over so many nodes that no connection is reused.

    80 nodes in front of 45 engines take 4 requests a second each; 6 of them are four
    times as large as the others.
    """

    def test_callers_are_directed_to_some_nodes_of_their_data_centre(self):
        for centre in CENTRES:
            chosen = choose_serving_nodes(make_nodes(80), centre, 80)
            self.assertLess(len(chosen), 80 / 3)
            self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)
            self.assertEqual({node.data_centre for node in chosen}, {centre})

    def test_large_nodes_serve_before_small_ones(self):
        for centre in CENTRES:
            chosen = choose_serving_nodes(make_nodes(80, large=6), centre, 80)
            self.assertEqual([node.cores for node in chosen], [2.15, 2.15])

    def test_small_nodes_replace_a_large_one_that_is_lost(self):
        nodes = make_nodes(80, large=6)
        lost = choose_serving_nodes(nodes, "a", 80)[0]
        chosen = choose_serving_nodes([node for node in nodes if node != lost], "a", 80)
        self.assertEqual(chosen[0].cores, 2.15)
        self.assertGreater(len(chosen), 3)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)

    def test_the_choice_does_not_depend_on_the_order_of_the_nodes(self):
        nodes = make_nodes(80)
        self.assertEqual(
            choose_serving_nodes(nodes, "b", 80),
            choose_serving_nodes(nodes[::-1], "b", 80),
        )

    def test_the_loss_of_a_node_leaves_the_other_serving_nodes_unchanged(self):
        nodes = make_nodes(80)
        chosen = choose_serving_nodes(nodes, "a", 80)
        left = [node for node in nodes if node != chosen[2]]
        after = choose_serving_nodes(left, "a", 80)
        self.assertEqual(set(chosen) - set(after), {chosen[2]})
        self.assertEqual(len(after), len(chosen))

    def test_more_nodes_serve_under_more_load(self):
        busy = [replace(node, request_rate=12.0) for node in make_nodes(80)]
        rate = sum(node.request_rate for node in busy if node.data_centre == "a")
        chosen = choose_serving_nodes(busy, "a", 80)
        self.assertGreaterEqual(cores_of(chosen) * REQUESTS_PER_SECOND_PER_CORE, rate)

    def test_spare_nodes_are_appended_to_the_serving_ones(self):
        nodes = make_nodes(80)
        chosen = choose_serving_nodes(nodes, "a", 80)
        with_spares = choose_serving_nodes(nodes, "a", 80, 2)
        self.assertEqual(with_spares[: len(chosen)], chosen)
        self.assertEqual(len(with_spares), len(chosen) + 2)


class LostNodesTests(unittest.TestCase):
    """Guard against too few serving nodes after the loss of some."""

    def test_all_nodes_of_a_small_deployment_serve(self):
        nodes = make_nodes(MAX_NODES_ALL_SERVING)
        self.assertCountEqual(
            choose_serving_nodes(nodes, "a", MAX_NODES_ALL_SERVING), nodes
        )

    def test_a_restart_of_nodes_does_not_change_which_ones_serve(self):
        """Guard against all nodes serving for a moment while six of 30 restart."""
        nodes = make_nodes(30)
        usual = choose_serving_nodes(nodes, "a", 30)
        up = usual + [node for node in nodes if node not in usual][6:]
        self.assertEqual(choose_serving_nodes(up, "a", 30), usual)

    def test_nodes_of_other_data_centres_add_the_missing_cores(self):
        nodes = [node for node in make_nodes(90) if node.data_centre != "a"]
        nodes += make_nodes(90)[:4]
        chosen = choose_serving_nodes(nodes, "a", 80)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)
        self.assertEqual(chosen[0].data_centre, "a")

    def test_callers_of_an_unknown_data_centre_get_nodes(self):
        chosen = choose_serving_nodes(make_nodes(80), "", 80)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)

    def test_at_least_two_nodes_serve_even_if_one_has_enough_cores(self):
        nodes = [replace(node, cores=32.0) for node in make_nodes(40)]
        self.assertEqual(len(choose_serving_nodes(nodes, "a", 40)), 2)


def cores_of(nodes: list[CandidateNode]) -> float:
    """Return the sum of the nodes' cores."""
    return sum(node.cores for node in nodes)


class StorePollerTests(unittest.TestCase):
    """Guard against a store overloaded by long polls of every node.

    Entries of 45 engines change while 80 nodes wait for changes; each change would end
    a call of every node.
    """

    def test_a_few_nodes_of_each_data_centre_poll_the_store(self):
        nodes = make_nodes(80)
        pollers = [choose_store_pollers(nodes, centre, 80) for centre in CENTRES]
        self.assertEqual([len(part) for part in pollers], [POLLERS_PER_DATA_CENTRE] * 3)
        for centre, part in zip(CENTRES, pollers, strict=True):
            self.assertEqual({node.data_centre for node in part}, {centre})

    def test_all_nodes_of_a_small_deployment_poll_the_store(self):
        nodes = make_nodes(6)
        nodes[1] = replace(nodes[1], store_failing=True)
        self.assertCountEqual(choose_store_pollers(nodes, "a", 6), nodes)

    def test_a_poller_whose_calls_fail_is_replaced(self):
        nodes = make_nodes(80)
        first, second = choose_store_pollers(nodes, "a", 80)
        failing = replace(first, store_failing=True)
        after = choose_store_pollers(
            [failing if n == first else n for n in nodes], "a", 80
        )
        self.assertEqual(after[0], second)
        self.assertEqual(len(after), POLLERS_PER_DATA_CENTRE)
        self.assertNotIn(failing, after)

    def test_a_node_that_knows_no_other_polls_the_store(self):
        alone = make_nodes(1)
        self.assertEqual(choose_store_pollers(alone, "a", 80), alone)


if __name__ == "__main__":
    unittest.main()
