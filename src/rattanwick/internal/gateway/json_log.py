"""JSON log on standard output, bounded in volume, that never blocks the process."""

import logging
import os
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from rattanwick.internal.base.log import set_log_handler
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService

MAX_QUEUED_BYTES = 512 * 1024  # kept while the reader of the log is slow
MAX_LINES_PER_SECOND = 400  # about four times a node's usual rate of requests
RETRY_INTERVAL_SECONDS = 0.2  # between attempts to write to a full pipe
STDOUT_FD = 1

dropped_lines = counter(
    "log_lines_dropped", "Log lines dropped because of their volume or a slow reader"
)


class BoundedLogHandler(logging.Handler):
    """Log handler that writes without blocking and counts the lines that it drops.

    All lines are dropped while more than MAX_QUEUED_BYTES wait for the reader. Lines
    below the level WARNING are also dropped beyond MAX_LINES_PER_SECOND.
    """

    def __init__(self, timers: TimerService, fd: int = STDOUT_FD):
        super().__init__()
        self._fd = fd
        self._timers = timers
        self._queued: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped_lines = 0
        self._second = 0
        self._lines_in_second = 0
        self._retry_due = False
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write or queue one line, or drop and count it."""
        if not self._admit(record.levelno):
            self._dropped_lines += 1
            dropped_lines.inc()
            return
        if self._dropped_lines:
            dropped, self._dropped_lines = self._dropped_lines, 0
            self._enqueue(b'{"message": "log: lines dropped", "count": %d}\n' % dropped)
        self._enqueue(self.format(record).encode() + b"\n")
        self._write()

    def _admit(self, level: int) -> bool:
        if self._queued_bytes > MAX_QUEUED_BYTES:
            return False
        second = int(self._timers.now())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return level >= logging.WARNING or self._lines_in_second <= MAX_LINES_PER_SECOND

    def _enqueue(self, line: bytes) -> None:
        self._queued.append(line)
        self._queued_bytes += len(line)

    def _write(self) -> None:
        while self._queued:
            line = self._queued[0]
            try:
                count = os.write(self._fd, line)
            except BlockingIOError:
                self._retry_later()
                return
            except OSError:
                # The reader has closed the pipe, so there is nowhere to report this.
                self._queued.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= count
            if count < len(line):
                self._queued[0] = line[count:]
            else:
                self._queued.popleft()

    def _retry_later(self) -> None:
        if not self._retry_due:
            self._retry_due = True
            self._timers.after(RETRY_INTERVAL_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retry_due = False
        self._write()


def configure_json_log(level: str, node_id: str, timers: TimerService) -> None:
    """Log to standard output as JSON lines, each with the node's id."""
    handler = BoundedLogHandler(timers)
    handler.setFormatter(
        JsonFormatter(
            ["created", "levelname", "message"],
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"node": node_id},
        )
    )
    set_log_handler(handler, level)
