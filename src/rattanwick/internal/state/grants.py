"""Grants: the part of an allowance that a node may spend on its own.

A node charges requests to its grant without a call to the table or to peers. If a
request does not fit, it borrows from peers or takes more from the table.
"""

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
MAINTENANCE_RUNS_PER_WINDOW = 6
TABLE_BACKOFF_SECONDS = 5.0  # pause in the use of the table after an error
MAX_FAILED_REFILLS_PER_WINDOW = 120  # per account
# A grant is renewed when this fraction of its lifetime has passed.
RENEWAL_FRACTION = 1 / 3
UNAVAILABLE_RETRY_AFTER_SECONDS = 5.0

RESERVATIONS = counter(
    "allowance_reservations", "Requests charged to an allowance", ("result",)
)
OVERRUN_TOKENS = counter("allowance_overrun_tokens", "Tokens used beyond the charge")
log = get_logger("grants")


@dataclass(slots=True)
class Reservation:
    """The charge of a request, until it is settled."""

    plan: str
    pool: str
    window: int
    amount: Amount
    settled: bool = False


class Grants:
    """Charges requests to the allowances of plans; refuses those that do not fit."""

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
        # A restarted process cannot know what the previous one spent. It therefore
        # uses rows of its own; those of the previous one count until they expire.
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
        self._table_retry_at = 0.0  # monotonic seconds
        self._stopped = False

    def start(self) -> None:
        """Start answering loan requests, applying the lists and maintaining grants."""
        self._network.handle(LEND_MESSAGE, self._handle_loan_request)
        self._lists.subscribe(self._apply_lists)
        self._apply_lists(self._lists.current())
        period = self._window_seconds / MAINTENANCE_RUNS_PER_WINDOW
        self._timers.after(0, self.maintain)
        self._timers.subscribe("grants", period, self.maintain)

    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge a request to the current window, or return why it is refused.

        ``tokens`` is the most that the request can use; settle refunds the rest.
        """
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
        # There is no task switch between this check and the charge.
        if self._available(account).covers(want):
            account.spend(want)
            RESERVATIONS.labels("charged").inc()
            return Reservation(plan, pool, account.window, want)
        if self._is_unavailable(account):
            return self._refuse(
                "allowance_unavailable", UNAVAILABLE_RETRY_AFTER_SECONDS
            )
        return self._refuse("allowance_exhausted", self._seconds_to_next_window())

    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund the unused tokens of a request to the window that it was charged to.

        With ``ran`` False, the request itself is refunded too. Tokens used beyond the
        charge are charged to the current window.
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
        """Deduct a loan to a peer from the current window and return its amount.

        ``need`` is the least amount that lets the peer serve its request. The loan is
        zero if the peer is in another window.
        """
        account = self._accounts.get((plan, pool))
        if account is None or self._stopped:
            return ZERO
        available = self._available(account)
        if window != account.window:
            return ZERO
        return account.lend(asked, need.minimum(asked), available)

    def maintain(self) -> None:
        """Renew, resize and sweep grants; runs several times in each window."""
        if self._stopped:
            return
        for account in list(self._accounts.values()):
            if self._table_is_down():
                return
            self._maintain_account(account)

    def return_all(self) -> None:
        """Return all grants to the table before a planned stop; refuse all requests."""
        self._stopped = True
        for account in self._accounts.values():
            account.change_limit(ZERO)
            with account.lock:
                self._resize(account, lambda held, free: ZERO)

    def status(self) -> list[dict]:
        """Return the grants of this node, for operators."""
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

    def _apply_lists(self, version: ListsVersion) -> None:
        allowances = version.contents.allowances
        for allowance in allowances.values():
            self._account(allowance).change_limit(_limit_of(allowance))
        for key, account in self._accounts.items():
            if key not in allowances:
                account.change_limit(ZERO)

    def _maintain_account(self, account: GrantAccount) -> None:
        account.enter_window(self._window())
        live = len(self._members.live())
        check = (account.window, live)
        changed = account.last_check != check
        # On average, one node of the deployment sweeps in each window.
        if account.last_check[0] < account.window and self._random.random() * live < 1:
            self._sweep(account)
        account.last_check = check
        if account.decrease_pending or (changed and self._needs_resize(account)):
            with account.lock:
                self._resize(
                    account,
                    lambda held, free: self._choose_grant(account, held, free),
                )

    def _needs_resize(self, account: GrantAccount) -> bool:
        return account.limit != ZERO and (
            self._is_renewal_due(account)
            or not account.held.covers(self._fair_share(account))
        )

    def _is_renewal_due(self, account: GrantAccount) -> bool:
        left = account.expires_wall - self._timers.wall_time()
        return left < self._settings.grant_seconds * (1 - RENEWAL_FRACTION)

    def _choose_grant(
        self, account: GrantAccount, held: Amount, free: Amount
    ) -> Amount:
        """Return the grant that maintenance should write, given the one in the table.

        The nodes together hold the whole allowance, so that all of it can be spent
        during an outage of the table. A busy node borrows what the others do not use.
        If tokens moved through the table instead, they would be free there for a while,
        and could not be used if the table failed.
        """
        if account.decrease_pending:
            return held.minimum(account.held)
        return held.maximum(self._fair_share(account))

    def _fair_share(self, account: GrantAccount) -> Amount:
        return account.limit.divide_rounding_up(max(len(self._members.live()), 1))

    def _refill(self, account: GrantAccount, want: Amount) -> None:
        """Borrow from peers, then take from the table, until a request fits.

        Peers come first because usually the whole allowance is granted, and because a
        slow table would delay requests for which a loan is enough. A node without a
        grant asks the table first.
        """
        with account.lock:
            if self._available(account).covers(want):
                return
            if self._timers.now() < account.refill_after:
                return
            if account.held == ZERO and self._table_may_have_free(account):
                self._take_from_table(account, want)
            self._borrower.borrow(account, want, lambda: self._available(account))
            is_short = not self._available(account).covers(want)
            if is_short and self._table_may_have_free(account):
                self._take_from_table(account, want)
            if not self._available(account).covers(want):
                pause = self._window_seconds / MAX_FAILED_REFILLS_PER_WINDOW
                account.refill_after = self._timers.now() + pause

    def _table_may_have_free(self, account: GrantAccount) -> bool:
        if self._table_is_down() or account.decrease_pending or self._stopped:
            return False
        age = self._timers.now() - account.known_free_at
        if (
            account.known_free is None
            or age > self._window_seconds / MAINTENANCE_RUNS_PER_WINDOW
        ):
            return True
        return account.known_free != ZERO

    def _take_from_table(self, account: GrantAccount, want: Amount) -> None:
        shortfall = want.subtract_clamped(self._available(account))
        step = account.limit.divide_rounding_up(2 * max(len(self._members.live()), 1))
        asked = shortfall.maximum(step).masked_by(shortfall)
        self._resize(account, lambda held, free: held + free.minimum(asked))

    def _resize(self, account: GrantAccount, choose) -> ResizeResult | None:
        """Write a new grant and apply it; return None if the table failed.

        A decrease is applied to the account before the write, an increase after it.
        """
        wall_time, started = self._timers.wall_time(), self._timers.now()
        expires = self._expiry(wall_time)
        terms = GrantTerms(
            window=self._window(),
            limit=account.limit,
            list_version=self._lists.current().number,
            expires=expires,
            unchanged_grant=None if self._is_renewal_due(account) else account.held,
        )
        try:
            resized = self._rows.resize(
                account.plan, account.pool, terms, choose, account.lower_to
            )
        except Refused as exc:
            log.error("the table refused to write a grant: %s", exc)
            return None
        except StepError as exc:
            log.warning("cannot resize a grant: %s", exc)
            self._table_retry_at = self._timers.now() + TABLE_BACKOFF_SECONDS
            return None
        if resized.written:
            account.expires_wall = expires
            account.expires_monotonic = started + (expires - wall_time)
        self._apply_resize(account, terms, resized)
        return resized

    def _apply_resize(
        self, account: GrantAccount, terms: GrantTerms, resized: ResizeResult
    ) -> None:
        if not account.limit.covers(terms.limit):
            account.decrease_pending = True  # the lists changed during the write
        elif resized.written:
            account.increase_to(resized.held)
        account.known_free = resized.free
        account.known_free_at = self._timers.now()
        if resized.newer_lists:
            self._lists.poll()

    def _sweep(self, account: GrantAccount) -> None:
        skew = self._settings.skew_seconds
        try:
            wall_time = self._timers.wall_time()
            swept = self._rows.sweep(account.plan, account.pool, wall_time, skew)
        except StepError as exc:
            log.warning("cannot sweep expired grants: %s", exc)
            return
        if swept:
            log.info("deleted %d expired grants of plan %s", swept, account.plan)

    def _handle_loan_request(self, peer: str, body: dict) -> dict:
        asked = amount_from(body, "tokens", "requests")
        need = amount_from(body, "need_tokens", "need_requests")
        plan, pool, window = (body.get(name) for name in ("plan", "pool", "window"))
        if asked is None or need is None or type(window) is not int:
            raise Refused(LEND_MESSAGE, peer, "fields missing or invalid")
        loan = self.lend(str(plan), str(pool), window, asked, need)
        account = self._accounts.get((plan, pool))
        left = self._available(account) if account else ZERO
        return {
            "tokens": loan.tokens,
            "requests": loan.requests,
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
        """Return whether this node has no valid grant and does not know what is free.

        A few seconds after an error the table counts as up again, even if no call has
        succeeded since. So only a response of the table in this window shows that
        nothing is free.
        """
        unknown = self._table_is_down() or account.known_free is None
        return unknown and not self._is_valid(account)

    def _window(self) -> int:
        return int(self._timers.wall_time() // self._window_seconds)

    def _expiry(self, wall_time: float) -> float:
        """Return the expiry of a new grant in Unix seconds, at the end of a window."""
        end = wall_time + self._settings.grant_seconds
        return math.ceil(end / self._window_seconds) * self._window_seconds

    def _seconds_to_next_window(self) -> float:
        return self._window_seconds - self._timers.wall_time() % self._window_seconds

    def _table_is_down(self) -> bool:
        return self._timers.now() < self._table_retry_at

    def _refuse(self, reason: str, retry_after: float | None) -> NotRun:
        RESERVATIONS.labels(reason).inc()
        return NotRun(reason, retry_after)


def _limit_of(allowance: Allowance) -> Amount:
    return Amount(allowance.tokens_per_minute, allowance.requests_per_minute)
