"""Signed calls to one platform service, with metrics and a limit of time."""

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
FIRST_DELAY_SECONDS = 0.05
CALL_TIMEOUTS = 2  # time for one call with its retries, in settings timeouts

TOKEN_DIGITS = 32

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


def shorten_token(token: str, limit: int) -> str:
    """Return a token that a service accepts, the same one for the same input."""
    if len(token) <= limit:
        return token
    return hashlib.sha256(token.encode()).hexdigest()[:TOKEN_DIGITS]


class Rejected(Unavailable):
    """Report a call that the service declined and that a retry cannot help."""


class ServiceClient:
    """Send signed requests to one service; each method makes one attempt or more.

    ``call`` raises Unavailable when the request surely had no effect, and
    MaybeApplied when it may have had one.
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
        """Make one attempt and return the answer, whatever its status."""
        signed = self._signer.sign(method, self._pool.url + path, headers, body)
        signed["User-Agent"] = self._agent
        started = self._timers.now()
        result = "no_answer"
        try:
            answer = self._pool.request(
                step, method, path, signed, body, timeout or self._timeout
            )
            result = str(answer.status)
            return answer
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
        """Repeat an attempt that may be repeated; it is given its time limit.

        Once one attempt may have had an effect, a final failure is MaybeApplied;
        for a read it is always Unavailable.
        """
        give_up = self._timers.now() + CALL_TIMEOUTS * self._timeout
        uncertain = False
        for number in range(MAX_ATTEMPTS):
            left = give_up - self._timers.now()
            try:
                return attempt(min(self._timeout, left))
            except Rejected as exc:
                failure: StepError = exc
                break
            except MaybeApplied as exc:
                uncertain = True
                failure = exc
            except Unavailable as exc:
                failure = exc
            delay = FIRST_DELAY_SECONDS * 2**number * random.uniform(0.5, 1.5)
            if number + 1 == MAX_ATTEMPTS or self._timers.now() + delay >= give_up:
                break
            self._timers.sleep(delay)
        if read:
            raise Unavailable(step, self.peer, failure.reason)
        if uncertain:
            raise MaybeApplied(step, self.peer, failure.reason)
        raise failure

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
