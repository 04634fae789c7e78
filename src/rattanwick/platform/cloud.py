"""Client of the platform's cloud, which accepts calls of the leader only."""

import json

from rattanwick.internal.base.errors import Conflict, ProtocolError, Unavailable
from rattanwick.internal.gateway.interfaces import Cloud, EndpointOrder
from rattanwick.internal.platform.http import HttpPool

CALL_TIMEOUT_SECONDS = 2.0
PEER = "cloud"


class PlatformCloud(Cloud):
    """Client of the platform's cloud interface, over HTTP with JSON bodies."""

    def __init__(self, address: tuple[str, int]):
        self._pool = HttpPool("http://{}:{}".format(*address), PEER, connections=2)

    def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report how many requests of each organisation began in a window."""
        body = {"window": window, "counts": counts}
        self._post("report usage", "/usage", holder, fence, body)

    def order(self, holder: str, fence: int, order: EndpointOrder) -> None:
        """Set the desired number of endpoints of a service in a data centre.

        The order is for either reclaimable endpoints or others.
        """
        body = {
            "service": order.service,
            "zone": order.data_centre,
            "desired": order.count,
        }
        if order.reclaimable:
            body["spot"] = True
        self._post("order endpoints", "/scale", holder, fence, body)

    def _post(self, step: str, path: str, holder: str, fence: int, body: dict) -> None:
        headers = {
            "Content-Type": "application/json",
            "X-Duty-Holder": holder,
            "X-Fence-Token": str(fence),
        }
        data = json.dumps(body).encode()
        response = self._pool.request(
            step, "POST", path, headers, data, CALL_TIMEOUT_SECONDS
        )
        if response.status == 409:
            raise Conflict(step, PEER, response.body[:200].decode("latin-1"))
        if response.status in (429, 503):
            raise Unavailable(step, PEER, f"status {response.status}")
        if response.status != 200:
            raise ProtocolError(step, PEER, f"status {response.status}")
