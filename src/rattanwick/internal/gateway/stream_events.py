"""Splitting of a byte stream into server-sent events."""

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Splitter that returns complete events of a byte stream.

    ``last_id`` is the id of the last complete event.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self, last_id: str = ""):
        self._rest = b""
        self.last_id = last_id

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events completed by them, joined; may be empty.

        Raises ValueError if an event is longer than MAX_EVENT_BYTES.
        """
        self._rest += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        end = self._rest.rfind(SEPARATOR)
        if end < 0:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise ValueError("event is too large")
            return b""
        complete = self._rest[: end + len(SEPARATOR)]
        self._rest = self._rest[end + len(SEPARATOR) :]
        self._note_id(complete)
        return complete

    @property
    def partial(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._rest

    def _note_id(self, complete: bytes) -> None:
        start = complete.rfind(b"id:")
        if start >= 0 and (start == 0 or complete[start - 1 : start] == b"\n"):
            line = complete[start + 3 : complete.find(b"\n", start)]
            self.last_id = line.strip().decode("latin-1")
