"""Specification of the handover of one request in flight.

Node 0 is the serving node, node 1 the backup node with a replica of the request, and
node 2 the second target of the handover. Nodes 0 and 1 can get a reclaim notice at
any time; one of them can be killed at any time, also during the handover. Messages
can be lost. A node can wrongly consider another one dead, so two nodes can generate
at the same time; each generation can give another text. Text is modelled as the
tuple of the nodes that generated its tokens.

Steps and their implementations:

- notice, resend, leave: ``NodeDrain`` in ``peers/drain.py`` and ``ReplicaTransfer``
  in ``peers/replica_transfer.py``
- adopt: the handler of ``keeper.handover`` in ``peers/handover.py``
- start: ``Takeover`` in ``peers/takeover.py``
- receive: ``GET /v1/requests/ID`` with the generation and offset of the caller
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 3
SURVIVOR = 2  # node that neither leaves nor dies
TOKENS = 2  # length of the complete answer
MAX_KILLS = 1
MIN_REPLICAS = 2  # live nodes that must have the request before a node leaves


class Status(IntEnum):
    """Whether a node takes part, leaves after a notice, or has ended."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class Node(NamedTuple):
    """One node with its part of the request."""

    status: Status = Status.LIVE
    text: tuple[int, ...] | None = None  # None if the node has no replica
    generating: bool = False
    started: bool = False  # has started to generate, and does so only once


class State(NamedTuple):
    """State of the model: nodes, handovers in flight and the caller."""

    nodes: tuple[Node, ...]
    in_flight: frozenset  # (target, text)
    kills: int
    received: tuple[int, ...]
    finished: bool
    mixed: bool  # the caller's answer differs from the text of the node that gave it


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    offset_only: bool = False  # resumption compares offsets, not generations
    backup_leaves_silently: bool = False  # without a handover of its replica
    one_replica_suffices: bool = False  # a leaving node waits for one replica only


def replace_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def send_handovers(state: State, index: int) -> State:
    """Return the state after a node sent its text to all other live nodes."""
    text = state.nodes[index].text
    sent = {
        (target, text)
        for target, node in enumerate(state.nodes)
        if target != index and node.status is Status.LIVE and text is not None
    }
    return state._replace(in_flight=state.in_flight | sent)


def has_enough_replicas(state: State, index: int, rules: Rules) -> bool:
    """Return whether enough live nodes other than ``index`` have the request.

    One is not enough: it can be killed without notice after this node has left.
    """
    others = [
        node
        for other, node in enumerate(state.nodes)
        if other != index and node.status is Status.LIVE
    ]
    replicas = sum(1 for node in others if node.text is not None)
    required = 1 if rules.one_replica_suffices else MIN_REPLICAS
    return replicas >= min(required, len(others))


def node_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node."""
    node = state.nodes[index]
    steps = []
    if node.generating and len(node.text) < TOKENS:
        longer = replace_node(state, index, text=(*node.text, index))
        steps.append((f"token({index})", longer))
    if node.status is Status.LIVE and node.text is not None and not node.started:
        started = replace_node(state, index, generating=True, started=True)
        steps.append((f"start({index})", started))
    if node.status is Status.LIVE and index != SURVIVOR:
        leaving = replace_node(state, index, status=Status.LEAVING, generating=False)
        silent = rules.backup_leaves_silently and not node.started
        if not silent:
            leaving = send_handovers(leaving, index)
        steps.append((f"notice({index})", leaving))
    if node.status is Status.LEAVING:
        silent = rules.backup_leaves_silently and not node.started
        if not silent:
            steps.append((f"resend({index})", send_handovers(state, index)))
        if silent or node.text is None or has_enough_replicas(state, index, rules):
            gone = replace_node(state, index, status=Status.GONE)
            steps.append((f"leave({index})", gone))
    if node.status is not Status.GONE and index != SURVIVOR and state.kills < MAX_KILLS:
        killed = replace_node(state, index, status=Status.GONE, generating=False)
        steps.append((f"kill({index})", killed._replace(kills=state.kills + 1)))
    return steps


def message_steps(state: State) -> list:
    """Return the deliveries and losses of the handovers in flight."""
    steps = []
    for message in sorted(state.in_flight):
        target, text = message
        node = state.nodes[target]
        rest = state._replace(in_flight=state.in_flight - {message})
        steps.append((f"lose({target})", rest))
        is_longer = node.text is None or len(node.text) < len(text)
        if node.status is Status.LIVE and is_longer and not node.started:
            steps.append((f"adopt({target})", replace_node(rest, target, text=text)))
    return steps


def caller_steps(state: State, rules: Rules) -> list:
    """Return the steps in which the caller receives text from a node."""
    steps = []
    for index, node in enumerate(state.nodes):
        if state.finished or node.status is Status.GONE or not node.text:
            continue
        is_prefix = node.text[: len(state.received)] == state.received
        if rules.offset_only:
            received = state.received + node.text[len(state.received) :]
        else:
            # If the caller's text is no prefix of the node's, the caller starts again.
            received = node.text if not is_prefix else max(state.received, node.text)
        finished = len(received) == TOKENS
        mixed = finished and received != node.text
        changed = state._replace(received=received, finished=finished, mixed=mixed)
        steps.append((f"receive({index})", changed))
    return steps


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        if current.finished:
            return []
        steps = []
        for index in range(NODES):
            steps += node_steps(current, index, rules)
        return steps + message_steps(current) + caller_steps(current, rules)

    return transitions


def answer_is_whole(state: State) -> bool:
    """Return whether the caller's answer is the text of one node alone (R2)."""
    return not state.mixed


def is_finished(state: State) -> bool:
    """Return whether the caller has the complete answer (R1: always reachable)."""
    return state.finished


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    serving = Node(text=(), generating=True, started=True)
    nodes = (serving, Node(text=()), Node())
    initial = State(nodes, frozenset(), 0, (), False, False)
    invariants = {"answer_is_whole": answer_is_whole}
    return protocol_of(name, initial, transitions_for(rules), invariants, is_finished)


HANDOVER = Specification(
    "handover of a request in flight",
    build_protocol("handover", Rules()),
    "3 nodes, 2 tokens, notices for 2 nodes, 1 kill, losses, wrong suspicion",
    (
        Variant(
            "resumption by offset alone",
            build_protocol("offset-only", Rules(offset_only=True)),
            frozenset({"answer_is_whole"}),
        ),
        Variant(
            "a backup node leaves without handing its replica over",
            build_protocol("silent-keeper", Rules(backup_leaves_silently=True)),
            frozenset({"goal"}),
        ),
        Variant(
            "a leaving node waits for one replica only",
            build_protocol("one-copy", Rules(one_replica_suffices=True)),
            frozenset({"goal"}),
        ),
    ),
)
