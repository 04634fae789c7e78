"""Loans between nodes: unspent tokens and requests of the current window."""

import random
from collections.abc import Callable

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Members, PeerNetwork
from rattanwick.internal.state.amounts import ZERO, Amount
from rattanwick.internal.state.grant_accounts import GrantAccount, LoanHint

LEND_MESSAGE = "grants.lend"
LOAN_TIMEOUT_SECONDS = 0.25
# Roughly the longest time for which a request waits for loans before it is refused.
BORROW_TIMEOUT_SECONDS = 0.5
# Limits the number of messages per refill in a large deployment.
MAX_PEERS_ASKED = 8
HINT_RETENTION_SECONDS = 2.0
FAILED_PEER_RETRY_SECONDS = 5.0
# A node asks for at least limit / MAX_LOANS_PER_LIMIT, so that few loans are needed.
MAX_LOANS_PER_LIMIT = 32

LOANS = counter("grant_loan_messages", "Loan requests to peers", ("result",))
log = get_logger("grants")


class Borrower:
    """Borrows unspent tokens and requests of the current window from peers."""

    def __init__(
        self,
        network: PeerNetwork,
        members: Members,
        timers: TimerService,
        random_source: random.Random,
    ):
        self._network = network
        self._members = members
        self._timers = timers
        self._random = random_source
        self._peer_retry_at: dict[str, float] = {}

    def borrow(
        self, account: GrantAccount, want: Amount, available: Callable[[], Amount]
    ) -> None:
        """Ask peers for loans until the account covers a request.

        Stops after MAX_PEERS_ASKED peers, after BORROW_TIMEOUT_SECONDS, or at the end
        of the window.
        """
        window = account.window
        deadline = self._timers.now() + BORROW_TIMEOUT_SECONDS
        for peer in self._candidate_peers(account)[:MAX_PEERS_ASKED]:
            shortfall = want.subtract_clamped(available())
            timed_out = self._timers.now() >= deadline
            if timed_out or shortfall == ZERO or account.window != window:
                return
            self._request_loan(account, peer, shortfall)

    def _candidate_peers(self, account: GrantAccount) -> list[str]:
        """Return peers that may have tokens left, those with the most first."""
        now = self._timers.now()
        own = self._members.self_node.id
        candidates = []
        for node in self._members.live():
            if node.id == own or self._peer_retry_at.get(node.id, 0.0) > now:
                continue
            hint = account.loan_hints.get(node.id)
            if (
                hint
                and hint.remaining == ZERO
                and now < hint.reported_at + HINT_RETENTION_SECONDS
            ):
                continue
            remaining = hint.remaining.tokens if hint else account.limit.tokens
            candidates.append((remaining, self._random.random(), node.id))
        return [peer for _, _, peer in sorted(candidates, reverse=True)]

    def _request_loan(
        self, account: GrantAccount, peer: str, shortfall: Amount
    ) -> None:
        window = account.window
        min_loan = account.limit.divide_rounding_up(MAX_LOANS_PER_LIMIT)
        asked = shortfall.maximum(min_loan).masked_by(shortfall)
        body = {
            "plan": account.plan,
            "pool": account.pool,
            "window": window,
            "tokens": asked.tokens,
            "requests": asked.requests,
            "need_tokens": shortfall.tokens,
            "need_requests": shortfall.requests,
        }
        try:
            reply = self._network.call(peer, LEND_MESSAGE, body, LOAN_TIMEOUT_SECONDS)
        except StepError as exc:
            self._peer_retry_at[peer] = self._timers.now() + FAILED_PEER_RETRY_SECONDS
            LOANS.labels("failed").inc()
            log.warning("loan request to %s failed: %s", peer, exc)
            return
        loan = amount_from(reply, "tokens", "requests")
        remaining = amount_from(reply, "left_tokens", "left_requests")
        if loan is None or remaining is None or not asked.covers(loan):
            LOANS.labels("invalid").inc()
            log.warning("invalid reply to a loan request from %s", peer)
            return
        LOANS.labels("lent" if loan != ZERO else "empty").inc()
        account.loan_hints[peer] = LoanHint(remaining, self._timers.now())
        account.receive(window, loan)


def amount_from(body: dict, tokens: str, requests: str) -> Amount | None:
    """Return the amount in two fields of a message, or None if it is invalid."""
    values = (body.get(tokens, 0), body.get(requests, 0))
    if any(type(value) is not int or value < 0 for value in values):
        return None
    return Amount(*values)
