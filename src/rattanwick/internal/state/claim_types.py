"""Service calls, and the states, results and settlements of their claims."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse

MAX_KEY_BYTES = 255
# Larger answers go to the object store. A row of the table holds at most 400 KB.
MAX_INLINE_BYTES = 64 * 1024


class ClaimState(StrEnum):
    """State of a claimed call."""

    DISPATCHING = "dispatching"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """A call to a service that must run at most once."""

    organisation: str
    service: str
    key: str  # idempotency key, chosen by the caller
    body_digest: str
    deadline: float  # Unix seconds
    request_id: str = ""

    def __post_init__(self):
        if not 0 < len(self.key.encode()) <= MAX_KEY_BYTES:
            raise ValueError(
                f"the idempotency key must have 1 to {MAX_KEY_BYTES} bytes"
            )

    @property
    def row_key(self) -> str:
        """Key of the claim's row in the table."""
        # The caller's key comes last, so that a '#' in it cannot name another row.
        return f"claim#{self.organisation}#{self.service}#{self.key}"


def digest_call(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 of a call, which detects a key sent with another call."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True)
class Claimed:
    """Result: this node may send the call once, until its deadline."""

    call: ServiceCall
    claim_id: str
    row_version: int
    values: dict  # of the claim's row
    expires: float  # seconds on the boot clock


@dataclass(slots=True, frozen=True)
class Replayed:
    """Result: the call was sent before; this is its outcome."""

    outcome: Outcome  # Answered or Unknown
    answer: StoredResponse | None  # None when the outcome is Unknown
    request_id: str


@dataclass(slots=True, frozen=True)
class InProgress:
    """Result: another request, here or at another node, is running the call."""

    retry_after: float  # seconds
    request_id: str


@dataclass(slots=True, frozen=True)
class BodyMismatch:
    """Result: the key was used before with another method, path or body."""

    request_id: str


ClaimResult = Claimed | Replayed | InProgress | BodyMismatch | NotRun


@dataclass(slots=True)
class Settlement:
    """Final state of a claim that is still to be written to the table."""

    key: str
    claim_id: str
    expected_version: int
    values: dict
    answer: StoredResponse | None = None  # None after it was moved to ``values``

    @property
    def token(self) -> str:
        """Token of the write, the same for each attempt."""
        return f"settle-{self.claim_id}"

    def to_message(self) -> dict:
        """Return the settlement as a map for msgpack."""
        return {
            "key": self.key,
            "claim_id": self.claim_id,
            "expected_version": self.expected_version,
            "values": self.values,
            "answer": answer_to_map(self.answer) if self.answer else None,
        }

    @classmethod
    def from_message(cls, message: dict) -> "Settlement":
        """Decode a settlement; raise ValueError if it is invalid."""
        try:
            answer = message["answer"]
            settlement = cls(
                str(message["key"]),
                str(message["claim_id"]),
                int(message["expected_version"]),
                dict(message["values"]),
                answer_from_map(answer) if answer else None,
            )
            ClaimState(settlement.values["state"])
        except (KeyError, TypeError, ValueError) as exc:
            raise ValueError(f"invalid settlement: {exc!r}")
        if not settlement.key.startswith("claim#"):
            raise ValueError("invalid settlement: the key is not that of a claim")
        return settlement


def answer_to_map(answer: StoredResponse) -> dict:
    """Return the answer as a map for msgpack."""
    return {
        "status": answer.status,
        "headers": dict(answer.headers),
        "body": answer.body,
    }


def answer_from_map(value: dict) -> StoredResponse:
    """Decode an answer from its map."""
    return StoredResponse(value["status"], dict(value["headers"]), value["body"])
