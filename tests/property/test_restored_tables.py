"""Copies of tables at several nodes while the store returns to older copies.

Guards against a node whose copy or configuration goes back, or stays behind. Pages,
changes and copies are lost, repeated, late and in another order.
"""

import json
import unittest
from collections.abc import Callable

from hypothesis import given, settings, strategies as st
from msgpack import unpackb

from fakes.gateway_deployment import make_configuration
from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.interfaces import StoredRow
from rattanwick.internal.gateway.operator_configuration import OperatorConfiguration
from rattanwick.internal.gateway.peer_messages import (
    decode_copy,
    decode_datagram,
    encode_changes,
    encode_copy,
)
from rattanwick.internal.gateway.table_watch import (
    TableChanges,
    TableCopy,
    TableWatch,
)
from rattanwick.platform.codec import PlatformCodec
from tests.gateway_case import make_state

TABLE, KEY = "op", "config"
OTHER_KEYS = ("a", "b", "c")
NODES = range(3)
MAX_POLLS = 4  # of one node until it has the newest rows

Rows = dict[str, StoredRow]

node = st.sampled_from(NODES)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from(OTHER_KEYS), st.booleans()),
        st.tuples(st.just("configure"), st.integers(1, 3)),
        st.tuples(st.just("rewrite")),
        st.tuples(st.just("restore"), st.floats(0, 1)),
        st.tuples(st.just("forget")),
        st.tuples(st.just("poll"), node),
        # A call to the store that is answered only after some other steps.
        st.tuples(st.just("begin"), node),
        st.tuples(st.just("end"), node),
        st.tuples(st.just("changes"), node, st.integers(0, 8)),
        st.tuples(st.just("save"), node),
        st.tuples(st.just("copy"), node, st.integers(0, 8)),
        st.tuples(st.just("start"), st.sampled_from(NODES[1:])),
    ),
    max_size=30,
)


class LateStore(MemoryRowStore):
    """Store whose answer to one call can be taken before the call is made."""

    def __init__(self):
        super().__init__()
        self.answer: Callable | None = None

    def read(self, table):
        """Return the answer that was taken, if any, or the rows."""
        return self._next_answer() if self.answer else super().read(table)

    def wait_for_changes(self, table, after, wait):
        """Return the answer that was taken, if any, or the changes."""
        if self.answer:
            return self._next_answer()
        return super().wait_for_changes(table, after, 0.0)

    def _next_answer(self):
        answer, self.answer = self.answer, None
        return answer()


class Node:
    """A node's copy of the operator's table, and its configuration."""

    def __init__(self, store, timers, forward):
        state = make_state(timers, make_settings())
        self.configuration = OperatorConfiguration(state, PlatformCodec())
        self.watch = TableWatch(store, TABLE, timers, self.configuration.apply_rows)
        self.watch._poll_seconds = lambda: 0.0
        self.watch.forward_changes = forward
        # Whether a call that has not ended is a poll, and what returns its answer.
        self.late: tuple[bool, Callable] | None = None

    def values(self) -> dict[str, bytes]:
        """Return the values in the copy."""
        return {row.key: row.value for row in self.watch.rows.values()}

    def make_copy(self) -> TableCopy:
        """Return the copy as a peer receives it."""
        watch = self.watch
        copy = TableCopy(
            watch.version,
            watch.changed_version,
            None,
            dict(watch.rows),
            self.configuration.value,
        )
        return decode_copy(_unpack(encode_copy(copy)))

    def take_copy(self, copy: TableCopy) -> None:
        """Take a peer's copy as ``TableCopies`` does."""
        if copy.configuration_value is not None:
            self.configuration.adopt(copy.configuration_value, "peer", None)
        self.watch.replace_with_copy(copy.rows, copy.version, copy.changed)


class World:
    """Nodes, their store and the messages on their way."""

    def __init__(self):
        self.store, self.timers = LateStore(), ManualTimerService()
        self.changes: list[bytes] = []
        self.copies: list[TableCopy] = []
        self.operator_version = 1
        self.step_configure(1)
        # What the store held at each version, by era.
        self.history: dict[tuple[int, int], dict[str, bytes]] = {}
        self.note_history()
        self.nodes = [self.make_node() for _ in NODES]
        for started in self.nodes:
            started.watch._poll_once()

    def make_node(self) -> Node:
        """Return a node that has just started."""
        return Node(self.store, self.timers, self.forward)

    def forward(self, changes: TableChanges) -> None:
        """Send changes that a node has read."""
        self.changes.append(encode_changes("n", changes))

    def stored(self) -> dict[str, bytes]:
        """Return what the store holds."""
        return {row.key: row.value for row in self.store.tables.get(TABLE, {}).values()}

    def note_history(self) -> None:
        """Record what the store holds now."""
        self.history[tuple(self.store.version)] = self.stored()

    def step_write(self, key: str, removed: bool) -> None:
        """Write or remove a row."""
        if removed and key not in self.stored():
            return
        value = None if removed else b"%d" % self.store.version.number
        self.store.set_row(TABLE, key, value)

    def step_configure(self, rise: int) -> None:
        """Write a new configuration."""
        self.operator_version += rise
        value = json.dumps(make_configuration(self.operator_version)).encode()
        self.store.set_row(TABLE, KEY, value)

    def step_rewrite(self) -> None:
        """Write the newest configuration again."""
        self.step_configure(0)

    def step_restore(self, share: float) -> None:
        """Return to an older copy."""
        self.store.restore(int(share * self.store.version.number))

    def step_forget(self) -> None:
        """Drop the history of changes."""
        self.store.forget_history()

    def step_poll(self, number: int) -> None:
        """Make one call to the store."""
        self.nodes[number].watch._poll_once()

    def step_begin(self, number: int) -> None:
        """Take the store's answer to a call that a node makes now."""
        watch = self.nodes[number].watch
        try:
            if watch._complete:
                page = self.store.wait_for_changes(TABLE, watch.version, 0.0)
            else:
                page = self.store.read(TABLE)
        except Exception as exc:
            error = exc

            def answer():
                raise error

        else:

            def answer():
                return page

        self.nodes[number].late = watch._complete, answer

    def step_end(self, number: int) -> None:
        """Let the answer arrive, if the node has not begun a call of the other kind."""
        late, self.nodes[number].late = self.nodes[number].late, None
        watch = self.nodes[number].watch
        if late is not None and late[0] == watch._complete:
            self.store.answer = late[1]
            watch._poll_once()

    def step_changes(self, number: int, index: int) -> None:
        """Let forwarded changes arrive, perhaps again or late."""
        if self.changes:
            data = self.changes[index % len(self.changes)]
            _, changes = decode_datagram(data)
            self.nodes[number].watch.apply_changes(changes)

    def step_save(self, number: int) -> None:
        """Let a node send its copy."""
        self.copies.append(self.nodes[number].make_copy())

    def step_copy(self, number: int, index: int) -> None:
        """Let a copy arrive, perhaps again or late."""
        if self.copies:
            self.nodes[number].take_copy(self.copies[index % len(self.copies)])

    def step_start(self, number: int) -> None:
        """Start a node again; it begins with the copy of another one."""
        other = self.nodes[(number + 1) % len(self.nodes)]
        self.nodes[number] = self.make_node()
        self.nodes[number].take_copy(other.make_copy())


def _unpack(data: bytes) -> object:

    return unpackb(data)


class RestoredTableTests(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(steps)
    def test_no_copy_goes_back_and_all_end_at_the_newest(self, history):
        world = World()
        for name, *args in history:
            before = list(world.nodes)
            known = [(n.watch.version, n.configuration.version) for n in before]
            getattr(world, f"step_{name}")(*args)
            world.note_history()
            for old, new, (version, configuration) in zip(
                before, world.nodes, known, strict=True
            ):
                if old is not new:
                    continue
                self.assertGreaterEqual(new.watch.version, version)
                self.assertGreaterEqual(new.configuration.version, configuration)
                self.check_copy(world, new)
        # One node that was not restarted reaches the store again, and the others hear
        # from it.
        first, *others = world.nodes
        for _ in range(MAX_POLLS):
            first.watch._poll_once()
        self.assertEqual(first.values(), world.stored())
        for other in others:
            first.take_copy(other.make_copy())
            other.take_copy(first.make_copy())
        for other in world.nodes:
            other.take_copy(first.make_copy())
            self.assertEqual(other.values(), world.stored())
            self.assertEqual(other.watch.version.era, world.store.era)
        self.assertEqual(len({n.configuration.version for n in world.nodes}), 1)

    def check_copy(self, world: World, node: Node) -> None:
        """Check that a copy is what the store held at its version."""
        version = node.watch.version
        if version.era == 0:
            self.assertEqual(node.watch.rows, {})
            return
        self.assertEqual(node.values(), world.history[tuple(version)])
        self.assertTrue(
            all(row.version.era == version.era for row in node.watch.rows.values())
        )


if __name__ == "__main__":
    unittest.main()
