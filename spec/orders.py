"""Specification of fenced orders to one endpoint.

Two nodes can hold the lease, one after the other. A holder can pause at any step and
continue after its lease has expired. Orders state a desired end state and can be
delayed, doubled or lost. Two kinds of endpoint are checked: one refuses an order with
a lower fencing number than the highest it has seen, the other ignores the number and
depends on the read-back.

Steps and their implementations:

- acquire, expire: ``Leases.acquire`` and ``Leases.holds`` in ``state/leases.py``
- check_lease, send_order, read_back: ``OrderReconciler`` in
  ``state/order_reconciler.py``
"""

from enum import IntEnum
from typing import NamedTuple

from spec.checking import Specification, Variant, protocol_of

HOLDERS = 2
MAX_IN_FLIGHT = 3  # orders in flight at the same time


class Step(IntEnum):
    """Step of a node that can hold the lease."""

    IDLE = 0
    HELD = 1  # believes that it holds the lease
    CHECKED = 2  # has checked the lease by its clock and is about to send
    SENT = 3  # waits for the read-back
    CONFIRMED = 4  # the read-back showed the desired state


class Holder(NamedTuple):
    """One node that can hold the lease."""

    step: Step = Step.IDLE
    number: int = 0  # fencing number; 0 before it acquires the lease


class State(NamedTuple):
    """State of the model: lease row, holders, orders in flight and the endpoint."""

    lease_owner: int  # -1 when free
    lease_number: int
    holders: tuple[Holder, ...]
    in_flight: tuple[int, ...]  # fencing numbers, sorted; each stands for its target
    endpoint_number: int  # highest number seen by the endpoint
    endpoint_target: int  # fencing number of the order applied last
    regressed: bool  # the order of an earlier holder replaced a newer one


class Rules(NamedTuple):
    """Kind of endpoint and switches that break the protocol."""

    endpoint_checks: bool = True  # the endpoint refuses lower fencing numbers
    number_grows: bool = True  # each holder gets a higher fencing number
    verify_after_confirm: bool = True  # confirmed states are read again


def replace_holder(state: State, index: int, holder: Holder) -> State:
    """Return the state with one holder changed."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=tuple(holders))


def holder_steps(state: State, index: int, rules: Rules) -> list:
    """Return the steps of one holder."""
    holder = state.holders[index]
    steps = []

    def step(label: str, next_state: State, **changes) -> None:
        changed = replace_holder(next_state, index, holder._replace(**changes))
        steps.append((f"{label}({index})", changed))

    if state.lease_owner == -1 and holder.step is Step.IDLE and not holder.number:
        number = state.lease_number + 1 if rules.number_grows else 1
        acquired = state._replace(lease_owner=index, lease_number=number)
        step("acquire", acquired, step=Step.HELD, number=number)
    if holder.step is Step.HELD and state.lease_owner == index:
        step("check_lease", state, step=Step.CHECKED)
    if holder.step is Step.HELD and state.lease_owner != index:
        step("notice_expiry", state, step=Step.IDLE)
    # The holder may have paused after it checked the lease, so that it has expired.
    if holder.step is Step.CHECKED and len(state.in_flight) < MAX_IN_FLIGHT:
        sent = state._replace(
            in_flight=tuple(sorted((*state.in_flight, holder.number)))
        )
        step("send_order", sent, step=Step.SENT)
    if holder.step is Step.SENT:
        if state.endpoint_target == holder.number:
            step("read_back_same", state, step=Step.CONFIRMED)
        else:
            step("read_back_other", state, step=Step.HELD)
    if (
        rules.verify_after_confirm
        and holder.step is Step.CONFIRMED
        and state.lease_owner == index
        and state.endpoint_target != holder.number
    ):
        step("watch_finds_other", state, step=Step.HELD)
    return steps


def endpoint_steps(state: State, rules: Rules) -> list:
    """Return the deliveries, refusals and losses of the orders in flight."""
    steps = []
    for number in sorted(set(state.in_flight)):
        remaining = list(state.in_flight)
        remaining.remove(number)
        lost = state._replace(in_flight=tuple(remaining))
        steps.append((f"lose({number})", lost))
        stale = number < state.endpoint_number
        if stale and rules.endpoint_checks:
            steps.append((f"refuse({number})", lost))
            continue
        applied = lost._replace(
            endpoint_number=max(number, state.endpoint_number),
            endpoint_target=number,
            regressed=state.regressed or stale,
        )
        steps.append((f"apply({number})", applied))
    return steps


def transitions_for(rules: Rules):
    """Return the transition function under the rules."""

    def transitions(state: tuple) -> list:
        current = State(*state)
        steps = []
        if current.lease_owner != -1 and current.lease_number < HOLDERS:
            steps.append(("expire", current._replace(lease_owner=-1)))
        for index in range(HOLDERS):
            steps += holder_steps(current, index, rules)
        steps += endpoint_steps(current, rules)
        return steps

    return transitions


def never_goes_back(state: State) -> bool:
    """Return whether no order of an earlier holder replaced a newer one."""
    return not state.regressed


def numbers_differ(state: State) -> bool:
    """Return whether no two holders have the same fencing number."""
    numbers = [holder.number for holder in state.holders if holder.number]
    return len(numbers) == len(set(numbers))


def newest_order_in_force(state: State) -> bool:
    """Return whether the endpoint is in the state that the last holder ordered."""
    newest = state.lease_number == HOLDERS
    return newest and not state.in_flight and state.endpoint_target == HOLDERS


def build_protocol(name: str, rules: Rules, invariants: dict):
    """Return the protocol under the rules."""
    initial = State(-1, 0, (Holder(),) * HOLDERS, (), 0, 0, False)
    return protocol_of(
        name, initial, transitions_for(rules), invariants, newest_order_in_force
    )


FENCED = {"never_goes_back": never_goes_back, "numbers_differ": numbers_differ}
UNFENCED = {"numbers_differ": numbers_differ}
BOUNDS = "2 holders one after the other, 3 orders in flight, delays and losses"

FENCED_ORDERS = Specification(
    "orders to an endpoint that checks the fencing number",
    build_protocol("fenced", Rules(), FENCED),
    BOUNDS,
    (
        Variant(
            "number does not grow",
            build_protocol("same-number", Rules(number_grows=False), FENCED),
            frozenset({"numbers_differ"}),
        ),
        Variant(
            "endpoint ignores the number",
            build_protocol("ignored", Rules(endpoint_checks=False), FENCED),
            frozenset({"never_goes_back"}),
        ),
    ),
)

UNFENCED_ORDERS = Specification(
    "orders to an endpoint that ignores the fencing number",
    build_protocol("unfenced", Rules(endpoint_checks=False), UNFENCED),
    BOUNDS,
    (
        Variant(
            "no read-back after the first confirmation",
            build_protocol(
                "unwatched",
                Rules(endpoint_checks=False, verify_after_confirm=False),
                UNFENCED,
            ),
            frozenset({"goal"}),
        ),
    ),
)
