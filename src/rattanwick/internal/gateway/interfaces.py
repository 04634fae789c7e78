"""Interfaces to the platform that the relay runs on."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.gateway.model import (
    Call,
    Configuration,
    Endpoint,
    ForwardContext,
    Headers,
    ResponseHead,
)


class HistoryLost(StepError):
    """Report that the changes after a version are no longer available."""


class InvalidRequest(Exception):
    """Report a request that cannot be accepted; ``status`` answers it."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True, frozen=True)
class StoredRow:
    """Hold one row; ``value`` is None where it was removed."""

    key: str
    value: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class RowPage:
    """Hold rows as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(ABC):
    """Read, follow and write rows of the platform's store.

    Calls raise Unavailable (surely nothing was done), TimedOut or ConnectionLost.
    """

    @abstractmethod
    def read(self, table: str) -> RowPage:
        """Return all rows of a table."""

    @abstractmethod
    def wait_for_changes(self, table: str, after: int, wait: float) -> RowPage:
        """Return rows changed after a version, waiting up to ``wait`` seconds.

        Raises HistoryLost where the table must be read again.
        """

    @abstractmethod
    def write(self, table: str, key: str, value: bytes | None, expected: int) -> int:
        """Write or remove a row that has version ``expected``, 0 for no row.

        Returns the new version; raises Conflict with the row found, or
        MaybeApplied where no answer came.
        """

    @abstractmethod
    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row whatever it holds."""


@dataclass(slots=True, frozen=True)
class EndpointOrder:
    """Order a number of endpoints of one class in a data centre."""

    service: str
    data_centre: str
    count: int
    reclaimable: bool


class Cloud(ABC):
    """Make the calls that one node at a time may make.

    Calls raise Conflict where they are declined: a higher fence was seen, or no
    such endpoints are to be had.
    """

    @abstractmethod
    def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report the requests that began in a window, by organisation."""

    @abstractmethod
    def order(self, holder: str, fence: int, order: EndpointOrder) -> None:
        """Order endpoints."""


class MessageCodec(ABC):
    """Translate between the platform's messages and the relay's types."""

    configuration_table: str
    configuration_key: str
    endpoint_table: str

    @abstractmethod
    def decode_configuration(self, value: bytes) -> Configuration:
        """Return a configuration; raise ValueError where it cannot be read."""

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> Endpoint:
        """Return an endpoint; raise ValueError where it names none to use."""

    @abstractmethod
    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, arrived: float
    ) -> Call:
        """Return a caller's request without its body; raise InvalidRequest."""

    @abstractmethod
    def encode_call(self, call: Call, ctx: ForwardContext) -> Headers:
        """Return the headers of a request to an endpoint."""

    @abstractmethod
    def decode_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an endpoint's answer."""

    @abstractmethod
    def encode_refusal(
        self, call_id: str, status: int, reason: str, retry_after: float | None
    ) -> tuple[Headers, bytes]:
        """Return headers and body of an answer of the relay's own."""
