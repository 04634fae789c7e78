"""Client of the object store over S3 REST."""

from urllib.parse import quote
from xml.etree import ElementTree

from rattanwick.internal.base.errors import MaybeApplied, Unavailable
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.http import HttpResponse
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.platform.signed_client import Rejected, ServiceClient

SERVICE = "s3"
PAGE_NAMES = 1000
NO_BUCKET = "NoSuchBucket"
NOT_APPLIED = frozenset({"ServiceUnavailable", "SlowDown"})


def local_name(tag: str) -> str:
    """Return an XML tag without its namespace."""
    return tag.rpartition("}")[2]


def find_text(root: ElementTree.Element, name: str) -> str:
    """Return the text of the first element of a name, or an empty text."""
    for element in root.iter():
        if local_name(element.tag) == name:
            return element.text or ""
    return ""


def error_code(answer: HttpResponse) -> str:
    """Return the code of an error answer, or an empty text."""
    try:
        return find_text(ElementTree.fromstring(answer.body), "Code")
    except ElementTree.ParseError:
        return ""


def parse_list(peer: str, body: bytes) -> tuple[list[str], str]:
    """Return the names of a page and the token of the next page."""
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
    """Read and write objects of one bucket, addressed by path.

    A put of the same data and a delete may be repeated, so both are.
    """

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.object_url, cfg, timers, node_id)
        self._bucket = cfg.bucket

    def get(self, name: str) -> bytes | None:
        """Return an object."""
        answer = self._call("GET", self._path(name), read=True, absent_ok=True)
        return answer.body if answer.status == 200 else None

    def put(self, name: str, data: bytes) -> None:
        """Write an object."""
        self._call("PUT", self._path(name), body=data)

    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return names in order."""
        names: list[str] = []
        query = {"list-type": "2", "prefix": prefix, "start-after": after}
        while len(names) < limit:
            query["max-keys"] = str(min(limit - len(names), PAGE_NAMES))
            answer = self._call("GET", self._list_path(query), read=True)
            page, token = parse_list(self._client.peer, answer.body)
            names.extend(page)
            if not token or not page:
                break
            query["continuation-token"] = token
        return names

    def delete(self, name: str) -> None:
        """Delete an object."""
        self._call("DELETE", self._path(name), absent_ok=True)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _path(self, name: str) -> str:
        return f"/{self._bucket}/{quote(name, safe='/-_.~')}"

    def _list_path(self, query: dict[str, str]) -> str:
        # The signature requires parameters in order, encoded the same way.
        pairs = sorted((key, quote(value, safe="-_.~")) for key, value in query.items())
        text = "&".join(f"{key}={value}" for key, value in pairs)
        return f"/{self._bucket}?{text}"

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        read: bool = False,
        absent_ok: bool = False,
    ) -> HttpResponse:
        step = "LIST" if "?" in path else method

        def attempt(timeout: float) -> HttpResponse:
            answer = self._client.call(step, method, path, {}, body, timeout)
            if answer.status in (200, 204):
                return answer
            code = error_code(answer)
            if absent_ok and answer.status == 404 and code != NO_BUCKET:
                return answer
            raise self._failure(step, answer.status, code)

        return self._client.retry(step, attempt, read)

    def _failure(self, step: str, status: int, code: str) -> Exception:
        reason = f"status {status} {code}".strip()
        if code in NOT_APPLIED:
            return Unavailable(step, self._client.peer, reason)
        if status >= 500:
            return MaybeApplied(step, self._client.peer, reason)
        return Rejected(step, self._client.peer, reason)
