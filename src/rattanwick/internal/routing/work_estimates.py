"""Estimates of a request's work from the history of similar requests."""

import math
from dataclasses import dataclass, field

import xxhash

from rattanwick.internal.model.requests import RequestKind, ServingRequest, Usage
from rattanwick.internal.routing.messages import Message, PlacementRequest

BLOCK_CHARACTERS = 512
MAX_PREFIX_BLOCKS = 16
BLOCK_HASH_MASK = 0xFFFFFFFF  # 32 of the 64 bits tell cached blocks apart
CHARACTERS_PER_TOKEN = 4
BUCKETS_PER_OCTAVE = 4
MAX_BUCKETS = 160
HALF_LIFE_SAMPLES = 500
MIN_SAMPLES = 8
MIN_APPLICATION_SAMPLES = 2  # few, since requests with one leading text are alike
MAX_HISTORY_KEYS = 4096
LATENCY_UNIT_SECONDS = 1e-6  # seconds per prompt token
MIN_EXPECTED_SECONDS = 0.01
MIN_RATE_STEP = 0.02  # smallest relative change of a rate per observation
DEFAULT_PREFILL_SECONDS = 0.0002  # per prompt token
DEFAULT_STEP_SECONDS = 0.02  # per output token
DEFAULT_SERVICE_SECONDS = 0.2
DEFAULT_OUTPUT_SHARE = 0.25  # of the maximum output, without a history
HIGH_QUANTILE = 0.75
LOW_QUANTILE = 0.25


class QuantileHistogram:
    """Histogram with buckets that grow by a fixed factor; old values lose weight."""

    __slots__ = ("_counts", "_scale", "total", "unit")

    def __init__(self, unit: float):
        self.unit = unit  # upper bound of the lowest bucket
        self.total = 0.0
        self._counts: dict[int, float] = {}
        self._scale = 1.0

    def add(self, value: float) -> None:
        """Add a value; a weight halves over the next HALF_LIFE_SAMPLES values."""
        self._scale *= 2 ** (1 / HALF_LIFE_SAMPLES)
        bucket = self._bucket(value)
        self._counts[bucket] = self._counts.get(bucket, 0.0) + self._scale
        self.total += 1
        if self._scale > 1e9:
            self._rescale()

    def quantile(self, share: float) -> float:
        """Return the middle of the bucket with the quantile ``share`` (0 to 1)."""
        target = share * sum(self._counts.values())
        weight = 0.0
        last = 0
        for last in sorted(self._counts):
            weight += self._counts[last]
            if weight >= target:
                break
        return self.unit * 2 ** (max(last - 0.5, 0) / BUCKETS_PER_OCTAVE)

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
class WorkFeatures(Message):
    """Features by which requests with similar work are grouped."""

    pool: str
    kind: str
    organisation: str
    max_output_tokens: int
    first_block: int = 0  # hash of the leading text, which identifies the application

    def history_keys(self) -> list[tuple]:
        """Return the keys of the histories of a request, the most specific first."""
        size = self.max_output_tokens.bit_length()
        group = (self.pool, self.kind, self.organisation)
        return [(*group, size, self.first_block), (*group, size), group]


@dataclass(slots=True)
class WorkEstimate(Message):
    """Expected work of a request at an idle endpoint."""

    seconds: float  # median
    low_seconds: float
    high_seconds: float
    prefill_seconds: float  # part of the work that a cached prompt saves


@dataclass(slots=True)
class MedianTracker:
    """Running estimate of a median; a mean would follow the slow endpoints."""

    value: float
    samples: int = 0

    def add(self, observed: float) -> None:
        """Move towards an observed value; the steps get smaller with each value."""
        if observed <= 0:
            return
        self.samples += 1
        if self.samples == 1:
            self.value = observed
            return
        factor = 1 + max(MIN_RATE_STEP, 1 / self.samples)
        self.value = (
            self.value * factor if observed > self.value else self.value / factor
        )


@dataclass(slots=True)
class PoolRates:
    """Seconds per token of a pool: per prompt token and per output token."""

    prefill: MedianTracker = field(
        default_factory=lambda: MedianTracker(DEFAULT_PREFILL_SECONDS)
    )
    step: MedianTracker = field(
        default_factory=lambda: MedianTracker(DEFAULT_STEP_SECONDS)
    )


def features_of(request: PlacementRequest, pool: str) -> WorkFeatures:
    """Return the features of a placement request."""
    first = request.prefix[0] if request.prefix else 0
    return WorkFeatures(
        pool, request.kind, request.organisation, request.max_output_tokens, first
    )


def features_of_serving_request(req: ServingRequest, prefix: list[int]) -> WorkFeatures:
    """Return the features of a request of this node."""
    first = prefix[:1]
    return WorkFeatures(
        req.pool,
        str(req.kind),
        req.organisation,
        req.max_output_tokens,
        first[0] if first else 0,
    )


def hash_prefix(req: ServingRequest) -> list[int]:
    """Return the hashes of a prompt's leading blocks.

    Each hash covers the text from the start of the prompt to the end of its block.

    Prompts of different organisations have different hashes. A service request
    has none.
    """
    if req.kind == RequestKind.SERVICE:
        return []
    text = _prompt_text(req.body)[: BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS]
    hasher = xxhash.xxh64(req.organisation.encode())
    hashes = []
    for start in range(0, len(text), BLOCK_CHARACTERS):
        hasher.update(text[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(hasher.intdigest() & BLOCK_HASH_MASK)
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
    """Statistics of released attempts, from which the work of requests is estimated."""

    _output: dict[tuple, QuantileHistogram] = field(default_factory=dict)
    _latency: dict[tuple, QuantileHistogram] = field(default_factory=dict)
    _rates: dict[str, PoolRates] = field(default_factory=dict)

    def estimate(self, features: WorkFeatures, prompt_tokens: int) -> WorkEstimate:
        """Return the expected work of a request with the given features."""
        if features.kind == RequestKind.SERVICE:
            return self._estimate_service(features, 0)
        rates = self._rates.get(features.pool) or PoolRates()
        prefill = prompt_tokens * rates.prefill.value
        low, median, high = self._output_quantiles(features)
        return WorkEstimate(
            seconds=prefill + median * rates.step.value,
            low_seconds=low * rates.step.value,
            high_seconds=prefill + high * rates.step.value,
            prefill_seconds=prefill,
        )

    def observe(self, features: WorkFeatures, usage: Usage) -> None:
        """Add a released attempt; failed ones are ignored."""
        if not usage.ok:
            return
        self._add(
            self._latency, features, self._relative_latency(usage), LATENCY_UNIT_SECONDS
        )
        if features.kind == RequestKind.SERVICE:
            return
        self._add(self._output, features, usage.output_tokens, 1.0)
        rates = self._rates.setdefault(features.pool, PoolRates())
        computed = usage.prompt_tokens - usage.cached_tokens
        if usage.first_token_seconds is not None and computed > 0:
            rates.prefill.add(usage.first_token_seconds / computed)
        if usage.seconds_between_tokens is not None:
            rates.step.add(usage.seconds_between_tokens)

    def latency_quantile(
        self, features: WorkFeatures, prompt_tokens: int, share: float
    ) -> float | None:
        """Return a quantile of the seconds to the first token, or None if unknown.

        For services, these are the seconds to the response.
        """
        histogram = self._find(self._latency, features)
        if histogram is None:
            return None
        return histogram.quantile(share) * max(prompt_tokens, 1)

    def _relative_latency(self, usage: Usage) -> float:
        """Return the seconds to the first token or response, per prompt token."""
        first = usage.first_token_seconds
        latency = usage.total_seconds if first is None else first
        return latency / max(usage.prompt_tokens, 1)

    def rates(self, pool: str) -> PoolRates:
        """Return the rates of a pool, or the defaults if none were observed."""
        return self._rates.get(pool) or PoolRates()

    def slowness(self, features: WorkFeatures, usage: Usage) -> float | None:
        """Return observed divided by expected time, or None if unknown."""
        if features.kind == RequestKind.SERVICE:
            expected = self.latency_quantile(
                features, usage.prompt_tokens, HIGH_QUANTILE
            )
            return usage.total_seconds / expected if expected else None
        if usage.first_token_seconds is None or usage.seconds_between_tokens is None:
            return None
        rates = self._rates.get(features.pool)
        if rates is None:
            return None
        computed = usage.prompt_tokens - usage.cached_tokens
        expected = self._expected(rates, computed, usage.output_tokens)
        streaming_seconds = usage.seconds_between_tokens * usage.output_tokens
        observed = usage.first_token_seconds + streaming_seconds
        return observed / max(expected, MIN_EXPECTED_SECONDS)

    def _output_quantiles(self, features: WorkFeatures) -> tuple[float, float, float]:
        max_tokens = max(features.max_output_tokens, 1)
        histogram = self._find(self._output, features)
        if histogram is None:
            guess = max_tokens * DEFAULT_OUTPUT_SHARE
            return 1.0, guess, guess
        shares = (LOW_QUANTILE, 0.5, HIGH_QUANTILE)
        low, median, high = (
            min(histogram.quantile(share), max_tokens) for share in shares
        )
        return low, median, high

    def _estimate_service(self, features: WorkFeatures, size: int) -> WorkEstimate:
        if self._find(self._latency, features) is None:
            guess = DEFAULT_SERVICE_SECONDS
            return WorkEstimate(guess, 0.0, guess, 0.0)
        shares = (LOW_QUANTILE, 0.5, HIGH_QUANTILE)
        low, median, high = (
            self.latency_quantile(features, size, share) for share in shares
        )
        return WorkEstimate(median, low, high, 0.0)

    @staticmethod
    def _expected(rates: PoolRates, computed: int, output: int) -> float:
        return computed * rates.prefill.value + output * rates.step.value

    @staticmethod
    def _find(table: dict, features: WorkFeatures) -> QuantileHistogram | None:
        min_samples = MIN_APPLICATION_SAMPLES if features.first_block else MIN_SAMPLES
        for key in features.history_keys():
            histogram = table.get(key)
            if histogram is not None and histogram.total >= min_samples:
                return histogram
            min_samples = MIN_SAMPLES
        return None

    @staticmethod
    def _add(table: dict, features: WorkFeatures, value: float, unit: float) -> None:
        for key in features.history_keys():
            if key not in table and len(table) >= MAX_HISTORY_KEYS:
                table.pop(next(iter(table)))
            table.setdefault(key, QuantileHistogram(unit)).add(value)
