"""Client of the object store, over the S3 REST protocol."""

from urllib.parse import quote
from xml.etree import ElementTree

from rattanwick.internal.base.errors import MaybeApplied, Unavailable
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.http import HttpResponse
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.platform.signed_client import Rejected, ServiceClient

SERVICE = "s3"
MAX_NAMES_PER_PAGE = 1000
NO_BUCKET_CODE = "NoSuchBucket"
NOT_APPLIED_CODES = frozenset({"ServiceUnavailable", "SlowDown"})


def local_name(tag: str) -> str:
    """Return an XML tag without its namespace."""
    return tag.rpartition("}")[2]


def find_text(root: ElementTree.Element, name: str) -> str:
    """Return the text of the first element with a name, or an empty string."""
    for element in root.iter():
        if local_name(element.tag) == name:
            return element.text or ""
    return ""


def error_code(response: HttpResponse) -> str:
    """Return the code in an error response, or an empty string."""
    try:
        return find_text(ElementTree.fromstring(response.body), "Code")
    except ElementTree.ParseError:
        return ""


def parse_list(peer: str, body: bytes) -> tuple[list[str], str]:
    """Return the names in a page, and the token of the next page ("" if last)."""
    try:
        root = ElementTree.fromstring(body)
    except ElementTree.ParseError as exc:
        raise Unavailable("LIST", peer, f"not XML: {exc}")
    names = [
        element.text or ""
        for element in root.iter()
        if local_name(element.tag) == "Key"
    ]
    return names, find_text(root, "NextContinuationToken")


class S3ObjectStore(ObjectStore):
    """Objects of one bucket, in path-style addressing.

    Reads, puts and deletes are idempotent, so each is retried after a failure.
    """

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.object_url, cfg, timers, node_id)
        self._bucket = cfg.bucket

    def get(self, name: str) -> bytes | None:
        """Return the data of an object, or None if there is none."""
        response = self._call("GET", self._path(name), read=True, missing_ok=True)
        return response.body if response.status == 200 else None

    def put(self, name: str, data: bytes) -> None:
        """Write an object, or replace it."""
        self._call("PUT", self._path(name), body=data)

    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the names with a prefix that follow ``after``, in order."""
        names: list[str] = []
        query = {"list-type": "2", "prefix": prefix, "start-after": after}
        while len(names) < limit:
            query["max-keys"] = str(min(limit - len(names), MAX_NAMES_PER_PAGE))
            response = self._call("GET", self._list_path(query), read=True)
            page, token = parse_list(self._client.peer, response.body)
            names.extend(page)
            if not token or not page:
                break
            query["continuation-token"] = token
        return names

    def delete(self, name: str) -> None:
        """Delete an object; do nothing if there is none."""
        self._call("DELETE", self._path(name), missing_ok=True)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _path(self, name: str) -> str:
        return f"/{self._bucket}/{quote(name, safe='/-_.~')}"

    def _list_path(self, query: dict[str, str]) -> str:
        # The signature requires sorted parameters in this encoding.
        pairs = sorted((key, quote(value, safe="-_.~")) for key, value in query.items())
        text = "&".join(f"{key}={value}" for key, value in pairs)
        return f"/{self._bucket}?{text}"

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        read: bool = False,
        missing_ok: bool = False,
    ) -> HttpResponse:
        step = "LIST" if "?" in path else method

        def attempt(timeout: float) -> HttpResponse:
            response = self._client.call(step, method, path, {}, body, timeout)
            if response.status in (200, 204):
                return response
            code = error_code(response)
            if missing_ok and response.status == 404 and code != NO_BUCKET_CODE:
                return response
            raise self._failure(step, response.status, code)

        return self._client.retry(step, attempt, read)

    def _failure(self, step: str, status: int, code: str) -> Exception:
        reason = f"status {status} {code}".strip()
        if code in NOT_APPLIED_CODES:
            return Unavailable(step, self._client.peer, reason)
        if status >= 500:
            return MaybeApplied(step, self._client.peer, reason)
        return Rejected(step, self._client.peer, reason)
