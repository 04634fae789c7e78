"""Splitting of a byte stream into server-sent events.

The events are forwarded byte by byte as they came, so a parser that returns decoded
events would not do.
"""

from rattanwick.internal.base.event_stream import (
    BYTE_ORDER_MARK,
    CARRIAGE_RETURN,
    LINE_END,
)
from rattanwick.internal.gateway.event_sequence import EventSequence

MAX_EVENT_BYTES = 1 << 20
COLON = 0x3A


class EventSplitter:
    """Splitter that returns complete events of the byte stream of one endpoint.

    Each event is recorded in ``sequence``. If the caller has received events already,
    the first one must continue after them.
    """

    __slots__ = (
        "_after_carriage_return",
        "_buffer",
        "_checks_first_event",
        "_event_id",
        "_has_data",
        "_has_id",
        "_line_start",
        "_resumes",
        "_searched",
        "_starting",
        "lines",
        "sequence",
    )

    def __init__(self, sequence: EventSequence, resumes: bool = False):
        """Create a splitter; ``resumes`` states that the response has begun."""
        self.sequence = sequence
        self.lines = 0  # read so far
        self._buffer = bytearray()  # of the incomplete event
        self._line_start = 0  # of the incomplete line, in ``_buffer``
        self._searched = 0  # bytes of ``_buffer`` that were searched for line ends
        # A line feed that follows belongs to the end of the line before.
        self._after_carriage_return = False
        self._starting = True  # a byte order mark may come
        self._resumes = resumes
        self._checks_first_event = sequence.events > 0
        self._has_data = self._has_id = False  # in the incomplete event
        self._event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events completed by them, joined; may be empty.

        Raises ValueError if an event is longer than MAX_EVENT_BYTES, or if the first
        one does not continue the stream.
        """
        buffer = self._buffer
        if not data:
            return b""
        line_feed = b""
        if self._after_carriage_return and data[:1] == b"\n":
            line_feed, data = data[:1], data[1:]
            if buffer:
                buffer += line_feed
                self._line_start = self._searched = len(buffer)
                line_feed = b""
        buffer += data
        if self._starting and not self._skip_byte_order_mark():
            return b""
        complete = line_feed + self._take_complete()
        if not complete and len(buffer) > MAX_EVENT_BYTES:
            raise ValueError("event is too large")
        return complete

    @property
    def partial(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return bytes(self._buffer)

    def _skip_byte_order_mark(self) -> bool:
        """Step over a byte order mark; return False if more bytes must come first."""
        buffer = self._buffer
        if len(buffer) < len(BYTE_ORDER_MARK) and BYTE_ORDER_MARK.startswith(buffer):
            return False
        self._starting = False
        if buffer.startswith(BYTE_ORDER_MARK):
            if self._resumes:
                # It is a mark only at the start of a response.
                del buffer[: len(BYTE_ORDER_MARK)]
            else:
                self._line_start = self._searched = len(BYTE_ORDER_MARK)
        return True

    def _take_complete(self) -> bytes:
        buffer, line_start, taken = self._buffer, self._line_start, 0
        searched = self._searched
        while match := LINE_END.search(buffer, searched):
            line_end, searched = match.span()
            self.lines += 1
            if line_end == line_start:
                self._end_event()
                taken = searched
            else:
                self._read_line(line_start, line_end)
            line_start = searched
        self._after_carriage_return = (
            searched == len(buffer) > 0 and buffer[-1] == CARRIAGE_RETURN
        )
        complete = bytes(buffer[:taken])
        del buffer[:taken]
        self._line_start = line_start - taken
        self._searched = len(buffer)
        return complete

    def _read_line(self, start: int, end: int) -> None:
        buffer = self._buffer
        if buffer.startswith(b"data", start):
            self._has_data |= end == start + 4 or buffer[start + 4] == COLON
        elif buffer.startswith(b"id", start) and (
            end == start + 2 or buffer[start + 2] == COLON
        ):
            self._read_id(bytes(buffer[start + 3 : end]))

    def _read_id(self, value: bytes) -> None:
        if b"\0" not in value:
            self._has_id = True
            self._event_id = value.removeprefix(b" ").decode("latin-1") or None

    def _end_event(self) -> None:
        """Record the event that an empty line ends.

        Without data nothing is delivered to the caller, but an id still takes effect.
        """
        if self._has_data:
            if self._checks_first_event:
                self.sequence.check_resumed(self._event_id)
                self._checks_first_event = False
            self.sequence.note_event(self._event_id)
        elif self._has_id and not self._checks_first_event:
            self.sequence.note_id(self._event_id)
        self._has_data = self._has_id = False
        self._event_id = None
