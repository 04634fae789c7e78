"""Rows of allowances and grants in the table, and transactions on them."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import Conflict, MaybeApplied, StepError
from rattanwick.internal.base.ids import new_write_token
from rattanwick.internal.platform.interfaces import Precondition, Row, Table, Write
from rattanwick.internal.state.amounts import ZERO, Amount

MAX_WRITE_ATTEMPTS = 4


@dataclass(slots=True, frozen=True)
class GrantTerms:
    """Conditions under which a grant is written."""

    window: int
    limit: Amount
    list_version: int
    expires: float  # Unix seconds
    # if the table holds this grant and it stays, no write is needed
    unchanged_grant: Amount | None


@dataclass(slots=True, frozen=True)
class ResizeResult:
    """State of the table after a resize."""

    held: Amount
    free: Amount
    # the row has a newer version of the lists; the grant was not increased
    newer_lists: bool
    written: bool


# Maps (grant in the table, free amount in this window) to the wanted grant.
ChooseGrant = Callable[[Amount, Amount], Amount]
# Lowers the grant of the account to the wanted one and returns what was spent above it
# in this and in the previous window.
LowerGrant = Callable[[Amount], tuple[Amount, Amount]]


class GrantRows:
    """Resizes the grants of one holder and sweeps expired grants of all holders.

    The row of an allowance holds the sum of all grants. For the current and the
    previous window it also holds the charges of grants that were decreased in them.
    """

    def __init__(self, table: Table, holder: str):
        self._table = table
        self._holder = holder

    def resize(
        self,
        plan: str,
        pool: str,
        terms: GrantTerms,
        choose: ChooseGrant,
        lower: LowerGrant,
    ) -> ResizeResult:
        """Write the chosen grant and return the resulting state of the table.

        Raises StepError if the write failed or could not be confirmed.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                return self._resize_once(plan, pool, terms, choose, lower)
            except Conflict:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    def _resize_once(
        self,
        plan: str,
        pool: str,
        terms: GrantTerms,
        choose: ChooseGrant,
        lower: LowerGrant,
    ) -> ResizeResult:
        total_key, grant_key = allowance_key(plan, pool), self._grant_key(plan, pool)
        grant, total = self._table.get(grant_key), self._table.get(total_key)
        held = _held_amount(grant)
        newer = total is not None and total.values["list_version"] > terms.list_version
        free = ZERO if newer else _free_amount(total, terms)
        wanted = choose(held, free).minimum(held + free)
        kept_charge, kept_previous_charge = lower(wanted)
        if wanted == held and wanted in (terms.unchanged_grant, ZERO):
            return ResizeResult(held, free, newer, written=False)
        token = new_write_token()
        writes = [
            Write(grant_key, _grant_values(wanted, terms, token), _unchanged(grant))
        ]
        if wanted != held:
            change = wanted - held
            # If a part does not decrease, its grant still covers what was spent of it.
            shrinks = held.subtract_clamped(wanted)
            charges = {
                terms.window: kept_charge.masked_by(shrinks),
                terms.window - 1: kept_previous_charge.masked_by(shrinks),
            }
            values = _total_values(total, change, charges, terms)
            writes.append(Write(total_key, values, _unchanged(total)))
        self._write(writes, token, wanted)
        left = free.subtract_clamped(wanted.subtract_clamped(held))
        return ResizeResult(wanted, left, newer, written=True)

    def _write(self, writes: list[Write], token: str, wanted: Amount) -> None:
        """Write the rows, and repeat a write whose response was lost."""
        error: StepError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                self._table.transact(writes, token)
                return
            except MaybeApplied as exc:
                error = exc
                if self._was_written(writes[0].key, token, wanted):
                    return
            except Conflict:
                if error and self._was_written(writes[0].key, token, wanted):
                    return
                raise
        raise error

    def _was_written(self, key: str, token: str, wanted: Amount) -> bool:
        row = self._table.get(key)
        if row is None:
            return wanted == ZERO
        return row.values.get("token") == token

    def sweep(self, plan: str, pool: str, wall_time: float, skew: float) -> int:
        """Delete grants that expired more than ``skew`` seconds ago; return how many.

        Grants expire at the end of a window, so nothing was spent of them in the
        current window.
        """
        swept = 0
        for grant in self._table.query(f"grant#{plan}#{pool}#"):
            if wall_time <= grant.values["expires"] + skew:
                continue
            swept += self._sweep_one(plan, pool, grant)
        return swept

    def _sweep_one(self, plan: str, pool: str, grant: Row) -> int:
        total = self._table.get(allowance_key(plan, pool))
        if total is None:
            return 0
        values = dict(total.values)
        values["granted"] -= grant.values["tokens"]
        values["granted_requests"] -= grant.values["requests"]
        writes = [
            Write(grant.key, None, Precondition.version(grant.row_version)),
            Write(total.key, values, Precondition.version(total.row_version)),
        ]
        try:
            self._table.transact(writes, new_write_token())
            return 1
        except (Conflict, MaybeApplied):
            return 0  # if the grant is still there, the next sweep deletes it

    def _grant_key(self, plan: str, pool: str) -> str:
        return f"grant#{plan}#{pool}#{self._holder}"


def allowance_key(plan: str, pool: str) -> str:
    """Return the row key of an allowance."""
    return f"allowance#{plan}#{pool}"


def _held_amount(grant: Row | None) -> Amount:
    if grant is None:
        return ZERO
    return Amount(grant.values["tokens"], grant.values["requests"])


def _unchanged(row: Row | None) -> Precondition:
    return Precondition.version(row.row_version) if row else Precondition.absent()


def _free_amount(total: Row | None, terms: GrantTerms) -> Amount:
    """Return the part of the limit that is neither granted nor charged."""
    if total is None:
        return terms.limit
    values = total.values
    taken = Amount(values["granted"], values["granted_requests"])
    for window, (tokens, requests) in values["charges"].items():
        if int(window) >= terms.window:
            taken += Amount(tokens, requests)
    return terms.limit.subtract_clamped(taken)


def _grant_values(wanted: Amount, terms: GrantTerms, token: str) -> dict | None:
    if wanted == ZERO:
        return None
    return {
        "tokens": wanted.tokens,
        "requests": wanted.requests,
        "expires": terms.expires,
        "token": token,
    }


def _total_values(
    total: Row | None, change: Amount, added: dict[int, Amount], terms: GrantTerms
) -> dict:
    values = total.values if total else {}
    charges = {
        window: charge
        for window, charge in values.get("charges", {}).items()
        if int(window) >= terms.window - 1
    }
    for window, amount in added.items():
        if amount != ZERO:
            tokens, requests = charges.get(str(window), (0, 0))
            charge = [tokens + amount.tokens, requests + amount.requests]
            charges[str(window)] = charge
    return {
        "granted": values.get("granted", 0) + change.tokens,
        "granted_requests": values.get("granted_requests", 0) + change.requests,
        "charges": charges,
        "list_version": max(values.get("list_version", 0), terms.list_version),
    }
