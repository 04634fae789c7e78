"""Load tool: latencies count from the intended send time, and every outcome counts."""

import json
import unittest

import gevent
from gevent.pywsgi import WSGIServer

from bench.callers import Callers, Target
from bench.load import run_trace, summarize_results
from bench.workload import Profile, Work, make_trace


def serve_chat(environ, start_response):
    """Stream chats, without the end event for summaries; refuse bookings."""
    body = json.loads(environ["wsgi.input"].read())
    if not environ["PATH_INFO"].endswith("/chat/completions"):
        headers = [("Rattanwick-Outcome", "not_run"), ("Content-Length", "0")]
        start_response("503 Service Unavailable", headers)
        return []
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return stream_chunks(body)


def stream_chunks(body):
    """Yield a text event, then the end event or, for summaries, a comment."""
    event = json.dumps({"choices": [{"delta": {"content": "acero"}}]})
    yield f"data: {event}\n\n".encode()
    gevent.sleep(0.01)
    is_complete = "summaries" not in body["messages"][0]["content"]
    yield b"data: [DONE]\n\n" if is_complete else b": comment\n\n"


class LoadToolTests(unittest.TestCase):
    def setUp(self):
        self.server = WSGIServer(("127.0.0.1", 0), serve_chat, log=None)
        self.server.start()
        self.addCleanup(self.server.stop)

    def run_load(self, **fields):
        profile = Profile(rate=100, seconds=0.5, **fields)
        trace = make_trace(profile, 3, 1)
        target = Target("127.0.0.1", self.server.server_port)
        callers = Callers([target], {}, "rattan-afila", "/v1/services/agenda/bookings")
        self.addCleanup(callers.close)
        results, _ = run_trace(callers, trace)
        return results, summarize_results(results, 0.0)

    def test_counts_answers_refusals_and_truncated_streams(self):
        # Guards against counting a truncated stream or a refusal as an answer.
        results, report = self.run_load(long_share=0.2, booking_share=0.2)
        kinds = dict.fromkeys(Work, 0)
        for item in results:
            kinds[item.arrival.work] += 1
        summaries = sum("summaries" in item.arrival.prefix for item in results)
        self.assertEqual(report["outcomes"]["not_run"], kinds[Work.BOOKING])
        self.assertEqual(report["outcomes"]["failed"], summaries)
        self.assertEqual(sum(report["outcomes"].values()), len(results))

    def test_latency_counts_from_the_intended_time(self):
        # Guards against coordinated omission: a request that is sent late would hide
        # the delay if its latency counted from the actual send time.
        results, _ = self.run_load(long_share=0.0)
        first = results[0].arrival
        target = Target("127.0.0.1", self.server.server_port)
        callers = Callers([target], {}, "rattan-afila", "/")
        self.addCleanup(callers.close)
        late = gevent.spawn(callers.send, first, -1000.0).get()
        self.assertGreater(late.total, 1000.0)

    def test_the_same_seed_gives_the_same_trace(self):
        # Guards against runs of one seed that cannot be compared with each other.
        profile = Profile(rate=50, seconds=2)
        self.assertEqual(make_trace(profile, 5, 6), make_trace(profile, 5, 6))
        self.assertNotEqual(make_trace(profile, 5, 6), make_trace(profile, 6, 6))


if __name__ == "__main__":
    unittest.main()
