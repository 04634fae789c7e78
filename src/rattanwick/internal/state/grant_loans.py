"""Loans of one window's unspent tokens between nodes."""

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
# A request that waits for loans is refused after about this time.
BORROW_SECONDS = 0.5
# Bounds the messages of one refill in a large deployment.
MAX_PEERS_ASKED = 8
HINT_SECONDS = 2.0
SILENT_PEER_SECONDS = 5.0
# A loan is at least this part of the limit, so that few messages are needed.
LOANS_IN_LIMIT = 32

LOANS = counter("grant_loan_messages", "Loan requests to peers", ("result",))
log = get_logger("grants")


class Borrower:
    """Ask peers for unspent tokens of the current window."""

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
        self._silent_until: dict[str, float] = {}

    def borrow(
        self, account: GrantAccount, want: Amount, available: Callable[[], Amount]
    ) -> None:
        """Ask peers until the account covers a request or all were asked."""
        window = account.window
        limit = self._timers.now() + BORROW_SECONDS
        for peer in self._order_peers(account)[:MAX_PEERS_ASKED]:
            short = want.subtract_clamped(available())
            late = self._timers.now() >= limit
            if late or short == ZERO or account.window != window:
                return
            self._ask(account, peer, short)

    def _order_peers(self, account: GrantAccount) -> list[str]:
        """Return peers that may have something left, the richest first."""
        now = self._timers.now()
        own = self._members.self_node.id
        candidates = []
        for node in self._members.live():
            if node.id == own or self._silent_until.get(node.id, 0.0) > now:
                continue
            hint = account.hints.get(node.id)
            if hint and hint.left == ZERO and now < hint.at + HINT_SECONDS:
                continue
            left = hint.left.tokens if hint else account.limit.tokens
            candidates.append((left, self._random.random(), node.id))
        return [peer for _, _, peer in sorted(candidates, reverse=True)]

    def _ask(self, account: GrantAccount, peer: str, short: Amount) -> None:
        window = account.window
        step = account.limit.divide_rounding_up(LOANS_IN_LIMIT)
        asked = short.maximum(step).masked_by(short)
        body = {
            "plan": account.plan,
            "pool": account.pool,
            "window": window,
            "tokens": asked.tokens,
            "requests": asked.requests,
            "need_tokens": short.tokens,
            "need_requests": short.requests,
        }
        try:
            reply = self._network.call(peer, LEND_MESSAGE, body, LOAN_TIMEOUT_SECONDS)
        except StepError as exc:
            self._silent_until[peer] = self._timers.now() + SILENT_PEER_SECONDS
            LOANS.labels("failed").inc()
            log.warning("no loan from %s: %s", peer, exc)
            return
        given = amount_from(reply, "tokens", "requests")
        left = amount_from(reply, "left_tokens", "left_requests")
        if given is None or left is None or not asked.covers(given):
            LOANS.labels("invalid").inc()
            log.warning("invalid loan from %s", peer)
            return
        LOANS.labels("lent" if given != ZERO else "empty").inc()
        account.hints[peer] = LoanHint(left, self._timers.now())
        account.receive(window, given)


def amount_from(body: dict, tokens: str, requests: str) -> Amount | None:
    """Return the amount in two fields of a message, or None when invalid."""
    values = (body.get(tokens, 0), body.get(requests, 0))
    if any(type(value) is not int or value < 0 for value in values):
        return None
    return Amount(*values)
