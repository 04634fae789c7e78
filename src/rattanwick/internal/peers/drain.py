"""Drain of a node for a planned stop or a reclaim, without interrupting requests."""

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
POLL_INTERVAL_SECONDS = 0.05
MAX_PARALLEL_HANDOVERS = 64
# Time reserved at the end of a notice for redirecting callers. If the notice is short,
# only CALLER_REDIRECT_SHARE of it is reserved.
MAX_CALLER_REDIRECT_SECONDS = 3.0
CALLER_REDIRECT_SHARE = 0.25
SETTLEMENT_TIMEOUT_SECONDS = 1.0
MAX_SETTLEMENT_NODES = 3
SETTLEMENT_INTERVAL_SECONDS = 0.2


@dataclass(slots=True)
class DrainCallbacks:
    """Steps of a drain in other components; each of them may fail or hang."""

    # Report 503 at /readyz, offer no entry to callers and refuse new requests.
    withdraw: Callable[[], None]
    release_leases: Callable[[], None]
    return_grants: Callable[[], None]
    pending_settlements: Callable[[], list[dict]]  # bodies of claims.settle
    stop_generation: Callable[[str], bool]  # False if the request must finish here
    resume: Callable[[ServingRequest, RequestOutput], None]  # if no node accepts it
    redirect_callers: Callable[[str, str], None]  # (request id, "host:port")


class NodeDrain:
    """Drain of this node, run once; a reclaim notice shortens a planned stop."""

    def __init__(
        self,
        settings: DrainSettings,
        network: PeerNetwork,
        members: HeartbeatMembers,
        registry: RequestRegistry,
        replicator: PeerRequestReplicator,
        handover: Handover,
        replica_transfer: ReplicaTransfer,
        callbacks: DrainCallbacks,
        timers: TimerService,
    ):
        self._settings = settings
        self._network = network
        self._members = members
        self._registry = registry
        self._replicator = replicator
        self._handover = handover
        self._replica_transfer = replica_transfer
        self._callbacks = callbacks
        self._timers = timers
        self._gone_at: float | None = None  # Unix seconds; end of the instance
        self._time_up = False
        self._drained = False
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether the drain has started."""
        return self._started

    def handle_reclaim_notice(self, not_before: float) -> None:
        """Record the time at which the cloud takes the instance.

        ``not_before`` is in Unix seconds. The earliest of several notices applies.
        """
        if self._gone_at is None or not_before < self._gone_at:
            self._gone_at = not_before

    def run(self) -> None:
        """Drain; return when no request is left or the instance is about to end."""
        self._started = True
        log.info("draining")
        self._run_step("withdraw", self._callbacks.withdraw)
        self._members.leave()
        releasing = gevent.spawn(self._release_leases_and_grants)
        settling = gevent.spawn(self._hand_over_settlements)
        transferring = gevent.spawn(
            self._run_step, "transfer replicas", self._replica_transfer.run
        )
        if self._gone_at is None:
            self._wait_for_requests()
        if self._registry.in_flight():
            self._hand_over_and_redirect()
        self._drained = True
        gevent.joinall(
            [releasing, settling, transferring], timeout=2 * STEP_TIMEOUT_SECONDS
        )
        self._replicator.flush()
        log.info("drained, %d requests left", len(self._registry.in_flight()))

    def _release_leases_and_grants(self) -> None:
        """Release leases and grants, so that other nodes can use them.

        This runs in parallel with the handovers, so that an outage of the table does
        not delay them.
        """
        self._run_step("release leases", self._callbacks.release_leases)
        self._run_step("return grants", self._callbacks.return_grants)

    def _run_step(self, name: str, step: Callable[[], None]) -> None:
        try:
            with gevent.Timeout(STEP_TIMEOUT_SECONDS):
                step()
        except gevent.Timeout:
            log.warning(
                "drain step %s: not finished within %g s", name, STEP_TIMEOUT_SECONDS
            )
        except Exception as exc:
            log.warning("drain step %s failed: %s", name, exc)

    def _hand_over_settlements(self) -> None:
        """Hand over pending settlements until the drain ends, including late ones.

        This waits for no other step. Settlements are pending during an outage of the
        table, and then the steps that need the table run into their time-outs.
        """
        accepted: list[dict] = []
        while True:
            last_round = self._drained
            self._run_step(
                "hand over settlements", lambda: self._hand_over_pending(accepted)
            )
            if last_round:
                return
            self._timers.sleep(SETTLEMENT_INTERVAL_SECONDS)

    def _hand_over_pending(self, accepted: list[dict]) -> None:
        """Hand over settlements that are not in ``accepted``; add those handed over."""
        for body in self._callbacks.pending_settlements():
            if body not in accepted and self._send_settlement(body):
                accepted.append(body)

    def _send_settlement(self, body: dict) -> bool:
        for node in self._members.live()[:MAX_SETTLEMENT_NODES]:
            try:
                self._network.call(
                    node.id, "claims.settle", body, SETTLEMENT_TIMEOUT_SECONDS
                )
                return True
            except StepError as exc:
                log.warning("handover of a settlement failed: %s", exc)
        log.error("a settlement was not handed over")
        return False

    def _wait_for_requests(self) -> None:
        """Wait until no request is left, the time limit ends or a notice arrives."""
        limit = self._settings.limit_seconds
        started_at = self._timers.now()
        while self._registry.in_flight() and self._gone_at is None:
            if limit and self._timers.now() - started_at >= limit:
                self._gone_at = self._timers.wall_time() + self._settings.notice_seconds
                return
            self._timers.sleep(POLL_INTERVAL_SECONDS)

    def _hand_over_and_redirect(self) -> None:
        """Hand requests over, relay text while time remains, then redirect callers."""
        notice = max(self._gone_at - self._timers.wall_time(), 0.0)
        reserved_seconds = min(
            MAX_CALLER_REDIRECT_SECONDS, CALLER_REDIRECT_SHARE * notice
        )
        handing_over = gevent.spawn(self._hand_over_all)
        self._wait_until_end(reserved_seconds)
        self._time_up = True
        for record in self._registry.in_flight():
            self._redirect_callers(record)
        # A request that could not be handed over may still finish here.
        self._wait_until_end(0.0)
        handing_over.kill()

    def _hand_over_all(self) -> None:
        pool = Pool(MAX_PARALLEL_HANDOVERS)
        handled_ids: set[str] = set()
        while True:
            # A request admitted just before the drain may appear after it began.
            for record in self._registry.in_flight():
                if record.req.id not in handled_ids:
                    handled_ids.add(record.req.id)
                    pool.spawn(self._hand_over, record)
            self._timers.sleep(POLL_INTERVAL_SECONDS)

    def _wait_until_end(self, reserved_seconds: float) -> None:
        """Wait until no request is left or ``reserved_seconds`` before the end."""
        while self._registry.in_flight():
            if self._timers.wall_time() >= self._gone_at - reserved_seconds:
                return
            self._timers.sleep(POLL_INTERVAL_SECONDS)

    def _hand_over(self, record: RequestRecord) -> None:
        if not record.req.idempotent or not self._callbacks.stop_generation(
            record.req.id
        ):
            return
        if record.output.outcome is not None:
            return
        if self._handover.hand_over(record) is None:
            self._callbacks.resume(record.req, record.output)
            return
        gevent.spawn(self._handover.relay, record, lambda: self._time_up)

    def _redirect_callers(self, record: RequestRecord) -> None:
        live = {node.id: node for node in self._members.live()}
        if not record.moved_to or not live:
            log.error("%s is left unfinished", record.req.id)
            return
        # If the new serving node is gone by now, any other node can find the request.
        node = live.get(record.moved_to) or next(iter(live.values()))
        address = f"{node.host}:{node.caller_port}"
        redirect = self._callbacks.redirect_callers
        self._run_step("redirect callers", lambda: redirect(record.req.id, address))
        self._registry.finish(record.req.id)
