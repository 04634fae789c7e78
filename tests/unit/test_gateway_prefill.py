"""Speed of engines, learned from first events under loads of many sizes.

Guards against engines that are counted as half as fast as they are, for which twice
as many were ordered, and against a fit that odd times throw off.
"""

import unittest
from random import Random

from rattanwick.internal.gateway.prefill import INITIAL_PREFILL_MODEL, PrefillEstimator

SERVICE = "engine"
RATE, START = 45_000.0, 0.025


def play(
    speeds: PrefillEstimator,
    sizes: list[int],
    noise: float,
    odd: float = 0.0,
    seed: int = 1,
) -> None:
    """Show first events of prompts; a share of them waits ten times as long."""
    rng = Random(seed)
    for _ in range(600):
        tokens = rng.choice(sizes)
        seconds = (START + tokens / RATE) * rng.uniform(1 - noise, 1 + noise)
        if rng.random() < odd:
            seconds *= 10
        speeds.observe(SERVICE, tokens, seconds)


class PrefillSpeedTests(unittest.TestCase):
    MIXED = (200, 800, 1800, 2400, 6000, 12_000, 30_000)

    def test_the_time_beside_the_tokens_is_not_counted_as_reading(self):
        speeds = PrefillEstimator()
        play(speeds, self.MIXED, noise=0.2)
        speed = speeds.for_service(SERVICE)
        self.assertAlmostEqual(speed.rate / RATE, 1.0, delta=0.1)
        self.assertAlmostEqual(speed.start, START, delta=0.01)

    def test_small_prompts_alone_tell_the_rate_too(self):
        # Their time is mostly that beside the tokens.
        speeds = PrefillEstimator()
        play(speeds, [200, 600, 1800, 2400], noise=0.2)
        self.assertAlmostEqual(speeds.for_service(SERVICE).rate / RATE, 1.0, delta=0.25)

    def test_a_slow_small_prompt_changes_little(self):
        speeds = PrefillEstimator()
        speeds.observe(SERVICE, 100, 0.2)
        self.assertAlmostEqual(
            speeds.for_service(SERVICE).rate / INITIAL_PREFILL_MODEL.rate,
            1.0,
            delta=0.05,
        )

    def test_odd_times_move_the_fit_little(self):
        speeds = PrefillEstimator()
        play(speeds, self.MIXED, noise=0.2, odd=0.02)
        self.assertAlmostEqual(speeds.for_service(SERVICE).rate / RATE, 1.0, delta=0.2)

    def test_prompts_of_one_size_give_a_usable_speed(self):
        speeds = PrefillEstimator()
        play(speeds, [8000], noise=0.0)
        expected = START + 8000 / RATE
        self.assertAlmostEqual(
            speeds.for_service(SERVICE).seconds(8000), expected, delta=0.01
        )

    def test_prompts_of_nearly_one_size_do_not_throw_the_rate_off(self):
        """Noise would tell the slope, and so how many engines are ordered."""
        for size in (800, 4000, 20_000):
            for seed in range(5):
                speeds = PrefillEstimator()
                sizes = [round(size * share) for share in (0.95, 1.0, 1.05)]
                play(speeds, sizes, noise=0.4, seed=seed)
                with self.subTest(size=size, seed=seed):
                    ratio = speeds.for_service(SERVICE).rate / RATE
                    self.assertTrue(0.5 < ratio < 2.0, ratio)

    def test_a_node_that_serves_little_learns_from_its_peers(self):
        """A holder of the duties that had restarted ordered for 25,000 tokens a second.

        Engines read 40,000; it served few requests itself, for half a minute.
        """
        peer, node = PrefillEstimator(), PrefillEstimator()
        play(peer, self.MIXED, noise=0.2)
        node.update_from_peer("n1", peer.seen())
        self.assertAlmostEqual(node.for_service(SERVICE).rate / RATE, 1.0, delta=0.2)
        node.keep_peers(set())
        self.assertAlmostEqual(
            node.for_service(SERVICE).rate, INITIAL_PREFILL_MODEL.rate
        )

    def test_each_service_has_its_own_speed(self):
        speeds = PrefillEstimator()
        play(speeds, self.MIXED, noise=0.0)
        self.assertAlmostEqual(
            speeds.for_service("other").rate, INITIAL_PREFILL_MODEL.rate
        )
