"""Outcomes of a request; the response to the caller holds the tag."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(slots=True, frozen=True)
class Answered:
    """The request ran and gave its complete answer."""

    tag: ClassVar[str] = "answered"


@dataclass(slots=True, frozen=True)
class NotRun:
    """The request did not run, and cannot run later."""

    reason: str
    retry_after: float | None = None  # seconds
    tag: ClassVar[str] = "not_run"


@dataclass(slots=True, frozen=True)
class Failed:
    """The request ran, at least in part, but gave no complete answer."""

    reason: str
    tag: ClassVar[str] = "failed"


@dataclass(slots=True, frozen=True)
class Unknown:
    """It is not known whether the request ran."""

    reason: str
    tag: ClassVar[str] = "unknown"


Outcome = Answered | NotRun | Failed | Unknown


def outcome_from_tag(tag: str, reason: str) -> Outcome:
    """Return the outcome for a tag from a peer's message or a table row.

    Raises ValueError for an unknown tag.
    """
    if tag == Answered.tag:
        return Answered()
    for kind in (NotRun, Failed, Unknown):
        if tag == kind.tag:
            return kind(reason)
    raise ValueError(f"unknown outcome tag {tag!r}")
