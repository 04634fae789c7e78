"""Time that engines take to read prompts, learned from first events."""

from dataclasses import dataclass

# Until first events were seen; a small engine of the published kind reads so many.
FIRST_RATE = 25_000.0  # tokens a second
FIRST_START_SECONDS = 0.02  # first decoding step and its queueing at an idle engine
LEAST_RATE, MOST_RATE = 5_000.0, 200_000.0  # bounds against a poor fit
LEAST_START_SECONDS, MOST_START_SECONDS = 0.005, 0.2
FORGETTING = 0.01  # of what was learned, with each first event
# Times vary in proportion to the tokens; below so many they vary with the network.
EVEN_TOKENS = 2_000.0
# Sizes of prompts that stand for what is assumed at first, and how many events each
# of them counts as.
FIRST_SIZES = (500.0, 8_000.0)
FIRST_WEIGHT = 15.0
# Weight, of all that was seen, of an empty prompt that takes the assumed start. Prompts
# of nearly one size tell a line through one point only, and noise its slope.
START_SHARE = 0.05
# A first event that took so many times what was expected waited for something that
# the tokens do not tell.
OUTLIER_RATIO = 4.0

Sums = list[float]  # of a fit, as told to peers


@dataclass(slots=True)
class _Fit:
    """Hold sums of a weighted least squares of seconds over tokens."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0
    assumed: float = 1.0  # share that is left of what was assumed at first

    def add(self, tokens: float, seconds: float, count: float = 1.0) -> None:
        weight = count * (EVEN_TOKENS / (tokens + EVEN_TOKENS)) ** 2
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * seconds
        self.squares += weight * tokens * tokens
        self.products += weight * tokens * seconds

    def forget(self, share: float) -> None:
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) * (1.0 - share))

    def join(self, sums: Sums) -> None:
        *amounts, assumed = sums
        for name, amount in zip(self.__slots__[:-1], amounts, strict=True):
            setattr(self, name, getattr(self, name) + amount)
        self.assumed *= assumed

    def sums(self) -> Sums:
        return [getattr(self, name) for name in self.__slots__]

    def slope(self) -> float:
        """Return seconds for each token; 0 where all prompts were of one size."""
        spread = self.weight * self.squares - self.tokens**2
        if spread <= 0:
            return 0.0
        return (self.weight * self.products - self.tokens * self.seconds) / spread


@dataclass(slots=True, frozen=True)
class PrefillModel:
    """State how soon an engine gives a first event."""

    rate: float  # prompt tokens a second
    start: float  # seconds beside those of the prompt

    def seconds(self, tokens: float) -> float:
        """Return the seconds until the first event after so many prompt tokens."""
        return self.start + tokens / self.rate


INITIAL_PREFILL_MODEL = PrefillModel(FIRST_RATE, FIRST_START_SECONDS)


class PrefillEstimator:
    """Learn how soon the engines of each service read prompts.

    The time of a first event has a part for each token and one that does not depend
    on them. A mean of tokens over seconds took the second for reading, and counted
    the engines as half as fast as they are.

    Nodes tell each other what they have seen: a node that has just started, or serves
    few requests, would otherwise go by what is assumed at first.
    """

    def __init__(self):
        self._fits: dict[str, _Fit] = {}
        self._peers: dict[str, dict[str, Sums]] = {}
        self._speeds: dict[str, PrefillModel] = {}  # until something new is known

    def for_service(self, service: str) -> PrefillModel:
        """Return the speed of a service's engines."""
        speed = self._speeds.get(service)
        if speed is None:
            speed = self._speeds[service] = self._fit(service)
        return speed

    def observe(self, service: str, tokens: int, seconds: float) -> None:
        """Learn from the time in which a known number of tokens was read."""
        expected = self.for_service(service).seconds(tokens)
        fit = self._fits.setdefault(service, _Fit())
        fit.forget(FORGETTING)
        fit.add(tokens, min(seconds, OUTLIER_RATIO * expected))
        self._speeds.pop(service, None)

    def seen(self) -> dict[str, Sums]:
        """Return what this node has seen of each service, to be told to peers."""
        return {service: fit.sums() for service, fit in self._fits.items()}

    def update_from_peer(self, peer: str, seen: dict[str, Sums]) -> None:
        """Take what a peer has seen."""
        self._peers[peer] = seen
        for service in seen:
            self._speeds.pop(service, None)

    def keep_peers(self, known: set[str]) -> None:
        """Forget what peers have seen that are no longer known."""
        for peer in self._peers.keys() - known:
            for service in self._peers.pop(peer):
                self._speeds.pop(service, None)

    def _fit(self, service: str) -> PrefillModel:
        whole = _Fit()
        if service in self._fits:
            whole.join(self._fits[service].sums())
        for seen in self._peers.values():
            if service in seen:
                whole.join(seen[service])
        for size in FIRST_SIZES:
            count = FIRST_WEIGHT * whole.assumed
            whole.add(size, INITIAL_PREFILL_MODEL.seconds(size), count)
        whole.add(0.0, FIRST_START_SECONDS, START_SHARE * whole.weight)
        slope = min(max(whole.slope(), 1 / MOST_RATE), 1 / LEAST_RATE)
        start = (whole.seconds - slope * whole.tokens) / whole.weight
        start = min(max(start, LEAST_START_SECONDS), MOST_START_SECONDS)
        return PrefillModel(1 / slope, start)
