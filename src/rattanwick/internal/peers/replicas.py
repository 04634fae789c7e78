"""Replicas of requests that other nodes serve, and their bounded store."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanwick.internal.base.errors import ProtocolError, Refused
from rattanwick.internal.model.request_records import FINISHED_RETENTION_SECONDS
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.peers.metrics import REPLICA_BYTES, REPLICA_COUNT
from rattanwick.internal.peers.packing import unpack_compressed

MAX_REPLICA_STORE_BYTES = 16 << 20
REPLICA_OVERHEAD_BYTES = 1024  # counted for each replica in addition to its content
REPLICA_RETENTION_AFTER_DEADLINE_SECONDS = 60.0
MAX_REPLICA_HOLDERS = 6


@dataclass(slots=True)
class ReplicaHeader:
    """Serving node and holders of a request at one epoch.

    ``epoch`` grows with each change of the serving node or its backup node.
    ``holders`` are all nodes that may hold a replica; the first one is the next to
    run the request.
    """

    request_id: str
    server: str
    server_start: int  # incarnation of the serving process
    epoch: int
    holders: tuple[str, ...]

    def to_body(self) -> dict:
        """Return a map for msgpack, to which the replica's content is added."""
        return {
            "id": self.request_id,
            "server": self.server,
            "start": self.server_start,
            "epoch": self.epoch,
            "holders": list(self.holders),
        }

    @classmethod
    def from_body(cls, body: dict) -> "ReplicaHeader":
        """Decode a header; raise ProtocolError that names an invalid field."""
        kinds = {"id": str, "server": str, "start": int, "epoch": int, "holders": list}
        for name, kind in kinds.items():
            if type(body.get(name)) is not kind:
                raise ProtocolError(
                    "read replica", "", f"field {name} is missing or invalid"
                )
        holders = tuple(body["holders"])
        if not 0 < len(holders) <= MAX_REPLICA_HOLDERS or {str} != set(
            map(type, holders)
        ):
            raise ProtocolError("read replica", "", "field holders is invalid")
        return cls(body["id"], body["server"], body["start"], body["epoch"], holders)

    def rank(self, node_id: str) -> tuple[int, int]:
        """Return (epoch, negative position); the holder of the highest rank runs it."""
        position = MAX_REPLICA_HOLDERS
        if node_id in self.holders:
            position = self.holders.index(node_id)
        return (self.epoch, -position)


@dataclass(slots=True)
class RequestReplica:
    """Replica of a request.

    ``packed`` has the request and, after a handover, its text so far.
    """

    header: ReplicaHeader
    organisation: str
    idempotent: bool
    deadline: float  # Unix seconds
    packed: bytes
    expires: float  # Unix seconds
    has_partial_text: bool = False  # from a handover; the request is resumed
    final: bytes = b""  # packed final answer
    lost: bool = False  # the serving node is lost and the request must not run again
    claiming: bool = False  # a claim is in progress
    unanswered: int = 0  # claims to which a live node did not reply
    retry_at: float = 0.0  # time of the next claim, in monotonic seconds

    def size(self) -> int:
        """Return the size in bytes that counts towards the limit of the store."""
        return len(self.packed) + len(self.final) + REPLICA_OVERHEAD_BYTES

    def content(self) -> dict:
        """Return the unpacked content; raise ProtocolError if it is invalid."""
        return unpack_compressed(self.packed, "packed")


def decode_replica(header: ReplicaHeader, packed: bytes) -> RequestReplica:
    """Decode a replica; raise ProtocolError if it is invalid."""
    content = unpack_compressed(packed, "packed")
    try:
        req = ServingRequest.from_message(content["request"])
        expires = req.deadline + REPLICA_RETENTION_AFTER_DEADLINE_SECONDS
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError("read replica", "", f"field request: {exc}"[:200])
    if req.id != header.request_id:
        raise ProtocolError("read replica", "", "field id differs from the request's")
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
    """Replicas by request id, limited in bytes."""

    def __init__(
        self, wall_time: Callable[[], float], limit: int = MAX_REPLICA_STORE_BYTES
    ):
        self._wall_time = wall_time
        self._limit = limit
        self._replicas: dict[str, RequestReplica] = {}
        self._bytes = 0

    def get(self, request_id: str) -> RequestReplica | None:
        """Return the replica of a request, or None."""
        return self._replicas.get(request_id)

    def all(self) -> list[RequestReplica]:
        """Return all replicas, including those with a final answer."""
        return list(self._replicas.values())

    def put(self, replica: RequestReplica) -> None:
        """Store a replica unless a newer one is held.

        Raises Refused if there is no room for it.
        """
        old = self._replicas.get(replica.header.request_id)
        if old is not None and old.header.epoch > replica.header.epoch:
            return
        self.remove(replica.header.request_id)
        self._make_room(replica.size())
        self._replicas[replica.header.request_id] = replica
        self._count(replica.size())

    def finish(self, request_id: str, final: bytes) -> None:
        """Replace the content of a replica by the packed final answer."""
        replica = self._replicas.get(request_id)
        if replica is None:
            return
        before = replica.size()
        replica.packed, replica.final = b"", final
        replica.expires = self._wall_time() + FINISHED_RETENTION_SECONDS
        self._count(replica.size() - before)

    def remove(self, request_id: str) -> None:
        """Remove the replica of a request, if any."""
        replica = self._replicas.pop(request_id, None)
        if replica is not None:
            self._count(-replica.size())

    def drop_expired(self) -> None:
        """Remove replicas whose retention time has passed."""
        now = self._wall_time()
        for request_id, replica in list(self._replicas.items()):
            if replica.expires < now:
                self.remove(request_id)

    def _make_room(self, size: int) -> None:
        # Final answers are evicted first. Replicas of running requests are never
        # evicted; a new one is refused instead.
        for request_id, replica in list(self._replicas.items()):
            if self._bytes + size <= self._limit:
                return
            if replica.final:
                self.remove(request_id)
        if self._bytes + size > self._limit:
            reason = f"replicas take {self._limit} bytes; use another backup node"
            raise Refused("keeper.copy", "this node", reason)

    def _count(self, change: int) -> None:
        self._bytes += change
        REPLICA_BYTES.set(self._bytes)
        REPLICA_COUNT.set(len(self._replicas))
