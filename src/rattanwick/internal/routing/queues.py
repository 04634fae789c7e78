"""Queue of a cell: short and long classes with fair sharing between plans."""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from rattanwick.internal.routing.messages import PlacementRequest
from rattanwick.internal.routing.work_estimates import WorkEstimate

HEADS_PER_PLAN = 4
MAX_SHORT_HEADS = 12  # bounds the time and the recording of a decision
MAX_LONG_HEADS = 4


@dataclass(slots=True)
class QueuedRequest:
    """Hold an ask that waits for a slot."""

    request: PlacementRequest
    node: str
    estimate: WorkEstimate
    short: bool
    arrived: float  # monotonic seconds, less the time waited before
    deadline: float  # monotonic seconds
    order: int = 0

    def rank(self) -> tuple:
        """Return the order within a plan."""
        return self.request.priority, self.order


@dataclass(slots=True)
class PlanQueue:
    """Hold the asks of one plan and class."""

    asks: list[QueuedRequest] = field(default_factory=list)
    work: float = 0.0  # seconds


class FairQueue:
    """Order asks by class, and give plans turns by start-time fair queueing.

    The virtual time of a plan grows with the work placed for it. A plan that
    was idle starts at the smallest virtual time of those that wait, so it
    neither saves up turns nor waits behind another plan's backlog.
    """

    def __init__(self):
        self._queues: dict[tuple[bool, str], PlanQueue] = {}
        self._times: dict[tuple[bool, str], float] = {}
        self._by_ticket: dict[str, QueuedRequest] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._by_ticket)

    def get(self, ticket: str) -> QueuedRequest | None:
        """Return a waiting ask."""
        return self._by_ticket.get(ticket)

    def add(self, item: QueuedRequest) -> None:
        """Queue an ask."""
        key = (item.short, item.request.plan)
        if key not in self._queues:
            self._queues[key] = PlanQueue()
            floor = self._floor(item.short)
            self._times[key] = max(self._times.get(key, floor), floor)
        item.order = next(self._order)
        queue = self._queues[key]
        bisect.insort(queue.asks, item, key=QueuedRequest.rank)
        queue.work += item.estimate.seconds
        self._by_ticket[item.request.ticket] = item

    def remove(self, ticket: str) -> QueuedRequest | None:
        """Take an ask out, placed or not."""
        item = self._by_ticket.pop(ticket, None)
        if item is None:
            return None
        key = (item.short, item.request.plan)
        queue = self._queues[key]
        index = bisect.bisect_left(queue.asks, item.rank(), key=QueuedRequest.rank)
        del queue.asks[index]
        queue.work -= item.estimate.seconds
        if not queue.asks:
            del self._queues[key]
        return item

    def charge(self, item: QueuedRequest) -> None:
        """Advance the virtual time of the plan whose ask was placed."""
        key = (item.short, item.request.plan)
        start = max(self._times.get(key, 0.0), self._floor(item.short))
        self._times[key] = start + max(item.estimate.seconds, 0.001)

    def heads(self) -> Iterator[tuple[QueuedRequest, float]]:
        """Yield the first asks of each plan and class with the plan's time."""
        heads: dict[bool, list[tuple[QueuedRequest, float]]] = {True: [], False: []}
        for key, queue in self._queues.items():
            time = self._times.get(key, 0.0)
            heads[key[0]].extend((item, time) for item in queue.asks[:HEADS_PER_PLAN])
        for short, limit in ((True, MAX_SHORT_HEADS), (False, MAX_LONG_HEADS)):
            ranked = sorted(heads[short], key=lambda head: (head[1], head[0].order))
            yield from ranked[:limit]

    def items(self) -> list[QueuedRequest]:
        """Return all waiting asks."""
        return list(self._by_ticket.values())

    def work_ahead(self, short: bool, plan: str) -> float:
        """Return seconds of work that runs before a new ask of a plan and class.

        Each other plan runs at most as much as this plan's own backlog first.
        """
        own_queue = self._queues.get((short, plan))
        own = own_queue.work if own_queue else 0.0
        total = own
        for (is_short, name), queue in self._queues.items():
            if is_short == short and name != plan:
                total += min(queue.work, own)
            elif is_short and not short:
                total += queue.work
        return total

    def _floor(self, short: bool) -> float:
        waiting = [
            self._times[key]
            for key in self._queues
            if key[0] == short
            if key in self._times
        ]
        return min(
            waiting,
            default=max(
                (time for key, time in self._times.items() if key[0] == short),
                default=0.0,
            ),
        )
