"""Tests of the times at which nodes renew their calls to the store."""

import unittest

from hypothesis import given, strategies as st

from rattanwick.internal.gateway.poll_schedule import (
    MAX_WAIT_SECONDS,
    PollSchedule,
    PollSlot,
)

APPLY_SECONDS = 2.0
# Of the time to apply a change: what is left for noticing a silent call, for reading
# anew and for passing on what was read.
MAX_RENEWAL_SHARE = 0.65


def make_schedules(nodes: int, offsets: list[float]) -> list[PollSchedule]:
    """Return the schedules of nodes whose clocks differ from the store's."""
    schedules = []
    for rank in range(nodes):
        schedule = PollSchedule(APPLY_SECONDS, lambda rank=rank: PollSlot(rank, nodes))
        schedule.note_store_time(1000.0, 1000.0 - offsets[rank % len(offsets)])
        schedules.append(schedule)
    return schedules


class PollScheduleTests(unittest.TestCase):
    """Guard against nodes that notice silent connections at the same late time."""

    @given(
        st.integers(1, 24),
        st.floats(0, 100),
        st.lists(st.floats(0, 50), min_size=1, max_size=24),
    )
    def test_some_node_renews_its_call_soon(self, nodes, start, offsets):
        """All nodes begin a call at the same time, as after a change."""
        schedules = make_schedules(nodes, offsets)
        waits = sorted(
            schedule.seconds_to_renewal(start - offsets[rank % len(offsets)])
            for rank, schedule in enumerate(schedules)
        )
        self.assertLess(waits[0], APPLY_SECONDS * MAX_RENEWAL_SHARE)
        # One node may be lost without the others knowing it yet.
        self.assertLess(waits[min(1, nodes - 1)], APPLY_SECONDS * MAX_RENEWAL_SHARE)

    def test_calls_grow_slower_than_the_number_of_nodes(self):
        """Each call is billed."""
        calls = {}
        for nodes in (1, 6, 24, 48):
            calls[nodes] = 0
            for schedule in make_schedules(nodes, [0.0]):
                now = 0.0
                while now < 60.0:
                    now += schedule.seconds_to_renewal(now) + 0.004
                    calls[nodes] += 1
        self.assertLess(calls[6], 2.2 * calls[1])
        self.assertLess(calls[24], 5 * calls[1])
        self.assertLess(calls[48], 2.2 * calls[24])

    def test_waits_are_never_zero_and_bounded(self):
        for nodes in (1, 2, 24, 48):
            schedule = PollSchedule(APPLY_SECONDS, lambda n=nodes: PollSlot(0, n))
            for step in range(2000):
                wait = schedule.seconds_to_renewal(step * 0.0137)
                self.assertGreater(wait, 0)
                self.assertLessEqual(wait, MAX_WAIT_SECONDS + 0.05)
