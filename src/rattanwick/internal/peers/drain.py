"""Leave without interrupting a request: planned stop and reclaim notice."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import DrainSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import (
    RequestOutput,
    RequestRecord,
    RequestRegistry,
)
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.handover import Handover
from rattanwick.internal.peers.interfaces import PeerNetwork
from rattanwick.internal.peers.members import HeartbeatMembers
from rattanwick.internal.peers.replica_transfer import ReplicaTransfer
from rattanwick.internal.peers.replication import PeerRequestReplicator

log = get_logger("drain")

STEP_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.05
PARALLEL_HANDOVERS = 64
HAND_OFF_SECONDS = 3.0  # kept at the end of a notice to tell callers
HAND_OFF_SHARE = 0.25  # of a notice that is shorter than that
SETTLEMENT_SECONDS = 1.0
SETTLEMENT_NODES = 3
SETTLEMENT_PAUSE_SECONDS = 0.2


@dataclass(slots=True)
class DrainCallbacks:
    """What other parts do while this node drains; each may fail or hang."""

    withdraw: Callable[[], None]  # /readyz 503, no entry, refuse new requests
    release_leases: Callable[[], None]
    return_grants: Callable[[], None]
    pending_settlements: Callable[[], list[dict]]  # bodies of claims.settle
    stop_generation: Callable[
        [str], bool
    ]  # stop generation; False when it must finish here
    resume: Callable[[ServingRequest, RequestOutput], None]  # when no node takes it
    redirect_callers: Callable[[str, str], None]  # (request id, "host:port")


class NodeDrain:
    """Drain this node once; a notice during a planned stop shortens it."""

    def __init__(
        self,
        settings: DrainSettings,
        network: PeerNetwork,
        members: HeartbeatMembers,
        table: RequestRegistry,
        replicator: PeerRequestReplicator,
        handover: Handover,
        replica_transfer: ReplicaTransfer,
        steps: DrainCallbacks,
        timers: TimerService,
    ):
        self._settings = settings
        self._network = network
        self._members = members
        self._table = table
        self._keepers = replicator
        self._handover = handover
        self._passing = replica_transfer
        self._steps = steps
        self._timers = timers
        self._end: float | None = None  # Unix seconds at which the instance is gone
        self._time_up = False
        self._drained = False
        self._started = False

    @property
    def started(self) -> bool:
        """Tell whether the node drains."""
        return self._started

    def handle_reclaim_notice(self, not_before: float) -> None:
        """Note a reclaim notice; ``not_before`` is in Unix seconds."""
        if self._end is None or not_before < self._end:
            self._end = not_before

    def run(self) -> None:
        """Drain; return when no caller waits or the time is up."""
        self._started = True
        log.info("draining")
        self._attempt("withdraw", self._steps.withdraw)
        self._members.leave()
        giving_back = gevent.spawn(self._give_back)
        settling = gevent.spawn(self._hand_over_settlements)
        passing = gevent.spawn(self._attempt, "pass copies on", self._passing.run)
        if self._end is None:
            self._wait_for_requests()
        if self._table.in_flight():
            self._move()
        self._drained = True
        gevent.joinall(
            [giving_back, settling, passing], timeout=2 * STEP_TIMEOUT_SECONDS
        )
        self._keepers.flush()
        log.info("drained, %d requests left", len(self._table.in_flight()))

    def _give_back(self) -> None:
        """Release what others may use; an outage of the table delays nothing."""
        self._attempt("release leases", self._steps.release_leases)
        self._attempt("return grants", self._steps.return_grants)

    def _attempt(self, name: str, step: Callable[[], None]) -> None:
        try:
            with gevent.Timeout(STEP_TIMEOUT_SECONDS):
                step()
        except gevent.Timeout:
            log.warning("%s: not done within %g s", name, STEP_TIMEOUT_SECONDS)
        except Exception as exc:
            log.warning("%s: %s", name, exc)

    def _hand_over_settlements(self) -> None:
        """Hand over settlements until the drain ends, those of late calls too.

        It waits for no other step: in an outage of the table, when settlements are
        pending, the steps that need the table use up their whole time.
        """
        handed: list[dict] = []
        while True:
            last_round = self._drained
            self._attempt(
                "hand over settlements", lambda: self._hand_over_pending(handed)
            )
            if last_round:
                return
            self._timers.sleep(SETTLEMENT_PAUSE_SECONDS)

    def _hand_over_pending(self, handed: list[dict]) -> None:
        """Hand over what was not yet; add to ``handed`` what a node took."""
        for body in self._steps.pending_settlements():
            if body not in handed and self._send_settlement(body):
                handed.append(body)

    def _send_settlement(self, body: dict) -> bool:
        for node in self._members.live()[:SETTLEMENT_NODES]:
            try:
                self._network.call(node.id, "claims.settle", body, SETTLEMENT_SECONDS)
                return True
            except StepError as exc:
                log.warning("%s", exc)
        log.error("a settlement was not handed over")
        return False

    def _wait_for_requests(self) -> None:
        """Wait for requests, the limit or a notice, whichever is first."""
        limit = self._settings.limit_seconds
        began = self._timers.now()
        while self._table.in_flight() and self._end is None:
            if limit and self._timers.now() - began >= limit:
                self._end = self._timers.wall_time() + self._settings.notice_seconds
                return
            self._timers.sleep(POLL_SECONDS)

    def _move(self) -> None:
        """Hand requests over, relay while time remains, then move callers."""
        notice = max(self._end - self._timers.wall_time(), 0.0)
        kept_back = min(HAND_OFF_SECONDS, HAND_OFF_SHARE * notice)
        moving = gevent.spawn(self._hand_over_all)
        self._wait_until_end(kept_back)
        self._time_up = True
        for record in self._table.in_flight():
            self._hand_off(record)
        # What could not be moved may still finish here.
        self._wait_until_end(0.0)
        moving.kill()

    def _hand_over_all(self) -> None:
        pool = Pool(PARALLEL_HANDOVERS)
        seen: set[str] = set()
        while True:
            # A request that was admitted just before the drain appears late.
            for record in self._table.in_flight():
                if record.req.id not in seen:
                    seen.add(record.req.id)
                    pool.spawn(self._hand_over, record)
            self._timers.sleep(POLL_SECONDS)

    def _wait_until_end(self, kept_back: float) -> None:
        """Wait for requests until ``kept_back`` seconds before the end."""
        while self._table.in_flight():
            if self._timers.wall_time() >= self._end - kept_back:
                return
            self._timers.sleep(POLL_SECONDS)

    def _hand_over(self, record: RequestRecord) -> None:
        if not record.req.idempotent or not self._steps.stop_generation(record.req.id):
            return
        if record.output.outcome is not None:
            return
        if self._handover.hand_over(record) is None:
            self._steps.resume(record.req, record.output)
            return
        gevent.spawn(self._handover.relay, record, lambda: self._time_up)

    def _hand_off(self, record: RequestRecord) -> None:
        live = {node.id: node for node in self._members.live()}
        if not record.moved_to or not live:
            log.error("%s is left unfinished", record.req.id)
            return
        # Any node finds the request, should its holder be gone by now.
        node = live.get(record.moved_to) or next(iter(live.values()))
        address = f"{node.host}:{node.caller_port}"
        callers = self._steps.redirect_callers
        self._attempt("hand off callers", lambda: callers(record.req.id, address))
        self._table.finish(record.req.id)
