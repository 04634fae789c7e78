"""Nodes to which callers are led, under the patterns that they answer."""

import unittest
from dataclasses import replace

from rattanwick.internal.gateway.node_selection import (
    MAX_NODES_ALL_SERVING,
    MIN_SERVING_CORES,
    POLLERS_PER_DATA_CENTRE,
    REQUESTS_PER_CORE,
    CandidateNode,
    choose_store_pollers,
    serving_nodes,
)

CENTRES = ("a", "b", "c")


def make_nodes(count: int, rate: float = 4.0, large: int = 0) -> list[CandidateNode]:
    """Return nodes spread over three data centres, the first ``large`` of two cores."""
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
    """Guard against callers spread so thinly that no connection is used again.

    The pattern: 80 nodes before 45 engines take 4 requests a second each; 6 of them
    are four times as large as the others.
    """

    def test_callers_are_led_to_a_part_of_the_nodes_of_their_data_centre(self):
        for centre in CENTRES:
            chosen = serving_nodes(make_nodes(80), centre, 80)
            self.assertLess(len(chosen), 80 / 3)
            self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)
            self.assertEqual({node.data_centre for node in chosen}, {centre})

    def test_large_nodes_serve_before_small_ones(self):
        for centre in CENTRES:
            chosen = serving_nodes(make_nodes(80, large=6), centre, 80)
            self.assertEqual([node.cores for node in chosen], [2.15, 2.15])

    def test_small_nodes_make_up_for_a_large_one_that_is_lost(self):
        nodes = make_nodes(80, large=6)
        lost = serving_nodes(nodes, "a", 80)[0]
        chosen = serving_nodes([node for node in nodes if node != lost], "a", 80)
        self.assertEqual(chosen[0].cores, 2.15)
        self.assertGreater(len(chosen), 3)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)

    def test_all_nodes_choose_alike_whatever_order_they_know(self):
        nodes = make_nodes(80)
        self.assertEqual(
            serving_nodes(nodes, "b", 80), serving_nodes(nodes[::-1], "b", 80)
        )

    def test_the_loss_of_a_node_moves_no_caller_from_another(self):
        nodes = make_nodes(80)
        chosen = serving_nodes(nodes, "a", 80)
        left = [node for node in nodes if node != chosen[2]]
        after = serving_nodes(left, "a", 80)
        self.assertEqual(set(chosen) - set(after), {chosen[2]})
        self.assertEqual(len(after), len(chosen))

    def test_more_load_is_spread_over_more_nodes(self):
        busy = [replace(node, request_rate=12.0) for node in make_nodes(80)]
        rate = sum(node.request_rate for node in busy if node.data_centre == "a")
        chosen = serving_nodes(busy, "a", 80)
        self.assertGreaterEqual(cores_of(chosen) * REQUESTS_PER_CORE, rate)

    def test_spare_nodes_follow_those_that_serve(self):
        nodes = make_nodes(80)
        chosen = serving_nodes(nodes, "a", 80)
        spared = serving_nodes(nodes, "a", 80, 2)
        self.assertEqual(spared[: len(chosen)], chosen)
        self.assertEqual(len(spared), len(chosen) + 2)


class LostNodesTests(unittest.TestCase):
    """Guard against callers who find too few nodes after a loss."""

    def test_few_nodes_all_serve(self):
        nodes = make_nodes(MAX_NODES_ALL_SERVING)
        self.assertCountEqual(serving_nodes(nodes, "a", MAX_NODES_ALL_SERVING), nodes)

    def test_a_node_that_restarts_does_not_change_who_serves(self):
        """30 nodes, six of them down, had all begun to serve for a moment."""
        nodes = make_nodes(30)
        usual = serving_nodes(nodes, "a", 30)
        up = usual + [node for node in nodes if node not in usual][6:]
        self.assertEqual(serving_nodes(up, "a", 30), usual)

    def test_nodes_of_other_data_centres_fill_up(self):
        nodes = [node for node in make_nodes(90) if node.data_centre != "a"]
        nodes += make_nodes(90)[:4]
        chosen = serving_nodes(nodes, "a", 80)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)
        self.assertEqual(chosen[0].data_centre, "a")

    def test_callers_of_an_unknown_data_centre_are_led_to_some(self):
        chosen = serving_nodes(make_nodes(80), "", 80)
        self.assertGreaterEqual(cores_of(chosen), MIN_SERVING_CORES / 3)

    def test_one_large_node_is_not_the_only_one(self):
        nodes = [replace(node, cores=32.0) for node in make_nodes(40)]
        self.assertEqual(len(serving_nodes(nodes, "a", 40)), 2)


def cores_of(nodes: list[CandidateNode]) -> float:
    """Return the cores of nodes together."""
    return sum(node.cores for node in nodes)


class FollowerTests(unittest.TestCase):
    """Guard against a store that every one of many nodes asks for each change.

    The pattern: entries of 45 engines change while 80 nodes wait for changes.
    """

    def test_few_nodes_of_each_data_centre_follow_the_store(self):
        nodes = make_nodes(80)
        following = [choose_store_pollers(nodes, centre, 80) for centre in CENTRES]
        self.assertEqual(
            [len(part) for part in following], [POLLERS_PER_DATA_CENTRE] * 3
        )
        for centre, part in zip(CENTRES, following, strict=True):
            self.assertEqual({node.data_centre for node in part}, {centre})

    def test_few_nodes_all_follow_it(self):
        nodes = make_nodes(6)
        nodes[1] = replace(nodes[1], store_failing=True)
        self.assertCountEqual(choose_store_pollers(nodes, "a", 6), nodes)

    def test_a_follower_that_the_store_turns_away_is_replaced(self):
        nodes = make_nodes(80)
        first, second = choose_store_pollers(nodes, "a", 80)
        failing = replace(first, store_failing=True)
        after = choose_store_pollers(
            [failing if n == first else n for n in nodes], "a", 80
        )
        self.assertEqual(after[0], second)
        self.assertEqual(len(after), POLLERS_PER_DATA_CENTRE)
        self.assertNotIn(failing, after)

    def test_a_node_that_hears_no_other_follows_it(self):
        alone = make_nodes(1)
        self.assertEqual(choose_store_pollers(alone, "a", 80), alone)


if __name__ == "__main__":
    unittest.main()
