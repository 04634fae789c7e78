"""Relay of an answer to a caller while it is still being produced."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.requests.answer_format import (
    KEEP_ALIVE,
    AnswerFormat,
    moved_event,
)
from rattanwick.internal.requests.runs import (
    STEP_TIMEOUT_SECONDS,
    LiveRequests,
    RequestRun,
)

KEEP_ALIVE_INTERVAL_SECONDS = 10.0
DEADLINE_GRACE_SECONDS = 5.0  # a relay stops waiting this long after the deadline


class AnswerSource(ABC):
    """Source of an answer that may be incomplete.

    A run has one driver, the task that takes its steps; other sources follow it.
    """

    record: RequestRecord
    mismatch = False  # new text would not continue the text already relayed

    @property
    def req(self) -> ServingRequest:
        """Return the request that the answer is for."""
        return self.record.req

    @property
    def output(self) -> RequestOutput:
        """Return the text so far, and the outcome once there is one."""
        return self.record.output

    @abstractmethod
    def advance(self) -> None:
        """Wait for new text or the outcome, for about a second at most."""

    @abstractmethod
    def moved_address(self) -> str:
        """Return the base URL of the node where the answer continues, or empty."""

    @abstractmethod
    def close(self) -> None:
        """End the relay: the caller disconnected or has the complete answer."""


class DrivenRunSource(AnswerSource):
    """Source for the caller that started a run; its task drives the run."""

    def __init__(self, live: LiveRequests, run: RequestRun):
        self._live = live
        self._run = run
        self.record = run.record

    def advance(self) -> None:
        """Take a step of the run."""
        self._run.advance()

    def moved_address(self) -> str:
        """Return the base URL of the node that took the request over, or empty."""
        return self._run.moved_address

    def close(self) -> None:
        """Hand the run to another driver if it has not ended."""
        self._live.detach(self._run)


class FollowedRunSource(AnswerSource):
    """Source for a run that another task drives."""

    def __init__(self, run: RequestRun):
        self._run = run
        self._run.followers += 1
        self.record = run.record
        self._relayed_length = 0

    def advance(self) -> None:
        """Wait until the driving task has produced more text."""
        self._run.wait_for_driver(self._relayed_length)
        self._relayed_length = self.output.length

    def moved_address(self) -> str:
        """Return the base URL of the node that took the request over, or empty."""
        return self._run.moved_address

    def close(self) -> None:
        """Stop following the run."""
        self._run.followers -= 1


class StoredAnswerSource(AnswerSource):
    """Source of an answer without a run at this node.

    The answer is complete, or another task adds to it.
    """

    def __init__(self, record: RequestRecord):
        self.record = record

    def advance(self) -> None:
        """Wait until another task adds to the answer."""
        self.output.wait(self.output.length, STEP_TIMEOUT_SECONDS)

    def moved_address(self) -> str:
        """Return empty, since the answer is at this node."""
        return ""

    def close(self) -> None:
        """Do nothing; the answer is kept for further callers."""


def relay_events(
    source: AnswerSource,
    offset: int,
    now: Callable[[], float],
    wall_time: Callable[[], float],
) -> Iterator[bytes]:
    """Yield the events of an answer from an offset on, as its text arrives.

    The offset is in characters; ``now`` gives monotonic seconds and ``wall_time``
    Unix seconds.
    """
    answer = AnswerFormat(source.req, source.output)
    output = source.output
    last_sent = now()
    try:
        while True:
            if output.length > offset:
                data, offset = answer.text_events(offset)
                if data:
                    yield data
                    last_sent = now()
            outcome = output.outcome
            if outcome is not None and output.length <= offset:
                yield answer.final_events(outcome)
                return
            address = source.moved_address()
            if address:
                generation = output.generation
                yield moved_event(source.req.id, generation, offset, address)
                return
            if wall_time() > source.req.deadline + DEADLINE_GRACE_SECONDS:
                return
            if now() - last_sent > KEEP_ALIVE_INTERVAL_SECONDS:
                yield KEEP_ALIVE
                last_sent = now()
            if outcome is None:
                source.advance()
            if source.mismatch:
                return
    finally:
        source.close()
