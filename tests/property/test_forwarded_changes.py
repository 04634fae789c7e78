"""Copies of a table that are updated by changes which peers forward.

Guards against a copy that misses a change without noticing, or in which an older change
restores a removed row. Datagrams are lost, repeated and reordered.
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


class ForwardedChangesTests(unittest.TestCase):
    @given(
        # Writes and removals, with the pollers that read after each of them.
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
    def test_a_copy_equals_the_store_as_of_its_version(self, writes, rng):
        store, timers = MemoryRowStore(), ManualTimerService()
        forwarded: list[TableChanges] = []
        pollers = [self.make_watch(store, timers, forwarded.append) for _ in range(2)]
        receiver = self.make_watch(store, timers, None)
        history = {receiver.changed_version: read_table(store)}
        for key, removed, readers in writes:
            if removed and key not in read_table(store):
                continue
            store.put(TABLE, key, None if removed else b"%d" % store.version.number)
            history[store.version] = read_table(store)
            for reader in sorted(readers):
                pollers[reader]._poll_once()
        # Lose, repeat and reorder datagrams.
        arrived = [item for item in forwarded * 2 if rng.random() < 0.7]
        rng.shuffle(arrived)
        for changes in arrived:
            before = receiver.changed_version
            applied = receiver.apply_changes(changes)
            self.assertEqual(applied, changes.after <= before)
            copy = {row.key: row.value for row in receiver.rows.values()}
            self.assertEqual(copy, history[receiver.changed_version])

    def make_watch(self, store, timers, forward) -> TableWatch:
        """Return a watch that has read the whole table once."""
        watch = TableWatch(store, TABLE, timers, lambda rows, changed: None)
        watch._poll_seconds = lambda: 0.0
        watch._poll_once()
        watch.forward_changes = forward
        return watch


if __name__ == "__main__":
    unittest.main()
