"""Orders of a node: it waits for the lease, and while it holds it, issues orders."""

from collections.abc import Callable, Iterable

from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.recording.decisions import Recorder
from rattanwick.internal.state.leases import LeaseRenewer, Leases
from rattanwick.internal.state.order_client import OrderClient
from rattanwick.internal.state.order_reconciler import (
    LEASE_NAME,
    DesiredState,
    OrderReconciler,
)

DesiredStates = Callable[[], Iterable[DesiredState]]


def nothing_desired() -> tuple[DesiredState, ...]:
    """Return no end states."""
    return ()


class OrderService:
    """Keep the lease of orders and follow the end states of a provider."""

    def __init__(
        self,
        leases: Leases,
        client: OrderClient,
        find_endpoint: Callable[[str], Endpoint | None],
        timers: TimerService,
        recorder: Recorder,
        desired: DesiredStates = nothing_desired,
    ):
        self._leases = leases
        self._client = client
        self._find_endpoint = find_endpoint
        self._timers = timers
        self._recorder = recorder
        self._desired = desired
        self._lease_renewer: LeaseRenewer | None = None
        self._orders: OrderReconciler | None = None

    def start(self) -> None:
        """Try to get the lease from now on."""
        self._lease_renewer = LeaseRenewer(self._leases, LEASE_NAME, self._timers)
        # The first try comes at once, so that a new deployment soon has a holder.
        self._timers.after(0.0, self._lease_renewer.tick)
        self._orders = OrderReconciler(
            self._leases,
            self._lease_renewer,
            self._client,
            self._find_endpoint,
            self._timers,
            self._recorder,
            provider=self._desired,
        )
        self._timers.after(0.0, self._lease_renewer.tick)

    def stop(self) -> None:
        """Issue no more orders and release the lease."""
        if self._lease_renewer is not None:
            self._lease_renewer.stop()

    def status(self) -> dict:
        """Return leases and orders for operators; ages in seconds."""
        orders = self._orders.status() if self._orders is not None else {}
        return {"leases": self._leases.status(), "orders": orders}
