"""A node's own account of one allowance: what it holds, spends, lends and borrows.

All changes are local and immediate; nothing here waits for the table or a peer.
"""

from dataclasses import dataclass

from gevent.lock import RLock

from rattanwick.internal.state.amounts import ZERO, Amount


@dataclass(slots=True)
class LoanHint:
    """Tell what a peer had left when it last answered a loan request."""

    left: Amount
    at: float  # monotonic seconds


class GrantAccount:
    """Hold the grant of one plan and pool at this node."""

    __slots__ = (
        "_cap",
        "borrowed",
        "checked",
        "expires_monotonic",
        "expires_wall",
        "held",
        "hints",
        "known_free",
        "known_free_at",
        "lent",
        "limit",
        "lock",
        "lowered",
        "plan",
        "pool",
        "previous_charge",
        "refill_after",
        "used",
        "window",
    )

    def __init__(self, plan: str, pool: str, limit: Amount):
        self.plan = plan
        self.pool = pool
        self.limit = limit
        self.lock = RLock()  # one refill or resize at a time
        self.held = ZERO  # in each window, confirmed by the table
        self.expires_wall = 0.0  # Unix seconds
        self.expires_monotonic = 0.0  # seconds
        self.lowered = False  # held is below the table's row
        self.window = 0
        self.used = ZERO
        self.lent = ZERO
        self.borrowed = ZERO
        self._cap: Amount | None = None  # own part of this window after a decrease
        self.previous_charge = ZERO
        self.known_free: Amount | None = None  # None when not known in this window
        self.known_free_at = 0.0  # monotonic seconds
        self.refill_after = 0.0  # monotonic seconds
        self.checked = (0, 0)  # window and live nodes of the last check by the timer
        self.hints: dict[str, LoanHint] = {}

    def enter_window(self, window: int) -> None:
        """Start a later window; a clock that steps back changes nothing."""
        if window <= self.window:
            return
        follows = window == self.window + 1
        self.previous_charge = self.own_charge() if follows else ZERO
        self.window = window
        self.used = self.lent = self.borrowed = ZERO
        self._cap = None
        self.known_free = None
        self.refill_after = 0.0
        self.hints.clear()

    def own_charge(self) -> Amount:
        """Return what this window took of the own grant."""
        return (self.used + self.lent).subtract_clamped(self.borrowed)

    def available(self, wall: float, monotonic: float, skew: float) -> Amount:
        """Return what can be spent now; the own grant counts until its expiry."""
        own = ZERO
        if self.is_valid(wall, monotonic, skew):
            own = self.held if self._cap is None else self._cap
        return (own + self.borrowed).subtract_clamped(self.used + self.lent)

    def is_valid(self, wall: float, monotonic: float, skew: float) -> bool:
        """Tell whether the grant has not expired on either clock."""
        return wall < self.expires_wall - skew and (
            monotonic < self.expires_monotonic - skew
        )

    def spend(self, amount: Amount) -> None:
        """Charge a request to this window."""
        self.used += amount

    def refund(self, window: int, amount: Amount) -> None:
        """Give a charge back to its own window; a past window stays charged."""
        if window == self.window:
            self.used -= amount

    def lend(self, asked: Amount, need: Amount, available: Amount) -> Amount:
        """Deduct and return a loan: what is needed, and up to half of the rest."""
        half = Amount(available.tokens // 2, available.requests // 2)
        given = need.maximum(asked.minimum(half)).minimum(available)
        self.lent += given
        return given

    def receive(self, window: int, amount: Amount) -> None:
        """Add a loan that arrived within its window."""
        if window == self.window:
            self.borrowed += amount

    def raise_to(self, held: Amount) -> None:
        """Hold what the table confirmed."""
        if self._cap is not None:
            self._cap += held.subtract_clamped(self.held)
        self.held = held
        self.lowered = False

    def lower_to(self, held: Amount) -> tuple[Amount, Amount]:
        """Hold less from now on; return the charges that stay.

        What this and the previous window spent above the new holding cannot be
        granted to others in these windows. The previous window counts because
        another node's clock may still be in it.
        """
        held = held.minimum(self.held)
        charge = self.own_charge()
        if held != self.held:
            self._cap = charge.maximum(held)
        self.held = held
        return charge.subtract_clamped(held), self.previous_charge.subtract_clamped(
            held
        )

    def change_limit(self, limit: Amount) -> None:
        """Follow a change of the lists; a lower limit scales the holding at once."""
        held = self.held.lowered(self.limit, limit)
        self.limit = limit
        self.known_free = None
        self.checked = (0, 0)
        if held != self.held:
            self.lower_to(held)
            self.lowered = True
