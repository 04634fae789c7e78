"""Target utilisation of engines, from the prompts and objectives of requests."""

from dataclasses import dataclass

# Initial assumption: reading the mean prompt takes a quarter of its objective.
INITIAL_READ_SHARE = 0.25
INITIAL_TOKENS = 50_000.0  # prompt tokens for which the assumption counts
DECAY_SHARE = 0.01  # of earlier prompts, dropped with each request
# With random arrivals, the mean wait in a queue is u / (1 - u) times the time of one
# request, where u is the utilisation. The mean wait may take half of the objective,
# since some requests wait several times as long.
MAX_MEAN_WAIT_SHARE = 0.5
MIN_UTILISATION, MAX_UTILISATION = 0.5, 0.9  # limits for a few unusual requests


@dataclass(slots=True)
class _Mean:
    """Decaying sums of tokens, and of tokens times their share of the objective."""

    shares: float = INITIAL_READ_SHARE * INITIAL_TOKENS
    tokens: float = INITIAL_TOKENS


class UtilisationTargets:
    """Learned target utilisation of the engines of each service.

    Prompts that take a large part of their objective need engines that are free when
    they arrive; engines may be busier if reading is short compared with the objective.
    """

    def __init__(self):
        self._means: dict[str, _Mean] = {}

    def note(self, service: str, tokens: int, seconds: float, objective: float) -> None:
        """Add a prompt that takes ``seconds`` to read, and its objective in seconds."""
        if objective <= 0:
            return  # a route without an objective has no effect
        mean = self._means.setdefault(service, _Mean())
        mean.shares += tokens * seconds / objective - DECAY_SHARE * mean.shares
        mean.tokens += tokens - DECAY_SHARE * mean.tokens

    def for_service(self, service: str) -> float:
        """Return the target utilisation of a service's engines, between 0 and 1."""
        mean = self._means.get(service) or _Mean()
        read_share = mean.shares / mean.tokens
        return min(
            max(1.0 / (1.0 + read_share / MAX_MEAN_WAIT_SHARE), MIN_UTILISATION),
            MAX_UTILISATION,
        )
