"""Authentication of operators."""

import falcon

from rattanwick.internal.state.api_keys import OperatorKeys

OPEN_PATHS = frozenset({"/metrics", "/healthz", "/readyz"})
SCHEME = "Bearer "


class OperatorAuthentication:
    """Falcon middleware that asks for an operator's key outside the open paths."""

    def __init__(self, keys: OperatorKeys):
        self._keys = keys

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Refuse a request without a known key."""
        if req.path in OPEN_PATHS:
            return
        header = req.get_header("Authorization") or ""
        if header.startswith(SCHEME) and self._keys.accepts(header[len(SCHEME) :]):
            return
        raise falcon.HTTPUnauthorized(
            title="operator key missing or unknown",
            description="send 'Authorization: Bearer KEY' with a key whose SHA-256 "
            "is in key_hashes of [operators]",
            challenges=["Bearer"],
        )
