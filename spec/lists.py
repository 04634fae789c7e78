"""Specification of the version of the lists on three nodes.

Two operators edit at the same time. Nodes 0 and 1 serve from the start; node 2 starts
during the change. A node learns of versions from the table or by gossip from a peer;
gossip can be old and can arrive twice. The table can be down for any time. An
operator's write can take effect although its answer was lost.

Steps and their implementations:

- read_base, write, read_back: ``ListStore.apply`` in ``state/lists.py``
- poll, hear_news: ``ListStore.adopt``
- join, load_newest: ``ListStore.load_newest`` and the start of the node
- accept: the confirmation at the end of ``ListStore.apply``
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 3
STARTING_NODE = 2  # node that starts during the change
MAX_VERSION = 3


class Edit(IntEnum):
    """Step of an operator's edit."""

    NEW = 0
    READ = 1  # has read the version that the edit is based on
    STORED = 2
    UNCONFIRMED = 3
    STALE = 4
    ACCEPTED = 5


class Operator(NamedTuple):
    """Operator with the one edit that it makes."""

    step: Edit = Edit.NEW
    base: int = 0
    version: int = 0  # version that the edit became


class Node(NamedTuple):
    """One node with the version in force there."""

    version: int
    joined: bool  # known to the other nodes
    ready: bool


class State(NamedTuple):
    """State of the model: table, nodes and operators."""

    version: int
    writer: int  # operator that wrote the version, -1 for none
    nodes: tuple[Node, ...]
    operators: tuple[Operator, ...]
    table_down: bool
    reverted: bool  # a node went back to a lower version
    was_outdated: bool  # a ready node was behind an accepted version


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    adopt_any: bool = False  # a node also adopts lower versions
    unconditional_write: bool = False  # the table doesn't compare the version
    ready_before_join: bool = False  # a node is ready before its peers know it
    accept_without_confirmation: bool = False  # by the nodes that have joined


def replace_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed and violations recorded."""
    nodes = list(state.nodes)
    before = nodes[index]
    nodes[index] = before._replace(**changes)
    reverted = state.reverted or nodes[index].version < before.version
    return record_outdated_nodes(state._replace(nodes=tuple(nodes), reverted=reverted))


def replace_operator(state: State, index: int, **changes) -> State:
    """Return the state with one operator changed and violations recorded."""
    operators = list(state.operators)
    operators[index] = operators[index]._replace(**changes)
    return record_outdated_nodes(state._replace(operators=tuple(operators)))


def record_outdated_nodes(state: State) -> State:
    """Return the state with a note if a ready node is behind an accepted version."""
    accepted = [
        operator.version
        for operator in state.operators
        if operator.step is Edit.ACCEPTED
    ]
    newest = max(accepted, default=0)
    behind = any(node.ready and node.version < newest for node in state.nodes)
    return state._replace(was_outdated=state.was_outdated or behind)


def node_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node."""
    node = state.nodes[index]
    steps = []
    if node.ready and not state.table_down and node.version < state.version:
        steps.append(
            (f"poll({index})", replace_node(state, index, version=state.version))
        )
    for peer, other in enumerate(state.nodes):
        received = range(1, other.version + 1) if peer != index else ()
        for version in received:
            if (version > node.version or rules.adopt_any) and node.ready:
                label = f"hear_news({index},{version})"
                steps.append((label, replace_node(state, index, version=version)))
    if index == STARTING_NODE and not node.joined:
        steps.append(("join", replace_node(state, index, joined=True)))
    may_load = node.joined or rules.ready_before_join
    if index == STARTING_NODE and not node.ready and may_load:
        if not state.table_down:
            loaded = replace_node(state, index, version=state.version, ready=True)
            steps.append(("load_newest_table", loaded))
        peers = max(state.nodes[0].version, state.nodes[1].version)
        loaded = replace_node(state, index, version=peers, ready=True)
        steps.append(("load_newest_peers", loaded))
    return steps


def operator_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one operator."""
    operator = state.operators[index]
    steps = []

    def step(label: str, next_state: State, **changes) -> None:
        steps.append(
            (f"{label}({index})", replace_operator(next_state, index, **changes))
        )

    if operator.step is Edit.NEW and not state.table_down:
        step("read_base", state, step=Edit.READ, base=state.version)
    if operator.step is Edit.READ and not state.table_down:
        current = operator.base == state.version or rules.unconditional_write
        if current:
            version = operator.base + 1
            written = state._replace(version=version, writer=index)
            step("write", written, step=Edit.STORED, version=version)
            step("write_answer_lost", written, step=Edit.UNCONFIRMED)
        else:
            step("write_refused", state, step=Edit.STALE)
        step("write_lost", state, step=Edit.UNCONFIRMED)
    if operator.step is Edit.UNCONFIRMED and not state.table_down:
        if state.writer == index:
            step("read_back_own", state, step=Edit.STORED, version=state.version)
        else:
            step("read_back_other", state, step=Edit.STALE)
    if operator.step is Edit.STORED:
        known = [node for node in state.nodes if node.joined]
        confirmed = all(node.version >= operator.version for node in known)
        if confirmed or rules.accept_without_confirmation:
            step("accept", state, step=Edit.ACCEPTED)
    return steps


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        flipped = current._replace(table_down=not current.table_down)
        steps = [("outage" if flipped.table_down else "recovery", flipped)]
        for index in range(NODES):
            steps += node_steps(current, index, rules)
        for index in range(len(current.operators)):
            steps += operator_steps(current, index, rules)
        return steps

    return transitions


def never_reverts(state: State) -> bool:
    """Return whether no node went back to a lower version (R7)."""
    return not state.reverted


def accepted_is_in_force(state: State) -> bool:
    """Return whether ready nodes always had the newest accepted version (R7)."""
    return not state.was_outdated


def one_edit_per_version(state: State) -> bool:
    """Return whether no two operators' edits became the same version."""
    versions = [
        operator.version
        for operator in state.operators
        if operator.step in (Edit.STORED, Edit.ACCEPTED)
    ]
    return len(versions) == len(set(versions))


INVARIANTS = {
    "never_reverts": never_reverts,
    "accepted_is_in_force": accepted_is_in_force,
    "one_edit_per_version": one_edit_per_version,
}


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    serving = Node(version=1, joined=True, ready=True)
    starting = Node(version=0, joined=False, ready=False)
    nodes = (serving, serving, starting)
    initial = State(1, -1, nodes, (Operator(), Operator()), False, False, False)
    return protocol_of(name, initial, transitions_for(rules), INVARIANTS)


def build_variant(name: str, rules: Rules, *violates: str) -> Variant:
    """Return a variant with one rule broken and the invariants that it violates."""
    return Variant(name, build_protocol(name, rules), frozenset(violates))


LISTS = Specification(
    "versions of the lists",
    build_protocol("lists", Rules()),
    "3 nodes, one of them starting; 2 operators; 3 versions; table outages",
    (
        build_variant("adopt any version", Rules(adopt_any=True), "never_reverts"),
        build_variant(
            "unconditional write",
            Rules(unconditional_write=True),
            "one_edit_per_version",
        ),
        build_variant(
            "ready before the others know the node",
            Rules(ready_before_join=True),
            "accepted_is_in_force",
        ),
        build_variant(
            "accepted without confirmation",
            Rules(accept_without_confirmation=True),
            "accepted_is_in_force",
        ),
    ),
)
