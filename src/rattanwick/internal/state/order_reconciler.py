"""Control loop that brings engines to their desired states by orders.

Only the holder of the lease sends orders. An order names a desired state, so it may
be repeated; the state is read back after each order. Endpoints that check fencing
numbers reject orders of an earlier holder. To endpoints that do not, a new holder
sends nothing until no order of the earlier holder can still be in transit.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gevent.pool import Pool

from rattanwick.internal.base.errors import Conflict, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.recording.decisions import (
    Decision,
    DecisionKind,
    NullRecorder,
    Recorder,
    decision_function,
)
from rattanwick.internal.state.boot_clock import boot_seconds
from rattanwick.internal.state.leases import (
    CLOCK_RATE_MARGIN_SECONDS,
    Lease,
    LeaseKeeper,
    Leases,
)
from rattanwick.internal.state.order_client import EngineState, OrderClient

log = get_logger("orders")

LEASE_NAME = "orders"
RECONCILE_INTERVAL_SECONDS = 5.0
# Confirmed states are read again to detect a late order of an earlier holder.
VERIFY_INTERVAL_SECONDS = 60.0
MAX_PARALLEL_ENDPOINTS = 8
FIRST_FENCING_NUMBER = 1

SEND = "send"
WAIT = "wait"
DONE = "done"

ORDERS = counter("orders", "Orders to engines by result", ("action", "result"))
UNCONFIRMED_STATES = gauge("orders_open", "Desired states that are not confirmed")


@dataclass(slots=True, frozen=True)
class DesiredState:
    """Desired state of one endpoint for one action."""

    endpoint_id: str
    action: str  # such as load_model, load_adapter, set_role
    target: str


@decision_function(DecisionKind.ORDER)
def decide_order(inputs: dict) -> tuple[str, str]:
    """Return SEND, WAIT or DONE, and the reason.

    Inputs: ``target``, ``found`` (the engine's present state, None if it reports
    none), ``holds_lease``, ``fencing_number`` (of the lease),
    ``engine_fencing_number``, ``checks_fencing``, and ``quiet_seconds`` (remaining time
    in which a new holder must not send to engines that do not check fencing).
    """
    if not inputs["holds_lease"]:
        return WAIT, "no_lease"
    if inputs["engine_fencing_number"] > inputs["fencing_number"]:
        return WAIT, "newer_holder"
    if not inputs["checks_fencing"] and inputs["quiet_seconds"] > 0:
        return WAIT, "quiet_period"
    if inputs["found"] == inputs["target"]:
        return DONE, "as_desired"
    return SEND, "differs"


class OrderReconciler:
    """Brings endpoints to their desired states while this process has the lease."""

    def __init__(
        self,
        leases: Leases,
        lease_keeper: LeaseKeeper,
        client: OrderClient,
        find_endpoint: Callable[[str], Endpoint | None],
        timers: TimerService,
        recorder: Recorder | None = None,
        clock: Callable[[], float] = boot_seconds,
        desired_states: Callable[[], Iterable[DesiredState]] | None = None,
    ):
        self._desired_states = desired_states
        self._leases = leases
        self._lease_keeper = lease_keeper
        self._client = client
        self._find_endpoint = find_endpoint
        self._recorder = recorder or NullRecorder()
        self._clock = clock
        self._desired: dict[tuple[str, str], DesiredState] = {}
        # confirmation times on the boot clock
        self._confirmed: dict[DesiredState, float] = {}
        self._fencing_number = 0
        self._quiet_until = 0.0  # seconds on the boot clock
        self._busy = False
        timers.subscribe("orders", RECONCILE_INTERVAL_SECONDS, self.reconcile)

    @property
    def quiet_period_seconds(self) -> float:
        """Seconds after which no order of an earlier holder can still be in transit."""
        return self._leases.duration + self._client.timeout + CLOCK_RATE_MARGIN_SECONDS

    def set_desired_state(self, state: DesiredState) -> None:
        """Set a desired state; it replaces an earlier one of the same action."""
        self._desired[(state.endpoint_id, state.action)] = state

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove the desired states of an endpoint."""
        for key in [key for key in self._desired if key[0] == endpoint_id]:
            del self._desired[key]

    def reconcile(self) -> None:
        """Send orders to endpoints whose state differs from the desired one."""
        if self._busy:
            return
        self._busy = True
        try:
            lease = self._current_lease()
            if lease is not None:
                self._load_desired_states()
                self._reconcile_all(lease)
        finally:
            self._busy = False

    def status(self) -> dict:
        """Return the state of the reconciler, for operators."""
        return {
            "fencing_number": self._fencing_number,
            "quiet_seconds_left": round(max(0.0, self._quiet_until - self._clock()), 1),
            "desired": len(self._desired),
            "confirmed": len(self._confirmed),
        }

    def _load_desired_states(self) -> None:
        if self._desired_states is not None:
            self._desired = {
                (state.endpoint_id, state.action): state
                for state in self._desired_states()
            }

    def _reconcile_all(self, lease: Lease) -> None:
        now = self._clock()
        due = [
            desired
            for desired in self._desired.values()
            if now - self._confirmed.get(desired, -VERIFY_INTERVAL_SECONDS)
            >= VERIFY_INTERVAL_SECONDS
        ]
        pool = Pool(MAX_PARALLEL_ENDPOINTS)
        choices = pool.map(lambda desired: self._reconcile_one(desired, lease), due)
        done = {
            item for item, choice in zip(due, choices, strict=True) if choice == DONE
        }
        kept = set(self._desired.values())
        confirmed = {item: at for item, at in self._confirmed.items() if item in kept}
        for desired in due:
            confirmed.pop(desired, None)
        self._confirmed = confirmed | dict.fromkeys(done, now)
        UNCONFIRMED_STATES.set(len(kept - self._confirmed.keys()))

    def _reconcile_one(self, desired: DesiredState, lease: Lease) -> str:
        endpoint = self._find_endpoint(desired.endpoint_id)
        if endpoint is None or endpoint.leaving:
            return WAIT
        try:
            state = self._client.read_state(endpoint)
            choice = self._decide(desired, endpoint, lease, state)
            if choice != SEND:
                return choice
            return self._send(desired, endpoint, lease)
        except Conflict as exc:
            ORDERS.labels(desired.action, "stale").inc()
            log.error("endpoint rejected an order with a stale fencing number: %s", exc)
        except StepError as exc:
            # The order may have been carried out; the next round reads the state.
            ORDERS.labels(desired.action, "failed").inc()
            log.warning("order failed; will retry: %s", exc)
        return WAIT

    def _current_lease(self) -> Lease | None:
        lease = self._lease_keeper.current()
        if lease is not None and lease.fencing_number != self._fencing_number:
            self._fencing_number = lease.fencing_number
            is_first = lease.fencing_number == FIRST_FENCING_NUMBER
            wait = 0.0 if is_first else self.quiet_period_seconds
            self._quiet_until = self._clock() + wait
            self._confirmed.clear()
        return lease

    def _decide(
        self,
        desired: DesiredState,
        endpoint: Endpoint,
        lease: Lease,
        state: EngineState,
    ) -> str:
        inputs = {
            "endpoint_id": endpoint.id,
            "action": desired.action,
            "target": desired.target,
            "found": state.targets.get(desired.action),
            "holds_lease": self._leases.holds(lease),
            "fencing_number": lease.fencing_number,
            "engine_fencing_number": state.fencing_number,
            "checks_fencing": endpoint.checks_fencing,
            "quiet_seconds": max(0.0, self._quiet_until - self._clock()),
        }
        choice, reason = decide_order(inputs)
        if choice == SEND or reason == "newer_holder":
            self._recorder.record(Decision(DecisionKind.ORDER, inputs, choice, reason))
        return choice

    def _send(self, desired: DesiredState, endpoint: Endpoint, lease: Lease) -> str:
        self._leases.require_valid(lease)
        self._client.send(
            endpoint, lease.fencing_number, desired.action, desired.target
        )
        state = self._client.read_state(endpoint)
        if state.targets.get(desired.action) != desired.target:
            ORDERS.labels(desired.action, "not_confirmed").inc()
            log.warning(
                "endpoint %s has not reached state %s after its order",
                endpoint.id,
                desired.target,
            )
            return WAIT
        ORDERS.labels(desired.action, "confirmed").inc()
        return DONE
