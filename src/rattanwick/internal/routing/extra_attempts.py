"""Retries and hedges of a node, within their budgets."""

from rattanwick.internal.base.settings import RoutingSettings
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.recording.decisions import Decision, DecisionKind, Recorder
from rattanwick.internal.routing import metrics
from rattanwick.internal.routing.budgets import (
    AttemptBudget,
    decide_hedge,
    decide_retry,
)


class ExtraAttempts:
    """Decisions on retries and hedges, with their budgets and records."""

    def __init__(self, settings: RoutingSettings, recorder: Recorder):
        self._recorder = recorder
        self._retries = AttemptBudget(settings.retry_share)
        self._hedges = AttemptBudget(settings.hedge_share)

    def count_request(self, req: ServingRequest) -> None:
        """Add the shares of one request to the budgets."""
        self._retries.deposit(req.organisation, req.pool)
        self._hedges.deposit(req.organisation, req.pool)

    def may_retry(self, req: ServingRequest) -> bool:
        """Spend one retry of the budget; return whether the budget had one."""
        available = self._retries.available(req.organisation, req.pool)
        inputs = {"available": available}
        allowed, reason = decide_retry(inputs)
        self._record(DecisionKind.RETRY, inputs, allowed, reason, req.id)
        metrics.RETRIES.labels(reason).inc()
        if allowed:
            self._retries.spend(req.organisation, req.pool)
        return bool(allowed)

    def hedge_delay(
        self, req: ServingRequest, short: bool, usual: float | None
    ) -> float | None:
        """Return the seconds to wait before a hedge, or None for no hedge.

        ``usual`` is a high quantile of the request's latency in seconds, or None
        if it is unknown.
        """
        inputs = {
            "allowed": req.hedge,
            "idempotent": req.idempotent,
            "short": short,
            "usual": usual,
            "available": self._hedges.available(req.organisation, req.pool),
        }
        delay, reason = decide_hedge(inputs)
        self._record(DecisionKind.HEDGE, inputs, delay, reason, req.id)
        return delay

    def can_hedge(self, req: ServingRequest) -> bool:
        """Return whether a request may be hedged and the budget allows it now."""
        available = self._hedges.available(req.organisation, req.pool)
        return req.hedge and req.idempotent and available >= 1

    def spend_hedge(self, req: ServingRequest) -> bool:
        """Spend one hedge of the budget; return whether the budget had one."""
        if self._hedges.available(req.organisation, req.pool) < 1:
            metrics.HEDGES.labels("refused").inc()
            return False
        self._hedges.spend(req.organisation, req.pool)
        metrics.HEDGES.labels("placed").inc()
        return True

    def _record(
        self,
        kind: DecisionKind,
        inputs: dict,
        choice: object,
        reason: str,
        request_id: str,
    ) -> None:
        self._recorder.record(Decision(kind, inputs, choice, reason, request_id))
