"""State of a node that may drain."""

from rattanwick.internal.requests.caller_errors import CallerError


class DrainState:
    """Whether new requests are refused, and the node that callers are sent to."""

    __slots__ = ("next_address", "refusing")

    def __init__(self):
        self.refusing = False
        self.next_address = ""

    def refuse_new(self, next_address: str) -> None:
        """Refuse new requests; ``next_address`` is another node's URL, or empty."""
        self.refusing = True
        self.next_address = next_address

    def accept_new(self) -> None:
        """Accept new requests again."""
        self.refusing = False
        self.next_address = ""

    def check(self) -> None:
        """Raise CallerError while new requests are refused."""
        if not self.refusing:
            return
        headers = {"Retry-After": "1", "Connection": "close"}
        message = "the node is stopping; the call did not run"
        if self.next_address:
            headers["Rattanwick-Next-Address"] = self.next_address
            message += f"; send it to {self.next_address}"
        raise CallerError(503, "draining", message, headers=headers)
