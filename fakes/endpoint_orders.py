"""Orders to a fake engine, protected by fencing numbers unless a fault ignores them."""

from fakes.endpoint_faults import Faults

ACTIONS = ("load_model", "load_adapter", "set_version", "set_role")
MAX_ORDERS = 1000


class OrderReceiver:
    """Accepts orders and keeps the resulting state, the last target of each action."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._highest = 0
        self._values: dict[str, object] = {}
        self._log: list[dict] = []

    def accept(self, order: dict) -> tuple[int, dict]:
        """Apply an order; return the HTTP status and body.

        An order with a lower fencing number than an earlier one gets 409. Raises
        KeyError or ValueError for an invalid order.
        """
        number, action = order["fencing_number"], order["action"]
        if not isinstance(number, int):
            raise ValueError("fencing_number: must be a whole number")
        if action not in ACTIONS:
            raise ValueError(f"action: must be one of {', '.join(ACTIONS)}")
        if number < self._highest and not self._faults.ignore_fencing:
            message = f"fencing_number: {number} is older than {self._highest}"
            return 409, {"error": {"message": message}, "highest": self._highest}
        self._highest = max(self._highest, number)
        self._values[action] = order["target"]
        self._log.append(dict(order))
        del self._log[:-MAX_ORDERS]
        return 200, self.state()

    def state(self) -> dict:
        """Return the highest fencing number, the targets and the last 20 orders."""
        return {
            "highest": self._highest,
            "values": self._values,
            "orders": self._log[-20:],
        }
