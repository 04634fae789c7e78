"""Tagged outcomes of a request, as the caller is told."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer reached the transcript."""

    tag: ClassVar[str] = "answered"


@dataclass(slots=True, frozen=True)
class NotRun:
    """The call did not run and can never run later."""

    reason: str
    retry_after: float | None = None  # seconds
    tag: ClassVar[str] = "not_run"


@dataclass(slots=True, frozen=True)
class Failed:
    """The call ran, or started to run, and gave no whole answer."""

    reason: str
    tag: ClassVar[str] = "failed"


@dataclass(slots=True, frozen=True)
class Unknown:
    """It cannot be told whether the call ran."""

    reason: str
    tag: ClassVar[str] = "unknown"


Outcome = Answered | NotRun | Failed | Unknown


def outcome_from_tag(tag: str, reason: str) -> Outcome:
    """Return the outcome for a tag read from a peer or a table row."""
    if tag == Answered.tag:
        return Answered()
    for kind in (NotRun, Failed, Unknown):
        if tag == kind.tag:
            return kind(reason)
    raise ValueError(f"unknown outcome tag {tag!r}")
