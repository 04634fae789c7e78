"""A process started by a test runs no task of the test run.

Guards against a plain fork of a gevent program: before the child executed its program,
it ran other tasks of the parent, and read bytes from connections of the test run.
"""

import os
import sys
import tempfile
import unittest
from pathlib import Path

import gevent

from fakes.processes import SpawnedProcess, run_command

PROCESS_STARTS = 20
START_TIMEOUT_SECONDS = 10.0


class ProcessStartTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_no_task_of_the_parent_runs_in_a_starting_process(self):
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)

        def write_pid():
            while True:
                os.write(writer, b"%d\n" % os.getpid())
                gevent.sleep(0.0005)

        task = gevent.spawn(write_pid)
        self.addCleanup(task.kill)
        for _ in range(PROCESS_STARTS):
            done = self.run_program()
            self.assertEqual(done.returncode, 0, done.stderr)
        pids = set(os.read(reader, 1 << 20).split())
        self.assertEqual(pids, {b"%d" % os.getpid()})

    def run_program(self):
        """Run an empty program to its end, while other tasks of this process run."""
        return run_command([sys.executable, "-S", "-c", ""], {}, START_TIMEOUT_SECONDS)

    def test_exit_status_output_and_errors_are_returned_separately(self):
        program = "import sys; print('a'); print('b', file=sys.stderr); sys.exit(3)"
        done = run_command([sys.executable, "-c", program], {}, START_TIMEOUT_SECONDS)
        result = (done.returncode, done.stdout, done.stderr)
        self.assertEqual(result, (3, "a\n", "b\n"))

    def test_reading_the_first_line_of_a_process_that_ends_without_one_fails(self):
        command = [sys.executable, "-S", "-c", "print('half', end='')"]
        process = SpawnedProcess(command, {}, self.folder / "output")
        with self.assertRaisesRegex(TimeoutError, "exit 0"):
            process.read_first_line(START_TIMEOUT_SECONDS)
