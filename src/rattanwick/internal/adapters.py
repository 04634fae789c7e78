"""Adapters: interfaces of the request path over the packages that keep state."""

from rattanwick.internal.base.errors import Unavailable
from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.requests import interfaces
from rattanwick.internal.state import claim_types
from rattanwick.internal.state.api_keys import CallerDirectory
from rattanwick.internal.state.claims import Claims
from rattanwick.internal.state.grants import Grants, Reservation


class DirectoryAdapter(interfaces.PlanDirectory):
    """Callers and allowances, from the version of the lists in force."""

    def __init__(self, callers: CallerDirectory):
        self._callers = callers

    def caller_for_key(self, key: str) -> interfaces.Caller | None:
        """Return the caller that an API key belongs to, or None."""
        caller = self._callers.caller_for_key(key)
        if caller is None:
            return None
        return interfaces.Caller(caller.organisation, caller.plan)

    def allowance(self, plan: str, pool: str) -> interfaces.Allowance | None:
        """Return what a plan may use of a pool, or None for nothing."""
        allowance = self._callers.allowance(plan, pool)
        if allowance is None:
            return None
        return interfaces.Allowance(
            allowance.tokens_per_minute,
            allowance.requests_per_minute,
            allowance.max_output_tokens,
            allowance.priority,
            allowance.hedge,
            allowance.max_deadline_seconds,
        )


class GrantsAdapter(interfaces.Grants):
    """Token and request charges, against the grants of this node."""

    def __init__(self, grants: Grants):
        self._grants = grants

    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge a request with its largest number of tokens, or refuse it."""
        return self._grants.reserve(plan, pool, tokens)

    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund the unused tokens to the window that was charged."""
        self._grants.settle(reservation, used_tokens, ran)


class ClaimsAdapter(interfaces.Claims):
    """Claims of service calls, stored in the table."""

    def __init__(self, claims: Claims):
        self._claims = claims
        self._claimed: dict[str, claim_types.Claimed] = {}  # by claim id, until settled

    def look_up(self, call: interfaces.ServiceCall):
        """Return what is known of the key of a call, or None if it may be claimed."""
        result = self._claims.look_up(_state_call(call))
        return None if result is None else _convert_used_key(result)

    def claim(self, call: interfaces.ServiceCall):
        """Claim the key of a call; raise StepError if it must not be dispatched."""
        result = self._claims.claim(_state_call(call))
        if isinstance(result, NotRun):
            raise Unavailable("claim", "table", result.reason)
        if not isinstance(result, claim_types.Claimed):
            return _convert_used_key(result)
        self._claimed[result.claim_id] = result
        return interfaces.Claimed(call, result.claim_id)

    def may_dispatch(self, claimed: interfaces.Claimed) -> bool:
        """Return whether the call may still be sent; ask right before sending."""
        return self._claims.may_dispatch(self._claimed[claimed.claim_id])

    def settle(
        self,
        claimed: interfaces.Claimed,
        outcome: Outcome,
        answer: StoredResponse | None,
    ) -> None:
        """Store the outcome of the call, and its answer if there is one."""
        self._claims.settle(self._claimed.pop(claimed.claim_id), outcome, answer)


def _state_call(call: interfaces.ServiceCall) -> claim_types.ServiceCall:
    return claim_types.ServiceCall(
        call.organisation,
        call.service,
        call.key,
        call.body_digest,
        call.deadline,
        call.request_id,
    )


def _convert_used_key(result: claim_types.ClaimResult):
    """Return the result for a key that an earlier call has used."""
    if isinstance(result, claim_types.Replayed):
        return interfaces.Replayed(result.outcome, result.answer, result.request_id)
    if isinstance(result, claim_types.InProgress):
        return interfaces.InProgress(result.retry_after)
    if isinstance(result, claim_types.BodyMismatch):
        return interfaces.BodyMismatch()
    raise TypeError(f"not a claim result for a used key: {result!r}")
