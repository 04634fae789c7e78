"""Codec for the platform's messages and rows."""

from rattanwick.internal.gateway.interfaces import MessageCodec
from rattanwick.internal.gateway.model import (
    Call,
    Configuration,
    Endpoint,
    ForwardContext,
    Headers,
    ResponseHead,
)
from rattanwick.platform import messages, records


class PlatformCodec(MessageCodec):
    """Translator between the platform's formats and the gateway's types."""

    configuration_table = records.CONFIGURATION_TABLE
    configuration_key = records.CONFIGURATION_KEY
    endpoint_table = records.ENDPOINT_TABLE

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return a configuration; raise ValueError if it is malformed."""
        return records.decode_configuration(value)

    def decode_endpoint(self, key: str, value: bytes) -> Endpoint:
        """Return an endpoint; raise ValueError if the entry is malformed."""
        return records.decode_endpoint(key, value)

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, arrived: float
    ) -> Call:
        """Return a caller's request without its body.

        Raises InvalidRequest if a header is malformed, missing or repeated.
        """
        return messages.decode_call(method, target, headers, arrived)

    def encode_call(self, call: Call, ctx: ForwardContext) -> Headers:
        """Return the headers of a request to an endpoint."""
        return messages.encode_call(call, ctx)

    def decode_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an endpoint's response."""
        return messages.decode_response_head(status, headers)

    def encode_refusal(
        self, call_id: str, status: int, reason: str, retry_after: float | None
    ) -> tuple[Headers, bytes]:
        """Return the headers and body of a response that refuses a request."""
        return messages.encode_refusal(call_id, status, reason, retry_after)
