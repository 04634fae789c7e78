"""A node's account of one allowance: what it is granted, spends, lends and borrows.

An allowance is what all organisations of a plan may use of a pool in one window. A
grant is the part of it that one node may spend.

All operations are local; none of them waits for the table or for a peer.
"""

from dataclasses import dataclass

from gevent.lock import RLock

from rattanwick.internal.state.amounts import ZERO, Amount


@dataclass(slots=True)
class LoanHint:
    """Amount that a peer could still lend when it last replied to a loan request."""

    remaining: Amount
    reported_at: float  # monotonic seconds


class GrantAccount:
    """The grant of one plan and pool at this node, and its use in this window."""

    __slots__ = (
        "_window_cap",
        "borrowed",
        "last_check",
        "expires_monotonic",
        "expires_wall",
        "held",
        "loan_hints",
        "known_free",
        "known_free_at",
        "lent",
        "limit",
        "lock",
        "decrease_pending",
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
        self.held = ZERO  # amount granted per window, as confirmed by the table
        self.expires_wall = 0.0  # Unix seconds
        self.expires_monotonic = 0.0  # monotonic seconds
        self.decrease_pending = False  # the table still holds the larger amount
        self.window = 0
        self.used = ZERO
        self.lent = ZERO
        self.borrowed = ZERO
        # Limit on this node's grant in the current window, after a decrease.
        self._window_cap: Amount | None = None
        self.previous_charge = ZERO
        # Ungranted amount in the table, or None if it was not read in this window.
        self.known_free: Amount | None = None
        self.known_free_at = 0.0  # monotonic seconds
        self.refill_after = 0.0  # monotonic seconds
        self.last_check = (0, 0)  # (window, live nodes) of the last maintenance
        self.loan_hints: dict[str, LoanHint] = {}

    def enter_window(self, window: int) -> None:
        """Start a later window; do nothing if the clock was set back."""
        if window <= self.window:
            return
        is_next = window == self.window + 1
        self.previous_charge = self.own_charge() if is_next else ZERO
        self.window = window
        self.used = self.lent = self.borrowed = ZERO
        self._window_cap = None
        self.known_free = None
        self.refill_after = 0.0
        self.loan_hints.clear()

    def own_charge(self) -> Amount:
        """Return what was spent or lent of this node's own grant in this window."""
        return (self.used + self.lent).subtract_clamped(self.borrowed)

    def available(self, wall_time: float, now: float, skew: float) -> Amount:
        """Return what can be spent now; an expired grant counts as zero."""
        own = ZERO
        if self.is_valid(wall_time, now, skew):
            own = self.held if self._window_cap is None else self._window_cap
        return (own + self.borrowed).subtract_clamped(self.used + self.lent)

    def is_valid(self, wall_time: float, now: float, skew: float) -> bool:
        """Return whether the grant is unexpired on both clocks.

        ``skew`` is the largest difference between nodes' clocks, in seconds.
        """
        return wall_time < self.expires_wall - skew and (
            now < self.expires_monotonic - skew
        )

    def spend(self, amount: Amount) -> None:
        """Charge a request to this window."""
        self.used += amount

    def refund(self, window: int, amount: Amount) -> None:
        """Undo a charge of the current window; past windows stay charged."""
        if window == self.window:
            self.used -= amount

    def lend(self, asked: Amount, need: Amount, available: Amount) -> Amount:
        """Deduct and return a loan.

        The loan is the larger of ``need`` and ``asked``, where ``asked`` counts up to
        half of ``available``. It is at most ``available``.
        """
        half = Amount(available.tokens // 2, available.requests // 2)
        loan = need.maximum(asked.minimum(half)).minimum(available)
        self.lent += loan
        return loan

    def receive(self, window: int, amount: Amount) -> None:
        """Add a loan if its window is still the current one."""
        if window == self.window:
            self.borrowed += amount

    def increase_to(self, held: Amount) -> None:
        """Increase the grant to what the table confirmed."""
        if self._window_cap is not None:
            self._window_cap += held.subtract_clamped(self.held)
        self.held = held
        self.decrease_pending = False

    def lower_to(self, held: Amount) -> tuple[Amount, Amount]:
        """Decrease the grant; return the excess of this and of the previous window.

        The excess is what was spent above the new grant in a window. It must not be
        granted to other nodes in the same window. The previous window counts because
        another node's clock may still be in it.
        """
        held = held.minimum(self.held)
        charge = self.own_charge()
        if held != self.held:
            self._window_cap = charge.maximum(held)
        self.held = held
        return charge.subtract_clamped(held), self.previous_charge.subtract_clamped(
            held
        )

    def change_limit(self, limit: Amount) -> None:
        """Set a new limit; a lower one scales the grant down at once."""
        held = self.held.scaled_to_limit(self.limit, limit)
        self.limit = limit
        self.known_free = None
        self.last_check = (0, 0)
        if held != self.held:
            self.lower_to(held)
            self.decrease_pending = True
