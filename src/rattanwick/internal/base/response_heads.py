"""Checks of response heads that the HTTP parsers do not make.

The table "What is no answer" in docs/design.md gives the reasons.
"""

import re
from collections.abc import Sequence

FORBIDDEN_BYTES = re.compile(rb"\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
VERSION = re.compile(r"1\.[0-9]")
FIRST_STATUS, LAST_STATUS = 100, 599


class MalformedHead(ValueError):
    """The head of a response violates the protocol."""


def check_start(version: str, status: int, reason: str) -> None:
    """Raise MalformedHead for a status line outside HTTP/1."""
    if not VERSION.fullmatch(version):
        raise MalformedHead(f"version {version[:20]!r}: must be 1.x")
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise MalformedHead(
            f"status {status:03}: must be between {FIRST_STATUS} and {LAST_STATUS}"
        )
    if CONTROL_CHARACTERS.search(reason):
        raise MalformedHead("reason: must not hold control characters")


def check_framing(version: str, codings: Sequence[str], has_length: bool) -> None:
    """Raise MalformedHead if recipients may disagree about the end of the body.

    ``codings`` are the values of all Transfer-Encoding fields.
    """
    if not codings:
        return
    if len(codings) > 1 or codings[0].strip().lower() != "chunked":
        raise MalformedHead("Transfer-Encoding: must be 'chunked', once")
    if has_length:
        raise MalformedHead("Content-Length: must not stand beside Transfer-Encoding")
    if version == "1.0":
        raise MalformedHead("Transfer-Encoding: must not be sent with HTTP/1.0")


def check_lines(head: bytes) -> None:
    """Raise MalformedHead for a folded line or a control byte.

    A parser may take a line that begins with whitespace as the rest of the field before
    it, and another one as a field. RFC 9112, 5.2, lets a proxy reject it.
    """
    match = FORBIDDEN_BYTES.search(head)
    if match:
        raise MalformedHead(f"head: must not hold {match.group()!r}")
