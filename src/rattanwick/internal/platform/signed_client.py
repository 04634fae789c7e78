"""Signed calls to one platform service, with time-outs, retries and metrics."""

import hashlib
import random
from collections.abc import Callable
from typing import TypeVar

from rattanwick.internal.base.errors import (
    ConnectionLost,
    MaybeApplied,
    ProtocolError,
    StepError,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.metrics import counter, histogram
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.http import HttpPool, HttpResponse
from rattanwick.internal.platform.signing import CredentialsFile, RequestSigner

MAX_ATTEMPTS = 3
INITIAL_RETRY_DELAY_SECONDS = 0.05
# Time for a call and its retries, as a multiple of the time-out of the settings.
MAX_TIMEOUTS_PER_CALL = 2

SHORT_TOKEN_DIGITS = 32

CALLS = counter(
    "platform_calls",
    "HTTP calls to platform services by result",
    ("service", "step", "result"),
)
CALL_SECONDS = histogram(
    "platform_call_seconds",
    "Time of HTTP calls to platform services",
    ("service",),
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5),
)

T = TypeVar("T")


def shorten_token(token: str, max_length: int) -> str:
    """Return the token, or part of its hash if it is longer than ``max_length``.

    The result is the same for the same token, so that a service recognises a repeat.
    """
    if len(token) <= max_length:
        return token
    return hashlib.sha256(token.encode()).hexdigest()[:SHORT_TOKEN_DIGITS]


class Rejected(Unavailable):
    """Raised if the service rejected a call and would reject a retry as well."""


class ServiceClient:
    """Client that sends signed requests to one service.

    ``call`` sends one request; ``retry`` repeats a function that uses ``call``.
    """

    def __init__(
        self,
        service: str,
        url: str,
        cfg: PlatformSettings,
        timers: TimerService,
        node_id: str,
    ):
        self.service = service
        self.peer = f"{service} {url}"
        self._timers = timers
        self._timeout = cfg.timeout_seconds
        self._pool = HttpPool(url, self.peer)
        credentials = CredentialsFile(cfg.credentials_file, timers)
        self._signer = RequestSigner(credentials, service, cfg.region)
        self._agent = f"rattanwick/{node_id}"

    def call(
        self,
        step: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout: float | None = None,
    ) -> HttpResponse:
        """Send one request and return the response, whatever its status.

        Raises Unavailable if the request was not sent, and MaybeApplied if the service
        may have carried it out.
        """
        signed = self._signer.sign(method, self._pool.url + path, headers, body)
        signed["User-Agent"] = self._agent
        started = self._timers.now()
        result = "no_answer"
        try:
            response = self._pool.request(
                step, method, path, signed, body, timeout or self._timeout
            )
            result = str(response.status)
            return response
        except ConnectionLost as exc:
            if exc.sent:
                raise MaybeApplied(step, self.peer, exc.reason)
            result = "no_connection"
            raise Unavailable(step, self.peer, exc.reason)
        except (TimedOut, ProtocolError) as exc:
            raise MaybeApplied(step, self.peer, exc.reason)
        finally:
            CALLS.labels(self.service, step, result).inc()
            CALL_SECONDS.labels(self.service).observe(self._timers.now() - started)

    def retry(self, step: str, attempt: Callable[[float], T], read: bool) -> T:
        """Call ``attempt`` until it succeeds; return its result.

        ``attempt`` gets its time-out in seconds and must be idempotent. If all attempts
        fail, raises MaybeApplied if any of them may have been applied, else the last
        error. With ``read`` True, always raises Unavailable.
        """
        deadline = self._timers.now() + MAX_TIMEOUTS_PER_CALL * self._timeout
        maybe_applied = False
        for retries in range(MAX_ATTEMPTS):
            remaining = deadline - self._timers.now()
            try:
                return attempt(min(self._timeout, remaining))
            except Rejected as exc:
                failure: StepError = exc
                break
            except MaybeApplied as exc:
                maybe_applied = True
                failure = exc
            except Unavailable as exc:
                failure = exc
            delay = INITIAL_RETRY_DELAY_SECONDS * 2**retries * random.uniform(0.5, 1.5)
            if retries + 1 == MAX_ATTEMPTS or self._timers.now() + delay >= deadline:
                break
            self._timers.sleep(delay)
        if read:
            raise Unavailable(step, self.peer, failure.reason)
        if maybe_applied:
            raise MaybeApplied(step, self.peer, failure.reason)
        raise failure

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
