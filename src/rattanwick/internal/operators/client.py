"""Client of the operator interface, for the command line."""

import json
import os
from urllib.parse import urlencode, urlsplit

from geventhttpclient import HTTPClient

from rattanwick.internal.base.errors import ConnectionLost, Refused, Unavailable
from rattanwick.internal.platform.interfaces import ObjectStore

OPERATOR_KEY_VARIABLE = "RATTANWICK_OPERATOR_KEY"
CONNECT_TIMEOUT_SECONDS = 3.0
# A node answers a change of the lists when all nodes have confirmed it, or after
# confirm_seconds of [lists], which may be up to 300 s.
RESPONSE_TIMEOUT_SECONDS = 330.0


class OperatorClient:
    """HTTP client of one node's operator interface.

    Raises Unavailable if the node refuses the connection or does not answer in time,
    ConnectionLost for any other failure of the connection.
    """

    def __init__(self, address: str, key: str):
        parts = urlsplit(address)
        self.address = address
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = HTTPClient(
            parts.hostname,
            parts.port,
            ssl=parts.scheme == "https",
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            network_timeout=RESPONSE_TIMEOUT_SECONDS,
        )

    def get(self, path: str, **params) -> tuple[int, bytes]:
        """Return status and body of a GET request; None parameters are left out."""
        present = {name: value for name, value in params.items() if value is not None}
        query = f"?{urlencode(present)}" if present else ""
        return self._send("GET", path + query, b"")

    def post(self, path: str, body: dict) -> tuple[int, bytes]:
        """Return status and body of a POST request with a JSON body."""
        return self._send("POST", path, json.dumps(body).encode())

    def get_json(self, path: str, **params) -> object:
        """Return the JSON body of a GET request; raise Refused unless it is a 200."""
        status, data = self.get(path, **params)
        if status != 200:
            reason = f"status {status}: {error_text(data)}"
            raise Refused(f"GET {path}", self.address, reason)
        return json.loads(data)

    def _send(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        headers = dict(self._headers)
        if body:
            headers["Content-Type"] = "application/json"
        try:
            response = self._http.request(method, path, body, headers)
            return response.status_code, bytes(response.read())
        except (ConnectionRefusedError, TimeoutError) as exc:
            raise Unavailable(method, self.address, str(exc))
        except Exception as exc:
            reason = f"{type(exc).__name__}: {exc}"
            raise ConnectionLost(method, self.address, reason, True)


class RemoteRecordings(ObjectStore):
    """Read-only object store with the recordings that a node can reach."""

    def __init__(self, client: OperatorClient):
        self._client = client

    def get(self, name: str) -> bytes | None:
        """Return the content of a recording, or None if there is none."""
        status, data = self._client.get("/v1/operator/recordings", name=name)
        if status == 404:
            return None
        if status != 200:
            raise Refused("get recording", self._client.address, error_text(data))
        return data

    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the names of recordings that sort after ``after``.

        The node chooses prefix and limit; the arguments are ignored.
        """
        return self._client.get_json("/v1/operator/recordings", after=after)

    def put(self, name: str, data: bytes) -> None:
        """Raise Refused: recordings are read-only."""
        raise Refused("put recording", self._client.address, "recordings are read-only")

    def delete(self, name: str) -> None:
        """Raise Refused: recordings are read-only."""
        raise Refused(
            "delete recording", self._client.address, "recordings are read-only"
        )


def error_text(data: bytes) -> str:
    """Return the description in an error response, else its first 200 bytes."""
    try:
        body = json.loads(data)
        return body.get("description") or body.get("reason") or body["title"]
    except (ValueError, KeyError, TypeError, AttributeError):
        return data[:200].decode(errors="replace")


def read_operator_key(path: str) -> str:
    """Return the key in a file, or the environment variable if ``path`` is empty."""
    if not path:
        return os.environ.get(OPERATOR_KEY_VARIABLE, "")
    with open(path, encoding="utf-8") as file:
        return file.read().strip()
