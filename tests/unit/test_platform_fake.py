"""The fake platform returns traces, limits weight reads and checks fault names.

Guards against a demo without traces, and against tests that pass because the name
of a fault is misspelt.
"""

import time

from rattanwick.internal.base.errors import Unavailable
from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.platform.object_store import S3ObjectStore
from tests.platform_process import PlatformTestCase


class PlatformFakeTests(PlatformTestCase):
    """Guard against a demo without traces, and against faults that take no effect.

    A test whose fault switch is misspelt would pass without the fault.
    """

    def test_spans_are_returned_by_trace(self):
        tracer = Tracer("n1", f"{self.platform.url}/v1/traces")
        with tracer.span("request", kind="chat") as span, tracer.span("place"):
            trace_id = f"{span.get_span_context().trace_id:032x}"
        tracer.stop()
        spans = self.platform.admin("GET", f"spans?trace_id={trace_id}")
        self.assertEqual([span["name"] for span in spans], ["request", "place"])
        self.assertEqual(spans[1]["parent_id"], spans[0]["span_id"])
        self.assertEqual(
            (spans[0]["node"], spans[0]["attributes"]["kind"]), ("n1", "chat")
        )

    def test_the_weight_store_refuses_calls_above_its_rate(self):
        cfg = self.platform.settings(bucket="weights")
        weights = S3ObjectStore(cfg, self.timers, "n1")
        weights.put("m1", b"weights")
        self.assertEqual(weights.get("m1"), b"weights")
        self.platform.faults(weights_per_second=1)
        # The limit counts in whole seconds, so both calls must fall within one.
        time.sleep(1 - time.monotonic() % 1)
        weights.get("m1")
        self.assertRaises(Unavailable, weights.get, "m1")

    def test_unknown_fault_switches_are_refused(self):
        with self.assertRaisesRegex(AssertionError, "400"):
            self.platform.faults(table_downn=True)

    def test_calls_are_counted(self):
        before = self.platform.admin("GET", "counters").get("object_reads", 0)
        S3ObjectStore(self.platform.settings(), self.timers, "n1").get("absent")
        counters = self.platform.admin("GET", "counters")
        self.assertEqual(counters["object_reads"], before + 1)
