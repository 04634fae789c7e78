"""Prefill models of engines, learned from first events of prompts of many sizes.

Guards against an estimate of half the real rate, for which twice as many engines were
ordered, and against outliers that spoil the fit.
"""

import unittest
from random import Random

from rattanwick.internal.gateway.prefill import INITIAL_PREFILL_MODEL, PrefillEstimator

SERVICE = "engine"
RATE, START = 45_000.0, 0.025


def observe_events(
    estimator: PrefillEstimator,
    sizes: list[int],
    noise: float,
    outlier_share: float = 0.0,
    seed: int = 1,
) -> None:
    """Observe first events of prompts; a share of them takes ten times as long."""
    rng = Random(seed)
    for _ in range(600):
        tokens = rng.choice(sizes)
        seconds = (START + tokens / RATE) * rng.uniform(1 - noise, 1 + noise)
        if rng.random() < outlier_share:
            seconds *= 10
        estimator.observe(SERVICE, tokens, seconds)


class PrefillEstimatorTests(unittest.TestCase):
    MIXED = (200, 800, 1800, 2400, 6000, 12_000, 30_000)

    def test_the_constant_part_does_not_lower_the_rate(self):
        estimator = PrefillEstimator()
        observe_events(estimator, self.MIXED, noise=0.2)
        model = estimator.for_service(SERVICE)
        self.assertAlmostEqual(model.rate / RATE, 1.0, delta=0.1)
        self.assertAlmostEqual(model.start, START, delta=0.01)

    def test_small_prompts_alone_give_the_rate_too(self):
        # Most of their time is the constant part.
        estimator = PrefillEstimator()
        observe_events(estimator, [200, 600, 1800, 2400], noise=0.2)
        self.assertAlmostEqual(
            estimator.for_service(SERVICE).rate / RATE, 1.0, delta=0.25
        )

    def test_a_slow_small_prompt_changes_little(self):
        estimator = PrefillEstimator()
        estimator.observe(SERVICE, 100, 0.2)
        self.assertAlmostEqual(
            estimator.for_service(SERVICE).rate / INITIAL_PREFILL_MODEL.rate,
            1.0,
            delta=0.05,
        )

    def test_outliers_change_the_fit_little(self):
        estimator = PrefillEstimator()
        observe_events(estimator, self.MIXED, noise=0.2, outlier_share=0.02)
        self.assertAlmostEqual(
            estimator.for_service(SERVICE).rate / RATE, 1.0, delta=0.2
        )

    def test_prompts_of_one_size_give_a_usable_model(self):
        estimator = PrefillEstimator()
        observe_events(estimator, [8000], noise=0.0)
        expected = START + 8000 / RATE
        self.assertAlmostEqual(
            estimator.for_service(SERVICE).seconds(8000), expected, delta=0.01
        )

    def test_prompts_of_nearly_one_size_do_not_spoil_the_rate(self):
        """Noise would set the slope, and with it the number of engines ordered."""
        for size in (800, 4000, 20_000):
            for seed in range(5):
                estimator = PrefillEstimator()
                sizes = [round(size * share) for share in (0.95, 1.0, 1.05)]
                observe_events(estimator, sizes, noise=0.4, seed=seed)
                with self.subTest(size=size, seed=seed):
                    ratio = estimator.for_service(SERVICE).rate / RATE
                    self.assertTrue(0.5 < ratio < 2.0, ratio)

    def test_a_node_that_serves_little_learns_from_its_peers(self):
        """A restarted leader had too few first events of its own to learn from.

        For half a minute it ordered engines for the initial rate of 25,000 tokens a
        second, while their real rate was 40,000.
        """
        peer, node = PrefillEstimator(), PrefillEstimator()
        observe_events(peer, self.MIXED, noise=0.2)
        node.update_from_peer("n1", peer.seen())
        self.assertAlmostEqual(node.for_service(SERVICE).rate / RATE, 1.0, delta=0.2)
        node.keep_peers(set())
        self.assertAlmostEqual(
            node.for_service(SERVICE).rate, INITIAL_PREFILL_MODEL.rate
        )

    def test_each_service_has_its_own_model(self):
        estimator = PrefillEstimator()
        observe_events(estimator, self.MIXED, noise=0.0)
        self.assertAlmostEqual(
            estimator.for_service("other").rate, INITIAL_PREFILL_MODEL.rate
        )
