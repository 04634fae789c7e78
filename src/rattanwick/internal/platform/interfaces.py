"""Interfaces of the platform's services."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from rattanwick.internal.model.instances import Endpoint, Node


@dataclass(slots=True, frozen=True)
class Row:
    """Hold one row; ``row_version`` grows with each write to it."""

    key: str  # kind#name
    values: dict
    row_version: int


@dataclass(slots=True, frozen=True)
class Precondition:
    """Tell what a conditional write must find: absent, a version, or anything."""

    row_version: int | None = None  # 0 for an absent row, None for anything

    @classmethod
    def absent(cls) -> "Precondition":
        """Expect no row."""
        return cls(0)

    @classmethod
    def version(cls, row_version: int) -> "Precondition":
        """Expect exactly this version of the row."""
        return cls(row_version)

    @classmethod
    def any(cls) -> "Precondition":
        """Expect nothing in particular."""
        return cls(None)


@dataclass(slots=True, frozen=True)
class Write:
    """Put a row, or delete it when ``values`` is None."""

    key: str
    values: dict | None
    expected: Precondition


class Table(ABC):
    """Read and write rows of the transactional table service.

    Writes raise Conflict (its ``current`` is the row found, or None),
    Unavailable (surely not applied) or MaybeApplied.
    """

    @abstractmethod
    def get(self, key: str, consistent: bool = True) -> Row | None:
        """Return a row; raise Unavailable when it cannot be read."""

    @abstractmethod
    def query(self, prefix: str, limit: int = 1000) -> list[Row]:
        """Return rows whose key starts with ``kind#...``, in key order."""

    @abstractmethod
    def put(self, key: str, values: dict, expected: Precondition, token: str) -> Row:
        """Write one row and return it with its new version."""

    @abstractmethod
    def transact(self, writes: Sequence[Write], token: str) -> None:
        """Write all rows or none; a repeat with the same token applies once."""


class ObjectStore(ABC):
    """Read and write objects of the object store."""

    @abstractmethod
    def get(self, name: str) -> bytes | None:
        """Return an object, or None where there is none."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> None:
        """Write an object."""

    @abstractmethod
    def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return names in order."""

    @abstractmethod
    def delete(self, name: str) -> None:
        """Delete an object; one that is absent is no error."""


class InstanceList(ABC):
    """Show live and leaving instances, as last read from the platform."""

    @abstractmethod
    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool, or all."""

    @abstractmethod
    def nodes(self) -> tuple[Node, ...]:
        """Return all listed nodes, this one included."""

    @abstractmethod
    def age(self) -> float:
        """Return seconds since the last successful read."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each read that changed something."""


class NoticeKind(StrEnum):
    """Tell why an instance will stop."""

    RECLAIM = "reclaim"
    STOP = "stop"


@dataclass(slots=True, frozen=True)
class Notice:
    """Announce that an instance will stop."""

    instance_id: str
    kind: NoticeKind
    not_before: float  # Unix seconds at which it may be gone


@dataclass(slots=True, frozen=True)
class InstanceSpec:
    """Describe an instance to start."""

    data_centre: str
    instance_class: str
    reclaimable: bool
    role: str  # pool name, or "node"


class CloudApi(ABC):
    """Start and stop instances and read notices."""

    @abstractmethod
    def start(self, spec: InstanceSpec, token: str) -> str:
        """Start an instance and return its id; Refused when there is none."""

    @abstractmethod
    def stop(self, instance_id: str) -> None:
        """Stop an instance."""

    @abstractmethod
    def notices(self) -> list[Notice]:
        """Return all open notices."""

    @abstractmethod
    def own_notice(self) -> Notice | None:
        """Return the notice for the instance that this process runs on."""
