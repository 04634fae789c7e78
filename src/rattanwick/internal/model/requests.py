"""A caller's request, its placement at an endpoint, and what it used there."""

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Kind of a request, given by the interface that the caller used."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


@dataclass(slots=True)
class ServingRequest:
    """All data needed to run a request, at this node or another one."""

    id: str
    kind: RequestKind
    organisation: str
    plan: str
    pool: str
    body: dict  # the caller's JSON body, validated
    stream: bool
    deadline: float  # Unix seconds
    received: float  # Unix seconds
    prompt_tokens: int  # estimate
    max_output_tokens: int
    priority: int = 5  # 0 is the most urgent
    idempotent: bool = True
    hedge: bool = False
    fingerprint: str = ""  # hash of organisation and body
    traceparent: str = ""
    data_centre: str = ""  # of the node that accepted the request

    def to_message(self) -> dict:
        """Return a map for msgpack; it shares the body with the request."""
        # ``asdict`` would make a deep copy of the body, which takes longer than all
        # other steps of admission together.
        message = {name: getattr(self, name) for name in self.__slots__}
        message["kind"] = str(self.kind)
        return message

    @classmethod
    def from_message(cls, message: dict) -> "ServingRequest":
        """Return the request that a map describes; unknown fields are ignored."""
        fields = {name: message[name] for name in cls.__slots__ if name in message}
        fields["kind"] = RequestKind(fields["kind"])
        return cls(**fields)


@dataclass(slots=True)
class Usage:
    """Tokens and time that one attempt at an endpoint used, and its result."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    recomputed_tokens: int = 0  # of prompt and earlier text, after a resumption
    first_token_seconds: float | None = None
    seconds_between_tokens: float | None = None  # mean
    total_seconds: float = 0.0
    ok: bool = False
    reason: str = ""


@dataclass(slots=True)
class Placement:
    """Choice of an endpoint for one attempt of a request, which holds a slot there."""

    id: str
    request_id: str
    endpoint_id: str
    owner: str  # node that owns the cell; empty if placed locally
    queued_seconds: float = 0.0
    hedged: bool = False
    reasons: list[str] = field(default_factory=list)
