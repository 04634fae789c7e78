"""Interfaces of the platform that the gateway runs on."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

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
    """The changes after a version are no longer available."""


class Version(NamedTuple):
    """Version of a row or table; versions of a later era are newer.

    A new era begins when the store is restored from an older copy. It then gives out
    again the numbers after that copy.
    """

    era: int
    number: int


NO_VERSION = Version(0, 0)  # of a row that does not exist, in every era


class InvalidRequest(Exception):
    """A request cannot be accepted; ``status`` is the HTTP status of the answer.

    ``retry_after`` is in seconds, None if the caller is not asked back.
    """

    def __init__(self, status: int, reason: str, retry_after: float | None = None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


@dataclass(slots=True, frozen=True)
class StoredRow:
    """Row of the store; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    version: Version


@dataclass(slots=True, frozen=True)
class RowPage:
    """Rows as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: Version
    # Steady clock of the store, in seconds, if it names one.
    store_time: float | None = None


class RowStore(ABC):
    """The platform's store: tables of rows with versions.

    Calls raise Unavailable if the store certainly did nothing. Calls that read also
    raise TimedOut or ConnectionLost if no response came, and Unavailable if the
    response is of an earlier era than another one before it.
    """

    @property
    @abstractmethod
    def era(self) -> int:
        """Return the latest era that a response has named; 0 if none has."""

    @abstractmethod
    def read(self, table: str) -> RowPage:
        """Return all rows of a table."""

    @abstractmethod
    def wait_for_changes(self, table: str, after: Version, wait: float) -> RowPage:
        """Return rows changed after a version, waiting up to ``wait`` seconds.

        Raises HistoryLost if the whole table must be read again, as it must be if the
        store is in another era than that of ``after``.
        """

    @abstractmethod
    def close_idle(self) -> None:
        """Close idle connections, which may have gone silent; new ones may work."""

    @abstractmethod
    def write(
        self, table: str, key: str, value: bytes | None, expected: Version
    ) -> Version:
        """Write a row, or remove it if ``value`` is None, and return the new version.

        ``expected`` is the version that the row must have, NO_VERSION if there must be
        none. Raises Conflict if it has another version, with the row found if it is
        known; a version of an earlier era is another one. Raises MaybeApplied if no
        response came, or if the store has been restored since the call was sent.
        """

    @abstractmethod
    def put(self, table: str, key: str, value: bytes | None) -> Version:
        """Write a row unconditionally and return the new version.

        The row is removed if ``value`` is None. Raises MaybeApplied as ``write`` does.
        """


@dataclass(slots=True, frozen=True)
class EndpointOrder:
    """Order for a number of endpoints of one class in a data centre."""

    service: str
    data_centre: str
    count: int
    reclaimable: bool


class Cloud(ABC):
    """Calls that only the leader makes, with its node id (``holder``) and fence.

    They raise Conflict if the cloud declines the call because it has seen a higher
    fence or because no such endpoints are available.
    """

    @abstractmethod
    def report_usage(
        self, holder: str, fence: int, window: int, counts: dict[str, int]
    ) -> None:
        """Report the number of requests that began in a window, by organisation."""

    @abstractmethod
    def order(self, holder: str, fence: int, order: EndpointOrder) -> None:
        """Set the number of endpoints of one class in a data centre."""


class MessageCodec(ABC):
    """Codec between the platform's messages and the gateway's types."""

    configuration_table: str
    configuration_key: str
    endpoint_table: str

    @abstractmethod
    def decode_configuration(self, value: bytes) -> Configuration:
        """Return a configuration; raise ValueError if it cannot be decoded."""

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> Endpoint:
        """Return an endpoint; raise ValueError if the entry is not usable."""

    @abstractmethod
    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, arrived: float
    ) -> Call:
        """Return a caller's request without its body.

        ``arrived`` is in monotonic seconds. Raises InvalidRequest if the request cannot
        be accepted.
        """

    @abstractmethod
    def encode_call(self, call: Call, ctx: ForwardContext) -> Headers:
        """Return the headers of a request to an endpoint."""

    @abstractmethod
    def decode_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of an endpoint's response."""

    @abstractmethod
    def encode_refusal(
        self, call_id: str, status: int, reason: str, retry_after: float | None
    ) -> tuple[Headers, bytes]:
        """Return headers and body of a refusal; ``retry_after`` is in seconds."""
