"""Relay of a growing answer to a caller."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.requests.answer_format import (
    KEEP_ALIVE,
    AnswerFormat,
    moved_event,
)
from rattanwick.internal.requests.runs import TICK_SECONDS, LiveRequests, RequestRun

KEEP_ALIVE_SECONDS = 10.0
OVERDUE_SECONDS = 5.0  # past the deadline, after which a relay stops waiting


class AnswerSource(ABC):
    """Let a relay wait for more of an answer."""

    record: RequestRecord
    broken = False  # what follows does not continue the text that was relayed

    @property
    def req(self) -> ServingRequest:
        """Return the request."""
        return self.record.req

    @property
    def output(self) -> RequestOutput:
        """Return the answer so far."""
        return self.record.output

    @abstractmethod
    def advance(self) -> None:
        """Wait for new text or the outcome, about a second at most."""

    @abstractmethod
    def moved_address(self) -> str:
        """Return the node where the answer continues, or empty."""

    @abstractmethod
    def close(self) -> None:
        """Tell that the caller has gone or has the whole answer."""


class DrivenRun(AnswerSource):
    """Drive a run for the caller that started it."""

    def __init__(self, live: LiveRequests, run: RequestRun):
        self._live = live
        self._run = run
        self.record = run.record

    def advance(self) -> None:
        """Take a step of the run."""
        self._run.advance()

    def moved_address(self) -> str:
        """Return the node that took the request over."""
        return self._run.moved_address

    def close(self) -> None:
        """Leave the run to another task."""
        self._live.detach(self._run)


class FollowedRun(AnswerSource):
    """Follow a run that another task drives."""

    def __init__(self, run: RequestRun):
        self._run = run
        self._run.followers += 1
        self.record = run.record
        self._seen = 0

    def advance(self) -> None:
        """Wait for the driving task."""
        self._run.wait_for_driver(self._seen)
        self._seen = self.output.length

    def moved_address(self) -> str:
        """Return the node that took the request over."""
        return self._run.moved_address

    def close(self) -> None:
        """Stop following."""
        self._run.followers -= 1


class RecordedAnswer(AnswerSource):
    """Repeat an answer that is whole, or that grows without a run of this node."""

    def __init__(self, record: RequestRecord):
        self.record = record

    def advance(self) -> None:
        """Wait for whatever adds to the answer."""
        self.output.wait(self.output.length, TICK_SECONDS)

    def moved_address(self) -> str:
        """Return empty; the answer is here."""
        return ""

    def close(self) -> None:
        """Keep the answer for further callers."""


def relay_events(
    source: AnswerSource,
    offset: int,
    now: Callable[[], float],
    wall: Callable[[], float],
) -> Iterator[bytes]:
    """Yield the events of an answer from an offset on, as they come."""
    answer = AnswerFormat(source.req, source.output)
    output = source.output
    last_sent = now()
    try:
        while True:
            if output.length > offset:
                data, offset = answer.texts(offset)
                if data:
                    yield data
                    last_sent = now()
            outcome = output.outcome
            if outcome is not None and output.length <= offset:
                yield answer.end(outcome)
                return
            address = source.moved_address()
            if address:
                generation = output.generation
                yield moved_event(source.req.id, generation, offset, address)
                return
            if wall() > source.req.deadline + OVERDUE_SECONDS:
                return
            if now() - last_sent > KEEP_ALIVE_SECONDS:
                yield KEEP_ALIVE
                last_sent = now()
            if outcome is None:
                source.advance()
            if source.broken:
                return
    finally:
        source.close()
