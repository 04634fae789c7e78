"""Errors of calls to a peer or a service: which step failed, where and why."""


class StepError(Exception):
    """A step that failed at a peer (a node, an endpoint or a service).

    The names of the subclasses are written to logs and metrics.
    """

    def __init__(self, step: str, peer: str, reason: str):
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class Refused(StepError):
    """The peer understood the step and refused it."""


class TimedOut(StepError):
    """The peer did not answer in time; the step may have run."""


class ConnectionLost(StepError):
    """The connection was lost; ``sent`` is False if no byte had been sent."""

    def __init__(self, step: str, peer: str, reason: str, sent: bool):
        super().__init__(step, peer, reason)
        self.sent = sent


class ConnectionRefused(ConnectionLost):
    """The peer's machine replied that nothing accepts connections there."""


class Unavailable(StepError):
    """The peer cannot serve the step; the step did not run."""


class MaybeApplied(StepError):
    """A write whose answer was lost; it may have taken effect."""


class Conflict(StepError):
    """A conditional write that found another value: ``current``, if known."""

    def __init__(self, step: str, peer: str, reason: str, current: object = None):
        super().__init__(step, peer, reason)
        self.current = current


class ProtocolError(StepError):
    """A message that violates the protocol."""
