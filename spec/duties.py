"""Specification of the gateway's duties: holder, fence and record of usage.

Two nodes may try for the duties at any time, since each judges by itself whether the
holder is gone. Writes to the store and calls to the cloud may be lost, or carried out
late after their sender has gone on. A holder can pause after any step.

Steps and the functions that carry them out:

- read_holder, acquire, confirm, recover: ``Leadership`` in ``gateway/leadership.py``
- read_usage, record_usage, report: ``UsageReports`` in ``gateway/usage_reports.py``
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

NODES = 2
MOST_WRITES = 3  # of the row that names the holder
MOST_FENCE = 2


class Step(IntEnum):
    """Step of a node."""

    IDLE = 0
    READ = 1  # has read the row and is about to write it
    HELD = 2  # believes that it holds the duties
    CONFIRMED = 3  # the store has just confirmed that
    UNCONFIRMED = 4  # a confirmation had no answer


class Node(NamedTuple):
    """One node, with what it believes of the two rows."""

    step: Step = Step.IDLE
    fence: int = 0
    version: int = 0  # of the row that names the holder
    usage_version: int = -1  # of the row of usage; -1 while unknown
    usage: int = 0  # the recorded counts; 0 for none


class Write(NamedTuple):
    """A conditional write under way whose sender has gone on."""

    usage: bool  # to the row of usage
    expected: int
    node: int
    value: int  # fence, or counts


class Call(NamedTuple):
    """A report under way to the cloud."""

    node: int
    fence: int
    counts: int


class State(NamedTuple):
    """Rows, nodes, what is under way, and what the cloud has accepted."""

    owner: int  # node that the row names; -1 for none
    fence: int
    version: int
    usage: int  # recorded counts; each node would count differently
    usage_version: int
    nodes: tuple[Node, ...]
    write: Write | None
    call: Call | None
    cloud_fence: int
    cloud_node: int  # whose call had that fence
    reported: int
    shared_fence: bool  # calls of two nodes with one fence were accepted
    counts_changed: bool  # two accepted reports differ


class Rules(NamedTuple):
    """Switches that break the protocol."""

    conditional: bool = True  # writes of the holder's row
    fence_grows: bool = True
    usage_recorded: bool = True  # in the store, before it is reported


def put_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def carry_out(state: State, write: Write, rules: Rules) -> State:
    """Return the state after the store has carried out a write."""
    if write.usage:
        if write.expected != state.usage_version:
            return state
        return state._replace(usage=write.value, usage_version=state.usage_version + 1)
    if rules.conditional and write.expected != state.version:
        return state
    return state._replace(
        owner=write.node, fence=write.value, version=state.version + 1
    )


def holder_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node towards and with the holder's row."""
    node = state.nodes[index]
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    if node.step is Step.IDLE:
        read = {"fence": state.fence, "version": state.version}
        step("read_holder", put_node(state, index, step=Step.READ, **read))
    room = state.version < MOST_WRITES
    if node.step is Step.READ and room and node.fence < MOST_FENCE:
        fence = node.fence + 1 if rules.fence_grows else max(node.fence, 1)
        write = Write(False, node.version, index, fence)
        steps += _written(state, index, write, rules, "acquire", Step.IDLE)
    if node.step is Step.HELD and room:
        write = Write(False, node.version, index, node.fence)
        steps += _written(state, index, write, rules, "confirm", Step.UNCONFIRMED)
    if node.step is Step.CONFIRMED:
        step("confirmation_ages", put_node(state, index, step=Step.HELD))
    if node.step is Step.UNCONFIRMED:
        if state.owner == index:
            found = {"fence": state.fence, "version": state.version}
            step("recover", put_node(state, index, step=Step.HELD, **found))
        elif state.version != node.version:
            step("recover", put_node(state, index, step=Step.IDLE))
        else:
            step("recover", put_node(state, index, step=Step.HELD))
    return steps


def _written(
    state: State, index: int, write: Write, rules: Rules, label: str, unknown: Step
) -> list:
    """Return a write of the holder's row with its answer, and one without."""
    done = carry_out(state, write, rules)
    if done == state:
        steps = [(f"{label}_conflict({index})", put_node(state, index, step=Step.IDLE))]
    else:
        held = {"fence": write.value, "version": done.version}
        after = put_node(done, index, step=Step.CONFIRMED, **held)
        steps = [(f"{label}({index})", after)]
    if state.write is None:
        lost = put_node(state, index, step=unknown)._replace(write=write)
        steps.append((f"{label}_unanswered({index})", lost))
    return steps


def usage_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node that record and report usage."""
    node, own = state.nodes[index], index + 1
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    if node.step < Step.HELD:
        return steps
    if node.usage_version < 0:
        read = {"usage": state.usage, "usage_version": state.usage_version}
        step("read_usage", put_node(state, index, **read))
    elif not node.usage:
        write = Write(True, node.usage_version, index, own)
        done = carry_out(state, write, rules)
        if done == state:
            step("record_conflict", put_node(state, index, usage_version=-1))
        else:
            kept = {"usage": own, "usage_version": done.usage_version}
            step("record_usage", put_node(done, index, **kept))
        if state.write is None:
            lost = put_node(state, index, usage_version=-1)._replace(write=write)
            step("record_unanswered", lost)
    counts = node.usage if rules.usage_recorded else own
    if node.step is Step.CONFIRMED and counts and state.call is None:
        step("report", state._replace(call=Call(index, node.fence, counts)))
    return steps


def platform_steps(state: State, rules: Rules) -> list:
    """Return what store and cloud do with what is under way."""
    steps = []
    if state.write is not None:
        rest = state._replace(write=None)
        steps.append(("write_lost", rest))
        steps.append(("write_late", carry_out(rest, state.write, rules)))
    if state.call is not None:
        rest = state._replace(call=None)
        steps.append(("call_lost", rest))
        if state.call.fence < state.cloud_fence:
            dropped = put_node(rest, state.call.node, step=Step.IDLE)
            steps.append(("call_declined", dropped))
        else:
            steps.append(("call_accepted", _accept(rest, state.call)))
    return steps


def _accept(state: State, call: Call) -> State:
    same_fence = call.fence == state.cloud_fence
    other = same_fence and call.node != state.cloud_node
    differs = state.reported not in (0, call.counts)
    return state._replace(
        cloud_fence=call.fence,
        cloud_node=call.node,
        reported=call.counts,
        shared_fence=state.shared_fence or other,
        counts_changed=state.counts_changed or differs,
    )


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = platform_steps(current, rules)
        for index in range(NODES):
            steps += holder_steps(current, index, rules)
            steps += usage_steps(current, index, rules)
        return steps

    return transitions


def one_node_has_a_fence(state: State) -> bool:
    """Check that the cloud never accepts one fence from two nodes."""
    return not state.shared_fence


def reports_agree(state: State) -> bool:
    """Check that a window is never reported with other counts."""
    return not state.counts_changed


def confirmed_holder_is_named(state: State) -> bool:
    """Check that two nodes never hold confirmations of one fence."""
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


DUTIES = Specification(
    "holder of the gateway's duties and its record of usage",
    build_protocol("duties", Rules()),
    "2 nodes, 3 writes of the holder's row, 1 late write and 1 late call",
    (
        Variant(
            "holder's row written without a condition",
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
