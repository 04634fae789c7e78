"""Detection of requests that crash the endpoints that run them, over all nodes."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanwick.internal.base.fingerprints import fingerprint
from rattanwick.internal.gateway.model import Call

MAX_CRASHED_ENDPOINTS = 2  # by one request; it must not be sent to a third
# A frequent request is likely to be running at an endpoint that fails for another
# reason. A request that was answered at least this often per crash is not the cause.
MIN_ANSWERS_PER_CRASH = 2
RETENTION_SECONDS = 60.0  # of crashes and answers
MAX_FINGERPRINTS = 2000


def call_fingerprint(organisation: str, call: Call) -> str:
    """Return a hash of a request that is the same whenever it is sent again."""
    content = call.method.encode() + b" " + call.target + b"\x00" + call.body
    return fingerprint(organisation, content)[:16]


@dataclass(slots=True)
class Answers:
    """Number of recent answers to one request."""

    count: int = 0
    last: float = float("-inf")  # monotonic seconds


class CrashGuard:
    """Counts of endpoints that crashed while they ran a request, and of its answers."""

    def __init__(self):
        self._crashes: dict[str, dict[str, float]] = {}
        self._answers: OrderedDict[str, Answers] = OrderedDict()

    def is_blocked(self, request_fingerprint: str, now: float) -> bool:
        """Return whether a request has crashed as many endpoints as allowed."""
        crashes = self._crashes.get(request_fingerprint, {})
        count = sum(now - at < RETENTION_SECONDS for at in crashes.values())
        return count >= MAX_CRASHED_ENDPOINTS and not self._is_frequent(
            request_fingerprint, count, now
        )

    def _is_frequent(self, request_fingerprint: str, crashes: int, now: float) -> bool:
        """Return whether a request was answered too often to be a cause of crashes."""
        answers = self._answers.get(request_fingerprint)
        if answers is None or now - answers.last >= RETENTION_SECONDS:
            return False
        return answers.count >= MIN_ANSWERS_PER_CRASH * crashes

    def note_crash(self, request_fingerprint: str, endpoint_id: str, at: float) -> None:
        """Count an endpoint that crashed while it ran a request.

        Peers report a crash for some seconds; it is ignored if the request was answered
        since.
        """
        answers = self._answers.get(request_fingerprint)
        if answers is not None and answers.last >= at:
            return
        if len(self._crashes) >= MAX_FINGERPRINTS:
            self._crashes.pop(next(iter(self._crashes)))
        self._crashes.setdefault(request_fingerprint, {})[endpoint_id] = at

    def note_answer(self, request_fingerprint: str, now: float) -> None:
        """Count an answer of an endpoint and drop the crashes before it."""
        self._crashes.pop(request_fingerprint, None)
        answers = self._answers.setdefault(request_fingerprint, Answers())
        if now - answers.last >= RETENTION_SECONDS:
            answers.count = 0
        answers.count += 1
        answers.last = now
        self._answers.move_to_end(request_fingerprint)
        if len(self._answers) > MAX_FINGERPRINTS:
            self._answers.popitem(last=False)

    def recent(self, now: float, max_age: float) -> list[tuple[str, str, float]]:
        """Return (fingerprint, endpoint id, age in seconds) of crashes, for peers.

        Crashes during frequent requests are left out: a peer that has just started does
        not know of the answers to these requests.
        """
        return [
            (request_fingerprint, endpoint_id, now - at)
            for request_fingerprint, crashes in self._crashes.items()
            if not self._is_frequent(request_fingerprint, len(crashes), now)
            for endpoint_id, at in crashes.items()
            if now - at < max_age
        ]
