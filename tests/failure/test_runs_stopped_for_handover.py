"""Runs that are stopped for handover while one of their steps is in progress."""

import unittest
from types import SimpleNamespace

from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.requests.model_dispatch import ModelDispatcher
from rattanwick.internal.requests.runs import RunControl


class StreamStoppedDuringRead:
    """Stream whose second read stops the run and still returns text."""

    done = False

    def __init__(self, control: RunControl):
        self._control = control
        self.reads = 0

    def read(self, timeout: float) -> list[str]:
        """Return text; from the second read on, after stopping the run."""
        self.reads += 1
        if self.reads > 1:
            self._control.stop()
        return [f"text {self.reads} "]

    def abort(self) -> None:
        """Do nothing; no read blocks."""


class StoppedRunTests(unittest.TestCase):
    """Guard against text that callers get but the new serving node does not have.

    It comes about when text arrives in a read during which the run is stopped. Such a
    caller had to read its answer again from the start.
    """

    def test_no_text_is_appended_after_the_run_was_stopped(self):
        timers, control, output = ManualTimerService(), RunControl(), RequestOutput()
        dispatcher = ModelDispatcher(None, None, None, timers, None)
        stream = StreamStoppedDuringRead(control)
        attempt = SimpleNamespace(
            stream=stream, endpoint_id="e", report_progress=lambda now: None
        )
        req = SimpleNamespace(deadline=timers.wall_time() + 10.0)
        for _ in dispatcher._stream(attempt, req, output, control):
            pass
        self.assertEqual(stream.reads, 2)
        self.assertEqual(output.text(), "text 1 ")
        self.assertIsNone(output.outcome)


if __name__ == "__main__":
    unittest.main()
