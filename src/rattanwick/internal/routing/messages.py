"""Messages between a node and the owner of a cell."""

from dataclasses import MISSING, dataclass, field, fields
from enum import StrEnum
from functools import cache

from rattanwick.internal.model.requests import Usage

PLACE = "cell.place"
PLACED = "cell.placed"
RELEASE = "cell.release"
CANCEL = "cell.cancel"
HOLDINGS = "cell.holdings"
PROGRESS = "cell.progress"


class PlacementState(StrEnum):
    """State of a placement request at the owner."""

    PLACED = "placed"
    QUEUED = "queued"
    REFUSED = "refused"


class RefuseReason(StrEnum):
    """Reason for refusing a placement request."""

    NO_ENDPOINT = "no_endpoint"
    DEADLINE = "deadline"
    DEADLINE_PASSED = "deadline_passed"
    HEDGE_BUDGET = "hedge_budget"
    CANCELLED = "cancelled"


@cache
def _default_values(kind: type) -> dict:
    """Return the defaults of a message's fields."""
    values = {}
    for item in fields(kind):
        if item.default is not MISSING:
            values[item.name] = item.default
        elif item.default_factory is not MISSING:
            values[item.name] = item.default_factory()
    return values


class Message:
    """Base of dataclasses with slots that are sent or recorded as maps."""

    __slots__ = ()

    def to_message(self) -> dict:
        """Return a map for msgpack."""
        return {name: getattr(self, name) for name in self.__slots__}

    def to_wire(self) -> dict:
        """Return a map without the fields that have their default value."""
        defaults = _default_values(type(self))
        return {
            name: value
            for name in self.__slots__
            if (value := getattr(self, name)) != defaults.get(name, MISSING)
        }

    @classmethod
    def from_message(cls, message: dict):
        """Return the message that a map describes; unknown fields are ignored."""
        return cls(**{key: message[key] for key in cls.__slots__ if key in message})


@dataclass(slots=True)
class PlacementRequest(Message):
    """Request to an owner for a placement; it may be sent again with its ticket."""

    cell: str
    ticket: str
    request_id: str
    organisation: str
    plan: str
    kind: str
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    seconds_left: float  # until the deadline; needs no common clock
    data_centre: str
    excluded: list[str] = field(default_factory=list)
    prefix: list[int] = field(default_factory=list)  # hashes of leading blocks
    hedged: bool = False
    idempotent: bool = True
    can_hedge: bool = False  # hedging is allowed, and within the budget now
    waited: float = 0.0  # seconds since the router got the caller's request


@dataclass(slots=True)
class PlacementReply(Message):
    """Reply to a placement request, at once or after it was queued."""

    cell: str
    ticket: str
    state: str
    endpoint_id: str = ""
    queued_seconds: float = 0.0
    reason: str = ""
    trial: bool = False  # the endpoint is ejected


@dataclass(slots=True)
class HeldPlacement(Message):
    """Placement that a node reports as held."""

    cell: str
    ticket: str
    request_id: str
    endpoint_id: str
    short: bool
    work: float  # seconds
    age: float = 0.0  # seconds since it was placed


@dataclass(slots=True)
class ProgressNote(Message):
    """Notification to an owner that a stream is slow, or no longer slow."""

    cell: str
    ticket: str
    endpoint_id: str
    ratio: float  # observed divided by expected time


@dataclass(slots=True)
class ReleaseNote(Message):
    """Notification to an owner that a placement is released, with its usage."""

    cell: str
    ticket: str
    usage: dict

    @classmethod
    def make(cls, cell: str, ticket: str, usage: Usage) -> "ReleaseNote":
        """Return a note; fields of the usage that are not set are left out."""
        values = {name: getattr(usage, name) for name in Usage.__slots__}
        return cls(
            cell, ticket, {name: value for name, value in values.items() if value}
        )

    def read_usage(self) -> Usage:
        """Return the usage; unknown fields are ignored."""
        names = Usage.__slots__
        return Usage(**{key: self.usage[key] for key in names if key in self.usage})
