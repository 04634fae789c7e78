"""Lines of event streams (``text/event-stream``), as the HTML standard defines them."""

import re

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n?|\n")
CARRIAGE_RETURN = 0x0D


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
        if self._after_carriage_return and data[:1] == b"\n":
            data = data[1:]
        self._after_carriage_return = data[-1:] == b"\r"
        buffer, lines, start = self._buffer, [], 0
        searched = len(buffer)
        buffer += data
        while end := LINE_END.search(buffer, searched):
            lines.append(bytes(buffer[start : end.start()]))
            start = searched = end.end()
        del buffer[:start]
        if len(buffer) > self._max_bytes:
            raise LineTooLong(f"line is longer than {self._max_bytes} bytes")
        return lines
