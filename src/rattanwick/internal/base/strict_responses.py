"""Responses of geventhttpclient whose heads are checked more strictly."""

from geventhttpclient.response import (
    HTTPProtocolViolationError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)

from rattanwick.internal.base.response_heads import (
    MalformedHead,
    check_framing,
    check_start,
)

FIRST_FINAL_STATUS = 200


class StrictResponse(HTTPResponse):
    """Response that raises HTTPParseError for a head outside the protocol.

    The parser itself rejects folded lines, and control bytes in names and values.
    ``final_status`` is that of the final response, 0 until its head is complete;
    interim responses may precede it.
    """

    def __init__(self, *args, **options):
        self.final_status = 0
        super().__init__(*args, **options)

    @property
    def is_complete(self) -> bool:
        """Return whether the final response has arrived."""
        return self.message_complete and self.final_status > 0

    def feed(self, data):
        """Parse received bytes."""
        # The parser also takes responses of RTSP and ICE.
        if data and not self.message_begun and data[:1] != b"H":
            raise HTTPProtocolViolationError("response does not begin with 'HTTP/'")
        super().feed(data)

    def _on_message_begin(self):
        if self.is_complete:
            # The library would continue with the next response in place of this one.
            raise HTTPProtocolViolationError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self):
        result = super()._on_headers_complete()
        version = self.get_http_version().removeprefix("HTTP/")
        codings = self.get("transfer-encoding", [])
        if isinstance(codings, str):
            codings = [codings]
        try:
            check_start(version, self.status_code, self.status_message or "")
            check_framing(version, codings, "content-length" in self)
        except MalformedHead as exc:
            raise HTTPProtocolViolationError(str(exc))
        if self.status_code >= FIRST_FINAL_STATUS:
            self.final_status = self.status_code
        return result


class StrictPoolResponse(StrictResponse, HTTPSocketPoolResponse):
    """The same for a response that is read from a socket of a pool."""
