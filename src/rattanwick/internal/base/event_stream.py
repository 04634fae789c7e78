"""Lines of event streams (``text/event-stream``), as the HTML standard defines them."""

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END_BYTES = b"\r\n"  # each of them, or both in this order


class LineTooLong(ValueError):
    """A line is longer than the reader keeps."""


class EventLineReader:
    """Reader of complete lines from a stream that may be cut between any two bytes.

    The work grows with the bytes, however small the pieces in which they arrive.
    """

    __slots__ = ("_after_carriage_return", "_buffer", "_max_bytes")

    def __init__(self, max_bytes: int):
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._after_carriage_return = False

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the lines completed by them, without their ends.

        Raises LineTooLong if an incomplete line is longer than ``max_bytes``.
        """
        if not data:
            return []
        if self._after_carriage_return and data.startswith(b"\n"):
            data = data[1:]
        self._after_carriage_return = data.endswith(b"\r")
        lines = []
        for line in data.splitlines(True):
            if line[-1] not in LINE_END_BYTES:
                self._buffer += line
                break
            if self._buffer:
                line = bytes(self._buffer) + line
                self._buffer.clear()
            lines.append(line.rstrip(LINE_END_BYTES))
        if len(self._buffer) > self._max_bytes:
            raise LineTooLong(f"line is longer than {self._max_bytes} bytes")
        return lines
