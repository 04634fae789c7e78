"""The fake endpoints behave as other tests rely on: ledger, faults, engine, orders."""

import json
import sys
import tempfile
import unittest
from pathlib import Path
from urllib.request import Request, urlopen

import gevent

from fakes.endpoint_engine import Engine, EngineSpec, PrefixCache
from fakes.endpoint_faults import Faults, Ledger
from fakes.endpoint_text import block_hashes, chat_text_of
from fakes.processes import SpawnedProcess, module_environment

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 5.0


def request_json(port: int, path: str, body=None, method: str | None = None, **headers):
    """Return the JSON response of an endpoint; keywords are headers, _ stands for -."""
    data = None if body is None else json.dumps(body).encode()
    url = f"http://127.0.0.1:{port}{path}"
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    with urlopen(Request(url, data, named, method=method), timeout=5) as response:
        return json.loads(response.read())


class ProcessTests(unittest.TestCase):
    """Guard against fakes whose ledger or faults differ from what tests ask for.

    The tests would then pass without the fault, or check the wrong calls.
    """

    @classmethod
    def setUpClass(cls):
        configs = [
            {"id": "e1", "kind": "engine", "pool": "p", "slots": 1},
            {"id": "s1", "kind": "service", "pool": "s"},
        ]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(configs, file)
            file.flush()
            command = [sys.executable, "-m", "fakes.endpoints", "--config", file.name]
            cls.output = tempfile.TemporaryDirectory()
            cls.addClassCleanup(cls.output.cleanup)
            cls.process = SpawnedProcess(
                command, module_environment(), Path(cls.output.name, "output")
            )
            cls.ports = json.loads(cls.process.read_first_line(START_TIMEOUT_SECONDS))

    @classmethod
    def tearDownClass(cls):
        cls.process.terminate()
        assert cls.process.wait(STOP_TIMEOUT_SECONDS) == 0

    def test_the_ledger_records_request_organisation_and_outcome(self):
        body = {"messages": [{"role": "user", "content": "x #tokens=3"}]}
        headers = {"X_Request_Id": "r1", "Rattanwick_Organisation": "org"}
        path = "/v1/chat/completions"
        answer = request_json(self.ports["e1"], path, body, **headers)
        text = answer["choices"][0]["message"]["content"]
        self.assertEqual(text, chat_text_of("x #tokens=3"))
        entry = request_json(self.ports["e1"], "/_fake/ledger")["entries"][-1]
        fields = [entry[name] for name in ("request_id", "organisation", "outcome")]
        self.assertEqual(fields, ["r1", "org", "done"])
        self.assertEqual(entry["output_tokens"], 3)

    def test_an_endpoint_that_is_down_is_restarted_through_another(self):
        # Guards against an endpoint that stays down, as its admin paths are closed.
        path = "/_fake/endpoints/s1/faults"
        request_json(self.ports["e1"], path, {"down": True}, "PUT")
        for _ in range(100):
            try:
                request_json(self.ports["s1"], "/_fake/faults")
            except OSError:
                break
        else:
            self.fail("the endpoint still responds after 100 requests")
        request_json(self.ports["e1"], path, {"down": False}, "PUT")
        self.assertFalse(request_json(self.ports["s1"], "/_fake/faults")["down"])

    def test_an_old_fencing_number_is_refused_unless_switched_off(self):
        # Guards against tests of fencing that pass although the engine ignores it.
        port = self.ports["e1"]
        order = {"action": "set_role", "target": "short"}
        request_json(port, "/v1/orders", {**order, "fencing_number": 5})
        stale = {**order, "target": "long", "fencing_number": 4}
        with self.assertRaises(OSError) as caught:
            request_json(port, "/v1/orders", stale)
        caught.exception.close()
        request_json(port, "/_fake/faults", {"ignore_fencing": True}, "PUT")
        self.assertEqual(
            request_json(port, "/v1/orders", stale)["values"]["set_role"], "long"
        )


class EngineTests(unittest.TestCase):
    """Guard against an engine that does not simulate queue, KV cache or stale load."""

    def setUp(self):
        self.engine = Engine(EngineSpec(slots=1, first_token_seconds=0.01), Faults())

    def job(self, prompt: str, name: str, priority: int = 5):
        entry = Ledger().open({"HTTP_X_REQUEST_ID": name}, "/", False)
        body = {"prompt": prompt, "max_tokens": 2, "priority": priority}
        return self.engine.open_job(body, False, entry)

    def test_queued_jobs_run_in_order_of_priority(self):
        order = []

        def run(name, priority):
            for _ in self.engine.generate(self.job("x", name, priority)):
                pass
            order.append(name)

        queued = (("first", 5), ("long", 7), ("short", 1))
        gevent.joinall([gevent.spawn(run, *item) for item in queued])
        self.assertEqual(order, ["first", "short", "long"])
        self.assertEqual(self.engine.running, 0)

    def test_exported_blocks_are_cached_where_they_are_imported(self):
        # The prompt has 640 characters: 10 blocks, counted as 160 tokens.
        job = self.job("x" * 640, "r1")
        tokens = self.engine.generate(job)
        job.text.append(next(tokens))
        exported = self.engine.export_blocks("r1")
        other = Engine(EngineSpec(), Faults())
        other.cache.add(exported["blocks"])
        self.engine = other
        list(other.generate(again := self.job("x" * 640, "r2")))
        self.assertEqual(again.entry.cached_tokens, 160)
        tokens.close()

    def test_a_stale_load_report_shows_the_past(self):
        self.engine.record_load()
        gevent.sleep(0.03)
        self.engine.acquire_slot(self.job("x", "r1").entry)
        self.engine.record_load()
        self.assertEqual(self.engine.load()["running"], 1)
        self.engine.faults.update({"load_lag_seconds": 0.02})
        self.assertEqual(self.engine.load()["running"], 0)


class FaultTests(unittest.TestCase):
    """Guard against faults that take no effect, such as a misspelt switch."""

    def test_cache_events_come_late_and_with_gaps(self):
        faults = Faults()
        cache = PrefixCache(3)
        cache.add(block_hashes("x" * 64 * 2))
        cache.add(block_hashes("y" * 64 * 2))
        numbers = [event["number"] for event in cache.events(0, faults)["events"]]
        self.assertEqual(numbers, [1, 2, 3])
        faults.update({"event_gap_every": 2})
        numbers = [event["number"] for event in cache.events(0, faults)["events"]]
        self.assertEqual(numbers, [1, 3])
        faults.update({"event_lag_seconds": 60})
        self.assertEqual(cache.events(0, faults)["events"], [])

    def test_an_unknown_fault_is_an_error(self):
        with self.assertRaises(ValueError):
            Faults().update({"slwo": 1})
