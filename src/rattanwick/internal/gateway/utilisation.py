"""Share of the engines' speed that may be used, from prompts and objectives."""

from dataclasses import dataclass

# Until requests were seen: the mean prompt takes a quarter of its objective.
FIRST_READ_SHARE = 0.25
FIRST_TOKENS = 50_000.0  # prompt tokens that this assumption counts as
FORGETTING = 0.01  # of what was seen, with each request
# A queue with random arrivals makes requests wait for u / (1 - u) times what one of
# them takes, on average, where u is the share of time that is used. That mean may take
# half of the objective, since some wait for several times the mean.
WAIT_SHARE = 0.5
LEAST, MOST = 0.5, 0.9  # bounds against a few odd requests


@dataclass(slots=True)
class _Mean:
    shares: float = FIRST_READ_SHARE * FIRST_TOKENS
    tokens: float = FIRST_TOKENS


class UtilisationTargets:
    """Learn how busy the engines of each service may be.

    Prompts that take a large part of their objective need engines that are free when
    they come; engines may be busier where reading is short beside the objective.
    """

    def __init__(self):
        self._means: dict[str, _Mean] = {}

    def note(self, service: str, tokens: int, seconds: float, objective: float) -> None:
        """Count a prompt that takes so many seconds to read."""
        if objective <= 0:
            return  # a route without an objective asks for nothing
        mean = self._means.setdefault(service, _Mean())
        mean.shares += tokens * seconds / objective - FORGETTING * mean.shares
        mean.tokens += tokens - FORGETTING * mean.tokens

    def for_service(self, service: str) -> float:
        """Return the share of a service's engines that may be used."""
        mean = self._means.get(service) or _Mean()
        read_share = mean.shares / mean.tokens
        return min(max(1.0 / (1.0 + read_share / WAIT_SHARE), LEAST), MOST)
