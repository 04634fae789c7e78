"""Check of the specifications with the model checker.

Run it as ``python -m spec``. A specification passes if each invariant holds in all
states and the checker rejects each broken variant. A search that stops at the limit
of states counts as a failure.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from minicheck import Protocol, check_liveness, check_safety

MAX_STATES = 2_000_000


@dataclass(slots=True, frozen=True)
class Variant:
    """Broken protocol and what the checker must find in it: invariants or "goal"."""

    name: str
    protocol: Protocol
    violates: frozenset[str]


@dataclass(slots=True, frozen=True)
class Specification:
    """Protocol with the bounds of its model, in words, and its broken variants."""

    name: str
    protocol: Protocol
    bounds: str
    variants: tuple[Variant, ...] = field(default_factory=tuple)


@dataclass(slots=True, frozen=True)
class Verdict:
    """Result of one protocol or variant, with the number of states reached."""

    name: str
    passed: bool
    states: int
    detail: str


def trace_of(result: dict, invariant: str) -> list[str]:
    """Return the labels of the steps of an invariant's shortest counterexample."""
    steps = result["properties"][invariant]["counterexample"]
    return [step["label"] for step in steps if step["label"]]


def check_protocol(specification: Specification) -> Verdict:
    """Check that every invariant holds and the goal is reachable from every state."""
    protocol = specification.protocol
    result = check_safety(protocol, max_states=MAX_STATES)
    failed = [
        f"{name}: {trace_of(result, name)}"
        for name, entry in result["properties"].items()
        if entry["holds"] is False
    ]
    unknown = [
        name for name, entry in result["properties"].items() if entry["holds"] is None
    ]
    if unknown or not result["exhaustive"]:
        failed.append(f"search ended at the limit of states for {unknown}")
    if not failed and protocol.goal is not None:
        liveness = check_liveness(protocol)
        if liveness["holds"] is not True:
            failed.append(f"goal not reachable from every state: {liveness}")
    detail = "; ".join(failed) or f"{len(protocol.invariants)} invariants hold"
    return Verdict(specification.name, not failed, result["reachable_states"], detail)


def check_variant(specification: Specification, variant: Variant) -> Verdict:
    """Check that the broken variant violates the expected invariants."""
    result = check_safety(variant.protocol, max_states=MAX_STATES)
    violated = {
        name for name, entry in result["properties"].items() if entry["holds"] is False
    }
    wants_goal = "goal" in variant.violates
    if wants_goal and check_liveness(variant.protocol)["holds"] is False:
        violated.add("goal")
    missing = variant.violates - violated
    shown = sorted(variant.violates)[0]
    detail = f"checker found no violation of {sorted(missing)}"
    if not missing:
        trace = "" if shown == "goal" else f" after {trace_of(result, shown)}"
        detail = f"rejected: {shown}{trace}"
    name = f"{specification.name}, broken: {variant.name}"
    return Verdict(name, not missing, result["reachable_states"], detail)


def check_all(specifications: list[Specification]) -> list[Verdict]:
    """Return the verdicts of all specifications and variants."""
    verdicts = []
    for specification in specifications:
        verdicts.append(check_protocol(specification))
        for variant in specification.variants:
            verdicts.append(check_variant(specification, variant))
    return verdicts


def protocol_of(
    name: str,
    initial: tuple,
    transitions: Callable[[tuple], list],
    invariants: dict[str, Callable[[tuple], bool]],
    goal: Callable[[tuple], bool] | None = None,
) -> Protocol:
    """Return a protocol whose states are named tuples of the type of ``initial``.

    ``invariants`` and ``goal`` are called with that named tuple.
    """
    kind = type(initial)

    def on_state(predicate: Callable[[tuple], bool]) -> Callable[[dict], bool]:
        return lambda values: predicate(kind(**values))

    return Protocol(
        name=name,
        candidate=False,
        fields=kind._fields,
        initial=initial,
        transitions=transitions,
        invariants={key: on_state(check) for key, check in invariants.items()},
        goal=on_state(goal) if goal else None,
    )
