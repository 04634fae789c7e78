"""Order service of a node: acquires the lease for orders and sends orders with it."""

from collections.abc import Callable, Iterable

from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.recording.decisions import Recorder
from rattanwick.internal.state.leases import LeaseKeeper, Leases
from rattanwick.internal.state.order_client import OrderClient
from rattanwick.internal.state.order_reconciler import (
    LEASE_NAME,
    DesiredState,
    OrderReconciler,
)

DesiredStates = Callable[[], Iterable[DesiredState]]


def no_desired_states() -> tuple[DesiredState, ...]:
    """Return no desired states; the default of OrderService."""
    return ()


class OrderService:
    """Keeps the lease for orders and reconciles endpoints with their desired states."""

    def __init__(
        self,
        leases: Leases,
        client: OrderClient,
        find_endpoint: Callable[[str], Endpoint | None],
        timers: TimerService,
        recorder: Recorder,
        desired: DesiredStates = no_desired_states,
    ):
        self._leases = leases
        self._client = client
        self._find_endpoint = find_endpoint
        self._timers = timers
        self._recorder = recorder
        self._desired = desired
        self._lease_keeper: LeaseKeeper | None = None
        self._reconciler: OrderReconciler | None = None

    def start(self) -> None:
        """Start acquiring the lease and reconciling."""
        self._lease_keeper = LeaseKeeper(self._leases, LEASE_NAME, self._timers)
        # The first attempt is made at once, so that a new deployment soon has a holder.
        self._timers.after(0.0, self._lease_keeper.tick)
        self._reconciler = OrderReconciler(
            self._leases,
            self._lease_keeper,
            self._client,
            self._find_endpoint,
            self._timers,
            self._recorder,
            desired_states=self._desired,
        )
        self._timers.after(0.0, self._lease_keeper.tick)

    def stop(self) -> None:
        """Stop sending orders and release the lease."""
        if self._lease_keeper is not None:
            self._lease_keeper.stop()

    def status(self) -> dict:
        """Return the state of leases and orders, for operators."""
        orders = self._reconciler.status() if self._reconciler is not None else {}
        return {"leases": self._leases.status(), "orders": orders}
