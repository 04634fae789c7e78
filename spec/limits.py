"""Specification of the gateway's shared rate limits.

Each of two nodes has a token bucket for the whole deployment. It charges the bucket
with its own requests and with the spending that the other node reports, and refills
it by the share of the nodes that it receives reports from. Time passes in ticks.
Connected nodes receive each other's reports in each tick, after both may have
admitted what their buckets held.

Steps and their implementations in ``SharedRateLimiter`` (``gateway/rate_limits.py``):

- admit: ``admit``
- hear: ``update_from_peer``
- tick: the refill of the buckets
- cut, heal: the share that is passed to ``set_share``
"""

from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 2
RATE = 2  # units per tick, for the whole deployment
BURST = 2  # units
TICKS = 4


class Node(NamedTuple):
    """Bucket of one node."""

    level: int = BURST  # units left; negative if overdrawn
    spent: int = 0
    peer_spent: int = 0  # spending of the other node, as last reported


class State(NamedTuple):
    """State of the model: both buckets, the connection of the nodes, and the time."""

    nodes: tuple[Node, ...] = (Node(),) * NODES
    connected: bool = True
    ticks: int = 0


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    charges_peers: bool = True  # spending of the other node is charged
    refills_by_share: bool = True  # a disconnected node refills at half the rate
    keeps_debt: bool = True  # a level below zero is kept


def replace_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def receive_spending(state: State, index: int, rules: Rules) -> State:
    """Return the state after a node has received the other node's spending."""
    node, peer_spent = state.nodes[index], state.nodes[1 - index].spent
    level = node.level
    if rules.charges_peers:
        level -= peer_spent - node.peer_spent
    if not rules.keeps_debt:
        level = max(level, 0)
    return replace_node(state, index, level=level, peer_spent=peer_spent)


def tick(state: State, rules: Rules) -> State:
    """Return the state after a tick: connected nodes report, and buckets refill."""
    if state.connected:
        for index in range(NODES):
            state = receive_spending(state, index, rules)
    full_rate = state.connected or not rules.refills_by_share
    gained = RATE if full_rate else RATE // NODES
    for index, node in enumerate(state.nodes):
        state = replace_node(state, index, level=min(BURST, node.level + gained))
    return state._replace(ticks=state.ticks + 1)


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = []
        for index, node in enumerate(current.nodes):
            if node.level > 0:
                admitted = {"level": node.level - 1, "spent": node.spent + 1}
                steps.append(
                    (f"admit({index})", replace_node(current, index, **admitted))
                )
            if current.connected and node.peer_spent != current.nodes[1 - index].spent:
                steps.append(
                    (f"hear({index})", receive_spending(current, index, rules))
                )
        if current.ticks < TICKS:
            steps.append(("tick", tick(current, rules)))
            changed = current._replace(connected=not current.connected)
            steps.append(("cut" if current.connected else "heal", changed))
        return steps

    return transitions


def spent_within_limit(state: State) -> bool:
    """Return whether the nodes spent at most the rate and a burst at each node."""
    spent = sum(node.spent for node in state.nodes)
    return spent <= NODES * BURST + RATE * state.ticks


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    invariants = {"spent_within_limit": spent_within_limit}
    return protocol_of(name, State(), transitions_for(rules), invariants)


LIMITS = Specification(
    "rate limits shared by gateway nodes",
    build_protocol("limits", Rules()),
    "2 nodes, 4 ticks, cuts and heals at any time",
    (
        Variant(
            "spending of peers is not charged",
            build_protocol("uncharged", Rules(charges_peers=False)),
            frozenset({"spent_within_limit"}),
        ),
        Variant(
            "disconnected nodes refill at the full rate",
            build_protocol("whole-rate", Rules(refills_by_share=False)),
            frozenset({"spent_within_limit"}),
        ),
        Variant(
            "an overdrawn bucket is reset to zero",
            build_protocol("forgiven", Rules(keeps_debt=False)),
            frozenset({"spent_within_limit"}),
        ),
    ),
)
