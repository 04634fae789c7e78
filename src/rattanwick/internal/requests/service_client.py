"""Client for one call to a plain service."""

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
    """Client that sends a call once and returns the response."""

    def __init__(
        self, connections: EndpointConnectionPool, wall_time: Callable[[], float]
    ):
        self._connections = connections
        self._wall_time = wall_time

    def call(self, endpoint: Endpoint, req: ServingRequest, key: str) -> StoredResponse:
        """Send a call and return its response.

        After ConnectionLost with ``sent`` false, or Unavailable, the call did not
        run. After any other StepError it may have run.
        """
        # A service may close an idle connection just as the call is sent, which would
        # make the outcome ``unknown``. A new connection is worth its round trip.
        conn = self._connections.open(endpoint, fresh=True)
        try:
            conn.send(self._request(endpoint, req, key))
            self._receive_response(conn, req)
            return self._read_response(conn, req)
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

    def _receive_response(self, conn: EndpointConnection, req: ServingRequest) -> None:
        while not conn.reader.is_complete:
            seconds_left = req.deadline - self._wall_time()
            if seconds_left <= 0 or not conn.receive(seconds_left):
                raise timed_out("answer", conn.endpoint_id, max(seconds_left, 0.0))
            if conn.reader.received > MAX_RESPONSE_BYTES:
                raise ProtocolError("answer", conn.endpoint_id, "answer is too large")

    def _read_response(
        self, conn: EndpointConnection, req: ServingRequest
    ) -> StoredResponse:
        reader = conn.reader
        check_response_id(conn, req.id)
        if reader.header(OUTCOME_HEADER.lower()) == "not_run":
            reason = f"service did not run the call, status {reader.final_status}"
            raise Unavailable("call", conn.endpoint_id, reason)
        headers = {name: reader.header(name) for name in RELAYED_HEADERS}
        relayed = {name: value for name, value in headers.items() if value}
        return StoredResponse(reader.final_status, relayed, reader.take_body())


def provably_not_run(error: Exception) -> bool:
    """Return whether a failed call cannot have run at the endpoint."""
    if isinstance(error, ConnectionLost):
        return not error.sent
    return isinstance(error, Unavailable)
