"""Inputs and result of the placement decision."""

from dataclasses import dataclass

from rattanwick.internal.routing.messages import Message


@dataclass(slots=True)
class EndpointState(Message):
    """State of an endpoint at the time of a decision."""

    id: str
    data_centre: str
    slots: int
    short_running: int
    long_running: int
    remaining_seconds: float  # expected remaining work of all its placements
    # External requests: those that its load report shows and that are not placements
    # of this system. The older the report, the fewer are assumed.
    foreign: float
    slowness: float  # observed divided by expected time
    open_slots: int  # slots that may be filled now
    price: float
    aside: bool = False  # whether it is ejected; its open slots are only for trials
    trial_overdue: bool = False  # whether it has waited too long for a trial

    @property
    def running(self) -> float:
        """Return the estimated number of all requests at the endpoint."""
        return self.short_running + self.long_running + self.foreign


@dataclass(slots=True)
class WaitingRequest(Message):
    """Request that may be placed next."""

    ticket: str
    short: bool
    plan: str
    plan_time: float  # virtual time of the plan in the fair queue
    work: float  # seconds, median
    low_work: float  # seconds, lower quartile; without prefill
    prefill: float  # seconds that a fully cached prompt saves
    waited: float  # seconds since the request arrived
    seconds_left: float  # to the deadline
    data_centre: str
    excluded: list[str]
    cached: list[float]  # cached share of the prompt, in order of endpoints
    idempotent: bool = True
    can_hedge: bool = False


@dataclass(slots=True)
class PlacementWeights(Message):
    """Weights of the placement decision, from the settings."""

    cost: float  # of an endpoint's price against delay
    short: float  # of the slots reserved for short work
    tail: float  # exponent of an endpoint's slowness


@dataclass(slots=True)
class CellSnapshot:
    """All inputs of a placement decision."""

    cell: str
    endpoints: list[EndpointState]
    waiting: list[WaitingRequest]
    long_limit: int  # long requests that may run in the cell at once
    long_wait_seconds: float
    weights: PlacementWeights
    seed: int

    def to_message(self) -> dict:
        """Return a map for msgpack."""
        return {
            "cell": self.cell,
            "endpoints": [item.to_message() for item in self.endpoints],
            "waiting": [item.to_message() for item in self.waiting],
            "long_limit": self.long_limit,
            "long_wait_seconds": self.long_wait_seconds,
            "weights": self.weights.to_message(),
            "seed": self.seed,
        }

    @classmethod
    def from_message(cls, message: dict) -> "CellSnapshot":
        """Return the snapshot that a map describes."""
        fields = dict(message)
        fields["endpoints"] = [
            EndpointState.from_message(item) for item in message["endpoints"]
        ]
        fields["waiting"] = [
            WaitingRequest.from_message(item) for item in message["waiting"]
        ]
        fields["weights"] = PlacementWeights.from_message(message["weights"])
        return cls(**fields)


@dataclass(slots=True)
class PlacementChoice:
    """Request and endpoint that a placement decision chose."""

    ticket: str
    endpoint_id: str
    reason: str
