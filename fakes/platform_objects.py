"""Object store and weight store of the platform fake: a part of S3 REST."""

from xml.sax.saxutils import escape

import gevent

from fakes.platform_state import AnswerLost, Call, FakeState, RateLimit, Reply

WEIGHTS_BUCKET = "weights"
XML = "application/xml"
MAX_KEYS = 1000


def error_reply(status: int, code: str, message: str) -> Reply:
    """Return an error of the protocol."""
    body = f"<Error><Code>{code}</Code><Message>{escape(message)}</Message></Error>"
    return Reply(status, body.encode(), XML)


class FakeObjects:
    """Keep the objects of all buckets; the bucket ``weights`` has a rate limit."""

    def __init__(self, state: FakeState):
        self._state = state
        self._objects: dict[tuple[str, str], bytes] = {}
        self._rate = RateLimit()

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        faults = self._state.faults
        if faults.object_delay_seconds:
            gevent.sleep(faults.object_delay_seconds)
        bucket, _, name = call.path.lstrip("/").partition("/")
        is_read = call.method == "GET"
        service = "weights" if bucket == WEIGHTS_BUCKET else "object"
        self._state.counters[f"{service}_{'reads' if is_read else 'writes'}"] += 1
        if faults.object_down:
            return error_reply(503, "ServiceUnavailable", "outage")
        if service == "weights" and self._rate.exceeded(faults.weights_per_second):
            return error_reply(503, "SlowDown", "Reduce your request rate.")
        reply = self._run(call, bucket, name)
        if not is_read and faults.consume("lose_object_answers"):
            raise AnswerLost
        return reply

    def _run(self, call: Call, bucket: str, name: str) -> Reply:
        key = (bucket, name)
        if call.method == "PUT":
            self._objects[key] = call.body
            return Reply(200)
        if call.method == "DELETE":
            self._objects.pop(key, None)
            return Reply(204)
        if call.method != "GET":
            return error_reply(405, "MethodNotAllowed", call.method)
        if not name:
            return self._list(bucket, call.query)
        if key not in self._objects:
            return error_reply(404, "NoSuchKey", name)
        return Reply(200, self._objects[key])

    def _list(self, bucket: str, query: dict[str, str]) -> Reply:
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
        return Reply(200, body.encode(), XML)
