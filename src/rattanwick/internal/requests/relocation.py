"""Relocation of streams from an endpoint that will be reclaimed."""

import gevent

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.gossip import ENDPOINT_LEAVING_TOPIC
from rattanwick.internal.peers.interfaces import Gossip
from rattanwick.internal.recording.decisions import Recorder
from rattanwick.internal.requests.endpoint_index import EndpointIndex
from rattanwick.internal.requests.kv_cache import export_kv
from rattanwick.internal.requests.runs import LiveRequests, Relocation, RequestRun
from rattanwick.internal.routing.reclaim import (
    LeavingEndpoint,
    ReclaimAction,
    StreamState,
    decide_reclaim,
)

log = get_logger("reclaim")

CHECK_INTERVAL_SECONDS = 0.5  # between checks of streams that were left to finish
LAST_MOVE_SECONDS = 1.0  # all remaining streams move this long before the reclaim
DEFAULT_NOTICE_SECONDS = 20.0  # if gossip does not state the time of the reclaim
DEFAULT_TOKEN_SECONDS = 0.03  # assumed time between tokens, not measured here
MIN_EXPECTED_TOKENS = 32


class StreamRelocator:
    """Moves streams away from leaving endpoints, by a decision for each stream."""

    def __init__(
        self,
        gossip: Gossip,
        live: LiveRequests,
        endpoints: EndpointIndex,
        timers: TimerService,
        recorder: Recorder,
    ):
        self._live = live
        self._endpoints = endpoints
        self._timers = timers
        self._recorder = recorder
        self._leaving: set[str] = set()  # endpoints whose streams are being moved
        gossip.subscribe(ENDPOINT_LEAVING_TOPIC, self._on_leaving)

    def _on_leaving(self, key: str, version: int, body: dict) -> None:
        if key in self._leaving:
            return
        self._leaving.add(key)
        reclaim_at = body.get("not_before")
        if not isinstance(reclaim_at, (int, float)):
            reclaim_at = self._timers.wall_time() + DEFAULT_NOTICE_SECONDS
        gevent.spawn(self._relocate_streams, key, float(reclaim_at))

    def _relocate_streams(self, endpoint_id: str, reclaim_at: float) -> None:
        """Check the endpoint's streams until it is reclaimed, and move them in time."""
        try:
            while self._timers.wall_time() < reclaim_at:
                runs = self._live.at_endpoint(endpoint_id)
                seconds_left = reclaim_at - self._timers.wall_time()
                if seconds_left <= LAST_MOVE_SECONDS:
                    for run in runs:
                        self._move(run, None)
                elif runs:
                    self._decide(endpoint_id, runs, seconds_left)
                self._timers.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self._leaving.discard(endpoint_id)

    def _decide(
        self, endpoint_id: str, runs: list[RequestRun], seconds_left: float
    ) -> None:
        endpoint = LeavingEndpoint(
            endpoint_id=endpoint_id,
            seconds_left=seconds_left,
            step_seconds=DEFAULT_TOKEN_SECONDS,
            can_export=True,
            streams=[self._stream_state(run) for run in runs],
        )
        by_id = {run.record.req.id: run for run in runs}
        for choice in decide_reclaim(endpoint, self._recorder):
            run = by_id[choice.request_id]
            if choice.action is ReclaimAction.EXPORT:
                gevent.spawn(self._export_and_move, endpoint_id, run)
            elif choice.action is ReclaimAction.RESUME:
                self._move(run, None)

    def _stream_state(self, run: RequestRun) -> StreamState:
        req, output = run.record.req, run.record.output
        # As many tokens are expected to follow as the answer already has.
        expected = max(output.tokens, MIN_EXPECTED_TOKENS)
        remaining_tokens = max(req.max_output_tokens - output.tokens, 0)
        return StreamState(
            request_id=req.id,
            prompt_tokens=req.prompt_tokens,
            output_tokens=output.tokens,
            expected_tokens=float(min(remaining_tokens, expected)),
        )

    def _export_and_move(self, endpoint_id: str, run: RequestRun) -> None:
        endpoint = self._endpoints.get(endpoint_id)
        kv = export_kv(endpoint, run.record.req.id) if endpoint else None
        self._move(run, kv)

    def _move(self, run: RequestRun, kv: dict | None) -> None:
        if run.ended or run.control.relocation is not None:
            return
        log.info("moving request %s to another endpoint", run.record.req.id)
        run.control.relocate(Relocation(kv))
