"""Fair shares of the processor for tasks whose input never makes them wait.

A gevent task that reads from a socket gives way only while nothing has arrived. A peer
that sends faster than this process reads would keep all other tasks from running.
"""

import time

import gevent

UNIT_SECONDS = 30e-6  # typical work of one unit, such as a chunk of a body
QUANTUM_UNITS = 64  # work after which other tasks run, about 2 ms
# Work of one task that needs no turn: bursts of events, and events at a steady rate.
FREE_UNITS = 256
FREE_UNITS_PER_SECOND = 500
TURN_SHARE = 0.3  # of a processor, for all tasks together that need turns
BYTES_PER_UNIT = 8192
# A pause of 0 s would let gevent run tasks that are ready, but not poll its sockets
# and timers until many such pauses.
MIN_PAUSE_SECONDS = 0.0001
LINES_PER_UNIT = 16


def let_others_run() -> None:
    """Give other tasks, and the polling of sockets and timers, a turn."""
    gevent.sleep(MIN_PAUSE_SECONDS)


class TurnQueue:
    """Turns of the tasks that do more work than each may do freely."""

    __slots__ = ("_next_turn",)

    def __init__(self):
        self._next_turn = 0.0  # monotonic seconds

    def reserve(self, units: float) -> float:
        """Return the seconds until the turn for this much work."""
        now = time.monotonic()
        turn = max(now, self._next_turn)
        self._next_turn = turn + units * UNIT_SECONDS / TURN_SHARE
        return turn - now


class Pacer:
    """Count of the work that one message of a peer causes.

    ``waited`` is the time in seconds that was spent on waiting for turns.
    """

    __slots__ = ("_free", "_turns", "_units", "_updated", "waited")

    def __init__(self, turns: TurnQueue):
        self._turns = turns
        self.waited = 0.0
        self._units = 0.0  # since other tasks could run
        self._free = float(FREE_UNITS)
        self._updated = time.monotonic()

    def spend(self, units: float, deadline: float) -> bool:
        """Count work; let other tasks run if it is due, and return whether they did.

        Waits for a turn until ``deadline`` at most, which is in monotonic seconds.
        """
        self._units += units
        if self._units < QUANTUM_UNITS:
            return False
        now, spent = time.monotonic(), self._units
        earned = (now - self._updated) * FREE_UNITS_PER_SECOND
        self._free = min(FREE_UNITS, self._free + earned) - spent
        self._updated, self._units = now, 0.0
        wait = 0.0
        if self._free < 0:
            self._free = 0.0
            wait = max(min(self._turns.reserve(spent), deadline - now), 0.0)
            self.waited += wait
        gevent.sleep(max(wait, MIN_PAUSE_SECONDS))
        return True
