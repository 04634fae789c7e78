"""Callers with request bodies larger than the buffers of connections."""

from fakes.gateway_deployment import MAX_BODY_BYTES, GatewayDeployment
from soak.callers import Caller, CallResult

UPLOAD_KINDS = ("unsafe", "stream", "resume")
MAX_INTERVAL_SECONDS = 0.3  # between a response and the next request


class UploadCaller(Caller):
    """Caller that sends large bodies."""

    def __init__(self, deployment: GatewayDeployment, number: int, seed: str):
        super().__init__(deployment, number, seed)
        self._kinds = UPLOAD_KINDS

    def _next_interval(self) -> float:
        return self._random.uniform(0.0, MAX_INTERVAL_SECONDS)

    def _make_body(self, result: CallResult) -> bytes:
        return bytes(MAX_BODY_BYTES)
