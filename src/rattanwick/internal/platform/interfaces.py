"""Interfaces to the platform: table, object store, instance list, cloud API."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.model.instances import Endpoint, Node


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table; ``row_version`` increases with each write to it."""

    key: str  # kind#name
    values: dict
    row_version: int


@dataclass(slots=True, frozen=True)
class Precondition:
    """Expected state of a row: absent, at a given version, or any state."""

    row_version: int | None = None  # 0 for an absent row, None for any state

    @classmethod
    def absent(cls) -> "Precondition":
        """Return the precondition that there is no row."""
        return cls(0)

    @classmethod
    def version(cls, row_version: int) -> "Precondition":
        """Return the precondition that the row has exactly this version."""
        return cls(row_version)

    @classmethod
    def any(cls) -> "Precondition":
        """Return the precondition that always holds."""
        return cls(None)


@dataclass(slots=True, frozen=True)
class Write:
    """A write of a row, or its deletion if ``values`` is None."""

    key: str
    values: dict | None
    expected: Precondition


class Table(ABC):
    """Transactional table of rows.

    Reads raise Unavailable if the table cannot be read. Writes raise Conflict if a
    precondition does not hold (its ``current`` is the row in the table, or None),
    Unavailable if they were not applied, and MaybeApplied if that is unknown.
    """

    @abstractmethod
    def get(self, key: str, consistent: bool = True) -> Row | None:
        """Return a row, or None if there is none."""

    @abstractmethod
    def query(self, prefix: str, limit: int = 1000) -> list[Row]:
        """Return the rows whose keys have a prefix, in the order of keys.

        The prefix contains at least the kind and its separator (``kind#``).
        """

    @abstractmethod
    def put(self, key: str, values: dict, expected: Precondition, token: str) -> Row:
        """Write one row and return it with its new version.

        The token identifies the write, so that a repeat of it is recognised.
        """

    @abstractmethod
    def transact(self, writes: Sequence[Write], token: str) -> None:
        """Write all rows or none; writes with the same token are applied once."""


class ObjectStore(ABC):
    """Store of objects by name.

    Methods raise Unavailable if they had no effect. Writes raise MaybeApplied if it is
    unknown whether they had one.
    """

    @abstractmethod
    def get(self, name: str) -> bytes | None:
        """Return the data of an object, or None if there is none."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> None:
        """Write an object, or replace it."""

    @abstractmethod
    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the names with a prefix that follow ``after``, in order."""

    @abstractmethod
    def delete(self, name: str) -> None:
        """Delete an object; do nothing if there is none."""


class InstanceList(ABC):
    """Live and leaving instances, as last read from the platform."""

    @abstractmethod
    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool, or all endpoints."""

    @abstractmethod
    def nodes(self) -> tuple[Node, ...]:
        """Return all listed nodes, this one included."""

    @abstractmethod
    def age(self) -> float:
        """Return the seconds since the last successful read."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each read that changed the list."""


class NoticeKind(StrEnum):
    """Reason why an instance will end."""

    RECLAIM = "reclaim"
    STOP = "stop"


@dataclass(slots=True, frozen=True)
class Notice:
    """Announcement by the cloud that an instance will end."""

    instance_id: str
    kind: NoticeKind
    not_before: float  # Unix seconds at which it may be gone


@dataclass(slots=True, frozen=True)
class InstanceSpec:
    """An instance to start."""

    data_centre: str
    instance_class: str
    reclaimable: bool
    role: str  # pool name, or "node"


class CloudApi(ABC):
    """Cloud API that starts and terminates instances and announces their end."""

    @abstractmethod
    def start(self, spec: InstanceSpec, token: str) -> str:
        """Start an instance and return its id.

        A repeat with the same token starts no second instance. Raises Refused if there
        is no capacity, Unavailable if no instance was started, and MaybeApplied if it
        is unknown whether one was started.
        """

    @abstractmethod
    def terminate(self, instance_id: str) -> None:
        """Terminate an instance; do nothing if it no longer exists."""

    @abstractmethod
    def notices(self) -> list[Notice]:
        """Return all open notices; raise Unavailable if they cannot be read."""

    @abstractmethod
    def own_notice(self) -> Notice | None:
        """Return the notice for the instance that this process runs on, or None.

        Raises Unavailable if it cannot be read.
        """
