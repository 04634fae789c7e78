"""Explanation of a request from logs that are incomplete or out of order."""

import json
import unittest

from rattanwick.internal.gateway.explanation import explain, read_lines


def line(time: float, message: str, node: str = "n1", **fields) -> str:
    """Return a log line."""
    return json.dumps({"time": time, "node": node, "message": message, **fields})


R = {"request": "r", "endpoint": "i-1"}


class ExplanationTests(unittest.TestCase):
    """Guard against a failed request whose cause is not found in the logs."""

    TEXTS = [
        line(20.5, "relay: ended", **R, outcome="unknown: reset"),
        line(1.0, "node: configuration", version=7),
        line(
            20.4,
            "attempts: attempt failed",
            request="r",
            reason="reset",
            endpoint="i-1",
        ),
        line(20.0, "relay: ended", request="other", outcome="answered_200"),
        line(5.0, "endpoints: entry", endpoint="i-1", leaving=False),
        line(21.0, "endpoints: entry removed", endpoint="i-1"),
        line(18.0, "store: lost", dependency="store"),
        line(18.0, "store: lost", node="n2", dependency="store"),
        line(2.0, "members: lost", dependency="n9"),
    ]

    def test_the_lines_of_a_request_and_related_lines_are_in_order(self):
        lines, unreadable = read_lines(self.TEXTS)
        found = explain("r", lines)
        self.assertEqual(unreadable, 0)
        self.assertEqual([item.time for item in found.request_lines], [20.4, 20.5])
        events = [(item.node, item.message) for item in found.related_lines]
        self.assertEqual(
            events,
            [
                ("n1", "endpoints: entry"),
                ("n1", "store: lost"),
                ("n1", "endpoints: entry removed"),
            ],
        )
        self.assertIn("result is not known", found.cause)

    def test_a_request_after_a_return_of_the_store_shows_what_was_kept(self):
        lines, _ = read_lines(
            [
                line(17.0, "store: new era of the store", former=1, era=2),
                line(17.1, "store: table read in a new era", table="op"),
                line(17.1, "node: older configuration ignored", version=9, kept=12),
                line(17.1, "store: table read in a new era", node="n2", table="op"),
                line(18.0, "relay: refused", **R, status=404, reason="no_route"),
            ]
        )
        found = explain("r", lines)
        self.assertEqual(
            [item.time for item in found.related_lines], [17.0, 17.1, 17.1]
        )
        self.assertEqual(found.related_lines[-1].fields["kept"], 12)

    def test_a_refused_prompt_shows_its_block_and_the_crashes(self):
        crash = "attempts: endpoint closed the connection of a request"
        crash += " and accepts no new one"
        block = {"block": "b", "prompt_parts": ["x"], "endpoints": ["i-1", "i-2"]}
        lines, _ = read_lines(
            [
                line(1.0, crash, node="n2", request="c", endpoint="i-1"),
                line(2.0, crash, node="n3", request="d", endpoint="i-2"),
                line(2.5, crash, node="n3", request="e", endpoint="i-9"),
                line(2.6, "parts: blocked", **block),
                line(2.7, "parts: blocked", block="other"),
                line(9.0, "relay: prompt holds parts", request="r", **block),
                line(9.0, "relay: refused", request="r", reason="blocked_part"),
            ]
        )
        found = explain("r", lines)
        self.assertEqual([item.time for item in found.related_lines], [1.0, 2.0, 2.6])
        self.assertIn("crashed several endpoints", found.cause)

    def test_a_refusal_because_of_limits_shows_the_limit_of_each_endpoint(self):
        refused = line(
            9.0,
            "relay: ended",
            request="r",
            outcome="refused: endpoints_limited",
            limited_endpoints=["i-1"],
        )
        limits = [
            line(5.0, "limits: limit changed", endpoint=name, requests_per_s=2.1)
            for name in ("i-1", "i-2")
        ]
        found = explain("r", read_lines([refused, *limits])[0])
        named = [item.fields["endpoint"] for item in found.related_lines]
        self.assertEqual(named, ["i-1"])
        self.assertIn("requests per second", found.cause)

    # Guards against a request that the stop of its node ended and that looks as if
    # lines were missing.
    def test_a_request_that_a_stop_ended_names_the_stop(self):
        lines, _ = read_lines(
            [
                line(1.0, "node: stopping"),
                line(3.0, "callers: ended", **R, outcome="ended_by_stop: sent"),
            ]
        )
        found = explain("r", lines)
        self.assertIn("the process had to end", found.cause)
        events = [item.message for item in found.related_lines]
        self.assertEqual(events, ["node: stopping"])

    def test_unreadable_lines_are_counted_and_left_out(self):
        texts = [*self.TEXTS, self.TEXTS[0][:40], "no line", "", '["a"]']
        lines, unreadable = read_lines(texts)
        self.assertEqual(unreadable, 3)
        self.assertIsNotNone(explain("r", lines))

    def test_a_request_without_an_end_line_has_the_missing_line_as_cause(self):
        lines, _ = read_lines([self.TEXTS[2]])
        self.assertIn("log has no line for the end", explain("r", lines).cause)

    def test_the_longest_matching_prefix_gives_the_cause(self):
        lines, _ = read_lines(
            [line(1.0, "relay: refused", request="r", reason="unknown_key")]
        )
        self.assertIn("no such key", explain("r", lines).cause)

    def test_an_unknown_request_is_not_explained(self):
        lines, _ = read_lines(self.TEXTS)
        self.assertIsNone(explain("nobody", lines))

    def test_text_before_the_json_object_is_ignored(self):
        lines, unreadable = read_lines(["  12.5 front-1 " + self.TEXTS[0]])
        self.assertEqual((len(lines), unreadable), (1, 0))
