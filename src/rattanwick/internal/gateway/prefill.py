"""Estimate of the prefill time of engines, learned from first events."""

from dataclasses import dataclass

# Used until first events are observed: the published rate of a small engine.
INITIAL_RATE = 25_000.0  # tokens per second
INITIAL_START_SECONDS = 0.02  # first decoding step at an idle engine, with its queueing
# Limits of the fitted values, for a poor fit.
MIN_RATE, MAX_RATE = 5_000.0, 200_000.0
MIN_START_SECONDS, MAX_START_SECONDS = 0.005, 0.2
DECAY_SHARE = 0.01  # share of earlier observations that each first event drops
# The noise of a measured time grows with the number of tokens. Below this number, the
# constant noise of the network prevails.
CONSTANT_NOISE_TOKENS = 2_000.0
# Prompt sizes for which the initial model is added to the fit as observations, and the
# number of first events that each counts as.
PRIOR_SIZES = (500.0, 8_000.0)
PRIOR_WEIGHT = 15.0
# They keep some weight, so that the fit is defined whatever peers have observed.
MIN_PRIOR_WEIGHT = 1e-6
# Share of the total weight that is given to an empty prompt with the initial start
# time. Prompts of nearly one size give only one point of the line, and noise would
# determine its slope.
START_PRIOR_SHARE = 0.05
# A first event that took longer than this ratio of the expected time also waited for
# something other than prefill. It is counted at this ratio.
OUTLIER_RATIO = 4.0

Sums = list[float]  # values of a _Fit, as sent to peers


@dataclass(slots=True)
class _Fit:
    """Sums of a weighted least-squares fit of seconds over tokens."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    assumed: float = 1.0  # share of the initial observations that has not decayed

    def add(self, tokens: float, seconds: float, count: float = 1.0) -> None:
        weight = count * (CONSTANT_NOISE_TOKENS / (tokens + CONSTANT_NOISE_TOKENS)) ** 2
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * seconds
        self.squares += weight * tokens * tokens
        self.products += weight * tokens * seconds

    def decay(self, share: float) -> None:
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) * (1.0 - share))

    def merge(self, sums: Sums) -> None:
        *amounts, assumed = sums
        for name, amount in zip(self.__slots__[:-1], amounts, strict=True):
            setattr(self, name, getattr(self, name) + amount)
        self.assumed *= assumed

    def sums(self) -> Sums:
        return [getattr(self, name) for name in self.__slots__]

    def slope(self) -> float:
        """Return the seconds per token; 0 if all prompts were of one size."""
        spread = self.weight * self.squares - self.tokens**2
        if spread <= 0:
            return 0.0
        return (self.weight * self.products - self.tokens * self.seconds) / spread


@dataclass(slots=True, frozen=True)
class PrefillModel:
    """Linear model of the time until an engine's first event."""

    rate: float  # prompt tokens per second
    start: float  # seconds that do not depend on the prompt

    def seconds(self, tokens: float) -> float:
        """Return the seconds until the first event for a number of prompt tokens."""
        return self.start + tokens / self.rate


INITIAL_PREFILL_MODEL = PrefillModel(INITIAL_RATE, INITIAL_START_SECONDS)


class PrefillEstimator:
    """Learned prefill models of the engines of each service.

    The time until a first event has a part per token and a constant part. A
    mean of tokens over seconds counted the constant part as reading, and gave half the
    real rate of the engines.

    Nodes send each other their observations: a node that has just started, or serves
    few requests, would otherwise use the initial model.
    """

    def __init__(self):
        self._fits: dict[str, _Fit] = {}
        self._peers: dict[str, dict[str, Sums]] = {}
        self._models: dict[str, PrefillModel] = {}  # until the next observation

    def for_service(self, service: str) -> PrefillModel:
        """Return the model of a service's engines."""
        model = self._models.get(service)
        if model is None:
            model = self._models[service] = self._fit(service)
        return model

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Add the seconds until a first event and the tokens prefilled for it."""
        expected = self.for_service(service).seconds(tokens)
        fit = self._fits.setdefault(service, _Fit())
        fit.decay(DECAY_SHARE)
        fit.add(tokens, min(seconds, OUTLIER_RATIO * expected))
        self._models.pop(service, None)

    def seen(self) -> dict[str, Sums]:
        """Return this node's observations of each service, to be sent to peers."""
        return {service: fit.sums() for service, fit in self._fits.items()}

    def update_from_peer(self, peer: str, seen: dict[str, Sums]) -> None:
        """Replace the observations of a peer for some services."""
        self._peers.setdefault(peer, {}).update(seen)
        for service in seen:
            self._models.pop(service, None)

    def keep_peers(self, known: set[str]) -> None:
        """Drop the observations of peers that are not in ``known``."""
        for peer in self._peers.keys() - known:
            for service in self._peers.pop(peer):
                self._models.pop(service, None)

    def _fit(self, service: str) -> PrefillModel:
        total = _Fit()
        if service in self._fits:
            total.merge(self._fits[service].sums())
        for seen in self._peers.values():
            if service in seen:
                total.merge(seen[service])
        for size in PRIOR_SIZES:
            count = max(PRIOR_WEIGHT * total.assumed, MIN_PRIOR_WEIGHT)
            total.add(size, INITIAL_PREFILL_MODEL.seconds(size), count)
        total.add(0.0, INITIAL_START_SECONDS, START_PRIOR_SHARE * total.weight)
        slope = min(max(total.slope(), 1 / MAX_RATE), 1 / MIN_RATE)
        start = (total.seconds - slope * total.tokens) / total.weight
        start = min(max(start, MIN_START_SECONDS), MAX_START_SECONDS)
        return PrefillModel(1 / slope, start)
