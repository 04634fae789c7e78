"""The JSON log while its reader is slow or gone."""

import fcntl
import logging
import os
import time
import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.json_log import BoundedLogHandler

F_SETPIPE_SZ = 1031


class BoundedLogTests(unittest.TestCase):
    """Guard against a node that blocks or fills its memory if nobody reads its log."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        fcntl.fcntl(self.writer, F_SETPIPE_SZ, 4096)
        self.timers = ManualTimerService()
        self.handler = BoundedLogHandler(self.timers, self.writer)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def tearDown(self):
        for fd in (self.reader, self.writer):
            try:
                os.close(fd)
            except OSError:
                pass  # closed by the test

    def emit(self, count: int, size: int = 100, level: int = logging.WARNING) -> None:
        """Log a number of lines of one size."""
        for _ in range(count):
            self.handler.emit(
                logging.LogRecord("x", level, "", 0, "a" * size, None, None)
            )

    def test_a_stopped_reader_neither_blocks_the_node_nor_fills_its_memory(self):
        started = time.monotonic()
        self.emit(20_000, 200)
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertLessEqual(self.handler._queued_bytes, 512 * 1024 + 1000)

    def test_a_line_in_the_log_counts_the_dropped_lines(self):
        self.emit(20_000, 200)
        os.set_blocking(self.reader, False)
        text = b""
        for _ in range(2000):
            try:
                text += os.read(self.reader, 65536)
            except BlockingIOError:
                self.timers.advance(0.3)
        self.emit(1)
        text += os.read(self.reader, 65536)
        self.assertIn(b"lines dropped", text)

    def test_lines_per_second_are_limited_except_for_warnings(self):
        self.emit(1000, 1, logging.INFO)
        self.assertGreater(self.handler._dropped_lines, 0)
        before = self.handler._dropped_lines
        self.emit(5, 1, logging.WARNING)
        self.assertEqual(self.handler._dropped_lines, 0 if before else 1)

    def test_a_closed_reader_is_no_error(self):
        os.close(self.reader)
        self.emit(10)
