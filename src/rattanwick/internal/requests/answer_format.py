"""Answers in the chat-completion format, as events of a stream or as one body."""

import json
from json.encoder import encode_basestring_ascii

from rattanwick.internal.base.outcomes import Answered, Outcome
from rattanwick.internal.model.request_records import RequestOutput
from rattanwick.internal.model.requests import RequestKind, ServingRequest
from rattanwick.internal.requests.caller_errors import error_body, outcome_message

KEEP_ALIVE = b": keep-alive\n\n"
DONE = b"data: [DONE]\n\n"


class AnswerFormat:
    """Formatter of the answer to one request."""

    __slots__ = ("_base", "_head", "_is_chat", "_req", "_tail", "_output")

    def __init__(self, req: ServingRequest, output: RequestOutput):
        self._req = req
        self._output = output
        self._is_chat = req.kind is RequestKind.CHAT
        self._base = {
            "id": req.id,
            "created": int(req.received),
            "model": req.pool,
        }
        self._head = self._tail = ""

    def _prepare(self) -> None:
        """Build the text that all events of a stream have in common."""
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        opening = json.dumps({**self._base, "object": kind})[:-1]
        field = '"delta":{"content":' if self._is_chat else '"text":'
        closing = "}" if self._is_chat else ""
        self._head = f'\ndata: {opening},"choices":[{{"index":0,{field}'
        self._tail = f'{closing},"finish_reason":null}}]}}\n\n'

    def text_events(self, offset: int) -> tuple[bytes, int]:
        """Return the events for the text after ``offset``, and the offset at their end.

        Offsets are in characters.

        The id of each event consists of the request id, the generation and the offset
        after the event, so that a caller can resume right after the last event that
        it received.
        """
        if not self._head:
            self._prepare()
        events = []
        id_line = f"id: {self._req.id}:{self._output.generation}:"
        head, tail = self._head, self._tail
        for text, end in self._output.parts_after(offset):
            events.append(f"{id_line}{end}{head}{encode_basestring_ascii(text)}{tail}")
            offset = end
        return "".join(events).encode("ascii"), offset

    def final_events(self, outcome: Outcome) -> bytes:
        """Return the last events: finish reason, usage and outcome, or the error."""
        report = {"request_id": self._req.id, "outcome": outcome.tag}
        if not isinstance(outcome, Answered):
            code = outcome.reason.split(":")[0]
            error = error_body(outcome_message(outcome), code)
            return _event({**error, "rattanwick": {**report, "reason": outcome.reason}})
        choice = {"index": 0, "finish_reason": self._output.finish_reason}
        choice["delta" if self._is_chat else "text"] = {} if self._is_chat else ""
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        last_event = {
            **self._base,
            "object": kind,
            "choices": [choice],
            "usage": self._usage(),
            "rattanwick": report,
        }
        return _event(last_event) + DONE

    def complete_body(self) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict = {"index": 0, "finish_reason": self._output.finish_reason}
        if self._is_chat:
            content = self._output.text()
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = self._output.text()
        body = {
            **self._base,
            "object": "chat.completion" if self._is_chat else "text_completion",
            "choices": [choice],
            "usage": self._usage(),
        }
        return json.dumps(body).encode()

    def _usage(self) -> dict:
        prompt, output_tokens = self._req.prompt_tokens, self._output.tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output_tokens,
            "total_tokens": prompt + output_tokens,
        }


def moved_event(request_id: str, generation: str, offset: int, address: str) -> bytes:
    """Return the event that redirects a streaming caller to another node."""
    body = {
        "request_id": request_id,
        "address": address,
        "generation": generation,
        "offset": offset,
    }
    id_line = f"id: {request_id}:{generation}:{offset}"
    event = f"{id_line}\nevent: rattanwick.moved\ndata: {json.dumps(body)}\n\n"
    return event.encode()


def _event(body: dict) -> bytes:
    return f"data: {json.dumps(body)}\n\n".encode()
