"""With lost answers, outages and pauses, no two processes hold a lease at a time.

Guards against orders from two holders at a time, and fencing numbers that are used
twice.
"""

import unittest

from hypothesis import given, settings, strategies as st

from fakes.memory import MemoryTable
from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.state.leases import Leases

STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),  # process
        st.sampled_from(("acquire", "renew", "release")),
        st.sampled_from(("none", "lost", "down")),
        st.floats(0, 20),  # seconds until the next step
    ),
    max_size=40,
)


class OneHolderTests(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(STEPS, st.lists(st.floats(-4000, 4000), min_size=3, max_size=3))
    def test_at_most_one_process_holds_a_lease(self, steps, offsets):
        table, timers = MemoryTable(), ManualTimerService()
        processes = [
            Leases(table, f"n{number}", lambda offset=offset: timers.now() + offset)
            for number, offset in enumerate(offsets)
        ]
        held = {}
        owners = {}
        for number, operation, fault, pause in steps:
            table.lose_answers, table.down = int(fault == "lost"), fault == "down"
            self.run_step(processes[number], operation, number, held)
            valid = [n for n, lease in held.items() if processes[n].holds(lease)]
            self.assertLessEqual(len(valid), 1)
            for n, lease in held.items():
                self.assertEqual(owners.setdefault(lease.fencing_number, n), n)
            timers.advance(pause)

    def run_step(self, leases, operation, number, held):
        lease = held.get(number)
        try:
            if operation == "acquire":
                lease = leases.acquire("orders")
            elif lease is not None and operation == "renew":
                lease = leases.renew(lease)
            elif lease is not None:
                del held[number]
                leases.release(lease)
                return
        except StepError:
            return
        if lease is not None:
            held[number] = lease
