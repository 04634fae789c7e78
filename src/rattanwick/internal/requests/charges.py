"""Charges of model requests to allowances."""

from collections.abc import Iterator

from rattanwick.internal.base.outcomes import Failed, NotRun
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.requests.interfaces import Grants, Reservation
from rattanwick.internal.requests.runs import RunControl

RETRY_INTERVAL_SECONDS = 0.25  # between attempts to charge a restarted request


def max_request_tokens(req: ServingRequest) -> int:
    """Return the maximum number of tokens that a request can use."""
    return req.prompt_tokens + req.max_output_tokens


def settle_charge(
    grants: Grants,
    reservation: Reservation,
    req: ServingRequest,
    output: RequestOutput,
) -> None:
    """Refund the tokens that a request did not use.

    A request that was handed over has no outcome here. It stays charged at its
    maximum, because its new serving node runs the rest without a charge.
    """
    outcome = output.outcome
    if outcome is None:
        grants.settle(reservation, max_request_tokens(req))
    elif isinstance(outcome, NotRun):
        grants.settle(reservation, 0, ran=False)
    else:
        grants.settle(reservation, req.prompt_tokens + output.tokens)


class RestartCharge:
    """Charge of a request that runs again from the start, made before it runs.

    The first run used what the lost node had charged, so a second run without a
    charge would exceed the allowance. The request has been accepted, so it waits for
    its charge until its deadline.
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
            reserved = self._grants.reserve(req.plan, req.pool, max_request_tokens(req))
            if not isinstance(reserved, NotRun):
                self._reservation = reserved
                yield from run_steps
                return
            if self._timers.wall_time() >= req.deadline:
                output.finish(Failed(reserved.reason))
                return
            self._timers.sleep(RETRY_INTERVAL_SECONDS)
            yield

    def settle(self, req: ServingRequest, output: RequestOutput) -> None:
        """Refund the tokens that the run did not use."""
        if self._reservation is not None:
            settle_charge(self._grants, self._reservation, req, output)
