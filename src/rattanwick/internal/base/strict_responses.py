"""Responses of geventhttpclient whose heads are checked more strictly."""

from geventhttpclient.response import (
    HTTPProtocolViolationError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)

from rattanwick.internal.base.response_heads import MalformedHead, check_status


class StrictResponse(HTTPResponse):
    """Response that raises HTTPParseError for a head outside the protocol."""

    def _on_headers_complete(self):
        result = super()._on_headers_complete()
        try:
            check_status(self.status_code)
        except MalformedHead as exc:
            raise HTTPProtocolViolationError(str(exc))
        return result


class StrictPoolResponse(StrictResponse, HTTPSocketPoolResponse):
    """The same for a response that is read from a socket of a pool."""
