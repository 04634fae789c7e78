"""Checks of response heads that the HTTP parsers do not make."""

import re

FOLDED_LINE = re.compile(rb"\n[ \t]")
FIRST_STATUS, LAST_STATUS = 100, 599


class MalformedHead(ValueError):
    """The head of a response violates the protocol."""


def check_status(status: int) -> None:
    """Raise MalformedHead for a status code outside the protocol (RFC 9110, 15)."""
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise MalformedHead(
            f"status {status:03}: must be between {FIRST_STATUS} and {LAST_STATUS}"
        )


def check_lines(head: bytes) -> None:
    """Raise MalformedHead if a line begins with whitespace.

    A parser may take such a line as the rest of the field before it, and another one as
    a field. RFC 9112, 5.2, lets a proxy reject it.
    """
    if FOLDED_LINE.search(head):
        raise MalformedHead("a line of the head begins with whitespace")
