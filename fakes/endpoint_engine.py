"""Simulated model engine: slots, priority queue, prefix cache and generation."""

import heapq
import itertools
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from fakes.endpoint_faults import Faults, LedgerEntry
from fakes.endpoint_text import (
    BLOCK_CHARS,
    CHARS_PER_TOKEN,
    block_hashes,
    full_answer_tokens,
    prompt_seed,
    render_messages,
    split_completion_prompt,
    token_at,
    tokens_in_prefix,
)

MAX_EVENTS = 20_000
LOAD_HISTORY_SECONDS = 120.0
DEFAULT_MAX_TOKENS = 256


@dataclass(slots=True)
class EngineSpec:
    """Speed and size of an engine."""

    slots: int = 8
    first_token_seconds: float = 0.02  # time to the first token of a cached prompt
    prefill_token_seconds: float = 0.0  # added for each prompt token not in the cache
    token_seconds: float = 0.005  # time between tokens
    batch_slowdown: float = 0.0  # added share of token_seconds per other busy slot
    cache_blocks: int = 4096
    usual_tokens: int = 32  # mean length of an answer without ``#tokens=N``
    tokens_per_write: int = 1  # chunks joined in one write when token_seconds is 0


class PrefixCache:
    """LRU cache of prompt blocks, which publishes its changes as events."""

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[dict] = []
        self._numbers = itertools.count(1)

    def match(self, hashes: list[str]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, item in enumerate(hashes):
            if item not in self._blocks:
                return index
            self._blocks.move_to_end(item)
        return len(hashes)

    def add(self, hashes: list[str]) -> None:
        """Store blocks, evict the least recently used, and publish the changes."""
        new = [item for item in hashes if item not in self._blocks]
        for item in new:
            self._blocks[item] = None
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", new)
        self._publish("removed", removed)

    def clear(self) -> None:
        """Remove all blocks, as a restart of the engine does."""
        removed = list(self._blocks)
        self._blocks.clear()
        self._publish("cleared", removed[:0])

    def _publish(self, kind: str, blocks: list[str]) -> None:
        if not blocks and kind != "cleared":
            return
        number = next(self._numbers)
        event = {"number": number, "time": time.time(), "kind": kind, "blocks": blocks}
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 2]

    def events(self, after: int, faults: Faults) -> dict:
        """Return the events after a number, with the delay and gaps of the faults."""
        limit = time.time() - faults.event_lag_seconds
        visible = [event for event in self._events if event["time"] <= limit]
        gap = faults.event_gap_every
        chosen = [
            event
            for event in visible
            if event["number"] > after and not (gap and event["number"] % gap == 0)
        ]
        last = visible[-1]["number"] if visible else 0
        return {"events": chosen, "last": last}


@dataclass(slots=True)
class Job:
    """One request that the engine queues or runs."""

    seed: int
    prompt: str
    first_index: int  # token of the answer to start with
    partial_token: str  # rest of a token that the resumed text cuts
    last_index: int
    finish_reason: str
    priority: int
    entry: LedgerEntry
    hashes: list[str]
    caller_disconnected: Callable[[], bool] = lambda: False
    text: list[str] = field(default_factory=list)


class Engine:
    """Runs jobs in a fixed number of slots; a lower priority number goes first."""

    def __init__(self, spec: EngineSpec, faults: Faults):
        self.spec = spec
        self.faults = faults
        self.cache = PrefixCache(spec.cache_blocks)
        self.jobs: dict[str, Job] = {}
        self.running = 0
        self._queue: list[tuple[int, int, Event]] = []
        self._arrival_order = itertools.count()
        self._history: list[tuple[float, dict]] = []

    def open_job(self, body: dict, chat: bool, entry: LedgerEntry) -> Job:
        """Register and return the job of a request body.

        Raises KeyError, TypeError or ValueError for an invalid body.
        """
        if chat:
            messages = body["messages"]
            answer = ""
            if body.get("continue_final_message"):
                *messages, final = messages
                answer = final["content"]
            prompt = render_messages(messages)
        else:
            prompt, answer = split_completion_prompt(body["prompt"])
        seed = prompt_seed(prompt)
        done, partial_token = tokens_in_prefix(seed, answer)
        wanted = full_answer_tokens(prompt, self.spec.usual_tokens)
        limit = done + int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        hashes = block_hashes(prompt + answer)
        entry.prompt_tokens = len(prompt) // CHARS_PER_TOKEN
        entry.resumed_tokens = done
        entry.priority = int(body.get("priority", 5))
        last = max(min(wanted, limit), done)
        reason = "length" if wanted > limit else "stop"
        job = Job(
            seed,
            prompt,
            done,
            partial_token,
            last,
            reason,
            entry.priority,
            entry,
            hashes,
        )
        self.jobs[entry.request_id] = job
        return job

    def generate(self, job: Job) -> Iterator[str]:
        """Yield the tokens of a job; closing the iterator cancels it."""
        self.acquire_slot(job.entry)
        try:
            yield from self._run(job)
        finally:
            self.release_slot()
            self.jobs.pop(job.entry.request_id, None)
            job.entry.ended = time.time()
            if job.entry.outcome == "running":
                job.entry.outcome = "cancelled"

    def acquire_slot(self, entry: LedgerEntry) -> None:
        """Wait for a slot, in order of priority and then of arrival."""
        self.record_load()
        if self.running < self.spec.slots and not self._queue:
            self.running += 1
        else:
            slot_granted = Event()
            heapq.heappush(
                self._queue, (entry.priority, next(self._arrival_order), slot_granted)
            )
            slot_granted.wait()  # ``running`` already counts the slot

    def release_slot(self) -> None:
        """Pass the slot to the next queued job, or free it."""
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self.running -= 1
        self.record_load()

    def _run(self, job: Job) -> Iterator[str]:
        spec, entry = self.spec, job.entry
        cached = self.cache.match(job.hashes)
        entry.cached_tokens = cached * BLOCK_CHARS // CHARS_PER_TOKEN
        total = entry.prompt_tokens + entry.resumed_tokens
        uncached = max(total - entry.cached_tokens, 0)
        wait = spec.first_token_seconds + spec.prefill_token_seconds * uncached
        if job.caller_disconnected():
            entry.outcome = "cancelled"
            return
        entry.ran, entry.ran_at, entry.outcome = True, time.time(), "running"
        if wait:
            gevent.sleep(wait * self.faults.slowdown_factor())
        self.cache.add(job.hashes)
        if job.partial_token:
            yield job.partial_token
        for index in range(job.first_index, job.last_index):
            if job.caller_disconnected():
                return
            if spec.token_seconds and index > job.first_index:
                others = spec.batch_slowdown * (self.running - 1)
                pause = spec.token_seconds * (1 + others)
                gevent.sleep(pause * self.faults.slowdown_factor())
            token = token_at(job.seed, index)
            entry.output_tokens += 1
            yield token
        entry.outcome = "done"

    def record_load(self) -> None:
        """Record the current load, so that later reports can be stale on purpose."""
        now = time.time()
        report = {
            "running": self.running,
            "queued": len(self._queue),
            "slots": self.spec.slots,
            "leaving": self.faults.leaving,
            "time": now,
        }
        self._history.append((now, report))
        if len(self._history) > 4096:
            limit = now - LOAD_HISTORY_SECONDS
            kept = [item for item in self._history[-2048:] if item[0] >= limit]
            self._history = kept or self._history[-1:]

    def load(self) -> dict:
        """Return the load report of ``load_lag_seconds`` ago, or the oldest one."""
        self.record_load()
        limit = time.time() - self.faults.load_lag_seconds
        chosen = self._history[0][1]
        for noted, report in reversed(self._history):
            if noted <= limit:
                chosen = report
                break
        return chosen

    def export_blocks(self, request_id: str) -> dict | None:
        """Return the KV blocks and token count of a request, or None if unknown."""
        job = self.jobs.get(request_id)
        if job is None:
            return None
        hashes = block_hashes(job.prompt + "".join(job.text))
        return {"blocks": hashes, "tokens": job.first_index + len(job.text)}
