"""In-process endpoints with slots, a prefix cache and slowdowns."""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.lock import BoundedSemaphore

from bench.workload import Arrival
from rattanwick.internal.model.requests import Usage

PREFILL_TOKEN_SECONDS = 0.0001  # per prompt token
TOKEN_SECONDS = 0.005  # per output token
# Nominal work between progress reports and checks for a slowdown.
WORK_CHUNK_SECONDS = 0.025
MAX_CACHED_PREFIXES = 8
LOAD_REPORT_INTERVAL_SECONDS = 1.0
LOAD_REPORT_LAG_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Slowdown:
    """Slowdown of an endpoint by a factor from ``start`` to ``end``."""

    endpoint: int  # index
    start: float  # seconds from the start of the run
    end: float  # seconds from the start of the run
    factor: float


def nominal_seconds(arrival: Arrival) -> float:
    """Return the seconds that a request takes at an idle endpoint, uncached."""
    prefill = arrival.prompt_tokens * PREFILL_TOKEN_SECONDS
    return prefill + arrival.output_tokens * TOKEN_SECONDS


class PrefixCache:
    """LRU cache of prompt prefixes."""

    def __init__(self):
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def has(self, prefix: str) -> bool:
        """Return whether a prefix is cached."""
        return prefix in self._prefixes

    def use(self, prefix: str) -> bool:
        """Add a prefix and return whether it was cached before."""
        was_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return was_cached


class BenchEndpoint:
    """Endpoint that runs requests in slots, in order of arrival."""

    def __init__(self, name: str, slots: int, slowdown_factor: Callable[[], float]):
        self.name = name
        self._slots = BoundedSemaphore(slots)
        self._slowdown_factor = slowdown_factor
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
        """Run a request to its end and return its usage.

        ``first_token`` is called at the first token, ``progress`` at intervals with the
        seconds between tokens.
        """
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
        usage.first_token_seconds = self._work(computed * PREFILL_TOKEN_SECONDS)
        first_token()
        spent = self._work(
            arrival.output_tokens * TOKEN_SECONDS,
            lambda slowdown_factor: progress(TOKEN_SECONDS * slowdown_factor),
        )
        usage.output_tokens = arrival.output_tokens
        usage.seconds_between_tokens = spent / arrival.output_tokens
        usage.total_seconds = usage.first_token_seconds + spent
        usage.ok = True

    def _use_prefix(self, arrival: Arrival) -> int:
        """Cache the prefix; return how many prompt tokens were cached already."""
        return arrival.prefix_tokens if self._prefixes.use(arrival.prefix) else 0

    def _work(
        self, seconds: float, report: Callable[[float], None] | None = None
    ) -> float:
        """Do work of ``seconds`` at nominal speed; return the seconds that it took."""
        spent = 0.0
        while seconds > 0:
            part = min(seconds, WORK_CHUNK_SECONDS)
            started = time.monotonic()
            gevent.sleep(part * self._slowdown_factor())
            elapsed = time.monotonic() - started
            if report is not None:
                report(elapsed / part)
            seconds -= part
            spent += elapsed
            self.busy_seconds += part
        return spent
