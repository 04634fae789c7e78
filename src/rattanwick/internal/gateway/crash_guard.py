"""Requests that crash the endpoints that run them, known to all nodes."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanwick.internal.base.fingerprints import fingerprint
from rattanwick.internal.gateway.model import Call

ENDPOINTS_ALLOWED = 2  # a third crash at another endpoint must not be risked
# A common request is under way at every endpoint that fails for another reason; one
# that is answered so often for each crash is not the cause.
ANSWERS_FOR_CRASH = 2
REMEMBERED_SECONDS = 60.0
MAX_FINGERPRINTS = 2000


def call_fingerprint(organisation: str, call: Call) -> str:
    """Return the hash of what a request asks for, equal when it is sent again."""
    asked = call.method.encode() + b" " + call.target + b"\x00" + call.body
    return fingerprint(organisation, asked)[:16]


@dataclass(slots=True)
class Answers:
    """Count the answers to one request."""

    count: int = 0
    last: float = float("-inf")  # monotonic seconds


class CrashGuard:
    """Count the endpoints that crashed while they ran a request, and its answers."""

    def __init__(self):
        self._crashes: dict[str, dict[str, float]] = {}
        self._answers: OrderedDict[str, Answers] = OrderedDict()

    def is_blocked(self, request_fingerprint: str, now: float) -> bool:
        """Tell whether a request has crashed as many endpoints as allowed."""
        crashes = self._crashes.get(request_fingerprint, {})
        count = sum(now - at < REMEMBERED_SECONDS for at in crashes.values())
        return count >= ENDPOINTS_ALLOWED and not self._is_common(
            request_fingerprint, count, now
        )

    def _is_common(self, request_fingerprint: str, crashes: int, now: float) -> bool:
        """Tell whether a request was answered too often to be the cause of crashes."""
        answers = self._answers.get(request_fingerprint)
        if answers is None or now - answers.last >= REMEMBERED_SECONDS:
            return False
        return answers.count >= ANSWERS_FOR_CRASH * crashes

    def note_crash(self, request_fingerprint: str, endpoint_id: str, at: float) -> None:
        """Count an endpoint that crashed under a request, unless answered since.

        Peers tell a crash for some seconds; an answer in between outweighs it.
        """
        answers = self._answers.get(request_fingerprint)
        if answers is not None and answers.last >= at:
            return
        if len(self._crashes) >= MAX_FINGERPRINTS:
            self._crashes.pop(next(iter(self._crashes)))
        self._crashes.setdefault(request_fingerprint, {})[endpoint_id] = at

    def note_answer(self, request_fingerprint: str, now: float) -> None:
        """Count an answer of an endpoint and forget the crashes before it."""
        self._crashes.pop(request_fingerprint, None)
        answers = self._answers.setdefault(request_fingerprint, Answers())
        if now - answers.last >= REMEMBERED_SECONDS:
            answers.count = 0
        answers.count += 1
        answers.last = now
        self._answers.move_to_end(request_fingerprint)
        if len(self._answers) > MAX_FINGERPRINTS:
            self._answers.popitem(last=False)

    def recent(self, now: float, within: float) -> list[tuple[str, str, float]]:
        """Return fingerprint, endpoint and age in seconds of crashes to tell peers.

        Those of common requests are left out: a peer that has just started has
        not seen their answers.
        """
        return [
            (request_fingerprint, endpoint_id, now - at)
            for request_fingerprint, crashes in self._crashes.items()
            if not self._is_common(request_fingerprint, len(crashes), now)
            for endpoint_id, at in crashes.items()
            if now - at < within
        ]
