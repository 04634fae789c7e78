"""Target utilisation of engines, from the prompts and objectives of requests."""

from dataclasses import dataclass

# Initial assumption: prefill of the mean prompt takes a quarter of its objective.
INITIAL_PREFILL_SHARE = 0.25
INITIAL_TOKENS = 50_000.0  # weight of the initial assumption, in prompt tokens
DECAY_SHARE = 0.01  # share of the earlier prompts' weight that each request drops
# With random arrivals, the mean wait in a queue is u / (1 - u) times the time of one
# request, where u is the utilisation. The mean wait may take half of the objective,
# since some requests wait several times as long.
MAX_MEAN_WAIT_SHARE = 0.5
MIN_UTILISATION, MAX_UTILISATION = 0.5, 0.9  # limits for a few unusual requests


@dataclass(slots=True)
class _Mean:
    """Decaying sums of tokens, and of tokens times their share of the objective."""

    shares: float = INITIAL_PREFILL_SHARE * INITIAL_TOKENS
    tokens: float = INITIAL_TOKENS


class UtilisationTargets:
    """Learned target utilisation of the engines of each service.

    If prefill takes a large part of the objective, prompts need engines that are free
    when they arrive. If it takes a small part, the engines may be busier.
    """

    def __init__(self):
        self._means: dict[str, _Mean] = {}

    def note(self, service: str, tokens: int, seconds: float, objective: float) -> None:
        """Add a prompt: its tokens, its prefill ``seconds`` and its objective.

        ``objective`` is in seconds.
        """
        if objective <= 0:
            return  # a route without an objective has no effect
        mean = self._means.setdefault(service, _Mean())
        mean.shares += tokens * seconds / objective - DECAY_SHARE * mean.shares
        mean.tokens += tokens - DECAY_SHARE * mean.tokens

    def mean_tokens(self, service: str) -> float:
        """Return the mean uncached prompt tokens of a service's requests."""
        mean = self._means.get(service) or _Mean()
        return mean.tokens * DECAY_SHARE

    def for_service(self, service: str) -> float:
        """Return the target utilisation of a service's engines, between 0 and 1."""
        mean = self._means.get(service) or _Mean()
        prefill_share = mean.shares / mean.tokens
        return min(
            max(1.0 / (1.0 + prefill_share / MAX_MEAN_WAIT_SHARE), MIN_UTILISATION),
            MAX_UTILISATION,
        )
