"""Client for orders: ``POST /v1/orders`` and ``GET /v1/orders/state`` of engines."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from rattanwick.internal.base.errors import Conflict, ProtocolError, Refused
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.platform.http import HttpPool, HttpResponse

ORDER_TIMEOUT_SECONDS = 5.0
CONTENT_TYPE = "application/json"
STALE_STATUSES = (409, 412)


@dataclass(slots=True, frozen=True)
class EngineState:
    """Report of an engine: the highest fencing number it received, and its states."""

    fencing_number: int
    targets: dict[str, str] = field(default_factory=dict)  # by action


class OrderClient(ABC):
    """Interface to engines: sends orders and reads their state."""

    timeout: float = ORDER_TIMEOUT_SECONDS

    @abstractmethod
    def send(
        self, endpoint: Endpoint, fencing_number: int, action: str, target: str
    ) -> None:
        """Send one order.

        Raises Conflict if the fencing number is stale, and other StepErrors if the
        order was refused or its result is unknown.
        """

    @abstractmethod
    def read_state(self, endpoint: Endpoint) -> EngineState:
        """Return the state of an engine.

        Raises StepError if it cannot be read.
        """


class HttpOrderClient(OrderClient):
    """Order client over HTTP; each call uses a new connection."""

    def __init__(self, timeout: float = ORDER_TIMEOUT_SECONDS):
        self.timeout = timeout

    def send(
        self, endpoint: Endpoint, fencing_number: int, action: str, target: str
    ) -> None:
        """Send one order by ``POST /v1/orders``."""
        order = {"fencing_number": fencing_number, "action": action, "target": target}
        body = json.dumps(order).encode()
        response = self._request(endpoint, "POST", "/v1/orders", body)
        if response.status in STALE_STATUSES:
            raise Conflict("order", endpoint.id, "the fencing number is stale")
        if response.status not in (200, 202, 204):
            raise Refused("order", endpoint.id, f"status {response.status}")

    def read_state(self, endpoint: Endpoint) -> EngineState:
        """Return the state of an engine by ``GET /v1/orders/state``."""
        response = self._request(endpoint, "GET", "/v1/orders/state", b"")
        if response.status != 200:
            raise Refused("order state", endpoint.id, f"status {response.status}")
        try:
            value = json.loads(response.body)
            targets = {str(key): str(item) for key, item in value["targets"].items()}
            return EngineState(int(value["fencing_number"]), targets)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise ProtocolError(
                "order state", endpoint.id, f"invalid response: {exc!r}"
            )

    def _request(
        self, endpoint: Endpoint, method: str, path: str, body: bytes
    ) -> HttpResponse:
        host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
        pool = HttpPool(f"http://{host}:{endpoint.port}", endpoint.id, connections=1)
        try:
            headers = {"Content-Type": CONTENT_TYPE}
            return pool.request("order", method, path, headers, body, self.timeout)
        finally:
            pool.close()
