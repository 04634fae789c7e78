"""Service calls, the states of their claims, and the row that a claim is kept in."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.base.outcomes import NotRun, Outcome
from rattanwick.internal.model.request_records import StoredResponse

MAX_KEY_BYTES = 255
# A table item holds at most 400 KB; larger answers go to the object store.
MAX_INLINE_BYTES = 64 * 1024


class ClaimState(StrEnum):
    """Tell what is known of a claimed call."""

    DISPATCHING = "dispatching"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """Describe one call that must run at most once."""

    organisation: str
    service: str
    key: str  # of the caller
    body_digest: str
    deadline: float  # Unix seconds
    request_id: str = ""

    def __post_init__(self):
        if not 0 < len(self.key.encode()) <= MAX_KEY_BYTES:
            raise ValueError(f"the idempotency key needs 1 to {MAX_KEY_BYTES} bytes")

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        # The caller's key comes last, so a '#' in it cannot name another row.
        return f"claim#{self.organisation}#{self.service}#{self.key}"


def digest_call(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeat with another body is told apart."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True)
class Claimed:
    """Permit this node to dispatch the call once, until its deadline."""

    call: ServiceCall
    claim_id: str
    row_version: int
    values: dict  # of the row
    expires: float  # seconds of the clock that counts suspended time


@dataclass(slots=True, frozen=True)
class Replayed:
    """Answer from an earlier run of the call."""

    outcome: Outcome  # Answered or Unknown
    answer: StoredResponse | None  # None when the outcome is Unknown
    request_id: str


@dataclass(slots=True, frozen=True)
class InProgress:
    """Report that another node or request runs the call."""

    retry_after: float  # seconds
    request_id: str


@dataclass(slots=True, frozen=True)
class BodyMismatch:
    """Report a key that was used with another body."""

    request_id: str


ClaimResult = Claimed | Replayed | InProgress | BodyMismatch | NotRun


@dataclass(slots=True)
class Settlement:
    """Hold the final state of a claim until the table has it."""

    key: str
    claim_id: str
    expected_version: int
    values: dict
    answer: StoredResponse | None = None  # not stored yet

    @property
    def token(self) -> str:
        """Return the write token, the same in each attempt."""
        return f"settle-{self.claim_id}"

    def to_message(self) -> dict:
        """Return a map for msgpack."""
        return {
            "key": self.key,
            "claim_id": self.claim_id,
            "expected_version": self.expected_version,
            "values": self.values,
            "answer": answer_to_map(self.answer) if self.answer else None,
        }

    @classmethod
    def from_message(cls, message: dict) -> "Settlement":
        """Return the settlement of a map; raise ValueError for a bad one."""
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
            raise ValueError(f"not a settlement: {exc!r}")
        if not settlement.key.startswith("claim#"):
            raise ValueError("not a settlement: the key is not of a claim")
        return settlement


def answer_to_map(answer: StoredResponse) -> dict:
    """Return a map for msgpack."""
    return {
        "status": answer.status,
        "headers": dict(answer.headers),
        "body": answer.body,
    }


def answer_from_map(value: dict) -> StoredResponse:
    """Return the answer of a map."""
    return StoredResponse(value["status"], dict(value["headers"]), value["body"])
