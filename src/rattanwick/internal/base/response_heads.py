"""Checks of response heads that the HTTP parsers do not make."""

FIRST_STATUS, LAST_STATUS = 100, 599


class MalformedHead(ValueError):
    """The head of a response violates the protocol."""


def check_status(status: int) -> None:
    """Raise MalformedHead for a status code outside the protocol (RFC 9110, 15)."""
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise MalformedHead(
            f"status {status:03}: must be between {FIRST_STATUS} and {LAST_STATUS}"
        )
