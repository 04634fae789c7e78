"""HTTP headers of requests and responses between callers, nodes and endpoints."""

import re

from rattanwick.internal.gateway.interfaces import InvalidRequest
from rattanwick.internal.gateway.model import (
    Call,
    ForwardContext,
    Headers,
    LoadReport,
    PromptPart,
    ResponseHead,
)

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
API_KEY = b"x-api-key"
ORGANISATION = b"x-tenant"
ENDPOINT_ID = b"x-expect-instance"
URGENCY = b"x-request-urgency"
TOKENS = b"x-token-counts"  # prompt tokens, maximum output tokens
PROMPT = b"x-prompt-prefix"
OUTPUT_HINT = b"x-length-hint"  # the caller's estimate of output tokens
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"x-server-stamp"
NOT_RUN = b"x-not-run"
LOAD = b"x-worker-load"
RATE_LIMIT = b"server-limit"  # requests per second that it takes from all nodes
LEAVING = b"server-leaving"  # "1" once the endpoint has begun to stop
RETRY_AFTER = b"retry-after"  # with 503: seconds in which it takes no request
RESUME_FROM = b"kv-from"
KEEP_ALIVE = b"keep-alive"

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Only nodes may set these; a caller's value must not reach an endpoint.
SYSTEM_HEADERS = frozenset(
    (
        API_KEY,
        ORGANISATION,
        DEADLINE,
        ENDPOINT_ID,
        URGENCY,
        LAST_EVENT_ID,
        RESUME_FROM,
        b"x-expect-version",
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-fetch",
    )
)
# These identify or describe a request. They are kept even if the Connection header
# lists them.
PROTECTED_HEADERS = frozenset((REQUEST_ID, b"host", b"x-model", TOKENS, PROMPT))
# A plain decimal number. float() would also accept "nan", "inf" and "1_0".
DECIMAL = re.compile(rb"\d{1,12}(\.\d{0,12})?|\.\d{1,12}")
MAX_DIGITS = 9  # of a whole number; int() raises an error above 4,300 digits
MAX_LOGGED_VALUE_CHARACTERS = 40
NORMAL_SLOWDOWN_PERCENT = 100.0  # in the load header; a higher value means slower
# An endpoint with a slowdown of 0 would get all requests.
MIN_SLOWDOWN_PERCENT, MAX_SLOWDOWN_PERCENT = 1.0, 100_000.0


def decode_call(method: bytes, target: bytes, headers: Headers, arrived: float) -> Call:
    """Return a caller's request without its body.

    Raises InvalidRequest if a header is malformed, missing or repeated.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        if name in values and name in (REQUEST_ID, b"host", API_KEY, DEADLINE):
            raise InvalidRequest(400, f"{name.decode()}: must not be repeated")
        values[name] = value
    if b"transfer-encoding" in values and b"content-length" in values:
        raise InvalidRequest(400, "content-length: not allowed with transfer-encoding")
    call_id = values.get(REQUEST_ID, b"").decode("latin-1")
    if not call_id:
        raise InvalidRequest(400, "x-request-id: must be sent")
    tokens = _decode_tokens(values.get(TOKENS))
    path = target.partition(b"?")[0].decode("latin-1")
    return Call(
        id=call_id,
        method=method.decode("ascii"),
        target=target,
        path=path,
        host=values.get(b"host", b"").decode("latin-1").lower(),
        headers=_end_to_end_headers(headers, SYSTEM_HEADERS),
        body=b"",
        api_key=values.get(API_KEY, b"").decode("latin-1"),
        timeout_seconds=_decode_timeout(values.get(DEADLINE)),
        input_tokens=tokens[0] if tokens else None,
        output_tokens=tokens[1] if tokens else None,
        expected_output=_expected_output_tokens(values.get(OUTPUT_HINT), tokens),
        prompt=_decode_prompt(values.get(PROMPT, b"")),
        last_event_id=values.get(LAST_EVENT_ID, b"").decode("latin-1"),
        arrived=arrived,
    )


def _is_whole_number(value: bytes | str) -> bool:
    """Return whether a value has only digits, and not more than MAX_DIGITS."""
    return value.isdigit() and len(value) <= MAX_DIGITS


def _decode_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not _is_whole_number(value):
        raise InvalidRequest(
            400, "x-deadline-ms: must be a whole number of milliseconds"
        )
    return int(value) / 1000


def _decode_tokens(value: bytes | None) -> tuple[int, int] | None:
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 2 or not all(map(_is_whole_number, parts)):
        raise InvalidRequest(400, "x-token-counts: must be two whole numbers")
    return int(parts[0]), int(parts[1])


def _expected_output_tokens(hint: bytes | None, tokens: tuple[int, int] | None) -> int:
    max_tokens = tokens[1] if tokens else 0
    if hint is None or not _is_whole_number(hint.strip()):
        return max_tokens
    return min(int(hint), max_tokens) if max_tokens else int(hint)


def _decode_prompt(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.decode("latin-1").split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isascii() and _is_whole_number(tokens):
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _end_to_end_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers, except hop-by-hop headers and those in ``dropped``."""
    options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(item.strip().lower() for item in value.split(b","))
    options -= PROTECTED_HEADERS
    kept = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower in dropped or lower in options:
            continue
        kept.append((name, value))
    return kept


def encode_call(call: Call, ctx: ForwardContext) -> Headers:
    """Return the headers of a request to an endpoint."""
    headers = list(call.headers)
    headers.append((b"X-Deadline-Ms", b"%d" % max(1, int(ctx.time_left * 1000))))
    headers.append((b"X-Expect-Instance", ctx.endpoint_id.encode("latin-1")))
    if ctx.organisation:
        headers.append((b"X-Tenant", ctx.organisation.encode("latin-1")))
    if call.prompt:
        headers.append((b"X-Request-Urgency", b"%d" % ctx.urgency))
    if ctx.last_event_id:
        headers.append((b"Last-Event-Id", ctx.last_event_id.encode("latin-1")))
    if call.body or call.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"Content-Length", b"%d" % len(call.body)))
    return headers


def decode_response_head(status: int, headers: Headers) -> ResponseHead:
    """Return the head of an endpoint's response."""
    values = {name.lower(): value for name, value in headers}
    limits = [value for name, value in headers if name.lower() == RATE_LIMIT]
    rate_limit, malformed = _decode_rate_limit(limits)
    return ResponseHead(
        status=status,
        headers=_end_to_end_headers(headers, frozenset((LOAD,))),
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        signed=bool(values.get(SIGNATURE)),
        # 421 means that another endpoint now has the address.
        not_run=bool(values.get(NOT_RUN)) or status == 421,
        load=_decode_load(values.get(LOAD)),
        keep_alive=_decode_keep_alive(values.get(KEEP_ALIVE, b"")),
        rate_limit=rate_limit,
        malformed_rate_limit=malformed,
        leaving=_decode_leaving(status, headers),
        rest_seconds=_decode_rest(status, headers),
    )


def _decode_leaving(status: int, headers: Headers) -> bool:
    """Return whether the endpoint says that it is leaving.

    An answer of status 421 comes from another endpoint at the same address.
    """
    values = [value for name, value in headers if name.lower() == LEAVING]
    return status != 421 and [value.strip() for value in values] == [b"1"]


def _decode_rest(status: int, headers: Headers) -> float | None:
    """Return the seconds in which an endpoint that refuses a request takes none.

    None if it names no valid time; a date is none, since clocks may differ.
    """
    values = [value.strip() for name, value in headers if name.lower() == RETRY_AFTER]
    if status != 503 or len(values) != 1 or not DECIMAL.fullmatch(values[0]):
        return None
    return float(values[0])


def _decode_rate_limit(values: list[bytes]) -> tuple[float | None, str]:
    """Return the lowest limit, and the first malformed value.

    The limit is None if there is none.
    """
    valid = [float(value) for value in values if DECIMAL.fullmatch(value.strip())]
    malformed = [value for value in values if not DECIMAL.fullmatch(value.strip())]
    text = (malformed[0].decode("latin-1") or "(empty)") if malformed else ""
    return min(valid, default=None), text[:MAX_LOGGED_VALUE_CHARACTERS]


def _decode_load(value: bytes | None) -> LoadReport | None:
    """Decode ``running,waiting,slots[,slowdown in percent]``; None if malformed."""
    if value is None:
        return None
    items = [item.strip() for item in value.split(b",")]
    if len(items) < 3 or not all(map(DECIMAL.fullmatch, items)):
        return None
    running, queued, slots, *rest = map(float, items)
    percent = rest[0] if rest else NORMAL_SLOWDOWN_PERCENT
    if not MIN_SLOWDOWN_PERCENT <= percent <= MAX_SLOWDOWN_PERCENT:
        return None
    slowdown = percent / NORMAL_SLOWDOWN_PERCENT
    return LoadReport(int(running), int(queued), int(slots), slowdown)


def _decode_keep_alive(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and _is_whole_number(seconds):
            return float(seconds)
    return None


def encode_refusal(
    call_id: str, status: int, reason: str, retry_after: float | None
) -> tuple[Headers, bytes]:
    """Return the headers and body of a response that refuses a request."""
    body = reason.encode() + b"\n"
    headers = [
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (b"Content-Length", b"%d" % len(body)),
    ]
    if call_id:
        headers.append((b"X-Request-Id", call_id.encode("latin-1")))
    if retry_after is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after))
    return headers, body
