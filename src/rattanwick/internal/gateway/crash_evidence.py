"""Evidence of which part of a prompt crashes the endpoints that run it.

A crash ends all requests that an endpoint runs, so it speaks against every part of
their prompts. A later answer to a request that holds a part speaks for that part. What
remains after some crashes in a row is the culprit.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from rattanwick.internal.gateway.model import PromptPart

# A crash starts a new round for a part if the request was sent after the crash of the
# round before. Endpoints that fail together end many requests with the same part, but
# all of these had been sent before.
MIN_ROUNDS = 3
# Needed for a part that was in answered requests before, and for any part while
# endpoints crash without it: a part that is seldom used may be lost in several crashes
# that it did not cause.
MAX_ROUNDS = 5
# Time without an answer after which a part that was answered before can be a culprit.
# Requests in progress take about a second, so several endpoints may fail before one of
# them is answered.
MIN_SILENCE_SECONDS = 2.5
# Answers after which a node knows the parts that are used much. Until then it takes all
# parts for answered before.
LEARNING_ANSWERS = 10
# Parts that were in the same crashes, but in other requests, are told apart by further
# crashes, up to this number.
MAX_AMBIGUOUS_CRASHES = 5
RETENTION_SECONDS = 600.0  # of crashes and answers
# Nodes report the crash of one process within this time; an endpoint that has crashed
# takes longer to start.
SAME_CRASH_SECONDS = 1.0
MAX_CRASHES = 128
# In all crashes together. A header holds some 1,500 parts, so a culprit that is hidden
# among invented ones stays in the evidence for MAX_ROUNDS crashes and more.
MAX_PARTS = 40_000
MAX_ANSWERED_PARTS = 8000
MAX_KEY_CHARACTERS = 40  # of a part's id; longer ones are replaced by a hash


def shared_parts(prompt: tuple[PromptPart, ...]) -> tuple[str, ...]:
    """Return the ids of the parts that other prompts may hold; the last is its own."""
    return tuple(_make_key(part.id) for part in prompt[:-1])


def _make_key(part_id: str) -> str:
    if len(part_id) <= MAX_KEY_CHARACTERS:
        return part_id
    return blake2b(part_id.encode(), digest_size=16).hexdigest()


@dataclass(slots=True, frozen=True)
class LostRequest:
    """Request that an endpoint was running when it crashed."""

    organisation: str
    parts: tuple[str, ...]
    sent_at: float  # monotonic seconds


@dataclass(slots=True, eq=False)
class Crash:
    """Crash of an endpoint, and the requests lost with it that nodes reported."""

    endpoint_id: str
    at: float  # first report, in monotonic seconds
    requests: list[LostRequest]
    nodes: set[str]  # that reported it


@dataclass(slots=True, frozen=True)
class Culprit:
    """Parts that crash endpoints if a prompt holds all of them, and the evidence."""

    parts: frozenset[str]
    organisations: frozenset[str]  # whose requests were lost with these parts
    crashes: tuple[Crash, ...]


class CrashEvidence:
    """Recent crashes, and the answers since to requests with the same parts."""

    def __init__(self):
        self._answers = 0  # that this node gave
        self._crashes: list[Crash] = []
        # Last crash and last answer of each part of the recent crashes, in monotonic
        # seconds.
        self._crashed_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        # Last answer that this node gave to any request with a part.
        self._history: OrderedDict[str, float] = OrderedDict()

    def note_crash(
        self,
        endpoint_id: str,
        at: float,
        requests: list[LostRequest],
        node_id: str,
    ) -> Crash | None:
        """Add a node's report of a crash and return the crash, None if it is too old.

        Beyond MAX_PARTS, the oldest evidence of the organisation with the most parts is
        dropped, so that one organisation cannot push out that of another.
        """
        self._forget(at)
        if self._crashes and at < self._crashes[-1].at - RETENTION_SECONDS:
            return None
        kept = [request for request in requests if request.parts]
        crash = self._find(endpoint_id, at)
        if crash is None:
            crash = Crash(endpoint_id, at, [], set())
            self._crashes.append(crash)
            self._crashes.sort(key=lambda item: item.at)
        crash.at = min(crash.at, at)
        crash.nodes.add(node_id)
        crash.requests.extend(kept)
        for part in {part for request in kept for part in request.parts}:
            self._crashed_at[part] = max(self._crashed_at.get(part, at), at)
        self._drop_excess()
        return crash

    def note_answer(self, parts: tuple[str, ...], at: float) -> list[str]:
        """Count an answer to a request; return the parts that it clears of a crash."""
        self._answers += 1
        cleared = []
        for part in parts:
            crashed_at = self._crashed_at.get(part)
            if crashed_at is not None:
                if self._answered_at.get(part, float("-inf")) < crashed_at <= at:
                    cleared.append(part)
                self._answered_at[part] = max(self._answered_at.get(part, at), at)
            self._history[part] = at
            self._history.move_to_end(part)
        while len(self._history) > MAX_ANSWERED_PARTS:
            self._history.popitem(last=False)
        return cleared

    def note_cleared(self, part: str, at: float) -> None:
        """Apply a peer's report that a request with a part was answered."""
        if part in self._crashed_at:
            self._answered_at[part] = max(self._answered_at.get(part, at), at)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop the crashes of an endpoint that had been stopped as planned."""
        self._crashes = [c for c in self._crashes if c.endpoint_id != endpoint_id]

    def find_culprits(
        self, now: float, node_id: str, is_explained: Callable[[LostRequest], bool]
    ) -> list[Culprit]:
        """Return the parts to which the crashes point, if it is certain enough.

        Crashes with a request for which ``is_explained`` holds have a known cause. Only
        nodes that reported one of its crashes find a culprit.
        """
        self._forget(now)
        crashes = [
            crash
            for crash in self._crashes
            if not any(is_explained(request) for request in crash.requests)
        ]
        if not any(node_id in crash.nodes for crash in crashes):
            return []
        culprits = []
        while suspects := self._find_suspects(crashes, now):
            best = min(suspects, key=lambda part: self._rank(part, suspects[part]))
            found = suspects[best]
            culprit = self._name_culprit(best, suspects)
            if culprit is not None and any(node_id in crash.nodes for crash in found):
                culprits.append(culprit)
            crashes = [crash for crash in crashes if crash not in found]
        return culprits

    def _find_suspects(
        self, crashes: list[Crash], now: float
    ) -> dict[str, list[Crash]]:
        """Return the parts that were in enough of the crashes, with these crashes."""
        by_part: dict[str, list[Crash]] = defaultdict(list)
        for crash in crashes:
            for part in {part for request in crash.requests for part in request.parts}:
                if crash.at > self._answered_at.get(part, float("-inf")):
                    by_part[part].append(crash)
        return {
            part: found
            for part, found in by_part.items()
            if len(found) >= MIN_ROUNDS
            and _count_rounds(part, found) >= self._min_rounds(part, found, crashes)
            and self._is_silent(part, found, now)
        }

    def _min_rounds(self, part: str, found: list[Crash], crashes: list[Crash]) -> int:
        """Return the rounds that show a part to be a culprit.

        ``found`` are the crashes that it was in, among all ``crashes``.
        """
        first, last = found[0].at, found[-1].at
        if self._was_answered(part, first):
            return MAX_ROUNDS
        others = sum(first < crash.at < last for crash in crashes) - (len(found) - 2)
        return min(MIN_ROUNDS + max(others, 0), MAX_ROUNDS)

    def _was_answered(self, part: str, before: float) -> bool:
        """Return whether a part was answered before a time, as far as is known."""
        if self._answers < LEARNING_ANSWERS:
            return True
        answered_at = self._history.get(part)
        return answered_at is not None and before - answered_at < RETENTION_SECONDS

    def _is_silent(self, part: str, found: list[Crash], now: float) -> bool:
        """Return whether there was time enough for an answer that clears a part."""
        if not self._was_answered(part, found[0].at):
            return True
        answered_at = self._answered_at.get(part, self._history.get(part))
        since = found[0].at if answered_at is None else answered_at
        return now - since >= MIN_SILENCE_SECONDS

    def _rank(self, part: str, found: list[Crash]) -> tuple[bool, int, int, str]:
        """Return a key that is lowest for the part that is the likeliest culprit.

        A culprit is in one or few of the requests of each crash, a part that is used
        much in many of them.
        """
        known = self._was_answered(part, found[0].at)
        return known, -len(found), _count_requests(part, found), part

    def _name_culprit(
        self, best: str, suspects: dict[str, list[Crash]]
    ) -> Culprit | None:
        """Return ``best`` and the parts that cannot be told from it.

        Returns None if another part is as likely.
        """
        found = suspects[best]
        # Every crash has a request that holds both parts.
        inseparable = {
            part
            for part, others in suspects.items()
            if others == found
            and all(_in_one_request(crash, best, part) for crash in found)
        }
        rank = self._rank(best, found)[:3]
        rivals = {
            part
            for part, others in suspects.items()
            if others == found and self._rank(part, others)[:3] == rank
        }
        if not rivals <= inseparable and len(found) < MAX_AMBIGUOUS_CRASHES:
            return None
        organisations = {
            request.organisation
            for crash in found
            for request in crash.requests
            if best in request.parts
        }
        return Culprit(frozenset(inseparable), frozenset(organisations), tuple(found))

    def _find(self, endpoint_id: str, at: float) -> Crash | None:
        for crash in reversed(self._crashes):
            if crash.endpoint_id == endpoint_id:
                near = abs(crash.at - at) < SAME_CRASH_SECONDS
                return crash if near else None
        return None

    def _drop_excess(self) -> None:
        counts: dict[str, int] = defaultdict(int)
        for crash in self._crashes:
            for request in crash.requests:
                counts[request.organisation] += len(request.parts)
        if sum(counts.values()) <= MAX_PARTS:
            return
        for crash in self._crashes:
            for request in list(crash.requests):
                if counts[request.organisation] == max(counts.values()):
                    crash.requests.remove(request)
                    counts[request.organisation] -= len(request.parts)
                    if sum(counts.values()) <= MAX_PARTS:
                        self._forget_parts()
                        return

    def _forget(self, now: float) -> None:
        """Drop crashes beyond the retention and the bound, and what only they held."""
        kept = [c for c in self._crashes if now - c.at < RETENTION_SECONDS]
        kept = kept[-MAX_CRASHES:]
        if len(kept) == len(self._crashes):
            return
        self._crashes = kept
        self._forget_parts()

    def _forget_parts(self) -> None:
        """Drop the times of parts that no crash holds any more."""
        parts = {
            part
            for crash in self._crashes
            for request in crash.requests
            for part in request.parts
        }
        for times in (self._crashed_at, self._answered_at):
            for part in times.keys() - parts:
                del times[part]


def _count_requests(part: str, crashes: list[Crash]) -> int:
    return sum(part in request.parts for crash in crashes for request in crash.requests)


def _count_rounds(part: str, crashes: list[Crash]) -> int:
    rounds, last = 0, float("-inf")
    for crash in crashes:
        sent_at = max(
            request.sent_at for request in crash.requests if part in request.parts
        )
        if sent_at > last:
            rounds, last = rounds + 1, crash.at
    return rounds


def _in_one_request(crash: Crash, first: str, second: str) -> bool:
    return any(
        first in request.parts and second in request.parts for request in crash.requests
    )
