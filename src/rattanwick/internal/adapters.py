"""Connect the request path to the parts that keep state."""

from rattanwick.internal.base.errors import Unavailable
from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse
from rattanwick.internal.requests import interfaces as requests
from rattanwick.internal.state import claim_types
from rattanwick.internal.state.api_keys import CallerDirectory
from rattanwick.internal.state.claims import Claims
from rattanwick.internal.state.grants import Grants, Reservation


class DirectoryAdapter(requests.PlanDirectory):
    """Answer from the lists in force."""

    def __init__(self, callers: CallerDirectory):
        self._callers = callers

    def caller_for_key(self, key: str) -> requests.Caller | None:
        """Return the owner of a key."""
        caller = self._callers.caller_for_key(key)
        if caller is None:
            return None
        return requests.Caller(caller.organisation, caller.plan)

    def allowance(self, plan: str, pool: str) -> requests.Allowance | None:
        """Return what a plan may use of a pool."""
        found = self._callers.allowance(plan, pool)
        if found is None:
            return None
        return requests.Allowance(
            found.tokens_per_minute,
            found.requests_per_minute,
            found.max_output_tokens,
            found.priority,
            found.hedge,
            found.max_deadline_seconds,
        )


class GrantsAdapter(requests.Grants):
    """Spend the grants of this node."""

    def __init__(self, grants: Grants):
        self._grants = grants

    def reserve(self, plan: str, pool: str, tokens: int) -> Reservation | NotRun:
        """Charge one request with its upper bound of tokens, or refuse it."""
        return self._grants.reserve(plan, pool, tokens)

    def settle(
        self, reservation: Reservation, used_tokens: int, ran: bool = True
    ) -> None:
        """Refund what was not used to the same window."""
        self._grants.settle(reservation, used_tokens, ran)


class ClaimsAdapter(requests.Claims):
    """Claim calls in the table service."""

    def __init__(self, claims: Claims):
        self._claims = claims
        self._held: dict[str, claim_types.Claimed] = {}  # by claim id

    def look_up(self, call: requests.ServiceCall):
        """Return what is known of the key, None where it may be claimed."""
        result = self._claims.look_up(_state_call(call))
        return None if result is None else _known_key(result)

    def claim(self, call: requests.ServiceCall):
        """Claim the key; StepError means that the call must not be dispatched."""
        result = self._claims.claim(_state_call(call))
        if isinstance(result, NotRun):
            raise Unavailable("claim", "table", result.reason)
        if not isinstance(result, claim_types.Claimed):
            return _known_key(result)
        self._held[result.claim_id] = result
        return requests.Claimed(call, result.claim_id)

    def may_dispatch(self, claimed: requests.Claimed) -> bool:
        """Tell whether the call may still be sent."""
        return self._claims.may_dispatch(self._held[claimed.claim_id])

    def settle(
        self,
        claimed: requests.Claimed,
        outcome: Outcome,
        answer: StoredResponse | None,
    ) -> None:
        """Store how the call ended."""
        self._claims.settle(self._held.pop(claimed.claim_id), outcome, answer)


def _state_call(call: requests.ServiceCall) -> claim_types.ServiceCall:
    return claim_types.ServiceCall(
        call.organisation,
        call.service,
        call.key,
        call.body_digest,
        call.deadline,
        call.request_id,
    )


def _known_key(result: claim_types.ClaimResult):
    """Return the result for a key that an earlier call used."""
    if isinstance(result, claim_types.Replayed):
        return requests.Replayed(result.outcome, result.answer, result.request_id)
    if isinstance(result, claim_types.InProgress):
        return requests.InProgress(result.retry_after)
    if isinstance(result, claim_types.BodyMismatch):
        return requests.BodyMismatch()
    raise TypeError(f"not a known key: {result!r}")
