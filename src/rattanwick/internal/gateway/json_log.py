"""Bounded JSON log on standard output that never blocks the process."""

import logging
import os
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from rattanwick.internal.base.log import set_log_handler
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService

MAX_WAITING_BYTES = 512 * 1024  # held while the reader of the log is slow
MAX_LINES_PER_SECOND = 400  # about four times a node's requests at the usual load
RETRY_SECONDS = 0.2  # between attempts to write to a full pipe
STANDARD_OUTPUT = 1

dropped_lines = counter(
    "log_lines_dropped", "Log lines left out because of volume or a slow reader"
)


class BoundedLogHandler(logging.Handler):
    """Write lines without blocking, and count the lines that it leaves out."""

    def __init__(self, timers: TimerService, fd: int = STANDARD_OUTPUT):
        super().__init__()
        self._fd = fd
        self._timers = timers
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0
        self._second = 0
        self._lines_in_second = 0
        self._retry_due = False
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write or queue one line, or count it as dropped."""
        if not self._admit(record.levelno):
            self._dropped += 1
            dropped_lines.inc()
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._queue(b'{"message": "log: lines dropped", "count": %d}\n' % dropped)
        self._queue(self.format(record).encode() + b"\n")
        self._write()

    def _admit(self, level: int) -> bool:
        if self._waiting_bytes > MAX_WAITING_BYTES:
            return False
        second = int(self._timers.now())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return level >= logging.WARNING or self._lines_in_second <= MAX_LINES_PER_SECOND

    def _queue(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._fd, line)
            except BlockingIOError:
                self._retry_later()
                return
            except OSError:
                # The reader is gone; nobody can be told.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= count
            if count < len(line):
                self._waiting[0] = line[count:]
            else:
                self._waiting.popleft()

    def _retry_later(self) -> None:
        if not self._retry_due:
            self._retry_due = True
            self._timers.after(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retry_due = False
        self._write()


def configure_json_log(level: str, node_id: str, timers: TimerService) -> None:
    """Write the log of the process as JSON lines to standard output."""
    handler = BoundedLogHandler(timers)
    handler.setFormatter(
        JsonFormatter(
            ["created", "levelname", "message"],
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"node": node_id},
        )
    )
    set_log_handler(handler, level)
