"""Text is neither lost nor doubled, wherever a stream is split or resumed."""

import json
import unittest

from hypothesis import given, settings, strategies as st

from fakes.collaborators import endpoint
from fakes.endpoint_text import (
    expected_tokens,
    prompt_seed,
    split_completion_prompt,
    tokens_in_prefix,
)
from rattanwick.internal.base.outcomes import Answered
from rattanwick.internal.model.request_records import RequestOutput, RequestRecord
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.connections import EndpointConnectionPool
from rattanwick.internal.requests.engine_client import EngineStream
from rattanwick.internal.requests.relay import StoredAnswerSource, relay_events
from tests.request_case import events_of, text_of

TEXTS = st.lists(st.text(min_size=1, max_size=8), max_size=12)


def serving(kind: RequestKind = RequestKind.CHAT) -> ServingRequest:
    body = {"model": "p", "messages": [], "prompt": "x"}
    return ServingRequest("req_1", kind, "o", "p", "p", body, True, 9e9, 0, 1, 100)


class OffsetTests(unittest.TestCase):
    """Guard against lost or doubled text when a caller resumes or bytes are split."""

    @settings(max_examples=80, deadline=None)
    @given(TEXTS, st.integers(0, 100))
    def test_an_answer_resumed_at_any_offset_is_exactly_the_rest(self, texts, offset):
        output = RequestOutput()
        output.start_generation("ab12")
        for text in texts:
            output.append(text)
        output.finish(Answered())
        record = RequestRecord(serving(), output)
        whole = "".join(texts)
        source = StoredAnswerSource(record)
        body = b"".join(relay_events(source, offset, lambda: 0.0, lambda: 0.0))
        self.assertEqual(text_of(body), whole[offset:])
        position = min(offset, len(whole))
        for event in events_of(body)[:-1]:
            position += len(event["data"]["choices"][0]["delta"]["content"])
            self.assertEqual(event["id"], f"req_1:ab12:{position}")

    @settings(max_examples=80, deadline=None)
    @given(TEXTS, st.lists(st.integers(1, 40), min_size=1, max_size=30))
    def test_events_are_parsed_the_same_however_bytes_are_split(self, texts, sizes):
        lines = []
        for text in texts:
            chunk = {"choices": [{"delta": {"content": text}, "finish_reason": None}]}
            lines.append(f"id: 1\r\ndata: {json.dumps(chunk, ensure_ascii=False)}\n\n")
        data = "".join([": note\n\n", *lines, "data: [DONE]\n\n"]).encode()
        engine = endpoint("e", "p", "engine", 1)
        connections = EndpointConnectionPool()
        stream = EngineStream(connections, engine, serving(), "", 0, lambda: 0.0)
        parsed = []
        position = turn = 0
        while position < len(data):
            size = sizes[turn % len(sizes)]
            parsed += stream._parse(data[position : position + size])
            position, turn = position + size, turn + 1
        self.assertEqual(parsed, texts)
        self.assertTrue(stream.done)


class FakeTextTests(unittest.TestCase):
    """Guard against fake text in which a missing or doubled token goes unnoticed."""

    @settings(max_examples=60, deadline=None)
    @given(st.text(max_size=30), st.integers(0, 20))
    def test_a_prefix_of_an_answer_continues_after_its_last_token(self, prompt, cut):
        tokens = expected_tokens(prompt + "#tokens=20", 20)
        seed = prompt_seed(prompt + "#tokens=20")
        self.assertEqual(tokens_in_prefix(seed, "".join(tokens[:cut])), (cut, ""))

    @settings(max_examples=40, deadline=None)
    @given(st.text(max_size=30), st.integers(1, 10))
    def test_a_completion_prompt_is_split_from_its_answer(self, prompt, cut):
        prompt += "#tokens=20"
        answer = "".join(expected_tokens(prompt, cut))
        self.assertEqual(split_completion_prompt(prompt + answer), (prompt, answer))
