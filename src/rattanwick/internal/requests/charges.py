"""Charges of model requests to allowances."""

from collections.abc import Iterator

from rattanwick.internal.base.outcomes import Failed, NotRun
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.requests.interfaces import Grants, Reservation
from rattanwick.internal.requests.runs import RunControl

RETRY_SECONDS = 0.25  # between attempts to charge a restarted request


def upper_bound(req: ServingRequest) -> int:
    """Return the most tokens that a request can use."""
    return req.prompt_tokens + req.max_output_tokens


def settle_charge(
    grants: Grants,
    reservation: Reservation,
    req: ServingRequest,
    output: RequestOutput,
) -> None:
    """Refund what a request did not use.

    A request that was handed over has no outcome here. It stays charged at its
    upper bound, because its new holder runs the rest without a charge.
    """
    outcome = output.outcome
    if outcome is None:
        grants.settle(reservation, upper_bound(req))
    elif isinstance(outcome, NotRun):
        grants.settle(reservation, 0, ran=False)
    else:
        grants.settle(reservation, req.prompt_tokens + output.tokens)


class RestartCharge:
    """Charge a request that runs again from the start before it does.

    Its first run used what the lost node had charged, so that a second run
    without a charge would exceed the allowance. The request has been accepted and
    waits for its charge until its deadline.
    """

    def __init__(self, grants: Grants, timers: TimerService):
        self._grants = grants
        self._timers = timers
        self._reservation: Reservation | None = None

    def steps(
        self,
        req: ServingRequest,
        output: RequestOutput,
        control: RunControl,
        run_steps: Iterator[None],
    ) -> Iterator[None]:
        """Wait for the charge, then take the steps of the run."""
        while not control.stopped:
            reserved = self._grants.reserve(req.plan, req.pool, upper_bound(req))
            if not isinstance(reserved, NotRun):
                self._reservation = reserved
                yield from run_steps
                return
            if self._timers.wall_time() >= req.deadline:
                output.finish(Failed(reserved.reason))
                return
            self._timers.sleep(RETRY_SECONDS)
            yield

    def settle(self, req: ServingRequest, output: RequestOutput) -> None:
        """Refund what the run did not use."""
        if self._reservation is not None:
            settle_charge(self._grants, self._reservation, req, output)
