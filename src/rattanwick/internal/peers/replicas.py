"""Copies of requests that other nodes serve, bounded in bytes."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import ProtocolError, Refused
from rattanwick.internal.model.request_records import FINISHED_RETENTION_SECONDS
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.metrics import KEPT_BYTES, KEPT_REQUESTS
from rattanwick.internal.peers.packing import unpack_compressed

KEPT_LIMIT_BYTES = 16 << 20
KEPT_OVERHEAD_BYTES = 1024
AFTER_DEADLINE_SECONDS = 60.0
MAX_REPLICA_HOLDERS = 6


@dataclass(slots=True)
class ReplicaHeader:
    """Tell who serves a request, and who holds which generation of its copy.

    ``epoch`` grows each time the serving node or its keeper changes. ``holders``
    are all nodes that may hold a copy, the one that runs it next first.
    """

    request_id: str
    server: str
    server_start: int  # incarnation of the serving process
    epoch: int
    holders: tuple[str, ...]

    def to_body(self) -> dict:
        """Return a map for msgpack."""
        return {
            "id": self.request_id,
            "server": self.server,
            "start": self.server_start,
            "epoch": self.epoch,
            "holders": list(self.holders),
        }

    @classmethod
    def from_body(cls, body: dict) -> "ReplicaHeader":
        """Return the header of a map; raise ProtocolError naming the field."""
        kinds = {"id": str, "server": str, "start": int, "epoch": int, "holders": list}
        for name, kind in kinds.items():
            if type(body.get(name)) is not kind:
                raise ProtocolError("read copy", "", f"field {name} is wrong")
        holders = tuple(body["holders"])
        if not 0 < len(holders) <= MAX_REPLICA_HOLDERS or {str} != set(
            map(type, holders)
        ):
            raise ProtocolError("read copy", "", "field holders is wrong")
        return cls(body["id"], body["server"], body["start"], body["epoch"], holders)

    def rank(self, node_id: str) -> tuple[int, int]:
        """Return the rank of a holder; the highest one runs the request."""
        position = MAX_REPLICA_HOLDERS
        if node_id in self.holders:
            position = self.holders.index(node_id)
        return (self.epoch, -position)


@dataclass(slots=True)
class RequestReplica:
    """Hold a copy; ``packed`` has the request and, after a handover, its text."""

    header: ReplicaHeader
    organisation: str
    idempotent: bool
    deadline: float  # Unix seconds
    packed: bytes
    expires: float  # Unix seconds
    has_partial_text: bool = False  # from a handover, so that it is resumed
    final: bytes = b""  # packed final answer
    lost: bool = False  # the serving node was lost and the call must not run again
    claiming: bool = False
    unanswered: int = 0  # claims to which a live node gave no answer
    retry_at: float = 0.0  # monotonic seconds

    def size(self) -> int:
        """Return bytes of memory."""
        return len(self.packed) + len(self.final) + KEPT_OVERHEAD_BYTES

    def content(self) -> dict:
        """Return the request's message and its text."""
        return unpack_compressed(self.packed, "packed")


def decode_replica(header: ReplicaHeader, packed: bytes) -> RequestReplica:
    """Return a checked copy; raise ProtocolError."""
    content = unpack_compressed(packed, "packed")
    try:
        req = ServingRequest.from_message(content["request"])
        expires = req.deadline + AFTER_DEADLINE_SECONDS
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError("read copy", "", f"field request: {exc}"[:200])
    if req.id != header.request_id:
        raise ProtocolError("read copy", "", "field id differs from the request's")
    return RequestReplica(
        header=header,
        organisation=req.organisation,
        idempotent=req.idempotent,
        deadline=req.deadline,
        packed=packed,
        expires=expires,
        has_partial_text="text" in content,
    )


class ReplicaStore:
    """Hold copies by request id."""

    def __init__(self, wall_time: Callable[[], float], limit: int = KEPT_LIMIT_BYTES):
        self._wall = wall_time
        self._limit = limit
        self._kept: dict[str, RequestReplica] = {}
        self._bytes = 0

    def get(self, request_id: str) -> RequestReplica | None:
        """Return a copy."""
        return self._kept.get(request_id)

    def all(self) -> list[RequestReplica]:
        """Return all copies."""
        return list(self._kept.values())

    def put(self, kept: RequestReplica) -> None:
        """Hold a copy unless a newer one is held; raise Refused when full."""
        old = self._kept.get(kept.header.request_id)
        if old is not None and old.header.epoch > kept.header.epoch:
            return
        self.remove(kept.header.request_id)
        self._make_room(kept.size())
        self._kept[kept.header.request_id] = kept
        self._count(kept.size())

    def finish(self, request_id: str, final: bytes) -> None:
        """Replace a copy by the final answer."""
        kept = self._kept.get(request_id)
        if kept is None:
            return
        before = kept.size()
        kept.packed, kept.final = b"", final
        kept.expires = self._wall() + FINISHED_RETENTION_SECONDS
        self._count(kept.size() - before)

    def remove(self, request_id: str) -> None:
        """Forget a copy."""
        kept = self._kept.pop(request_id, None)
        if kept is not None:
            self._count(-kept.size())

    def drop_expired(self) -> None:
        """Forget copies that nobody can need any more."""
        now = self._wall()
        for request_id, kept in list(self._kept.items()):
            if kept.expires < now:
                self.remove(request_id)

    def _make_room(self, size: int) -> None:
        # Finished answers go first; a live copy is refused rather than displaced.
        for request_id, kept in list(self._kept.items()):
            if self._bytes + size <= self._limit:
                return
            if kept.final:
                self.remove(request_id)
        if self._bytes + size > self._limit:
            reason = f"copies take {self._limit} bytes; use another keeper"
            raise Refused("keeper.copy", "this node", reason)

    def _count(self, change: int) -> None:
        self._bytes += change
        KEPT_BYTES.set(self._bytes)
        KEPT_REQUESTS.set(len(self._kept))
