"""Move streams away from an endpoint that will be reclaimed."""

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

CHECK_SECONDS = 0.5  # between looks at streams that were left to finish
LAST_MOVE_SECONDS = 1.0  # before the end of the notice, when all others move
USUAL_NOTICE_SECONDS = 20.0  # where news does not tell the end
STEP_SECONDS = 0.03  # between tokens, where nothing was observed
LEAST_EXPECTED_TOKENS = 32


class StreamRelocator:
    """Choose for each stream of a leaving endpoint, and move those that must."""

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
        self._busy: set[str] = set()
        gossip.subscribe(ENDPOINT_LEAVING_TOPIC, self._on_leaving)

    def _on_leaving(self, key: str, version: int, body: dict) -> None:
        if key in self._busy:
            return
        self._busy.add(key)
        end = body.get("not_before")
        if not isinstance(end, (int, float)):
            end = self._timers.wall_time() + USUAL_NOTICE_SECONDS
        gevent.spawn(self._clear, key, float(end))

    def _clear(self, endpoint_id: str, end: float) -> None:
        """Look at the endpoint's streams until none is left or its time is up."""
        try:
            while self._timers.wall_time() < end:
                runs = self._live.at_endpoint(endpoint_id)
                left = end - self._timers.wall_time()
                if left <= LAST_MOVE_SECONDS:
                    for run in runs:
                        self._move(run, None)
                elif runs:
                    self._decide(endpoint_id, runs, left)
                self._timers.sleep(CHECK_SECONDS)
        finally:
            self._busy.discard(endpoint_id)

    def _decide(
        self, endpoint_id: str, runs: list[RequestRun], seconds_left: float
    ) -> None:
        endpoint = LeavingEndpoint(
            endpoint_id=endpoint_id,
            seconds_left=seconds_left,
            step_seconds=STEP_SECONDS,
            can_export=True,
            streams=[self._state(run) for run in runs],
        )
        by_id = {run.record.req.id: run for run in runs}
        for choice in decide_reclaim(endpoint, self._recorder):
            run = by_id[choice.request_id]
            if choice.action is ReclaimAction.EXPORT:
                gevent.spawn(self._export_and_move, endpoint_id, run)
            elif choice.action is ReclaimAction.RESUME:
                self._move(run, None)

    def _state(self, run: RequestRun) -> StreamState:
        req, output = run.record.req, run.record.output
        # The longer an answer is, the more of it is still to come.
        usual = max(output.tokens, LEAST_EXPECTED_TOKENS)
        left = max(req.max_output_tokens - output.tokens, 0)
        return StreamState(
            request_id=req.id,
            prompt_tokens=req.prompt_tokens,
            output_tokens=output.tokens,
            expected_tokens=float(min(left, usual)),
        )

    def _export_and_move(self, endpoint_id: str, run: RequestRun) -> None:
        endpoint = self._endpoints.get(endpoint_id)
        kv = export_kv(endpoint, run.record.req.id) if endpoint else None
        self._move(run, kv)

    def _move(self, run: RequestRun, kv: dict | None) -> None:
        if run.ended or run.control.relocation is not None:
            return
        log.info("moving %s to another endpoint", run.record.req.id)
        run.control.relocate(Relocation(kv))
