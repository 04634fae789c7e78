"""Requests that crash endpoints, counted by fingerprint and shared by gossip."""

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

CRASHES_TOPIC = "crashes"
MIN_LOST_ENDPOINTS_TO_REFUSE = 2
LOSS_RETENTION_SECONDS = 600.0
MAX_FINGERPRINTS = 10_000
CRASHES_ENDPOINTS = CrashReason.CRASHES_ENDPOINTS


class CrashTracker:
    """Tracker of the endpoints that were lost while they ran a request."""

    def __init__(
        self, gossip: Gossip, timers: TimerService, recorder: Recorder | None = None
    ):
        self._recorder = recorder or NullRecorder()
        self._gossip = gossip
        self._timers = timers
        # Unix seconds of each loss, by fingerprint and endpoint id.
        self._losses: OrderedDict[str, dict[str, float]] = OrderedDict()
        gossip.subscribe(CRASHES_TOPIC, self._on_gossip)

    def refuses(self, fingerprint: str, request_id: str = "") -> bool:
        """Return whether requests with a fingerprint are refused, and record it."""
        endpoints = self._losses.get(fingerprint)
        if not endpoints:
            return False
        now = self._timers.wall_time()
        inputs = {
            "fingerprint": fingerprint,
            "endpoints": list(endpoints),
            "loss_ages": [now - lost_at for lost_at in endpoints.values()],
            "allowed": MIN_LOST_ENDPOINTS_TO_REFUSE,
            "remembered_seconds": LOSS_RETENTION_SECONDS,
        }
        decided = decide_crash_refusal(inputs)
        record_decision(self._recorder, DecisionKind.CRASH, inputs, decided, request_id)
        return decided[0]

    def record_loss(self, fingerprint: str, endpoint_id: str) -> None:
        """Record the loss of an endpoint, here and at the other nodes."""
        now = self._timers.wall_time()
        self._remember(fingerprint, endpoint_id, now)
        log.warning(
            "endpoint lost while it ran a request",
            extra={"fingerprint": fingerprint, "endpoint": endpoint_id},
        )
        # One gossip item per endpoint, so that nodes that record losses at the same
        # time do not overwrite each other. The version is in milliseconds, so that a
        # later loss replaces an earlier one.
        key = f"{fingerprint}/{endpoint_id}"
        self._gossip.publish(CRASHES_TOPIC, key, int(now * 1000), {"at": now})

    def _on_gossip(self, key: str, version: int, body: dict) -> None:
        fingerprint, _, endpoint_id = key.partition("/")
        at = body.get("at")
        if fingerprint and endpoint_id and isinstance(at, (int, float)):
            self._remember(fingerprint, endpoint_id, min(at, self._timers.wall_time()))

    def _remember(self, fingerprint: str, endpoint_id: str, at: float) -> None:
        endpoints = self._losses.setdefault(fingerprint, {})
        endpoints[endpoint_id] = max(at, endpoints.get(endpoint_id, 0.0))
        self._losses.move_to_end(fingerprint)
        while len(self._losses) > MAX_FINGERPRINTS:
            self._losses.popitem(last=False)
