"""Specification of the gateway's leadership: leader, fence and record of usage.

Two nodes may try to become the leader at any time, since each decides by itself
whether the leader is gone. Writes to the store and calls to the cloud may be lost, or
take effect late, when their sender no longer waits for them. A leader can pause after
any step. In the labels of the steps, "holder" stands for the leader.

Steps and their implementations:

- read_holder, acquire, confirm, recover: ``Leadership`` in ``gateway/leadership.py``
- read_usage, record_usage, report: ``UsageReports`` in ``gateway/usage_reports.py``
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 2
MAX_WRITES = 3  # of the leader row
MAX_FENCE = 2


class Step(IntEnum):
    """Step of a node."""

    IDLE = 0
    READ = 1  # has read the leader row and is about to write it
    LEADER = 2  # believes that it is the leader
    CONFIRMED = 3  # the store has just confirmed that it is the leader
    UNCONFIRMED = 4  # the answer to a confirmation was lost


class Node(NamedTuple):
    """One node, with its view of the two rows."""

    step: Step = Step.IDLE
    fence: int = 0
    version: int = 0  # of the leader row
    usage_version: int = -1  # of the usage row; -1 while unknown
    usage: int = 0  # the recorded counts; 0 for none


class Write(NamedTuple):
    """Conditional write in flight whose sender no longer waits for it."""

    to_usage_row: bool  # False for the leader row
    expected: int  # version of the row
    node: int
    value: int  # fence, or counts


class Report(NamedTuple):
    """Usage report in flight to the cloud."""

    node: int
    fence: int
    counts: int


class State(NamedTuple):
    """State of the model: rows, nodes, messages in flight, reports accepted."""

    leader: int  # node that the leader row names; -1 for none
    fence: int
    version: int
    usage: int  # recorded counts; each node would count differently
    usage_version: int
    nodes: tuple[Node, ...]
    write: Write | None
    report: Report | None
    cloud_fence: int
    cloud_node: int  # node whose report had that fence
    reported: int
    shared_fence: bool  # reports of two nodes with the same fence were accepted
    counts_changed: bool  # two accepted reports differ


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    conditional: bool = True  # the leader row is written with a condition
    fence_grows: bool = True
    usage_recorded: bool = True  # usage is written to the store before the report


def replace_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def apply_write(state: State, write: Write, rules: Rules) -> State:
    """Return the state after the store has received a write.

    The state is unchanged if the condition of the write fails.
    """
    if write.to_usage_row:
        if write.expected != state.usage_version:
            return state
        return state._replace(usage=write.value, usage_version=state.usage_version + 1)
    if rules.conditional and write.expected != state.version:
        return state
    return state._replace(
        leader=write.node, fence=write.value, version=state.version + 1
    )


def leadership_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node that read and write the leader row."""
    node = state.nodes[index]
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    if node.step is Step.IDLE:
        read = {"fence": state.fence, "version": state.version}
        step("read_holder", replace_node(state, index, step=Step.READ, **read))
    may_write = state.version < MAX_WRITES
    if node.step is Step.READ and may_write and node.fence < MAX_FENCE:
        fence = node.fence + 1 if rules.fence_grows else max(node.fence, 1)
        write = Write(False, node.version, index, fence)
        steps += _leader_write_steps(state, index, write, rules, "acquire", Step.IDLE)
    if node.step is Step.LEADER and may_write:
        write = Write(False, node.version, index, node.fence)
        steps += _leader_write_steps(
            state, index, write, rules, "confirm", Step.UNCONFIRMED
        )
    if node.step is Step.CONFIRMED:
        step("confirmation_ages", replace_node(state, index, step=Step.LEADER))
    if node.step is Step.UNCONFIRMED:
        if state.leader == index:
            found = {"fence": state.fence, "version": state.version}
            step("recover", replace_node(state, index, step=Step.LEADER, **found))
        elif state.version != node.version:
            step("recover", replace_node(state, index, step=Step.IDLE))
        else:
            step("recover", replace_node(state, index, step=Step.LEADER))
    return steps


def _leader_write_steps(
    state: State, index: int, write: Write, rules: Rules, label: str, unknown: Step
) -> list:
    """Return a write of the leader row whose answer arrives, and one without answer.

    ``unknown`` is the step of the node after a write without an answer.
    """
    written = apply_write(state, write, rules)
    if written == state:
        steps = [
            (f"{label}_conflict({index})", replace_node(state, index, step=Step.IDLE))
        ]
    else:
        held = {"fence": write.value, "version": written.version}
        after = replace_node(written, index, step=Step.CONFIRMED, **held)
        steps = [(f"{label}({index})", after)]
    if state.write is None:
        unanswered = replace_node(state, index, step=unknown)._replace(write=write)
        steps.append((f"{label}_unanswered({index})", unanswered))
    return steps


def usage_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node that read, record and report usage."""
    node, own_counts = state.nodes[index], index + 1
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    if node.step < Step.LEADER:
        return steps
    if node.usage_version < 0:
        read = {"usage": state.usage, "usage_version": state.usage_version}
        step("read_usage", replace_node(state, index, **read))
    elif not node.usage:
        write = Write(True, node.usage_version, index, own_counts)
        written = apply_write(state, write, rules)
        if written == state:
            step("record_conflict", replace_node(state, index, usage_version=-1))
        else:
            kept = {"usage": own_counts, "usage_version": written.usage_version}
            step("record_usage", replace_node(written, index, **kept))
        if state.write is None:
            unanswered = replace_node(state, index, usage_version=-1)._replace(
                write=write
            )
            step("record_unanswered", unanswered)
    counts = node.usage if rules.usage_recorded else own_counts
    if node.step is Step.CONFIRMED and counts and state.report is None:
        step("report", state._replace(report=Report(index, node.fence, counts)))
    return steps


def platform_steps(state: State, rules: Rules) -> list:
    """Return the late deliveries and losses of the write and report in flight."""
    steps = []
    if state.write is not None:
        remaining = state._replace(write=None)
        steps.append(("write_lost", remaining))
        steps.append(("write_late", apply_write(remaining, state.write, rules)))
    if state.report is not None:
        remaining = state._replace(report=None)
        steps.append(("call_lost", remaining))
        if state.report.fence < state.cloud_fence:
            dropped = replace_node(remaining, state.report.node, step=Step.IDLE)
            steps.append(("call_declined", dropped))
        else:
            steps.append(("call_accepted", _accept_report(remaining, state.report)))
    return steps


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


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = platform_steps(current, rules)
        for index in range(NODES):
            steps += leadership_steps(current, index, rules)
            steps += usage_steps(current, index, rules)
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


INVARIANTS = {
    "one_node_has_a_fence": one_node_has_a_fence,
    "reports_agree": reports_agree,
    "confirmed_holder_is_named": confirmed_holder_is_named,
}


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    initial = State(
        -1, 0, 0, 0, 0, (Node(),) * NODES, None, None, 0, -1, 0, False, False
    )
    return protocol_of(name, initial, transitions_for(rules), INVARIANTS)


LEADERSHIP = Specification(
    "leadership of the gateway and its record of usage",
    build_protocol("leadership", Rules()),
    "2 nodes, 3 writes of the leader row, 1 late write and 1 late report",
    (
        Variant(
            "leader row written without a condition",
            build_protocol("unconditional", Rules(conditional=False)),
            frozenset({"one_node_has_a_fence"}),
        ),
        Variant(
            "fence does not grow",
            build_protocol("same-fence", Rules(fence_grows=False)),
            frozenset({"one_node_has_a_fence"}),
        ),
        Variant(
            "usage reported without a record",
            build_protocol("unrecorded", Rules(usage_recorded=False)),
            frozenset({"reports_agree"}),
        ),
    ),
)
