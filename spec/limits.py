"""Specification of the gateway's shared limits.

Two nodes keep the bucket of the whole deployment each, charge it with their own
requests and with what the other one tells, and refill it by the share of the nodes
that they hear. Time passes in ticks; nodes that are in touch hear each other in each
tick, after both may have admitted what their buckets held.

Steps and the functions that carry them out: admit, hear and tick are ``admit``,
``update_from_peer`` and ``refill`` of ``SharedRateLimiter`` in
``gateway/rate_limits.py``; cut and heal change what ``set_share`` is told.
"""

from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 2
RATE = 2  # units a tick, of the whole deployment
BURST = 2
TICKS = 4


class Node(NamedTuple):
    """Bucket of one node."""

    level: int = BURST
    spent: int = 0
    heard: int = 0  # spent by the other node, as last told


class State(NamedTuple):
    """Both buckets, whether the nodes are in touch, and the time."""

    nodes: tuple[Node, ...] = (Node(),) * NODES
    in_touch: bool = True
    ticks: int = 0


class Rules(NamedTuple):
    """Switches that break the protocol."""

    charges_peers: bool = True
    refills_by_share: bool = True
    pays_back: bool = True  # levels below zero are kept


def put_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def hear(state: State, index: int, rules: Rules) -> State:
    """Return the state after a node was told what the other one has spent."""
    node, told = state.nodes[index], state.nodes[1 - index].spent
    level = node.level
    if rules.charges_peers:
        level -= told - node.heard
    if not rules.pays_back:
        level = max(level, 0)
    return put_node(state, index, level=level, heard=told)


def tick(state: State, rules: Rules) -> State:
    """Return the state after a tick, in which nodes in touch hear each other."""
    if state.in_touch:
        for index in range(NODES):
            state = hear(state, index, rules)
    whole = state.in_touch or not rules.refills_by_share
    gained = RATE if whole else RATE // NODES
    for index, node in enumerate(state.nodes):
        state = put_node(state, index, level=min(BURST, node.level + gained))
    return state._replace(ticks=state.ticks + 1)


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = []
        for index, node in enumerate(current.nodes):
            if node.level > 0:
                admitted = {"level": node.level - 1, "spent": node.spent + 1}
                steps.append((f"admit({index})", put_node(current, index, **admitted)))
            if current.in_touch and node.heard != current.nodes[1 - index].spent:
                steps.append((f"hear({index})", hear(current, index, rules)))
        if current.ticks < TICKS:
            steps.append(("tick", tick(current, rules)))
            changed = current._replace(in_touch=not current.in_touch)
            steps.append(("cut" if current.in_touch else "heal", changed))
        return steps

    return transitions


def spent_within_limit(state: State) -> bool:
    """Check that no more is spent than the rate, and the burst at each node, allow."""
    spent = sum(node.spent for node in state.nodes)
    return spent <= NODES * BURST + RATE * state.ticks


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    invariants = {"spent_within_limit": spent_within_limit}
    return protocol_of(name, State(), transitions_for(rules), invariants)


LIMITS = Specification(
    "limits shared by gateway nodes",
    build_protocol("limits", Rules()),
    "2 nodes, 4 ticks, cuts and heals at any time",
    (
        Variant(
            "what peers spend is not charged",
            build_protocol("uncharged", Rules(charges_peers=False)),
            frozenset({"spent_within_limit"}),
        ),
        Variant(
            "nodes that are cut off refill at the whole rate",
            build_protocol("whole-rate", Rules(refills_by_share=False)),
            frozenset({"spent_within_limit"}),
        ),
        Variant(
            "an overdrawn bucket starts anew",
            build_protocol("forgiven", Rules(pays_back=False)),
            frozenset({"spent_within_limit"}),
        ),
    ),
)
