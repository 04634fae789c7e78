"""Specification of the hand-over of one request in flight.

Node 0 serves the request, node 1 keeps its copy, node 2 is the second target.
Nodes 0 and 1 can get a reclaim notice at any time; one of them can be killed at
any time, also in the middle of the hand-over. Messages can be lost. A node can
wrongly take another for dead, so two nodes can generate at the same time; each
generation can give another text. Text is modelled as the tuple of the nodes that
generated its tokens.

Steps and the functions that carry them out:

- notice, resend, leave: the drain in ``peers/drain.py``
- adopt: the ``keeper.handover`` handler in ``peers/handover.py``
- start: the restart of a kept request
- receive: ``GET /v1/requests/ID`` with the generation and offset of the caller
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 3
LAST = 2  # node that neither leaves nor dies
TOKENS = 2  # length of the whole answer
MAX_KILLS = 1
COPIES = 2  # live nodes that must hold a request before its holder goes


class Status(IntEnum):
    """Status of a node."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class Holder(NamedTuple):
    """One node and what it knows of the request."""

    status: Status = Status.LIVE
    text: tuple[int, ...] | None = None  # None without a copy
    generating: bool = False
    started: bool = False


class State(NamedTuple):
    """Nodes, hand-overs under way and the caller."""

    nodes: tuple[Holder, ...]
    in_flight: frozenset  # (target, text)
    kills: int
    received: tuple[int, ...]
    finished: bool
    mixed: bool  # the caller's answer is not the text of one node


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    offset_only: bool = False  # resumption compares offsets, not generations
    keeper_leaves_silently: bool = False
    one_copy: bool = False  # a leaving node waits for one copy only


def put_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def send_hand_overs(state: State, index: int) -> State:
    """Send the request with its text so far to all other live nodes."""
    text = state.nodes[index].text
    sent = {
        (target, text)
        for target, node in enumerate(state.nodes)
        if target != index and node.status is Status.LIVE and text is not None
    }
    return state._replace(in_flight=state.in_flight | sent)


def held_elsewhere(state: State, index: int, rules: Rules) -> bool:
    """Tell whether enough live nodes other than ``index`` have the request.

    One is not enough: it can be killed without notice after this node has gone.
    """
    others = [
        node
        for other, node in enumerate(state.nodes)
        if other != index and node.status is Status.LIVE
    ]
    holding = sum(1 for node in others if node.text is not None)
    wanted = 1 if rules.one_copy else COPIES
    return holding >= min(wanted, len(others))


def node_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node."""
    node = state.nodes[index]
    steps = []
    if node.generating and len(node.text) < TOKENS:
        longer = put_node(state, index, text=(*node.text, index))
        steps.append((f"token({index})", longer))
    if node.status is Status.LIVE and node.text is not None and not node.started:
        started = put_node(state, index, generating=True, started=True)
        steps.append((f"start({index})", started))
    if node.status is Status.LIVE and index != LAST:
        leaving = put_node(state, index, status=Status.LEAVING, generating=False)
        silent = rules.keeper_leaves_silently and not node.started
        if not silent:
            leaving = send_hand_overs(leaving, index)
        steps.append((f"notice({index})", leaving))
    if node.status is Status.LEAVING:
        silent = rules.keeper_leaves_silently and not node.started
        if not silent:
            steps.append((f"resend({index})", send_hand_overs(state, index)))
        if silent or node.text is None or held_elsewhere(state, index, rules):
            gone = put_node(state, index, status=Status.GONE)
            steps.append((f"leave({index})", gone))
    if node.status is not Status.GONE and index != LAST and state.kills < MAX_KILLS:
        killed = put_node(state, index, status=Status.GONE, generating=False)
        steps.append((f"kill({index})", killed._replace(kills=state.kills + 1)))
    return steps


def message_steps(state: State) -> list:
    """Return deliveries and losses of hand-overs."""
    steps = []
    for message in sorted(state.in_flight):
        target, text = message
        node = state.nodes[target]
        rest = state._replace(in_flight=state.in_flight - {message})
        steps.append((f"lose({target})", rest))
        wanted = node.text is None or len(node.text) < len(text)
        if node.status is Status.LIVE and wanted and not node.started:
            steps.append((f"adopt({target})", put_node(rest, target, text=text)))
    return steps


def caller_steps(state: State, rules: Rules) -> list:
    """Return what the caller can receive from each node."""
    steps = []
    for index, node in enumerate(state.nodes):
        if state.finished or node.status is Status.GONE or not node.text:
            continue
        same = node.text[: len(state.received)] == state.received
        if rules.offset_only:
            received = state.received + node.text[len(state.received) :]
        else:
            # A caller whose text is no prefix of the node's starts again.
            received = node.text if not same else max(state.received, node.text)
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
    """Check R2: the caller's answer is the text of one node, nothing mixed in."""
    return not state.mixed


def is_finished(state: State) -> bool:
    """Tell whether the caller has the whole answer (R1: always reachable)."""
    return state.finished


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    serving = Holder(text=(), generating=True, started=True)
    nodes = (serving, Holder(text=()), Holder())
    initial = State(nodes, frozenset(), 0, (), False, False)
    invariants = {"answer_is_whole": answer_is_whole}
    return protocol_of(name, initial, transitions_for(rules), invariants, is_finished)


HANDOVER = Specification(
    "hand-over of a request in flight",
    build_protocol("handover", Rules()),
    "3 nodes, 2 tokens, notices for 2 nodes, 1 kill, losses, wrong suspicion",
    (
        Variant(
            "resumption by offset alone",
            build_protocol("offset-only", Rules(offset_only=True)),
            frozenset({"answer_is_whole"}),
        ),
        Variant(
            "a keeper leaves without handing its copy over",
            build_protocol("silent-keeper", Rules(keeper_leaves_silently=True)),
            frozenset({"goal"}),
        ),
        Variant(
            "a leaving node waits for one copy only",
            build_protocol("one-copy", Rules(one_copy=True)),
            frozenset({"goal"}),
        ),
    ),
)
