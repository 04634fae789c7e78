"""Errors that carry the step and the peer at which they arose."""


class StepError(Exception):
    """Report a failed step against a peer."""

    def __init__(self, step: str, peer: str, reason: str):
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class Refused(StepError):
    """Report that the peer understood the step and declined it."""


class TimedOut(StepError):
    """Report that the peer did not answer in time; the step may have run."""


class ConnectionLost(StepError):
    """Report that the connection ended; ``sent`` tells whether a byte had left."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool):
        super().__init__(step, peer, reason)
        self.sent = sent


class Unavailable(StepError):
    """Report that the peer cannot serve the step; it surely did not run."""


class MaybeApplied(StepError):
    """Report a write that may have taken effect although its answer was lost."""


class Conflict(StepError):
    """Report a conditional write that found another value."""

    def __init__(self, step: str, peer: str, reason: str, current: object = None):
        super().__init__(step, peer, reason)
        self.current = current


class ProtocolError(StepError):
    """Report a message that breaks the protocol."""
