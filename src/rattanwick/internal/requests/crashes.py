"""Requests that crash endpoints: counted by fingerprint, spread as news."""

from collections import OrderedDict

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Gossip
from rattanwick.internal.recording.decisions import (
    DecisionKind,
    NullRecorder,
    Recorder,
)
from rattanwick.internal.requests.decisions import (
    CrashReason,
    decide_crash_refusal,
    record_decision,
)

log = get_logger("requests")

TOPIC = "crashes"
CRASHES_ALLOWED = 2  # endpoints
REMEMBERED_SECONDS = 600.0
FINGERPRINTS_KEPT = 10_000
REASON = CrashReason.CRASHES_ENDPOINTS


class CrashTracker:
    """Count the endpoints that were lost while they ran a request."""

    def __init__(
        self, gossip: Gossip, timers: TimerService, recorder: Recorder | None = None
    ):
        self._recorder = recorder or NullRecorder()
        self._news = gossip
        self._timers = timers
        self._seen: OrderedDict[str, dict[str, float]] = OrderedDict()
        gossip.subscribe(TOPIC, self._on_news)

    def refuses(self, print_: str, request_id: str = "") -> bool:
        """Tell whether a fingerprint has crashed too many endpoints."""
        endpoints = self._seen.get(print_)
        if not endpoints:
            return False
        now = self._timers.wall_time()
        inputs = {
            "fingerprint": print_,
            "endpoints": list(endpoints),
            "loss_ages": [now - seen for seen in endpoints.values()],
            "allowed": CRASHES_ALLOWED,
            "remembered_seconds": REMEMBERED_SECONDS,
        }
        decided = decide_crash_refusal(inputs)
        record_decision(self._recorder, DecisionKind.CRASH, inputs, decided, request_id)
        return decided[0]

    def count(self, print_: str, endpoint_id: str) -> None:
        """Count a lost endpoint and tell the other nodes."""
        now = self._timers.wall_time()
        self._remember(print_, endpoint_id, now)
        log.warning(
            "endpoint lost while it ran a request",
            extra={"fingerprint": print_, "endpoint": endpoint_id},
        )
        # One item for each endpoint: nodes that count at the same moment must not
        # overwrite each other. Milliseconds, so that a later loss replaces it.
        key = f"{print_}/{endpoint_id}"
        self._news.publish(TOPIC, key, int(now * 1000), {"at": now})

    def _on_news(self, key: str, version: int, body: dict) -> None:
        print_, _, endpoint_id = key.partition("/")
        at = body.get("at")
        if print_ and endpoint_id and isinstance(at, (int, float)):
            self._remember(print_, endpoint_id, min(at, self._timers.wall_time()))

    def _remember(self, print_: str, endpoint_id: str, at: float) -> None:
        endpoints = self._seen.setdefault(print_, {})
        endpoints[endpoint_id] = max(at, endpoints.get(endpoint_id, 0.0))
        self._seen.move_to_end(print_)
        while len(self._seen) > FINGERPRINTS_KEPT:
            self._seen.popitem(last=False)
