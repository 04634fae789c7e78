"""Encoding of final answers for backup nodes and for nodes that fetch them."""

from dataclasses import dataclass, field

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.outcomes import Outcome, outcome_from_tag
from rattanwick.internal.model.request_records import RequestRecord, StoredResponse
from rattanwick.internal.peers.packing import pack_compressed, unpack_compressed

MAX_FINAL_BYTES = 768 << 10  # packed; fits into one frame


@dataclass(slots=True)
class FinalAnswer:
    """Complete answer of a finished request."""

    text: str
    outcome: Outcome
    finish_reason: str = ""
    restarted: bool = False
    answer: StoredResponse | None = None  # of a service call
    generations: list[tuple[str, int]] = field(default_factory=list)
    tokens: int = 0
    request: dict = field(default_factory=dict)  # without its body


def pack_final(record: RequestRecord) -> bytes:
    """Pack the final answer; return b"" if there is none or it is too large."""
    outcome = record.output.outcome
    if outcome is None:
        return b""
    answer = record.answer
    packed = pack_compressed(
        {
            "text": record.output.text(),
            "tag": outcome.tag,
            "reason": getattr(outcome, "reason", ""),
            "finish_reason": record.output.finish_reason,
            "restarted": record.output.restarted,
            "answer": pack_answer(answer),
            "lineage": record.output.generations,
            "tokens": record.output.tokens,
            "request": {**record.req.to_message(), "body": {}},
        }
    )
    return packed if len(packed) <= MAX_FINAL_BYTES else b""


def unpack_final(data: bytes) -> FinalAnswer:
    """Unpack a final answer; raise ProtocolError if it is invalid."""
    value = unpack_compressed(data, "final")
    try:
        return FinalAnswer(
            value["text"],
            outcome_from_tag(value["tag"], value["reason"]),
            value["finish_reason"],
            value["restarted"],
            unpack_answer(value["answer"]),
            unpack_generations(value["lineage"]),
            int(value["tokens"]),
            dict(value["request"]),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError("unpack", "final", f"field is missing or invalid: {exc}")


def unpack_generations(value: list) -> list[tuple[str, int]]:
    """Return the (id, offset) pairs; raise ValueError or TypeError if invalid."""
    return [(str(generation), int(start)) for generation, start in value]


def pack_answer(answer: StoredResponse | None) -> list | None:
    """Return the stored response of a service call as a list for msgpack."""
    if answer is None:
        return None
    return [answer.status, answer.headers, answer.body]


def unpack_answer(value: list | None) -> StoredResponse | None:
    """Return the stored response of a service call from its list."""
    return None if value is None else StoredResponse(*value)
