"""Queue of a cell: short and long requests, shared fairly between plans."""

import bisect
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from rattanwick.internal.routing.messages import PlacementRequest
from rattanwick.internal.routing.work_estimates import WorkEstimate

MAX_HEADS_PER_PLAN = 4
MAX_SHORT_HEADS = 12  # limits the time and the recorded size of a decision
MAX_LONG_HEADS = 4


@dataclass(slots=True)
class QueuedRequest:
    """Placement request that waits for a slot."""

    request: PlacementRequest
    node: str
    estimate: WorkEstimate
    short: bool
    arrived: float  # monotonic seconds, when the router of its node got it
    deadline: float  # monotonic seconds
    order: int = 0

    def rank(self) -> tuple:
        """Return the sort key within a plan and class."""
        return self.request.priority, self.order


@dataclass(slots=True)
class PlanQueue:
    """Waiting requests of one plan and class."""

    requests: list[QueuedRequest] = field(default_factory=list)
    work: float = 0.0  # seconds, expected


class FairQueue:
    """Queue that gives plans turns by start-time fair queueing within each class.

    The virtual time of a plan grows with the work placed for it. A plan that was
    idle starts at the smallest virtual time of the plans that wait, so it neither
    saves up turns nor waits for all work of another plan.
    """

    def __init__(self):
        self._queues: dict[tuple[bool, str], PlanQueue] = {}
        self._virtual_times: dict[tuple[bool, str], float] = {}
        self._by_ticket: dict[str, QueuedRequest] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._by_ticket)

    def get(self, ticket: str) -> QueuedRequest | None:
        """Return the waiting request with a ticket, or None."""
        return self._by_ticket.get(ticket)

    def add(self, item: QueuedRequest) -> None:
        """Add a request in the order of its priority, then of its arrival."""
        key = (item.short, item.request.plan)
        if key not in self._queues:
            self._queues[key] = PlanQueue()
            min_time = self._min_virtual_time(item.short)
            self._virtual_times[key] = max(
                self._virtual_times.get(key, min_time), min_time
            )
        item.order = next(self._order)
        queue = self._queues[key]
        bisect.insort(queue.requests, item, key=QueuedRequest.rank)
        queue.work += item.estimate.seconds
        self._by_ticket[item.request.ticket] = item

    def remove(self, ticket: str) -> QueuedRequest | None:
        """Remove and return the request with a ticket, or return None."""
        item = self._by_ticket.pop(ticket, None)
        if item is None:
            return None
        key = (item.short, item.request.plan)
        queue = self._queues[key]
        index = bisect.bisect_left(queue.requests, item.rank(), key=QueuedRequest.rank)
        del queue.requests[index]
        queue.work -= item.estimate.seconds
        if not queue.requests:
            del self._queues[key]
        return item

    def charge(self, item: QueuedRequest) -> None:
        """Advance the virtual time of a plan by the work of a placed request."""
        key = (item.short, item.request.plan)
        start = max(
            self._virtual_times.get(key, 0.0), self._min_virtual_time(item.short)
        )
        self._virtual_times[key] = start + max(item.estimate.seconds, 0.001)

    def heads(self) -> Iterator[tuple[QueuedRequest, float]]:
        """Yield the first requests of each plan, with the plan's virtual time.

        The short class comes first; the total of each class is limited.
        """
        heads: dict[bool, list[tuple[QueuedRequest, float]]] = {True: [], False: []}
        for key, queue in self._queues.items():
            virtual_time = self._virtual_times.get(key, 0.0)
            heads[key[0]].extend(
                (item, virtual_time) for item in queue.requests[:MAX_HEADS_PER_PLAN]
            )
        for short, limit in ((True, MAX_SHORT_HEADS), (False, MAX_LONG_HEADS)):
            ranked = sorted(heads[short], key=lambda head: (head[1], head[0].order))
            yield from ranked[:limit]

    def items(self) -> list[QueuedRequest]:
        """Return all waiting requests."""
        return list(self._by_ticket.values())

    def work_ahead(self, short: bool, plan: str) -> float:
        """Return the seconds of work before a new request of a plan and class.

        Of each other plan, no more work counts than this plan itself has waiting.
        All short work runs before long work.
        """
        own_queue = self._queues.get((short, plan))
        own_work = own_queue.work if own_queue else 0.0
        total = own_work
        for (is_short, name), queue in self._queues.items():
            if is_short == short and name != plan:
                total += min(queue.work, own_work)
            elif is_short and not short:
                total += queue.work
        return total

    def _min_virtual_time(self, short: bool) -> float:
        """Return the smallest virtual time of a class's waiting plans.

        If no plan waits, return the largest one of all known plans.
        """
        waiting = [
            self._virtual_times[key]
            for key in self._queues
            if key[0] == short
            if key in self._virtual_times
        ]
        return min(
            waiting,
            default=max(
                (time for key, time in self._virtual_times.items() if key[0] == short),
                default=0.0,
            ),
        )
