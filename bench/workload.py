"""Traces of requests from a seed: short questions, long summaries, bookings."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from random import Random

# Shares of the arrivals; a few organisations are large.
ORGANISATION_WEIGHTS = (0.45, 0.3, 0.15, 0.06, 0.04)
PREFIXES_PER_ORGANISATION = 4
SHORT_OUTPUT_SIGMA = 0.35  # of a log-normal distribution
OWN_PROMPT_SIGMA = 0.6  # of a log-normal distribution
LONG_WORK_FACTORS = (20, 50)  # output of a long request over that of a short one
LONG_WITH_SHORT_PREFIX_SHARE = 0.1  # of long requests; they look like short ones


class Work(StrEnum):
    """Kinds of requests."""

    SHORT = "short"
    LONG = "long"
    BOOKING = "booking"


@dataclass(slots=True, frozen=True)
class Profile:
    """Parameters of a workload."""

    rate: float  # requests per second
    seconds: float
    long_share: float = 0.04
    booking_share: float = 0.0
    own_prompt_tokens: int = 150  # median, without the shared prefix
    short_output_tokens: int = 20  # median
    prefix_tokens: int = 400  # part of the prompt that requests of one prefix share
    deadline_seconds: float = 60.0
    flood_organisation: str = ""
    flood_factor: float = 1.0
    skew: float = 0.0  # share of all arrivals that is sent to the first node


@dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a trace."""

    index: int
    at: float  # seconds from the start
    node: int  # index of the node that it is sent to
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
        """Return the fields as a dict for a results file."""
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
    prefix, output_tokens, max_output_tokens = _draw_sizes(
        rng, profile, organisation, work
    )
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
        output_tokens,
        max_output_tokens,
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
    """Return (prefix, output tokens, max_output_tokens of the request)."""
    mean = profile.short_output_tokens
    number = rng.randrange(PREFIXES_PER_ORGANISATION)
    short_prefix = f"{organisation}/questions/{number}"
    if work == Work.LONG:
        output_tokens = int(mean * rng.uniform(*LONG_WORK_FACTORS))
        if rng.random() < LONG_WITH_SHORT_PREFIX_SHARE:
            return short_prefix, output_tokens, mean * 60
        return f"{organisation}/summaries", output_tokens, mean * 60
    output_tokens = max(int(mean * rng.lognormvariate(0, SHORT_OUTPUT_SIGMA)), 2)
    max_output_tokens = rng.choice((mean * 4, mean * 60))
    return short_prefix, output_tokens, max_output_tokens
