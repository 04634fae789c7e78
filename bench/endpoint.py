"""In-process engines that batch with slots, slow down and report load late."""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.lock import BoundedSemaphore

from bench.workload import Arrival
from rattanwick.internal.model.requests import Usage

PREFILL_SECONDS = 0.0001  # per prompt token
STEP_SECONDS = 0.005  # per output token
CHUNK_SECONDS = 0.025  # work between looks at the slowing and progress reports
CACHED_PREFIXES = 8
REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Slowdown:
    """Slow an endpoint by a factor for a time."""

    endpoint: int
    start: float  # seconds from the start
    end: float
    factor: float


def nominal_seconds(arrival: Arrival) -> float:
    """Return the work of a request at an idle endpoint without a cached prefix."""
    prefill = arrival.prompt_tokens * PREFILL_SECONDS
    return prefill + arrival.output_tokens * STEP_SECONDS


class PrefixCache:
    """Keep the prefixes used last."""

    def __init__(self):
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def has(self, prefix: str) -> bool:
        """Tell whether a prefix is cached."""
        return prefix in self._prefixes

    def use(self, prefix: str) -> bool:
        """Keep a prefix; tell whether it was cached before."""
        known = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return known


class BenchEndpoint:
    """Run requests in slots, in order of arrival."""

    def __init__(self, name: str, slots: int, slowness: Callable[[], float]):
        self.name = name
        self._slots = BoundedSemaphore(slots)
        self._slowness = slowness
        self._prefixes = PrefixCache()
        self.running = 0
        self.waiting = 0
        self.busy_seconds = 0.0

    def run(
        self,
        arrival: Arrival,
        first_token: Callable[[], None],
        progress: Callable[[float], None],
    ) -> Usage:
        """Run a request to its end; report progress as seconds between tokens."""
        usage = Usage(prompt_tokens=arrival.prompt_tokens)
        self.waiting += 1
        try:
            self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self._generate(arrival, usage, first_token, progress)
        finally:
            self.running -= 1
            self._slots.release()
        return usage

    def _generate(
        self,
        arrival: Arrival,
        usage: Usage,
        first_token: Callable[[], None],
        progress: Callable[[float], None],
    ) -> None:
        usage.cached_tokens = self._use_prefix(arrival)
        computed = arrival.prompt_tokens - usage.cached_tokens
        usage.first_token_seconds = self._work(computed * PREFILL_SECONDS)
        first_token()
        spent = self._work(
            arrival.output_tokens * STEP_SECONDS,
            lambda slowness: progress(STEP_SECONDS * slowness),
        )
        usage.output_tokens = arrival.output_tokens
        usage.seconds_between_tokens = spent / arrival.output_tokens
        usage.total_seconds = usage.first_token_seconds + spent
        usage.ok = True

    def _use_prefix(self, arrival: Arrival) -> int:
        """Return the cached tokens, and keep the prefix for later requests."""
        return arrival.prefix_tokens if self._prefixes.use(arrival.prefix) else 0

    def _work(
        self, seconds: float, report: Callable[[float], None] | None = None
    ) -> float:
        """Spend nominal seconds and return the real ones."""
        spent = 0.0
        while seconds > 0:
            part = min(seconds, CHUNK_SECONDS)
            started = time.monotonic()
            gevent.sleep(part * self._slowness())
            real = time.monotonic() - started
            if report is not None:
                report(real / part)
            seconds -= part
            spent += real
            self.busy_seconds += part
        return spent
