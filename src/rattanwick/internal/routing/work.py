"""Estimates of work from the history of similar requests."""

import math
from dataclasses import dataclass, field

import xxhash

from rattanwick.internal.model.requests import RequestKind, ServingRequest, Usage
from rattanwick.internal.routing.messages import Message, PlaceAsk

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 16
CHARACTERS_PER_TOKEN = 4
BUCKETS_PER_OCTAVE = 4
MAX_BUCKETS = 96
HALF_LIFE_SAMPLES = 500
MIN_SAMPLES = 8
MAX_KEYS = 4096
RATE_SMOOTHING = 0.05
DEFAULT_PREFILL_SECONDS = 0.0002  # per prompt token
DEFAULT_STEP_SECONDS = 0.02  # per output token
DEFAULT_SERVICE_SECONDS = 0.2
DEFAULT_OUTPUT_SHARE = 0.25  # of the largest output, where nothing is known
CLASS_QUANTILE = 0.75
LOW_QUANTILE = 0.25


class QuantileHistogram:
    """Count values in buckets that grow by a fixed factor, and forget slowly."""

    __slots__ = ("_counts", "_scale", "total", "unit")

    def __init__(self, unit: float):
        self.unit = unit  # smallest value told apart
        self.total = 0.0
        self._counts: dict[int, float] = {}
        self._scale = 1.0

    def add(self, value: float) -> None:
        """Count a value; older values weigh less."""
        self._scale *= 2 ** (1 / HALF_LIFE_SAMPLES)
        bucket = self._bucket(value)
        self._counts[bucket] = self._counts.get(bucket, 0.0) + self._scale
        self.total += 1
        if self._scale > 1e9:
            self._rescale()

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that holds a quantile."""
        wanted = share * sum(self._counts.values())
        seen = 0.0
        last = 0
        for last in sorted(self._counts):
            seen += self._counts[last]
            if seen >= wanted:
                break
        return self.unit * 2 ** (last / BUCKETS_PER_OCTAVE)

    def _bucket(self, value: float) -> int:
        if value <= self.unit:
            return 0
        exact = math.log2(value / self.unit) * BUCKETS_PER_OCTAVE
        return min(math.ceil(exact - 1e-9), MAX_BUCKETS)

    def _rescale(self) -> None:
        counts = {key: value / self._scale for key, value in self._counts.items()}
        self._counts = {key: value for key, value in counts.items() if value > 1e-6}
        self._scale = 1.0


@dataclass(slots=True)
class Features(Message):
    """Describe what requests of similar work have in common."""

    pool: str
    kind: str
    organisation: str
    max_output_tokens: int
    first_block: int = 0  # hash of the leading text, which names the application

    def history_keys(self) -> list[tuple]:
        """Return keys of histories, the most specific one first."""
        size = self.max_output_tokens.bit_length()
        whole = (self.pool, self.kind, self.organisation)
        return [(*whole, size, self.first_block), (*whole, size), whole]


@dataclass(slots=True)
class WorkEstimate(Message):
    """Hold the expected work of a request at an idle endpoint."""

    seconds: float  # median
    low_seconds: float
    high_seconds: float
    prefill_seconds: float  # part that a cached prefix saves


@dataclass(slots=True)
class PoolRates:
    """Hold smoothed seconds per token of a pool."""

    prefill: float = DEFAULT_PREFILL_SECONDS
    step: float = DEFAULT_STEP_SECONDS


def features_of(ask: PlaceAsk, pool: str) -> Features:
    """Return the features of an ask."""
    first = ask.prefix[0] if ask.prefix else 0
    return Features(pool, ask.kind, ask.organisation, ask.max_output_tokens, first)


def hash_prefix(req: ServingRequest) -> list[int]:
    """Return hashes of the leading blocks of a prompt, each over all text before."""
    if req.kind == RequestKind.SERVICE:
        return []
    text = _prompt_text(req.body)[: BLOCK_CHARACTERS * MAX_BLOCKS]
    digest = xxhash.xxh64(req.organisation.encode())
    hashes = []
    for start in range(0, len(text), BLOCK_CHARACTERS):
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return hashes


def _prompt_text(body: dict) -> str:
    if isinstance(body.get("prompt"), str):
        return body["prompt"]
    parts = []
    for message in body.get("messages") or ():
        if isinstance(message, dict):
            parts.append(f"{message.get('role', '')}:{message.get('content', '')}\n")
    return "".join(parts)


@dataclass(slots=True)
class WorkHistory:
    """Estimate work from the requests that were released here."""

    _output: dict[tuple, QuantileHistogram] = field(default_factory=dict)
    _seconds: dict[tuple, QuantileHistogram] = field(default_factory=dict)
    _rates: dict[str, PoolRates] = field(default_factory=dict)

    def estimate(self, features: Features, prompt_tokens: int) -> WorkEstimate:
        """Return the expected work of a request."""
        if features.kind == RequestKind.SERVICE:
            return self._estimate_service(features)
        rates = self._rates.get(features.pool) or PoolRates()
        prefill = prompt_tokens * rates.prefill
        low, median, high = self._output_quantiles(features)
        return WorkEstimate(
            seconds=prefill + median * rates.step,
            low_seconds=low * rates.step,
            high_seconds=prefill + high * rates.step,
            prefill_seconds=prefill,
        )

    def observe(self, features: Features, usage: Usage) -> None:
        """Add a finished attempt."""
        if not usage.ok:
            return
        if features.kind == RequestKind.SERVICE:
            self._add(self._seconds, features, usage.total_seconds, 0.001)
            return
        self._add(self._output, features, usage.output_tokens, 1.0)
        rates = self._rates.setdefault(features.pool, PoolRates())
        computed = usage.prompt_tokens - usage.cached_tokens
        if usage.first_token_seconds is not None and computed > 0:
            seen = usage.first_token_seconds / computed
            rates.prefill += RATE_SMOOTHING * (seen - rates.prefill)
        if usage.seconds_between_tokens is not None:
            seen = usage.seconds_between_tokens
            rates.step += RATE_SMOOTHING * (seen - rates.step)

    def rates(self, pool: str) -> PoolRates:
        """Return the smoothed rates of a pool."""
        return self._rates.get(pool) or PoolRates()

    def _output_quantiles(self, features: Features) -> tuple[float, float, float]:
        most = max(features.max_output_tokens, 1)
        known = self._find(self._output, features)
        if known is None:
            guess = most * DEFAULT_OUTPUT_SHARE
            return 1.0, guess, guess
        shares = (LOW_QUANTILE, 0.5, CLASS_QUANTILE)
        low, median, high = (min(known.quantile(share), most) for share in shares)
        return low, median, high

    def _estimate_service(self, features: Features) -> WorkEstimate:
        known = self._find(self._seconds, features)
        if known is None:
            guess = DEFAULT_SERVICE_SECONDS
            return WorkEstimate(guess, 0.0, guess, 0.0)
        return WorkEstimate(
            seconds=known.quantile(0.5),
            low_seconds=known.quantile(LOW_QUANTILE),
            high_seconds=known.quantile(CLASS_QUANTILE),
            prefill_seconds=0.0,
        )

    @staticmethod
    def _find(table: dict, features: Features) -> QuantileHistogram | None:
        for key in features.history_keys():
            known = table.get(key)
            if known is not None and known.total >= MIN_SAMPLES:
                return known
        return None

    @staticmethod
    def _add(table: dict, features: Features, value: float, unit: float) -> None:
        for key in features.history_keys():
            if key not in table and len(table) >= MAX_KEYS:
                table.pop(next(iter(table)))
            table.setdefault(key, QuantileHistogram(unit)).add(value)
