"""Ids of the events that a caller has received, from which its stream is resumed."""

import re

# An id is sent to the next endpoint in a header. One that a header cannot hold
# unchanged does not identify an event there.
HEADER_SAFE_ID = re.compile(
    r"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]{0,1022}[\x21-\x7e\x80-\xff])?"
)
MAX_DIGITS = 15  # of a numeric id; a longer one is compared as text
# Increments that must be equal before a resumed run is expected to repeat them.
MIN_EQUAL_INCREMENTS = 2


class EventSequence:
    """Ids of the events of a stream, over all endpoints that send parts of it.

    ``resume_id`` names the last event that the caller has received. It is empty
    before the first event, and None if the last event has no usable id, so that no
    endpoint can go on after it.
    """

    __slots__ = ("_equal_increments", "_increment", "_number", "events", "resume_id")

    def __init__(self, resume_id: str = ""):
        self.resume_id: str | None = resume_id
        self.events = 0  # received by the caller
        self._number = _number_of(resume_id)  # id of the last event, if numeric
        # Difference between successive ids; None once two differences were unequal.
        self._increment: int | None = 0
        self._equal_increments = 0

    def note_event(self, event_id: str | None) -> None:
        """Record an event and its id; None if it has no id of its own."""
        self.events += 1
        self.note_id(event_id)

    def note_id(self, event_id: str | None) -> None:
        """Record the id after which all that was sent so far is known."""
        number = _number_of(event_id)
        usable = number is not None or (
            event_id is not None and HEADER_SAFE_ID.fullmatch(event_id)
        )
        self.resume_id = event_id if usable else None
        former, self._number = self._number, number
        if number is None or former is None:
            return
        increment = number - former
        if self._equal_increments == 0:
            self._increment, self._equal_increments = increment, 1
        elif self._increment == increment:
            self._equal_increments += 1
        else:
            self._increment = None

    def check_resumed(self, event_id: str | None) -> None:
        """Check the first event of a run that resumes the stream.

        Raises ValueError if the run does not continue after the last event: the caller
        would receive an event twice or miss one.
        """
        if event_id is not None and event_id == self.resume_id:
            raise ValueError(f"resumed stream repeats event {event_id[:40]!r}")
        if self._number is None:
            return
        number = _number_of(event_id)
        if number is None:
            raise ValueError("resumed stream has no numeric event id")
        if number <= self._number:
            raise ValueError(f"resumed at event {number}, not after {self._number}")
        if (
            self._increment
            and self._equal_increments >= MIN_EQUAL_INCREMENTS
            and number != self._number + self._increment
        ):
            raise ValueError(f"resumed at event {number}, too far after {self._number}")


def _number_of(event_id: str | None) -> int | None:
    """Return the value of a numeric id, or None."""
    if event_id is None or not event_id.isdecimal() or len(event_id) > MAX_DIGITS:
        return None
    return int(event_id)
