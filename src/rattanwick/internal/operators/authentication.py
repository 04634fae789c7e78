"""Authentication of operators by their keys."""

import falcon

from rattanwick.internal.state.api_keys import OperatorKeys

UNAUTHENTICATED_PATHS = frozenset({"/metrics", "/healthz", "/readyz"})
BEARER_PREFIX = "Bearer "


class OperatorAuthentication:
    """Falcon middleware that requires an operator's key on all other paths."""

    def __init__(self, keys: OperatorKeys):
        self._keys = keys

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Raise HTTPUnauthorized for a request without a known key."""
        if req.path in UNAUTHENTICATED_PATHS:
            return
        header = req.get_header("Authorization") or ""
        if header.startswith(BEARER_PREFIX) and self._keys.accepts(
            header[len(BEARER_PREFIX) :]
        ):
            return
        raise falcon.HTTPUnauthorized(
            title="operator key missing or unknown",
            description="send 'Authorization: Bearer KEY' with a key whose SHA-256 "
            "is in key_hashes of [operators]",
            challenges=["Bearer"],
        )
