"""State of a node that drains."""

from rattanwick.internal.requests.caller_errors import CallerError


class DrainState:
    """Make new requests go to another node."""

    __slots__ = ("next_address", "refusing")

    def __init__(self):
        self.refusing = False
        self.next_address = ""

    def refuse_new(self, next_address: str) -> None:
        """Refuse new requests from now on and name another node, if there is one."""
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
