"""Splitting of a byte stream into server-sent events.

The events are forwarded byte by byte as they came, so a parser that returns decoded
events would not do.
"""

from rattanwick.internal.base.event_stream import BYTE_ORDER_MARK, LINE_END_BYTES
from rattanwick.internal.gateway.event_sequence import EventSequence

MAX_EVENT_BYTES = 1 << 20
MAX_LINES_WITHOUT_EVENT = 1 << 18  # comments and fields
FIELD_INITIALS = b"di"  # of the fields that are read: data and id


class EventSplitter:
    """Splitter that returns complete events of the byte stream of one endpoint.

    Each event is recorded in ``sequence``. If the stream is resumed, the first one must
    continue after the last one that the caller has received.
    """

    __slots__ = (
        "_after_carriage_return",
        "_buffer",
        "_checks_first_event",
        "_event_id",
        "_has_data",
        "_has_id",
        "_line",
        "_lines_at_event",
        "_resumes",
        "_start",
        "_starting",
        "lines",
        "sequence",
    )

    def __init__(self, sequence: EventSequence, resumes: bool = False):
        """Create a splitter; ``resumes`` states that the response has begun."""
        self.sequence = sequence
        self.lines = 0  # read so far
        self._lines_at_event = 0  # of ``lines``, up to the last event
        self._buffer = bytearray()  # of the incomplete event
        self._line = bytearray()  # incomplete, at the end of ``_buffer``
        # A line feed that follows belongs to the end of the line before.
        self._after_carriage_return = False
        self._starting = True  # a byte order mark may come
        self._start = b""  # of a byte order mark
        self._resumes = resumes
        self._checks_first_event = bool(sequence.resume_id)
        self._has_data = self._has_id = False  # in the incomplete event
        self._event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events completed by them, joined; may be empty.

        Raises ValueError if an event is longer than MAX_EVENT_BYTES, if none comes for
        many lines, or if the first one does not continue the stream.
        """
        if self._starting:
            data = self._skip_byte_order_mark(data)
        if not data:
            return b""
        taken = self._read_lines(data)
        if taken == len(data) and not self._buffer:
            return data
        complete = b""
        if taken:
            complete = bytes(self._buffer) + data[:taken]
            self._buffer = bytearray(data[taken:])
        else:
            self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event is too large")
        return complete

    @property
    def partial(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._start + bytes(self._buffer)

    @property
    def partial_size(self) -> int:
        """Return the number of bytes of an incomplete event."""
        return len(self._buffer)

    def _skip_byte_order_mark(self, data: bytes) -> bytes:
        """Return the bytes after a byte order mark; none if more must come first.

        It is a mark only at the start of a response, so that of a resumed run is not
        forwarded.
        """
        data, self._start = self._start + data, b""
        if len(data) < len(BYTE_ORDER_MARK) and BYTE_ORDER_MARK.startswith(data):
            self._start = data
            return b""
        self._starting = False
        if not data.startswith(BYTE_ORDER_MARK):
            return data
        if not self._resumes:
            self._buffer += BYTE_ORDER_MARK
        return data[len(BYTE_ORDER_MARK) :]

    def _read_lines(self, data: bytes) -> int:
        """Read lines and return how many bytes complete an event."""
        position = taken = 0
        if self._after_carriage_return and data.startswith(b"\n"):
            position = 1
            taken = 0 if self._buffer else 1
        self._after_carriage_return = data.endswith(b"\r")
        for line in (data[position:] if position else data).splitlines(True):
            position += len(line)
            if line[-1] not in LINE_END_BYTES:
                self._line += line
                break
            if self._line:
                line = bytes(self._line) + line
                self._line.clear()
            self.lines += 1
            if line[0] in LINE_END_BYTES:
                self._end_event()
                taken = position
            elif line[0] in FIELD_INITIALS:
                self._read_field(line)
        if self.lines - self._lines_at_event > MAX_LINES_WITHOUT_EVENT:
            raise ValueError(f"no event in {MAX_LINES_WITHOUT_EVENT} lines")
        return taken

    def _read_field(self, line: bytes) -> None:
        if line.startswith(b"data:"):
            self._has_data = True
            return
        name, _, value = line.rstrip(LINE_END_BYTES).partition(b":")
        if name == b"data":
            self._has_data = True
        elif name == b"id" and b"\0" not in value:
            self._has_id = True
            self._event_id = value.removeprefix(b" ").decode("latin-1") or None

    def _end_event(self) -> None:
        """Record the event that an empty line ends.

        Without data nothing is delivered to the caller, but an id still takes effect.
        """
        if self._has_data:
            self._lines_at_event = self.lines
            if self._checks_first_event:
                self.sequence.check_resumed(self._event_id)
                self._checks_first_event = False
            self.sequence.note_event(self._event_id)
        elif self._has_id and not self._checks_first_event:
            self.sequence.note_id(self._event_id)
        self._has_data = self._has_id = False
        self._event_id = None
