"""Client of one call to a plain service."""

from collections.abc import Callable

from rattanwick.internal.base.errors import ConnectionLost, ProtocolError, Unavailable
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.requests.caller_errors import (
    ORGANISATION_HEADER,
    OUTCOME_HEADER,
)
from rattanwick.internal.requests.connections import (
    EndpointConnection,
    EndpointConnectionPool,
    check_response_id,
    encode_http_request,
    timed_out,
)

MAX_RESPONSE_BYTES = 8 << 20
RELAYED_HEADERS = ("content-type", "location", "retry-after")


class ServiceClient:
    """Send a call once and return the answer."""

    def __init__(
        self, connections: EndpointConnectionPool, wall_time: Callable[[], float]
    ):
        self._connections = connections
        self._wall = wall_time

    def call(self, endpoint: Endpoint, req: ServingRequest, key: str) -> StoredResponse:
        """Send a call.

        ConnectionLost with ``sent`` false and Unavailable mean that it did not run;
        every other StepError leaves that open.
        """
        # A kept connection may be closed by the service as the call leaves, and the
        # call would then be ``unknown``; a new one is worth its round trip.
        conn = self._connections.open(endpoint, fresh=True)
        try:
            conn.send(self._request(endpoint, req, key))
            self._wait(conn, req)
            return self._answer(conn, req)
        finally:
            conn.close()

    def _request(self, endpoint: Endpoint, req: ServingRequest, key: str) -> bytes:
        headers = {
            "Content-Type": req.body["content_type"],
            "X-Request-Id": req.id,
            "Idempotency-Key": key,
            ORGANISATION_HEADER: req.organisation,
            "traceparent": req.traceparent,
            "Connection": "close",
        }
        host = f"{endpoint.host}:{endpoint.port}"
        path = "/" + req.body["path"]
        return encode_http_request("POST", path, host, headers, req.body["data"])

    def _wait(self, conn: EndpointConnection, req: ServingRequest) -> None:
        while not conn.reader.message_complete:
            left = req.deadline - self._wall()
            if left <= 0 or not conn.receive(left):
                raise timed_out("answer", conn.endpoint_id, max(left, 0.0))
            if conn.reader.received > MAX_RESPONSE_BYTES:
                raise ProtocolError("answer", conn.endpoint_id, "answer is too large")

    def _answer(self, conn: EndpointConnection, req: ServingRequest) -> StoredResponse:
        reader = conn.reader
        check_response_id(conn, req.id)
        if reader.header(OUTCOME_HEADER.lower()) == "not_run":
            reason = f"service did not run the call, status {reader.status_code}"
            raise Unavailable("call", conn.endpoint_id, reason)
        headers = {name: reader.header(name) for name in RELAYED_HEADERS}
        kept = {name: value for name, value in headers.items() if value}
        return StoredResponse(reader.status_code, kept, reader.take())


def provably_not_run(error: Exception) -> bool:
    """Tell whether a failed call cannot have run at the endpoint."""
    if isinstance(error, ConnectionLost):
        return not error.sent
    return isinstance(error, Unavailable)
