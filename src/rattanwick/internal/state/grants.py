"""Grants: each node's part of an allowance, spent without asking anyone."""

import math
import random
from dataclasses import dataclass

from rattanwick.internal.base.errors import Refused, StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.outcomes import NotRun
from rattanwick.internal.base.settings import AllowanceSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Members, PeerNetwork
from rattanwick.internal.platform.interfaces import Table
from rattanwick.internal.state.amounts import ZERO, Amount
from rattanwick.internal.state.grant_accounts import GrantAccount
from rattanwick.internal.state.grant_loans import LEND_MESSAGE, Borrower, amount_from
from rattanwick.internal.state.grant_rows import GrantRows, GrantTerms, ResizeResult
from rattanwick.internal.state.list_format import Allowance
from rattanwick.internal.state.lists import ListStore, ListsVersion

WINDOW_SECONDS = 60.0
TICKS_PER_WINDOW = 6
TABLE_BACKOFF_SECONDS = 5.0
REFILLS_PER_WINDOW = 120  # most unsuccessful refills of an account
# A grant is renewed once this part of its life has passed.
RENEW_AFTER_PART = 1 / 3
UNAVAILABLE_RETRY_SECONDS = 5.0

RESERVATIONS = counter(
    "allowance_reservations", "Requests charged to an allowance", ("result",)
)
OVERRUN_TOKENS = counter("allowance_overrun_tokens", "Tokens used beyond the charge")
log = get_logger("grants")


@dataclass(slots=True)
class Reservation:
    """Hold a request's charge until it is settled."""

    plan: str
    pool: str
    window: int
    amount: Amount
    settled: bool = False


class Grants:
    """Charge requests to allowances; refuse those that do not fit."""

    def __init__(
        self,
        table: Table,
        network: PeerNetwork,
        members: Members,
        lists: ListStore,
        timers: TimerService,
        settings: AllowanceSettings,
        window_seconds: float = WINDOW_SECONDS,
        random_source: random.Random | None = None,
    ):
        node = members.self_node
        # A restarted process cannot know what its predecessor spent; its own rows
        # are separate, and the old ones stay charged until they expire.
        self._rows = GrantRows(table, f"{node.id}.{node.incarnation}")
        self._network = network
        self._members = members
        self._lists = lists
        self._timers = timers
        self._settings = settings
        self._window_seconds = window_seconds
        self._random = random_source or random.Random()
        self._borrower = Borrower(network, members, timers, self._random)
        self._accounts: dict[tuple[str, str], GrantAccount] = {}
        self._table_after = 0.0  # monotonic seconds
        self._stopped = False

    def start(self) -> None:
        """Lend to peers, follow the lists and maintain grants."""
        self._network.handle(LEND_MESSAGE, self._answer_loan)
        self._lists.subscribe(self._follow_lists)
        self._follow_lists(self._lists.current())
        period = self._window_seconds / TICKS_PER_WINDOW
        self._timers.after(0, self.maintain)
        self._timers.subscribe("grants", period, self.maintain)

    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge a request at its upper bound to the current window."""
        allowance = self._lists.current().contents.allowances.get((plan, pool))
        if allowance is None:
            return self._refuse("no_allowance", None)
        want = Amount(tokens, 1)
        if self._stopped:
            return self._refuse("draining", None)
        account = self._account(allowance)
        if not account.limit.covers(want):
            return self._refuse("larger_than_allowance", None)
        if not self._available(account).covers(want):
            self._refill(account, want)
        # No other task runs between the check and the charge.
        if self._available(account).covers(want):
            account.spend(want)
            RESERVATIONS.labels("charged").inc()
            return Reservation(plan, pool, account.window, want)
        if self._is_unavailable(account):
            return self._refuse("allowance_unavailable", UNAVAILABLE_RETRY_SECONDS)
        return self._refuse("allowance_exhausted", self._seconds_to_next_window())

    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund what a request did not use, to the window that it was charged to.

        A request that did not run (``ran`` is False) gets its request back as well.
        """
        account = self._accounts.get((reservation.plan, reservation.pool))
        if reservation.settled or account is None:
            return
        reservation.settled = True
        account.enter_window(self._window())
        unused = reservation.amount.tokens - used_tokens
        if unused < 0:
            OVERRUN_TOKENS.inc(-unused)
            account.spend(Amount(-unused, 0))
            return
        refund = Amount(unused, 0 if ran else 1)
        account.refund(reservation.window, refund)

    def lend(
        self, plan: str, pool: str, window: int, asked: Amount, need: Amount
    ) -> Amount:
        """Deduct and return unspent parts of the current window for a peer."""
        account = self._accounts.get((plan, pool))
        if account is None or self._stopped:
            return ZERO
        available = self._available(account)
        if window != account.window:
            return ZERO
        return account.lend(asked, need.minimum(asked), available)

    def maintain(self) -> None:
        """Renew, resize and sweep; runs several times in each window."""
        if self._stopped:
            return
        for account in list(self._accounts.values()):
            if self._table_is_down():
                return
            self._maintain_account(account)

    def return_all(self) -> None:
        """Return all grants, on a planned stop; nothing can be reserved after it."""
        self._stopped = True
        for account in self._accounts.values():
            account.change_limit(ZERO)
            with account.lock:
                self._resize(account, lambda held, free: ZERO)

    def status(self) -> list[dict]:
        """Return the grants of this node for operators."""
        now = self._timers.wall_time()
        return [
            {
                "plan": account.plan,
                "pool": account.pool,
                "tokens_granted": account.held.tokens,
                "requests_granted": account.held.requests,
                "tokens_available": self._available(account).tokens,
                "tokens_used": account.used.tokens,
                "tokens_lent": account.lent.tokens,
                "tokens_borrowed": account.borrowed.tokens,
                "expires_in_seconds": round(account.expires_wall - now, 1),
            }
            for account in self._accounts.values()
        ]

    def _account(self, allowance: Allowance) -> GrantAccount:
        key = (allowance.plan, allowance.pool)
        account = self._accounts.get(key)
        if account is None:
            account = GrantAccount(*key, _limit_of(allowance))
            self._accounts[key] = account
        return account

    def _follow_lists(self, version: ListsVersion) -> None:
        allowances = version.contents.allowances
        for allowance in allowances.values():
            self._account(allowance).change_limit(_limit_of(allowance))
        for key, account in self._accounts.items():
            if key not in allowances:
                account.change_limit(ZERO)

    def _maintain_account(self, account: GrantAccount) -> None:
        account.enter_window(self._window())
        live = len(self._members.live())
        seen = (account.window, live)
        changed = account.checked != seen
        # On average one node of the deployment sweeps in each window.
        if account.checked[0] < account.window and self._random.random() * live < 1:
            self._sweep(account)
        account.checked = seen
        if account.lowered or (changed and self._needs_resize(account)):
            with account.lock:
                self._resize(
                    account, lambda held, free: self._choose(account, held, free)
                )

    def _needs_resize(self, account: GrantAccount) -> bool:
        return account.limit != ZERO and (
            self._is_renewal_due(account)
            or not account.held.covers(self._fair_share(account))
        )

    def _is_renewal_due(self, account: GrantAccount) -> bool:
        left = account.expires_wall - self._timers.wall_time()
        return left < self._settings.grant_seconds * (1 - RENEW_AFTER_PART)

    def _choose(self, account: GrantAccount, held: Amount, free: Amount) -> Amount:
        """Return the holding wanted when nobody waits for it.

        The nodes together hold the whole allowance, so that nothing lies free at the
        table during its outage. The busy node borrows what the others do not use; a
        holding that moved through the table would lie free there for a while.
        """
        if account.lowered:
            return held.minimum(account.held)
        return held.maximum(self._fair_share(account))

    def _fair_share(self, account: GrantAccount) -> Amount:
        return account.limit.divide_rounding_up(max(len(self._members.live()), 1))

    def _refill(self, account: GrantAccount, want: Amount) -> None:
        """Borrow from peers and take from the table, until a request fits.

        The table comes second because all of an allowance is usually granted, and a
        slow table would delay requests that a peer can help.
        """
        with account.lock:
            if self._available(account).covers(want):
                return
            if self._timers.now() < account.refill_after:
                return
            if account.held == ZERO and self._table_may_have(account):
                self._take(account, want)
            self._borrower.borrow(account, want, lambda: self._available(account))
            short = not self._available(account).covers(want)
            if short and self._table_may_have(account):
                self._take(account, want)
            if not self._available(account).covers(want):
                pause = self._window_seconds / REFILLS_PER_WINDOW
                account.refill_after = self._timers.now() + pause

    def _table_may_have(self, account: GrantAccount) -> bool:
        if self._table_is_down() or account.lowered or self._stopped:
            return False
        age = self._timers.now() - account.known_free_at
        if account.known_free is None or age > self._window_seconds / TICKS_PER_WINDOW:
            return True
        return account.known_free != ZERO

    def _take(self, account: GrantAccount, want: Amount) -> None:
        short = want.subtract_clamped(self._available(account))
        step = account.limit.divide_rounding_up(2 * max(len(self._members.live()), 1))
        asked = short.maximum(step).masked_by(short)
        self._resize(account, lambda held, free: held + free.minimum(asked))

    def _resize(self, account: GrantAccount, choose) -> ResizeResult | None:
        """Write a new holding and adopt it; the account keeps a lower one at once."""
        wall, started = self._timers.wall_time(), self._timers.now()
        expires = self._expiry(wall)
        term = GrantTerms(
            window=self._window(),
            limit=account.limit,
            list_version=self._lists.current().number,
            expires=expires,
            settled=None if self._is_renewal_due(account) else account.held,
        )
        try:
            resized = self._rows.resize(
                account.plan, account.pool, term, choose, account.lower_to
            )
        except Refused as exc:
            log.error("the table refused a grant: %s", exc)
            return None
        except StepError as exc:
            log.warning("cannot change a grant: %s", exc)
            self._table_after = self._timers.now() + TABLE_BACKOFF_SECONDS
            return None
        if resized.written:
            account.expires_wall = expires
            account.expires_monotonic = started + (expires - wall)
        self._adopt(account, term, resized)
        return resized

    def _adopt(
        self, account: GrantAccount, term: GrantTerms, resized: ResizeResult
    ) -> None:
        if not account.limit.covers(term.limit):
            account.lowered = True  # the lists changed while the table was asked
        elif resized.written:
            account.raise_to(resized.held)
        account.known_free = resized.free
        account.known_free_at = self._timers.now()
        if resized.newer_lists:
            self._lists.poll()

    def _sweep(self, account: GrantAccount) -> None:
        skew = self._settings.skew_seconds
        try:
            wall = self._timers.wall_time()
            swept = self._rows.sweep(account.plan, account.pool, wall, skew)
        except StepError as exc:
            log.warning("cannot sweep expired grants: %s", exc)
            return
        if swept:
            log.info("freed %d expired grants of %s", swept, account.plan)

    def _answer_loan(self, peer: str, body: dict) -> dict:
        asked = amount_from(body, "tokens", "requests")
        need = amount_from(body, "need_tokens", "need_requests")
        plan, pool, window = (body.get(name) for name in ("plan", "pool", "window"))
        if asked is None or need is None or type(window) is not int:
            raise Refused(LEND_MESSAGE, peer, "fields missing or invalid")
        given = self.lend(str(plan), str(pool), window, asked, need)
        account = self._accounts.get((plan, pool))
        left = self._available(account) if account else ZERO
        return {
            "tokens": given.tokens,
            "requests": given.requests,
            "left_tokens": left.tokens,
            "left_requests": left.requests,
        }

    def _available(self, account: GrantAccount) -> Amount:
        account.enter_window(self._window())
        return account.available(
            self._timers.wall_time(), self._timers.now(), self._settings.skew_seconds
        )

    def _is_valid(self, account: GrantAccount) -> bool:
        return account.is_valid(
            self._timers.wall_time(), self._timers.now(), self._settings.skew_seconds
        )

    def _is_unavailable(self, account: GrantAccount) -> bool:
        """Tell whether a node without a grant cannot know what is left.

        The table counts as up again some seconds after an error, also when nobody
        has reached it since; only its answer in this window says that nothing is
        free.
        """
        unknown = self._table_is_down() or account.known_free is None
        return unknown and not self._is_valid(account)

    def _window(self) -> int:
        return int(self._timers.wall_time() // self._window_seconds)

    def _expiry(self, wall: float) -> float:
        """Return the end of the window in which a new grant's life ends."""
        end = wall + self._settings.grant_seconds
        return math.ceil(end / self._window_seconds) * self._window_seconds

    def _seconds_to_next_window(self) -> float:
        return self._window_seconds - self._timers.wall_time() % self._window_seconds

    def _table_is_down(self) -> bool:
        return self._timers.now() < self._table_after

    def _refuse(self, reason: str, retry_after: float | None) -> NotRun:
        RESERVATIONS.labels(reason).inc()
        return NotRun(reason, retry_after)


def _limit_of(allowance: Allowance) -> Amount:
    return Amount(allowance.tokens_per_minute, allowance.requests_per_minute)
