"""Copies of a table that are fed by changes which peers pass on.

Guards against a copy that misses a change without noticing, or in which an older
change brings a removed row back, whatever order datagrams arrive in.
"""

import unittest

from hypothesis import given, strategies as st

from fakes.gateway_rows import MemoryRowStore
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.table_watch import TableChanges, TableWatch

TABLE = "servers"
KEYS = ("a", "b", "c")


def read_table(store: MemoryRowStore) -> dict[str, bytes]:
    """Return what the store holds."""
    return {row.key: row.value for row in store.read(TABLE).rows}


class PassedChangesTests(unittest.TestCase):
    @given(
        # Writes and removals, with the followers that read after each of them.
        st.lists(
            st.tuples(
                st.sampled_from(KEYS),
                st.booleans(),
                st.sets(st.integers(0, 1), max_size=2),
            ),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_a_copy_is_never_ahead_of_what_it_has_seen(self, writes, rng):
        store, timers = MemoryRowStore(), ManualTimerService()
        passed: list[TableChanges] = []
        followers = [self.make_watch(store, timers, passed.append) for _ in range(2)]
        learner = self.make_watch(store, timers, None)
        history = {learner.changed_version: read_table(store)}
        for key, removed, readers in writes:
            if removed and key not in read_table(store):
                continue
            store.put(TABLE, key, None if removed else b"%d" % store.version)
            history[store.version] = read_table(store)
            for reader in sorted(readers):
                followers[reader]._step()
        # Datagrams are lost, repeated and reordered.
        arrived = [item for item in passed * 2 if rng.random() < 0.7]
        rng.shuffle(arrived)
        for changes in arrived:
            before = learner.changed_version
            taken = learner.apply_changes(changes)
            self.assertEqual(taken, changes.after <= before)
            copy = {row.key: row.value for row in learner.rows.values()}
            self.assertEqual(copy, history[learner.changed_version])

    def make_watch(self, store, timers, pass_on) -> TableWatch:
        """Return a watch that has read the table whole."""
        watch = TableWatch(store, TABLE, timers, lambda rows, changed: None)
        watch._wait = lambda: 0.0
        watch._step()
        watch.forward_changes = pass_on
        return watch


if __name__ == "__main__":
    unittest.main()
