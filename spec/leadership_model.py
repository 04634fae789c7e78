"""Model of the gateway's leadership: rows of the store, nodes and their steps.

Two nodes may try to become the leader at any time, since each decides by itself
whether the leader is gone. Writes to the store and calls to the cloud may be lost, or
take effect late, when their sender no longer waits for them. A leader can pause after
any step. In the labels of the steps, "holder" stands for the leader.

The store may return with older rows in a new era, at any moment. Each era has rows of
its own, so a late write of an earlier era has no effect, and the rows of a new era are
missing at first. Their versions start again. The model has one window of usage, which
ends before or after the return. Where the store may return, a node reads the leader
row and writes it in one step, since a write after an outdated read only fails.

One modelled return goes back to an empty store. The rows of earlier eras that an older
copy holds make no difference, since no node reads them.

Steps and their implementations:

- read_holder, acquire, confirm, recover, learn_era, reclaim: ``Leadership`` in
  ``gateway/leadership.py``
- read_usage, record_usage, report: ``UsageReports`` in ``gateway/usage_reports.py``
- confirmations_end: the time after the return by which every confirmation of an
  earlier era has run out
"""

from enum import IntEnum
from typing import NamedTuple

NODES = 2
FENCES_PER_ERA = 2


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
    era: int = 0  # of the rows that it knows
    fence: int = 0
    version: int = 0  # of the leader row
    usage_version: int = -1  # of the usage row; -1 while unknown
    usage: int = 0  # the recorded counts; 0 for none
    has_read: bool = False  # the usage row, since it became the leader
    known: int = 0  # counts that it has seen recorded; 0 for none
    known_era: int = 0  # era of that record
    # Whether it acquired when no other confirmation was valid, as after a lease.
    alone: bool = False
    # The leader at the last return that no other node can have replaced before. It
    # reclaims its leadership without a wait.
    latest: bool = False
    # Windows that ended before this era may have been reported with counts that it does
    # not know.
    unknown_before: int = 0


class Write(NamedTuple):
    """Conditional write in flight whose sender no longer waits for it."""

    to_usage_row: bool  # False for the leader row
    era: int
    expected: int  # version of the row
    node: int
    value: int  # fence, or counts
    unknown_before: int = 0  # for the usage row


class Report(NamedTuple):
    """Usage report in flight to the cloud."""

    node: int
    fence: int
    counts: int


class Rows(NamedTuple):
    """The two rows of the store in the present era."""

    leader: int = -1  # node that the leader row names; -1 for none
    fence: int = 0
    version: int = 0
    usage: int = 0  # recorded counts; each node would count differently
    usage_version: int = 0
    unknown_before: int = -1  # as in Node; -1 before the first record of the era


class State(NamedTuple):
    """State of the model: rows, nodes, messages in flight, reports accepted."""

    rows: Rows
    nodes: tuple[Node, ...]
    write: Write | None = None
    report: Report | None = None
    era: int = 0
    waited: bool = True  # no confirmation of an earlier era is valid any more
    window_era: int = 0  # era in which the window ends
    cloud_fence: int = 0
    cloud_node: int = -1  # node whose report had that fence
    reported: int = 0
    confirmed_fence: int = 0  # highest one that the store has confirmed
    shared_fence: bool = False  # reports of two nodes with the same fence were accepted
    counts_changed: bool = False  # two accepted reports differ
    fence_fell: bool = False  # a new leader's fence was not above those before


class Rules(NamedTuple):
    """Bounds of the model, and switches that break the protocol one at a time."""

    max_writes: tuple[int, ...] = (3,)  # of the leader row, by era

    conditional: bool = True  # the leader row is written with a condition
    fence_grows: bool = True
    usage_recorded: bool = True  # usage is written to the store before the report
    rows_per_era: bool = True  # otherwise writes of earlier eras may take effect
    fence_has_era: bool = True
    waits: bool = True  # for confirmations of earlier eras to run out
    withholds: bool = True  # windows that may have been reported in an earlier era
    checks_latest: bool = True  # only the latest leader reclaims its leadership
    checks_complete: bool = True  # that the latest leader had read the usage row

    forgets: bool = True  # records of eras before the previous one

    @property
    def last_era(self) -> int:
        """Return the number of returns of the store."""
        return len(self.max_writes) - 1


def replace_node(state: State, index: int, **changes) -> State:
    """Return the state with one node changed."""
    nodes = list(state.nodes)
    nodes[index] = nodes[index]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def stop_leading(state: State, index: int) -> State:
    """Return the state in which a node is not the leader."""
    node = state.nodes[index]
    stopped = Node(known=node.known, known_era=node.known_era)
    return replace_node(state, index, **stopped._asdict())


def is_any_confirmed(state: State) -> bool:
    """Return whether a node's confirmation is valid."""
    return any(node.step is Step.CONFIRMED for node in state.nodes)


def apply_write(state: State, write: Write, rules: Rules) -> State:
    """Return the state after the store has received a write.

    The state is unchanged if the condition of the write fails.
    """
    rows = state.rows
    if rules.rows_per_era and write.era != state.era:
        return state
    if write.to_usage_row:
        if write.expected != rows.usage_version:
            return state
        version = rows.usage_version + 1
        return state._replace(
            rows=rows._replace(
                usage=write.value,
                usage_version=version,
                unknown_before=write.unknown_before,
            )
        )
    if rules.conditional and write.expected != rows.version:
        return state
    version = rows.version + 1
    return state._replace(
        rows=rows._replace(leader=write.node, fence=write.value, version=version)
    )


def next_fence(node: Node, rules: Rules) -> int:
    """Return the fence with which a node acquires leadership."""
    first = node.era * FENCES_PER_ERA + 1 if rules.fence_has_era else 1
    return max(node.fence + rules.fence_grows, first)


def leadership_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node that read and write the leader row."""
    node, rows = state.nodes[index], state.rows
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    if node.step is Step.IDLE:
        read = {
            "era": state.era,
            "fence": rows.fence,
            "version": rows.version,
            "unknown_before": state.era,
        }
        if rules.forgets and node.known_era < state.era - 1:
            # Others may have recorded other counts in an era between.
            read["known"] = read["known_era"] = 0
        reading = replace_node(state, index, step=Step.READ, **read)
        if rules.last_era:
            return _acquire_steps(reading, index, rules)
        step("read_holder", reading)
    if node.step is Step.CONFIRMED:
        step("confirmation_ages", replace_node(state, index, step=Step.LEADER))
    if node.step is not Step.IDLE and node.era < state.era:
        return steps + _new_era_steps(state, index, rules)
    if node.step is Step.READ:
        steps += _acquire_steps(state, index, rules)
    if node.step is Step.LEADER and rows.version < rules.max_writes[state.era]:
        write = Write(False, node.era, node.version, index, node.fence)
        steps += _leader_write_steps(
            state, index, write, rules, "confirm", Step.UNCONFIRMED
        )
    if node.step is Step.UNCONFIRMED:
        if rows.leader == index:
            found = {"fence": rows.fence, "version": rows.version}
            step("recover", replace_node(state, index, step=Step.LEADER, **found))
        elif rows.version != node.version:
            step("recover", stop_leading(state, index))
        else:
            step("recover", replace_node(state, index, step=Step.LEADER))
    return steps


def _acquire_steps(state: State, index: int, rules: Rules) -> list:
    """Return the writes of a node that has read the leader row."""
    node = state.nodes[index]
    fence = next_fence(node, rules)
    may_write = (
        state.rows.version < rules.max_writes[state.era]
        and fence <= (state.era + 1) * FENCES_PER_ERA
        and (state.waited or node.latest)
    )
    if not may_write:
        return []
    label = "reclaim" if node.latest else "acquire"
    write = Write(False, node.era, node.version, index, fence)
    return _leader_write_steps(state, index, write, rules, label, Step.IDLE)


def _new_era_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of a node that knows only rows of an earlier era."""
    node = state.nodes[index]
    steps = []
    if node.step is Step.LEADER:
        # The answer shows the new era, so the node counts it as lost.
        write = Write(False, node.era, node.version, index, node.fence)
        written = apply_write(state, write, rules)
        if written != state:
            steps.append((f"write_in_new_era({index})", stop_leading(written, index)))
    latest = node.latest or not rules.checks_latest
    if latest and state.rows.version == 0:
        complete = node.has_read or not rules.checks_complete
        reclaiming = Node(
            Step.READ,
            state.era,
            known=node.known,
            known_era=state.era - 1 if complete else node.known_era,
            latest=True,
            unknown_before=node.unknown_before if complete else state.era,
        )
        changed = replace_node(state, index, **reclaiming._asdict())
        steps += _acquire_steps(changed, index, rules)
    steps.append((f"learn_era({index})", stop_leading(state, index)))
    return steps


def _leader_write_steps(
    state: State, index: int, write: Write, rules: Rules, label: str, unknown: Step
) -> list:
    """Return a write of the leader row whose answer arrives, and one without answer.

    ``unknown`` is the step of the node after a write without an answer.
    """
    written = apply_write(state, write, rules)
    if written == state:
        steps = [(f"{label}_conflict({index})", stop_leading(state, index))]
    else:
        held = {"fence": write.value, "version": written.rows.version}
        if label != "confirm":
            held["latest"] = False
            held["alone"] = state.era < rules.last_era and not is_any_confirmed(state)
        after = replace_node(written, index, step=Step.CONFIRMED, **held)
        after = _note_confirmed(after, write.value, label != "confirm")
        steps = [(f"{label}({index})", after)]
    if state.write is None:
        unanswered = replace_node(state, index, step=unknown)._replace(write=write)
        if unknown is Step.IDLE:
            unanswered = stop_leading(unanswered, index)
        steps.append((f"{label}_unanswered({index})", unanswered))
    return steps


def _note_confirmed(state: State, fence: int, is_new: bool) -> State:
    highest = state.confirmed_fence
    fell = fence <= highest if is_new else fence < highest
    return state._replace(
        confirmed_fence=max(fence, highest), fence_fell=state.fence_fell or fell
    )


def usage_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one node that read, record and report usage."""
    node, rows, own_counts = state.nodes[index], state.rows, index + 1
    steps = []

    def step(label: str, changed: State) -> None:
        steps.append((f"{label}({index})", changed))

    due = state.window_era < state.era or (
        state.window_era == state.era and state.waited
    )
    if node.step < Step.LEADER or not due:
        return steps
    if node.era == state.era and node.usage_version < 0:
        read = {
            "usage": rows.usage,
            "usage_version": rows.usage_version,
            "has_read": state.era < rules.last_era,
        }
        if rows.usage:
            read |= _known(state, rows.usage, rules)
        if rows.unknown_before >= 0:
            read["unknown_before"] = rows.unknown_before
        step("read_usage", replace_node(state, index, **read))
    elif node.era == state.era and not node.usage:
        withheld = rules.withholds and state.window_era < node.unknown_before
        if node.known or not withheld:
            counts = node.known or own_counts
            steps += _record_steps(state, index, rules, counts, "record_usage")
        elif rows.unknown_before < 0:
            # The counts of another window, which the model leaves out.
            steps += _record_steps(state, index, rules, 0, "record_other")
    counts = node.usage if rules.usage_recorded else own_counts
    if node.step is Step.CONFIRMED and counts and state.report is None:
        step("report", state._replace(report=Report(index, node.fence, counts)))
    return steps


def _known(state: State, counts: int, rules: Rules) -> dict[str, int]:
    """Return the fields of a node that has seen recorded counts.

    They matter only in a later era.
    """
    if state.era == rules.last_era:
        return {"known": 0, "known_era": 0}
    return {"known": counts, "known_era": state.era}


def _record_steps(
    state: State, index: int, rules: Rules, counts: int, label: str
) -> list:
    """Return a write of the usage row whose answer arrives, and one without answer."""
    node = state.nodes[index]
    write = Write(
        True, node.era, node.usage_version, index, counts, node.unknown_before
    )
    written = apply_write(state, write, rules)
    if written == state:
        unread = replace_node(state, index, usage_version=-1)
        steps = [(f"{label}_conflict({index})", unread)]
    else:
        kept = {"usage": counts, "usage_version": written.rows.usage_version}
        if counts:
            kept |= _known(state, counts, rules)
        steps = [(f"{label}({index})", replace_node(written, index, **kept))]
    if state.write is None:
        unread = replace_node(state, index, usage_version=-1)
        unanswered = unread._replace(write=write)
        steps.append((f"{label}_unanswered({index})", unanswered))
    return steps
