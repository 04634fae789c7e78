"""Specification of the claim and dispatch of one idempotency key.

Three calls with the same key arrive at different nodes in any order. A node can
pause between any two steps (any interleaving is allowed) and can crash after any
step. Answers of the table can be lost, and a write whose answer was lost can take
effect at any later time. A dispatched message can be delivered at any later time or
never.

Steps and their implementations:

- write_claim, table_applies, table_rejects, read_back: ``Claims.claim`` in
  ``state/claims.py``
- dispatch, connect_refused: ``ServiceDispatcher`` in ``requests/service_dispatch.py``
- settle_done, settle_not_run, give_up: ``Claims.settle`` in ``state/claims.py``
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

CALLS = 3


class Row(IntEnum):
    """State of the claim's row in the table."""

    ABSENT = 0
    DISPATCHING = 1
    NOT_RUN = 2
    DONE = 3
    UNKNOWN = 4


class Phase(IntEnum):
    """State of one call at its node."""

    NEW = 0
    WRITING = 1  # claim sent to the table, no answer yet
    UNCONFIRMED = 2  # the answer of the table was lost
    CLAIMED = 3
    SENT = 4
    REFUSED = 5  # another call holds the key, and the caller is told
    REPORTED_NOT_RUN = 6
    REPORTED_ANSWERED = 7
    REPORTED_UNKNOWN = 8
    CRASHED = 9


class Call(NamedTuple):
    """One call with the key at one node."""

    phase: Phase = Phase.NEW
    write_pending: bool = False  # the claim can still reach the table
    message_pending: bool = False  # the call can still reach the endpoint
    answer_lost: bool = False  # the table's answer to the claim will not arrive
    runs: int = 0


class State(NamedTuple):
    """State of the model: the row and all calls."""

    row: Row
    owner: int  # index of the call that holds the row, -1 for none
    calls: tuple[Call, ...]


class Rules(NamedTuple):
    """Switches that break the protocol one at a time."""

    take_over: bool = False  # a second call takes over a dispatching claim
    timeout_is_not_run: bool = False  # not_run is reported after the message was sent
    lost_answer_is_success: bool = False  # a lost answer counts as a granted claim
    unconditional_write: bool = False  # a claim overwrites the row in any state


def replace_call(state: State, index: int, **changes) -> State:
    """Return the state with one call changed."""
    calls = list(state.calls)
    calls[index] = calls[index]._replace(**changes)
    return state._replace(calls=tuple(calls))


def table_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of the table for a pending claim write."""
    call = state.calls[index]
    if not call.write_pending:
        return []
    free = state.row in (Row.ABSENT, Row.NOT_RUN)
    taken_over = rules.take_over and state.row is Row.DISPATCHING
    waiting = call.phase is Phase.WRITING
    steps = []
    if free or taken_over or rules.unconditional_write:
        applied = state._replace(row=Row.DISPATCHING, owner=index)
        applied = replace_call(applied, index, write_pending=False)
        steps.append(("table_applies_answer_lost", applied))
        if waiting:
            granted = replace_call(applied, index, phase=Phase.CLAIMED)
            steps.append(("table_applies", granted))
    else:
        rejected = replace_call(state, index, write_pending=False)
        steps.append(("table_rejects_answer_lost", rejected))
        if waiting:
            refused = replace_call(rejected, index, phase=Phase.REFUSED)
            steps.append(("table_rejects", refused))
    return steps


def node_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of the node that runs a call."""
    call = state.calls[index]
    owns = state.owner == index and state.row is Row.DISPATCHING
    steps = []

    def step(label: str, next_state: State, **changes) -> None:
        steps.append((f"{label}({index})", replace_call(next_state, index, **changes)))

    if call.phase is Phase.NEW:
        step("write_claim", state, phase=Phase.WRITING, write_pending=True)
    elif call.phase is Phase.WRITING:
        step("time_out", state, phase=Phase.UNCONFIRMED)
    elif call.phase is Phase.UNCONFIRMED:
        if rules.lost_answer_is_success or owns:
            step("read_back_granted", state, phase=Phase.CLAIMED)
        if not owns:
            step("read_back_absent", state, phase=Phase.REPORTED_NOT_RUN)
        step("read_back_impossible", state, phase=Phase.REPORTED_NOT_RUN)
    elif call.phase is Phase.CLAIMED:
        step("dispatch", state, phase=Phase.SENT, message_pending=True)
        step("connect_refused", state, phase=Phase.REPORTED_NOT_RUN)
    elif call.phase is Phase.SENT:
        if call.runs and not call.message_pending:
            done = state._replace(row=Row.DONE) if owns else state
            step("settle_done", done, phase=Phase.REPORTED_ANSWERED)
        reported = Phase.REPORTED_UNKNOWN
        if rules.timeout_is_not_run:
            reported = Phase.REPORTED_NOT_RUN
        given_up = state._replace(row=Row.UNKNOWN) if owns else state
        step("give_up", given_up, phase=reported)
        step("give_up_unsettled", state, phase=reported)
    elif call.phase is Phase.REPORTED_NOT_RUN and owns and not rules.timeout_is_not_run:
        step("settle_not_run", state._replace(row=Row.NOT_RUN))
    running = (Phase.WRITING, Phase.UNCONFIRMED, Phase.CLAIMED, Phase.SENT)
    if call.phase in running:
        step("crash", state, phase=Phase.CRASHED)
    return steps


def endpoint_steps(state: State, index: int) -> list:
    """Return the steps of the endpoint for a message in flight."""
    call = state.calls[index]
    if not call.message_pending:
        return []
    ran = replace_call(state, index, message_pending=False, runs=call.runs + 1)
    lost = replace_call(state, index, message_pending=False)
    return [(f"run({index})", ran), (f"message_lost({index})", lost)]


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = []
        for index in range(CALLS):
            steps += node_steps(current, index, rules)
            steps += table_steps(current, index, rules)
            steps += endpoint_steps(current, index)
        return steps

    return transitions


def runs_at_most_once(state: State) -> bool:
    """Return whether the key has run at most once over all calls (R4)."""
    return sum(call.runs for call in state.calls) <= 1


def not_run_is_true(state: State) -> bool:
    """Return whether calls reported as not run have not run and never will (R3)."""
    return all(
        call.runs == 0 and not call.message_pending
        for call in state.calls
        if call.phase is Phase.REPORTED_NOT_RUN
    )


def answered_ran(state: State) -> bool:
    """Return whether each answered call ran once."""
    return all(
        call.runs == 1 for call in state.calls if call.phase is Phase.REPORTED_ANSWERED
    )


INVARIANTS = {
    "runs_at_most_once": runs_at_most_once,
    "not_run_is_true": not_run_is_true,
    "answered_ran": answered_ran,
}


def build_protocol(name: str, rules: Rules):
    """Return the protocol under the rules."""
    initial = State(Row.ABSENT, -1, (Call(),) * CALLS)
    return protocol_of(name, initial, transitions_for(rules), INVARIANTS)


def build_variant(name: str, rules: Rules, *violates: str) -> Variant:
    """Return a variant with one rule broken and the invariants that it violates."""
    return Variant(name, build_protocol(name, rules), frozenset(violates))


CLAIMS = Specification(
    "claim and dispatch",
    build_protocol("claims", Rules()),
    "3 calls with one key; each can pause, crash and lose answers at each step",
    (
        build_variant("take over", Rules(take_over=True), "runs_at_most_once"),
        build_variant(
            "not_run after the message was sent",
            Rules(timeout_is_not_run=True),
            "not_run_is_true",
        ),
        build_variant(
            "lost answer counts as a claim",
            Rules(lost_answer_is_success=True),
            "runs_at_most_once",
        ),
        build_variant(
            "unconditional write",
            Rules(unconditional_write=True),
            "runs_at_most_once",
        ),
    ),
)
