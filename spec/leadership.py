"""Specification of the gateway's leadership: leader, fence and record of usage.

The steps of the nodes are in ``spec.leadership_model``. Here are those of the platform:
messages that arrive late or never, and the return of the store with older rows.
"""

from spec.checking import Specification, Variant, protocol_of
from spec.leadership_model import (
    NODES,
    Node,
    Report,
    Rows,
    Rules,
    State,
    Step,
    apply_write,
    leadership_steps,
    stop_leading,
    usage_steps,
)


def platform_steps(state: State, rules: Rules) -> list:
    """Return late deliveries, losses, and the return of the store."""
    steps = []
    if state.write is not None:
        remaining = state._replace(write=None)
        steps.append(("write_lost", remaining))
        steps.append(("write_late", apply_write(remaining, state.write, rules)))
    if state.report is not None:
        remaining = state._replace(report=None)
        steps.append(("call_lost", remaining))
        if state.report.fence < state.cloud_fence:
            steps.append(("call_declined", stop_leading(remaining, state.report.node)))
        else:
            steps.append(("call_accepted", _accept_report(remaining, state.report)))
    if state.era < rules.last_era:
        steps.append(("store_returns", _return_store(state, rules)))
    old = any(n.step is Step.CONFIRMED and n.era < state.era for n in state.nodes)
    if not state.waited and not old:
        steps.append(("confirmations_end", state._replace(waited=True)))
    return steps


def _return_store(state: State, rules: Rules) -> State:
    nodes = tuple(
        node._replace(
            latest=state.rows.leader == index
            and node.step >= Step.LEADER
            and node.era == state.era
            and node.alone
        )
        for index, node in enumerate(state.nodes)
    )
    return state._replace(
        nodes=nodes,
        # A late write to the rows of an earlier era has no effect.
        write=None if rules.rows_per_era else state.write,
        era=state.era + 1,
        rows=Rows(),
        waited=not rules.waits,
    )


def _accept_report(state: State, report: Report) -> State:
    same_fence = report.fence == state.cloud_fence
    other = same_fence and report.node != state.cloud_node
    differs = state.reported not in (0, report.counts)
    return state._replace(
        cloud_fence=report.fence,
        cloud_node=report.node,
        reported=report.counts,
        shared_fence=state.shared_fence or other,
        counts_changed=state.counts_changed or differs,
    )


def forget_old_rows(state: State) -> State:
    """Return the state without what has no effect, so that fewer states are searched.

    A leader that knows only rows of an earlier era, and whose confirmation has run out,
    can only reclaim its leadership if it is the latest one, or stop.
    """
    nodes = []
    for node in state.nodes:
        if node.era < state.era and node.step in (Step.LEADER, Step.UNCONFIRMED):
            if node.latest:
                node = node._replace(
                    step=Step.LEADER,
                    fence=0,
                    version=0,
                    usage_version=-1,
                    usage=0,
                )
            else:
                node = Node(known=node.known, known_era=node.known_era)
        nodes.append(node)
    return state._replace(nodes=tuple(nodes))


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        if rules.last_era and not all(c(current) for c in INVARIANTS.values()):
            return []  # a violation has been found
        steps = platform_steps(current, rules)
        if rules.last_era and current == State(Rows(), (Node(),) * NODES):
            steps.append(("window_ends_later", current._replace(window_era=1)))
        for index in range(NODES):
            steps += leadership_steps(current, index, rules)
            steps += usage_steps(current, index, rules)
        if rules.last_era and rules.rows_per_era:
            return [(label, forget_old_rows(after)) for label, after in steps]
        return steps

    return transitions


def one_node_has_a_fence(state: State) -> bool:
    """Return whether the cloud never accepted the same fence from two nodes."""
    return not state.shared_fence


def reports_agree(state: State) -> bool:
    """Return whether a window was never reported with two different counts."""
    return not state.counts_changed


def confirmed_holder_is_named(state: State) -> bool:
    """Return whether no two nodes are confirmed as leader with the same fence."""
    fences = [node.fence for node in state.nodes if node.step is Step.CONFIRMED]
    return len(fences) == len(set(fences))


def fences_go_up(state: State) -> bool:
    """Return whether each confirmed leader has a higher fence than those before."""
    return not state.fence_fell


def confirmations_are_of_one_era(state: State) -> bool:
    """Return whether no leader of an earlier era is confirmed beside a later one."""
    eras = {node.era for node in state.nodes if node.step is Step.CONFIRMED}
    return len(eras) < 2


INVARIANTS = {
    "one_node_has_a_fence": one_node_has_a_fence,
    "reports_agree": reports_agree,
    "confirmed_holder_is_named": confirmed_holder_is_named,
    "fences_go_up": fences_go_up,
    "confirmations_are_of_one_era": confirmations_are_of_one_era,
}


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    initial = State(Rows(), (Node(),) * NODES)
    return protocol_of(name, initial, transitions_for(rules), INVARIANTS)


def _variant(name: str, violates: str, **rules) -> Variant:
    protocol = build_protocol(name.replace(" ", "-"), Rules(**rules))
    return Variant(name, protocol, frozenset({violates}))


LEADERSHIP = Specification(
    "leadership of the gateway and its record of usage",
    build_protocol("leadership", Rules()),
    "2 nodes, 3 writes of the leader row, 1 late write and 1 late report",
    (
        _variant(
            "leader row written without a condition",
            "one_node_has_a_fence",
            conditional=False,
        ),
        _variant("fence does not grow", "one_node_has_a_fence", fence_grows=False),
        _variant(
            "usage reported without a record", "reports_agree", usage_recorded=False
        ),
    ),
)

LEADERSHIP_OVER_RETURNS = Specification(
    "leadership over returns of the store with older rows",
    build_protocol("leadership-returns", Rules(max_writes=(2, 1, 1))),
    "2 nodes, 2 returns, 2 writes of the leader row before them and 1 after each, "
    "1 late write and 1 late report",
    (
        _variant(
            "fence without the era",
            "fences_go_up",
            max_writes=(1, 1),
            fence_has_era=False,
        ),
        _variant(
            "rows shared by all eras",
            "reports_agree",
            max_writes=(2, 1),
            rows_per_era=False,
        ),
        _variant(
            "leadership acquired while a confirmation of before the return is valid",
            "confirmations_are_of_one_era",
            max_writes=(1, 1),
            waits=False,
        ),
        _variant(
            "windows reported that may have been reported before the return",
            "reports_agree",
            max_writes=(1, 1),
            withholds=False,
        ),
        _variant(
            "a replaced leader takes itself for the latest one",
            "reports_agree",
            max_writes=(2, 1),
            checks_latest=False,
        ),
        _variant(
            "the latest leader has not read what was recorded before it",
            "reports_agree",
            max_writes=(2, 1),
            checks_complete=False,
        ),
        _variant(
            "records believed that are older than the previous era",
            "reports_agree",
            max_writes=(2, 1, 1),
            forgets=False,
        ),
    ),
)
