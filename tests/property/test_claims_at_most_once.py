"""With any sequence of faults, a call runs at most once.

Guards against combinations of lost answers, outages, pauses and crashes that the
tests of single failures do not cover.
"""

import unittest

from hypothesis import given, settings, strategies as st

from rattanwick.internal.base.errors import MaybeApplied, Unavailable
from rattanwick.internal.base.outcomes import Answered, NotRun, Unknown
from rattanwick.internal.state.claim_types import Claimed, Replayed
from tests.claim_fixture import ANSWER, ClaimFixture

FAULTS = ("none", "down", "lost", "lost_unapplied", "late")
ENDS = ("answered", "not_sent", "unknown", "crash")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("n1", "n2")),
        st.lists(st.sampled_from(FAULTS), max_size=4),
        st.sampled_from(ENDS),
        st.integers(0, 100),
    ),
    min_size=1,
    max_size=8,
)


class FaultyTable:
    """Applies the next fault to each put; delays late puts until ``deliver_late``."""

    def __init__(self, fixture):
        self.put_now = fixture.table.put
        self.faults = []
        self.late = []
        fixture.table.put = self.put

    def put(self, *args):
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            raise Unavailable("put", "table", "outage")
        if fault == "late":
            self.late.append(args)
        if fault == "lost":
            self.put_now(*args)
        if fault in ("lost", "late", "lost_unapplied"):
            raise MaybeApplied("put", "table", "answer lost")
        return self.put_now(*args)

    def deliver_late(self):
        while self.late:
            try:
                self.put_now(*self.late.pop(0))
            except Exception as exc:
                if type(exc).__name__ != "Conflict":
                    raise


class AtMostOnceTests(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(STEPS)
    def test_a_call_is_dispatched_at_most_once(self, steps):
        fixture = ClaimFixture()
        table = FaultyTable(fixture)
        nodes = {name: fixture.node(name) for name in ("n1", "n2")}
        dispatched = 0
        for name, faults, end, pause in steps:
            table.faults = list(faults)
            result = nodes[name].claim(fixture.call(seconds=20))
            if isinstance(result, Claimed):
                fixture.timers.advance(pause)
                if nodes[name].may_dispatch(result):
                    dispatched += self.finish(nodes[name], result, end)
                else:
                    nodes[name].settle(result, NotRun("deadline"), None)
            elif isinstance(result, Replayed) and result.answer:
                self.assertEqual(dispatched, 1)
            table.deliver_late()
            self.assertLessEqual(dispatched, 1)

    def finish(self, claims, claimed, end):
        """End a call that was sent; return 1 if the service ran it, else 0."""
        if end == "not_sent":
            claims.settle(claimed, NotRun("refused"), None)
            return 0
        if end == "answered":
            claims.settle(claimed, Answered(), ANSWER)
        elif end == "unknown":
            claims.settle(claimed, Unknown("timeout"), None)
        return 1
