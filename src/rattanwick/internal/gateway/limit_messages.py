"""Messages between nodes about the limits that endpoints name."""

from dataclasses import dataclass, field

from rattanwick.internal.gateway.shapes import matches


@dataclass(slots=True, frozen=True)
class LimitUpdate:
    """Limit that a response of an endpoint's process named."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's process, in Unix milliseconds
    rate: float | None  # requests per second from all nodes; None for no limit
    age: float  # seconds since that response


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """Request for permits to send requests to an endpoint."""

    endpoint_id: str
    born_ms: int
    number: int  # of the requesting process, repeated in the reply
    count: int  # permits wanted


@dataclass(slots=True, frozen=True)
class PermitGrant:
    """Reply to a PermitRequest."""

    endpoint_id: str
    born_ms: int
    number: int
    count: int  # permits granted
    wait: float  # seconds until the node may ask again


@dataclass(slots=True)
class PeerLimits:
    """Limits, permit requests and grants that one datagram holds."""

    node_id: str = ""  # of the sender; set when the datagram is encoded
    boot: int = 0  # start of the sender's process, in Unix milliseconds
    limits: list[LimitUpdate] = field(default_factory=list)
    requests: list[PermitRequest] = field(default_factory=list)
    grants: list[PermitGrant] = field(default_factory=list)

    def to_fields(self) -> list:
        """Return the message as lists of plain values."""
        return [
            [[getattr(item, name) for name in item.__slots__] for item in items]
            for items in (self.limits, self.requests, self.grants)
        ]


MESSAGE_SHAPE = (
    [(str, int, float | None, float)],
    [(str, int, int, int)],
    [(str, int, int, int, float)],
)


def limits_from_fields(fields: list) -> PeerLimits:
    """Return the message that ``to_fields`` returned as lists.

    Raises ValueError if a value has the wrong type or is negative.
    """
    if not matches(fields, MESSAGE_SHAPE):
        raise ValueError("limits: wrong shape")
    for items in fields:
        for item in items:
            if any(value is not None and value < 0 for value in item[1:]):
                raise ValueError(f"limits: negative value for endpoint {item[0]!r}")
    limits, requests, grants = fields
    return PeerLimits(
        limits=[LimitUpdate(*item) for item in limits],
        requests=[PermitRequest(*item) for item in requests],
        grants=[PermitGrant(*item) for item in grants],
    )
