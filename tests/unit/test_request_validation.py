"""Validation of what callers send, with errors that name the invalid field."""

import unittest

from rattanwick.internal.requests import validation
from rattanwick.internal.requests.caller_errors import CallerError
from rattanwick.internal.requests.interfaces import Allowance

MESSAGE = {"role": "user", "content": "blade"}


def chat(**changes) -> dict:
    return {"model": "rattan", "messages": [MESSAGE], **changes}


class ValidationTests(unittest.TestCase):
    """Guard against values that a node or an engine cannot handle.

    Each invalid value must be refused as ``not_run``, with the name of its field.
    """

    def assert_field(self, field: str, call, *args):
        with self.assertRaises(CallerError) as caught:
            call(*args)
        self.assertEqual(caught.exception.field, field)
        self.assertIn(field, caught.exception.message)
        self.assertEqual(caught.exception.outcome, "not_run")

    def test_wrong_types_and_ranges_name_the_field(self):
        cases = {
            "model": [None, 3, "", "x" * 64, "\ud800"],
            "messages": [None, [], "text", {}],
            "messages[0]": [["text"]],
            "messages[0].role": [[{"role": "boss", "content": "x"}]],
            "messages[0].content": [
                [{"role": "user", "content": 3}],
                [{"role": "user", "content": "\ud800"}],
            ],
            "messages[0].tool": [[{**MESSAGE, "tool": 1}]],
            "stream": ["yes", 1],
            "stream_options": [[]],
            "n": [2, True, "1"],
            "temperature": ["hot", 3, -1, True, float("nan")],
            "top_p": [2],
            "seed": [1.5, 2**40, True],
            "user": [7],
            "stop": [3, [3], [""], ["x"] * 17, "x" * 300],
        }
        for field, values in cases.items():
            name = field.split("[")[0]
            for value in values:
                with self.subTest(field=field, value=value):
                    body = chat(**{name: value})
                    self.assert_field(field, validation.check_chat_body, body)

    def test_an_unknown_field_is_refused_by_name(self):
        self.assert_field("tools", validation.check_chat_body, chat(tools=[]))
        body = {"model": "rattan", "prompt": "x", "messages": []}
        self.assert_field("messages", validation.check_completion_body, body)

    def test_a_prompt_must_be_text(self):
        for prompt in (None, "", 3, ["x"], "\udfff"):
            body = {"model": "rattan", "prompt": prompt}
            self.assert_field("prompt", validation.check_completion_body, body)

    def test_valid_bodies_are_accepted(self):
        validation.check_chat_body(chat(stream=True, temperature=0, stop=["."], n=1))
        validation.check_completion_body({"model": "rattan", "prompt": "x", "seed": 1})

    def test_a_body_that_is_not_a_json_object_is_refused(self):
        bodies = (b"", b"{", b"[]", b"3", b"\xff", b'{"a": NaN}', b"[" * 100_000)
        for raw in bodies:
            with self.subTest(raw=raw[:10]):
                self.assert_field("body", validation.parse_json_body, raw)

    def test_output_is_limited_by_the_allowance(self):
        allowance = Allowance(1, 1, max_output_tokens=100)
        self.assertEqual(validation.output_limit({}, allowance), 100)
        self.assertEqual(validation.output_limit({"max_tokens": 7}, allowance), 7)
        for value in (0, 101, "7", 1.5, True):
            body = {"max_tokens": value}
            self.assert_field("max_tokens", validation.output_limit, body, allowance)

    def test_deadlines_out_of_range_or_not_in_milliseconds_are_refused(self):
        field = "Rattanwick-Deadline-Ms"
        for header in ("0", "-1", "1.5", "soon", "9" * 30, "60001", "²"):
            with self.subTest(header=header):
                self.assert_field(field, validation.parse_deadline, header, 30, 60)
        self.assertEqual(validation.parse_deadline("60000", 30, 60), 60)
        self.assertEqual(validation.parse_deadline(None, 120, 60), 60)

    def test_invalid_idempotency_keys_and_service_paths_are_refused(self):
        for key in ("", "a b", "x" * 256, "ñ", "a\n"):
            self.assert_field("Idempotency-Key", validation.check_idempotency_key, key)
        for path in ("", "a//b", "../x", "a/./b", "x" * 1025, "a b", "a?b"):
            self.assert_field("PATH", validation.check_service_path, path)
        self.assertEqual(validation.check_service_path("a/b-c"), "a/b-c")

    def test_an_event_id_of_another_request_is_refused(self):
        parse = validation.parse_resume_point
        point = validation.ResumePoint
        self.assertEqual(parse(None, None, "req_1:ab:7", "req_1"), point(7, "ab"))
        self.assertEqual(parse("3", None, "req_1:ab:7", "req_1"), point(3, ""))
        self.assertEqual(parse("3", "cd", None, "req_1"), point(3, "cd"))
        self.assert_field("Last-Event-ID", parse, None, None, "req_2:ab:7", "req_1")
        self.assert_field("offset", parse, "-3", None, None, "req_1")
        self.assert_field("generation", parse, "3", "x" * 99, None, "req_1")
