"""Object store and weight store of the fake platform: a subset of S3 REST."""

from xml.sax.saxutils import escape

import gevent

from fakes.platform_state import (
    AnswerLost,
    FakeState,
    HttpRequest,
    HttpResponse,
    RateLimit,
)

WEIGHTS_BUCKET = "weights"
XML = "application/xml"
MAX_KEYS = 1000


def error_response(status: int, code: str, message: str) -> HttpResponse:
    """Return an S3 error response."""
    body = f"<Error><Code>{code}</Code><Message>{escape(message)}</Message></Error>"
    return HttpResponse(status, body.encode(), XML)


class FakeObjects:
    """Object store of all buckets; the bucket ``weights`` has a rate limit."""

    def __init__(self, state: FakeState):
        self._state = state
        self._objects: dict[tuple[str, str], bytes] = {}
        self._rate = RateLimit()

    def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Serve one call; raise AnswerLost if a fault loses the response."""
        faults = self._state.faults
        if faults.object_delay_seconds:
            gevent.sleep(faults.object_delay_seconds)
        bucket, _, name = http_request.path.lstrip("/").partition("/")
        is_read = http_request.method == "GET"
        service = "weights" if bucket == WEIGHTS_BUCKET else "object"
        self._state.counters[f"{service}_{'reads' if is_read else 'writes'}"] += 1
        if faults.object_down:
            return error_response(503, "ServiceUnavailable", "outage")
        if service == "weights" and self._rate.exceeded(faults.weights_per_second):
            return error_response(503, "SlowDown", "Reduce your request rate.")
        response = self._run(http_request, bucket, name)
        if not is_read and faults.consume("lose_object_answers"):
            raise AnswerLost
        return response

    def _run(self, http_request: HttpRequest, bucket: str, name: str) -> HttpResponse:
        key = (bucket, name)
        if http_request.method == "PUT":
            self._objects[key] = http_request.body
            return HttpResponse(200)
        if http_request.method == "DELETE":
            self._objects.pop(key, None)
            return HttpResponse(204)
        if http_request.method != "GET":
            return error_response(405, "MethodNotAllowed", http_request.method)
        if not name:
            return self._list(bucket, http_request.query)
        if key not in self._objects:
            return error_response(404, "NoSuchKey", name)
        return HttpResponse(200, self._objects[key])

    def _list(self, bucket: str, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), query.get("start-after", "")
        after = query.get("continuation-token", after)
        limit = min(int(query.get("max-keys", MAX_KEYS)), MAX_KEYS)
        names = sorted(
            name
            for owner, name in self._objects
            if owner == bucket and name.startswith(prefix) and name > after
        )
        page = names[:limit]
        parts = [f"<Contents><Key>{escape(name)}</Key></Contents>" for name in page]
        truncated = len(names) > limit
        if truncated:
            token = escape(page[-1])
            parts.append(f"<NextContinuationToken>{token}</NextContinuationToken>")
        body = (
            '<ListBucketResult xmlns="http://s3.amazonaws.com/doc/2006-03-01/">'
            f"<IsTruncated>{str(truncated).lower()}</IsTruncated>"
            f"{''.join(parts)}</ListBucketResult>"
        )
        return HttpResponse(200, body.encode(), XML)
