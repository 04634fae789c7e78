"""The log of decisions while its reader is slow or gone."""

import fcntl
import logging
import os
import time
import unittest

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.json_log import BoundedLogHandler

F_SETPIPE_SZ = 1031


class BoundedLogTests(unittest.TestCase):
    """Guard against a node that waits for the reader of its log."""

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
        """Log lines of one size."""
        for _ in range(count):
            self.handler.emit(
                logging.LogRecord("x", level, "", 0, "a" * size, None, None)
            )

    def test_a_reader_that_stops_costs_no_time_and_bounded_memory(self):
        started = time.monotonic()
        self.emit(20_000, 200)
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertLessEqual(self.handler._waiting_bytes, 512 * 1024 + 1000)

    def test_what_was_left_out_is_counted_in_the_log(self):
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

    def test_the_volume_of_a_second_is_bounded_but_for_warnings(self):
        self.emit(1000, 1, logging.INFO)
        self.assertGreater(self.handler._dropped, 0)
        before = self.handler._dropped
        self.emit(5, 1, logging.WARNING)
        self.assertEqual(self.handler._dropped, 0 if before else 1)

    def test_a_reader_that_is_gone_is_no_error(self):
        os.close(self.reader)
        self.emit(10)
