"""Seeded arrivals and sizes: short questions, stragglers, bookings."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from random import Random

ORGANISATION_WEIGHTS = (0.45, 0.3, 0.15, 0.06, 0.04)  # few large ones
PREFIXES_PER_ORGANISATION = 4
SHORT_OUTPUT_SIGMA = 0.35
OWN_PROMPT_SIGMA = 0.6
STRAGGLER_FACTORS = (20, 50)  # work of a straggler over that of a short request
DISGUISED_SHARE = 0.1  # stragglers that look like short requests


class Work(StrEnum):
    """Tell the kinds of work apart."""

    SHORT = "short"
    LONG = "long"
    BOOKING = "booking"


@dataclass(slots=True, frozen=True)
class Profile:
    """Hold the shape of a workload."""

    rate: float  # requests a second
    seconds: float
    long_share: float = 0.04
    booking_share: float = 0.0
    own_prompt_tokens: int = 150  # median of the part that is not shared
    short_output_tokens: int = 20  # median
    prefix_tokens: int = 400  # part of the prompt shared within a prefix
    deadline_seconds: float = 60.0
    flood_organisation: str = ""
    flood_factor: float = 1.0
    skew: float = 0.0  # part of all arrivals sent to the first node


@dataclass(slots=True, frozen=True)
class Arrival:
    """Hold one request of a trace."""

    index: int
    at: float  # seconds from the start
    node: int
    organisation: str
    plan: str
    work: Work
    prefix: str
    prompt_tokens: int
    prefix_tokens: int
    output_tokens: int
    max_output_tokens: int
    deadline_seconds: float

    def to_json(self) -> dict:
        """Return a map for a results file."""
        return asdict(self)


def make_trace(profile: Profile, seed: int, nodes: int) -> list[Arrival]:
    """Return Poisson arrivals; the same seed gives the same trace."""
    rng = Random(seed)
    arrivals = []
    at = rng.expovariate(profile.rate)
    while at < profile.seconds:
        arrivals.append(_make_arrival(rng, profile, len(arrivals), at, nodes))
        at += rng.expovariate(profile.rate)
    return arrivals


def _make_arrival(
    rng: Random, profile: Profile, index: int, at: float, nodes: int
) -> Arrival:
    weights = list(ORGANISATION_WEIGHTS)
    names = [f"org-{number}" for number in range(len(weights))]
    if profile.flood_organisation:
        weights[names.index(profile.flood_organisation)] *= profile.flood_factor
    organisation = rng.choices(names, weights)[0]
    node = 0 if rng.random() < profile.skew else rng.randrange(nodes)
    work = _draw_work(rng, profile)
    prefix, output, most = _draw_sizes(rng, profile, organisation, work)
    own_tokens = int(
        profile.own_prompt_tokens * rng.lognormvariate(0, OWN_PROMPT_SIGMA)
    )
    return Arrival(
        index,
        at,
        node,
        organisation,
        f"plan-{organisation}",
        work,
        prefix,
        profile.prefix_tokens + own_tokens,
        profile.prefix_tokens,
        output,
        most,
        profile.deadline_seconds,
    )


def _draw_work(rng: Random, profile: Profile) -> Work:
    draw = rng.random()
    if draw < profile.long_share:
        return Work.LONG
    if draw < profile.long_share + profile.booking_share:
        return Work.BOOKING
    return Work.SHORT


def _draw_sizes(
    rng: Random, profile: Profile, organisation: str, work: Work
) -> tuple[str, int, int]:
    """Return (prefix, output tokens, largest output the caller allows)."""
    mean = profile.short_output_tokens
    number = rng.randrange(PREFIXES_PER_ORGANISATION)
    short_prefix = f"{organisation}/questions/{number}"
    if work == Work.LONG:
        output = int(mean * rng.uniform(*STRAGGLER_FACTORS))
        if rng.random() < DISGUISED_SHARE:
            return short_prefix, output, mean * 60
        return f"{organisation}/summaries", output, mean * 60
    output = max(int(mean * rng.lognormvariate(0, SHORT_OUTPUT_SIGMA)), 2)
    most = rng.choice((mean * 4, mean * 60))
    return short_prefix, output, most
