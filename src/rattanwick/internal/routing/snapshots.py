"""Explicit inputs of the placement decision."""

from dataclasses import dataclass

from rattanwick.internal.routing.messages import Message


@dataclass(slots=True)
class EndpointState(Message):
    """Describe an endpoint at the time of a decision."""

    id: str
    data_centre: str
    slots: int
    short_running: int
    long_running: int
    remaining_seconds: float  # expected work of what runs there
    foreign: float  # requests of others by its report, weighted by the report's age
    slowness: float  # observed time per token over the pool's median
    open_slots: int  # slots that may be filled now
    price: float
    aside: bool = False  # set aside as slow; open slots are for trials
    trial_overdue: bool = False  # no request that can be hedged came for a trial

    @property
    def running(self) -> float:
        """Return all requests that are believed to run there."""
        return self.short_running + self.long_running + self.foreign


@dataclass(slots=True)
class WaitingRequest(Message):
    """Describe a request that may be placed next."""

    ticket: str
    short: bool
    plan: str
    plan_time: float  # virtual time of the plan's fair share
    work: float  # seconds, median
    low_work: float
    prefill: float  # seconds that a fully cached prompt saves
    waited: float  # seconds
    seconds_left: float  # to the deadline
    data_centre: str
    excluded: list[str]
    cached: list[float]  # share of the prompt cached, in order of endpoints
    idempotent: bool = True
    can_hedge: bool = False


@dataclass(slots=True)
class PlacementWeights(Message):
    """Hold the weights of the deployment."""

    cost: float
    short: float
    tail: float


@dataclass(slots=True)
class CellSnapshot:
    """Hold all that a placement decision reads."""

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
        """Return the snapshot of a map."""
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
    """Hold the request and the endpoint that were chosen."""

    ticket: str
    endpoint_id: str
    reason: str
