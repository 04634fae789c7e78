"""Decoding and encoding of the platform's messages, rows and settings file."""

import json
import tempfile
import unittest
from pathlib import Path

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.gateway.interfaces import InvalidRequest
from rattanwick.internal.gateway.model import CallKind, ForwardContext, PromptPart
from rattanwick.platform.messages import decode_call, decode_response_head, encode_call
from rattanwick.platform.node_file import load_node_file
from rattanwick.platform.records import decode_configuration, decode_endpoint

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "API.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 4000,
            "slo_ms": 600,
            "priority": 0,
            "split": [{"service": "e", "weight": 90}, {"service": "f", "weight": 10}],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
        },
        {
            "name": "r-2",
            "host": "api.example",
            "prefix": "/a/b/",
            "kind": "safe",
            "timeout_ms": 800,
            "slo_ms": 150,
            "service": "e",
        },
    ],
    "services": [
        {
            "name": "e",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity": 374098, "stride": 3, "moves": True},
            "scaling": {
                "min": 1,
                "max": 6,
                "boot_s": 4.0,
                "spot_price": 0.22,
                "zone_prices": {"a": 0.85},
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "t", "api_keys": ["k1", "k2"], "unit": "tokens", "rate_per_s": 5}
    ],
    "new_field": 1,
}
HEADERS = [
    (b"Host", b"api.example"),
    (b"X-Request-Id", b"c-1"),
    (b"X-Token-Counts", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c:800,91:410"),
    (b"X-Length-Hint", b"60"),
    (b"X-Deadline-Ms", b"4000"),
    (b"X-Api-Key", b"k1"),
    (b"Connection", b"X-Private, X-Request-Id"),
    (b"X-Private", b"1"),
]
NODE_FILE = """
node = "front-a-1"
ip = "10.1.0.14"
zone = "a"
port_range = [7600, 7615]
new_field = 1
[listen]
front = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
directory = "10.1.0.14:8220"
[bounds]
grace_s = 8
[provider]
address = "10.200.1.7:8225"
[cloud]
address = "10.200.0.35:8225"
duties = ["usage_report"]
"""


class ConfigurationTests(unittest.TestCase):
    """Guard against a configuration or entry that is decoded only in part."""

    def test_routes_services_and_organisations_are_decoded(self):
        cfg = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = cfg.find_route("api.example", "/a/b/c")
        self.assertEqual((route.name, route.kind), ("r-2", CallKind.SAFE))
        self.assertEqual(cfg.find_route("api.example", "/a/x").timeout, 4.0)
        self.assertIsNone(cfg.find_route("api.example", "/b/"))
        self.assertEqual(cfg.organisation_of("k2").name, "t")
        self.assertEqual(cfg.services["e"].scaling.reclaimable_price, 0.22)

    def test_a_malformed_configuration_raises_value_error(self):
        for value in (b"", b"[]", b"{}", b"\xff", b'{"version": 1, "routes": [{}]}'):
            with self.subTest(value), self.assertRaises(ValueError):
                decode_configuration(value)

    def test_an_endpoint_entry_with_invalid_values_raises_value_error(self):
        entry = {
            "service": "e",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 4,
            "state": "ready",
        }
        self.assertEqual(decode_endpoint("i", json.dumps(entry).encode()).slots, 4)
        for key, value in (
            ("service", 5),
            ("address", "10.0.0.1"),
            ("slots", "4"),
            ("slots", True),
            ("state", "odd"),
            ("zone", None),
            ("born", 1.5),
        ):
            with self.subTest(key=key), self.assertRaises(ValueError):
                decode_endpoint("i", json.dumps({**entry, key: value}).encode())


class CallTests(unittest.TestCase):
    """Guard against headers that are lost or changed by decoding and encoding."""

    def decode(self, *more, headers=HEADERS):
        """Return the request with additional headers."""
        return decode_call(b"POST", b"/a/x?q=1", [*headers, *more], 5.0)

    def test_the_fields_of_a_request_are_decoded(self):
        call = self.decode()
        self.assertEqual((call.path, call.target), ("/a/x", b"/a/x?q=1"))
        self.assertEqual((call.input_tokens, call.output_tokens), (1460, 80))
        self.assertEqual(call.expected_output, 60)
        self.assertEqual(call.timeout_seconds, 4.0)
        self.assertEqual(call.prompt, (PromptPart("5c", 800), PromptPart("91", 410)))

    def test_connection_options_do_not_remove_the_request_id(self):
        names = [name for name, _ in self.decode().headers]
        self.assertIn(b"X-Request-Id", names)
        self.assertNotIn(b"X-Private", names)
        self.assertNotIn(b"X-Api-Key", names)

    def test_the_relay_adds_its_headers_to_a_request(self):
        call = self.decode()
        call.body = b"xyz"
        ctx = ForwardContext("i-1", "t", 1.25, 3, "17")
        headers = dict(encode_call(call, ctx))
        self.assertEqual(headers[b"X-Deadline-Ms"], b"1250")
        self.assertEqual(headers[b"X-Expect-Instance"], b"i-1")
        self.assertEqual(headers[b"X-Tenant"], b"t")
        self.assertEqual(headers[b"Last-Event-Id"], b"17")
        self.assertEqual(headers[b"Content-Length"], b"3")

    def test_malformed_or_repeated_headers_are_refused(self):
        for name, value in (
            (b"X-Deadline-Ms", b"-5"),
            (b"X-Request-Id", b"second"),
            (b"X-Token-Counts", b"a,b"),
        ):
            kept = [h for h in HEADERS if name == b"X-Request-Id" or h[0] != name]
            with self.subTest(name), self.assertRaises(InvalidRequest):
                self.decode((name, value), headers=kept)

    def test_a_response_head_is_decoded(self):
        head = decode_response_head(
            503,
            [
                (b"X-Request-Id", b"c-1"),
                (b"X-Not-Run", b"1"),
                (b"X-Worker-Load", b"3,1,8,250"),
                (b"Keep-Alive", b"timeout=7"),
                (b"Transfer-Encoding", b"chunked"),
            ],
        )
        self.assertTrue(head.not_run)
        self.assertFalse(head.signed)
        self.assertEqual((head.load.running, head.load.slowdown), (3, 2.5))
        self.assertEqual(head.keep_alive, 7.0)
        self.assertNotIn(b"Transfer-Encoding", [name for name, _ in head.headers])
        self.assertIsNone(decode_response_head(200, [(b"X-Worker-Load", b"odd")]).load)

    def test_a_load_with_absurd_figures_is_ignored(self):
        """Guard against a response that ends a request, or attracts all of them.

        An infinite count raised an exception. A slowdown of nan made each endpoint
        after the first in the list look no better than it, and one of 0 made its
        endpoint look better than all others.
        """
        for value in (
            b"inf,0,8",
            b"nan,0,8",
            b"1,0,8,nan",
            b"1,0,8,inf",
            b"-1,0,8",
            b"1,0,8,0",
            b"1,0,8,999999999999",
            b"9" * 400 + b",0,8",
            b"\xb2,0,8",
            b"1,0",
            b"",
        ):
            with self.subTest(value=value):
                head = decode_response_head(200, [(b"X-Worker-Load", value)])
                self.assertIsNone(head.load)

    def test_an_absurd_keep_alive_time_is_ignored(self):
        """Guard against connections that never count as expired."""
        for value in (b"timeout=" + b"9" * 400, b"timeout=-1", b"timeout=\xb2", b"x"):
            with self.subTest(value=value[:20]):
                head = decode_response_head(200, [(b"Keep-Alive", value)])
                self.assertIsNone(head.keep_alive)

    def test_a_limit_is_a_plain_decimal_number(self):
        for value, rate in (
            (b"2.1", 2.1),
            (b" 1 ", 1.0),
            (b"0", 0.0),
            (b".5", 0.5),
            (b"12.", 12.0),
        ):
            with self.subTest(value=value):
                head = decode_response_head(200, [(b"Server-Limit", value)])
                found = head.rate_limit, head.malformed_rate_limit
                self.assertEqual(found, (rate, ""))
        for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"1_0", b"1,2", b"9" * 400):
            with self.subTest(value=value):
                head = decode_response_head(200, [(b"Server-Limit", value)])
                self.assertIsNone(head.rate_limit)
                self.assertNotEqual(head.malformed_rate_limit, "")
        self.assertIsNone(decode_response_head(200, []).rate_limit)

    def test_the_lowest_of_several_limits_counts(self):
        headers = [(b"Server-Limit", b"3"), (b"server-limit", b"2"), (b"Host", b"x")]
        self.assertEqual(decode_response_head(200, headers).rate_limit, 2.0)

    def test_absurd_numbers_of_callers_are_refused(self):
        """Guard against an exception for numbers of thousands of digits."""
        for name in (b"X-Token-Counts", b"X-Length-Hint", b"X-Prompt-Prefix"):
            value = {
                b"X-Token-Counts": b"9" * 5000 + b",1",
                b"X-Length-Hint": b"9" * 5000,
                b"X-Prompt-Prefix": b"ab:" + b"9" * 5000,
            }[name]
            kept = [header for header in HEADERS if header[0] != name]
            with self.subTest(name):
                try:
                    call = self.decode((name, value), headers=kept)
                except InvalidRequest as exc:
                    self.assertEqual(exc.status, 400)
                else:
                    self.assertLess(call.expected_output, 10**10)
                    self.assertTrue(all(p.tokens < 10**10 for p in call.prompt))


class NodeFileTests(unittest.TestCase):
    """Guard against a node that starts with settings it could not read."""

    def load(self, text: str):
        """Return the settings in a file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text, encoding="utf-8")
            return load_node_file(str(path))

    def test_known_fields_are_read_and_unknown_ones_ignored(self):
        settings = self.load(NODE_FILE)
        self.assertEqual(settings.callers, ("10.1.0.14", 8221))
        self.assertEqual(settings.peer_port, 7600)
        self.assertTrue(settings.reports_usage)
        self.assertFalse(settings.orders_endpoints)

    def test_all_problems_of_a_file_are_reported_together(self):
        text = NODE_FILE.replace('"10.1.0.14:8221"', '"nowhere"')
        text = text.replace("grace_s = 8", 'grace_s = "long"')
        text = text.replace('node = "front-a-1"', "")
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        keys = sorted(problem.key for problem in caught.exception.problems)
        self.assertEqual(keys, ["front", "grace_s", "node"])

    def test_a_missing_file_is_reported(self):
        with self.assertRaises(SettingsError):
            load_node_file("/nonexistent/node.toml")
