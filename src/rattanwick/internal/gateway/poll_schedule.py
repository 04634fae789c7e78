"""Times at which nodes renew their calls that wait for changes in the store."""

from collections.abc import Callable
from dataclasses import dataclass

# Shares of the time within which a change must be in force at all nodes. The rest is
# for noticing a silent call, for reading anew and for passing on what was read.
RENEWAL_SHARE = 0.3  # between two renewals, of all nodes together
LONE_RENEWAL_SHARE = 0.6  # between two renewals of a node that has no peer
MAX_WAIT_SECONDS = 10.0
# A renewal that is nearer than this has just been made.
MIN_WAIT_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class PollSlot:
    """Place of a node among those that poll the store."""

    rank: int
    nodes: int


class PollSchedule:
    """Times at which a node renews its calls, in turn with the other nodes.

    A connection can go silent, so that a call returns neither changes nor an error. A
    change ends the calls of all nodes at once; if they then waited for equally long, no
    node would notice the silence before the others. The renewals are therefore spread
    evenly, by the clock of the store, and peers pass on what one node reads.
    """

    __slots__ = ("_apply_seconds", "_clock_offset", "_slot")

    def __init__(self, apply_seconds: float, slot: Callable[[], PollSlot]):
        """Create a schedule.

        A change must be in force ``apply_seconds`` after it was acknowledged.
        """
        self._apply_seconds = apply_seconds
        self._slot = slot
        self._clock_offset = 0.0  # of the store's clock to the local one, in seconds

    def note_store_time(self, store_time: float | None, now: float) -> None:
        """Record the time of the store's clock; None if it names none."""
        if store_time is not None:
            self._clock_offset = store_time - now

    def seconds_to_renewal(self, now: float) -> float:
        """Return for how long the next call may wait; ``now`` is in monotonic seconds.

        It is more than 0.
        """
        slot = self._slot()
        share = max(RENEWAL_SHARE * slot.nodes, LONE_RENEWAL_SHARE)
        period = min(self._apply_seconds * share, MAX_WAIT_SECONDS)
        phase = period * slot.rank / slot.nodes
        left = period - (now + self._clock_offset - phase) % period
        return left if left > MIN_WAIT_SECONDS else left + period
