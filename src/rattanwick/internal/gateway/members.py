"""Other nodes of the deployment, known from the store and from their datagrams."""

from dataclasses import dataclass
from ipaddress import IPv4Address

from msgpack import packb, unpackb

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import Version
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.internal.gateway.shapes import matches

log = get_logger("members")

# Silence after which callers are no longer directed to a node.
MEMBER_TIMEOUT_SECONDS = 1.2
# A node on standby sends its state less often; callers are not directed to it.
STANDBY_TIMEOUT_SECONDS = 5.0
# Silence after which a node no longer counts as part of the deployment.
MEMBER_RETENTION_SECONDS = 20.0
MAX_LEFT_MEMBERS = 4096  # processes that have left, of which rows may come back
# Start of the process, IP, port for peers, IP:PORT for callers, data centre.
ROW_SHAPE = (int, str, int, str, str)
PORTS = range(1, 65_536)


@dataclass(slots=True)
class Member:
    """State of another node as this node knows it."""

    node_id: str
    boot: int  # start of its process, in Unix milliseconds
    address: tuple[str, int]  # for datagrams and connections of peers
    caller_address: str  # IP:PORT
    data_centre: str
    last_heard_at: float  # arrival of its last datagram, in monotonic seconds
    last_state_at: float = 0.0  # arrival of its last PeerState, in monotonic seconds
    ready: bool = False
    leaving: bool = False
    standby: bool = False  # callers are directed to other nodes
    cores: float = 1.0  # its CPU limit, in cores
    request_rate: float = 0.0  # callers' requests per second
    store_failing: bool = False  # its calls to the store fail
    fence: int = 0  # its fencing token as the leader; 0 if it is not the leader
    configuration: int = 0  # version in force there, 0 if it has none
    # By table: the version of the newest change that it knows.
    versions: dict[str, Version] | None = None

    def is_live(self, now: float) -> bool:
        """Return whether the node has sent something recently and is not leaving."""
        limit = STANDBY_TIMEOUT_SECONDS if self.standby else MEMBER_TIMEOUT_SECONDS
        return now - self.last_heard_at < limit and not self.leaving


def encode_member(settings: GatewaySettings, boot: int) -> bytes:
    """Return the row by which this node is known to nodes that start later."""
    return packb(
        [
            boot,
            settings.ip,
            settings.peer_port,
            settings.callers_address,
            settings.data_centre,
        ]
    )


def decode_member(node_id: str, value: bytes, last_heard_at: float) -> Member:
    """Return the member that a row names; raise ValueError if it is malformed.

    Datagrams can be sent to its address. ``last_heard_at`` is in monotonic seconds.
    """
    try:
        fields = unpackb(value)
    except Exception as exc:
        raise ValueError(f"{type(exc).__name__} {exc}")
    if not matches(fields, ROW_SHAPE):
        raise ValueError("wrong shape")
    boot, ip, port, caller_address, data_centre = fields
    if port not in PORTS:
        raise ValueError(f"port {port} is out of range")
    address = str(IPv4Address(ip)), port
    return Member(node_id, boot, address, caller_address, data_centre, last_heard_at)


class Members:
    """Registry of the other nodes of the deployment."""

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._last_live: set[str] = set()
        # By node id, start of the last process that said it was leaving.
        self._left: dict[str, int] = {}

    def get(self, node_id: str) -> Member | None:
        """Return the member with an id, or None if it is not known."""
        return self._members.get(node_id)

    def all(self) -> list[Member]:
        """Return all members; this node is not one of them."""
        return list(self._members.values())

    def count_nodes(self) -> int:
        """Return the number of nodes that are not leaving, including this node.

        Nodes on standby and silent nodes are counted too.
        """
        return 1 + sum(not member.leaving for member in self._members.values())

    def active(self) -> list[Member]:
        """Return the members that are not on standby, including leaving ones."""
        return [member for member in self._members.values() if not member.standby]

    def on_standby(self) -> list[Member]:
        """Return the members on standby, including leaving ones."""
        return [member for member in self._members.values() if member.standby]

    def count_active_peers(self) -> int:
        """Return the number of active members that are not leaving.

        This node is not counted.
        """
        return sum(not member.leaving for member in self.active())

    def put(self, member: Member) -> bool:
        """Add or replace a member; return True if this is a new process.

        A member with an earlier start than the known one is ignored.
        """
        if member.node_id == self._own_id:
            return False
        known = self._members.get(member.node_id)
        if known is not None and known.boot > member.boot:
            return False
        self._members[member.node_id] = member
        if member.leaving:
            self._left[member.node_id] = member.boot
            if len(self._left) > MAX_LEFT_MEMBERS:
                del self._left[next(iter(self._left))]
        elif member.last_state_at > 0:
            # Its clock may have been set back since the process before it started.
            self._left.pop(member.node_id, None)
        return known is None or known.boot != member.boot

    def left_boot(self, node_id: str) -> int | None:
        """Return the start of the last process that left under an id, if any did."""
        return self._left.get(node_id)

    def has_left(self, node_id: str, boot: int) -> bool:
        """Return whether a process, or a later one under its id, has left."""
        return boot <= self._left.get(node_id, -1)

    def note_heard(self, node_id: str, boot: int, now: float) -> None:
        """Record that a datagram arrived; ``boot`` is the start of its sender.

        Datagrams of unknown nodes and of other processes of a node are ignored.
        """
        known = self._members.get(node_id)
        if known is not None and known.boot == boot:
            known.last_heard_at = now

    def live(self, now: float) -> list[Member]:
        """Return the members that have sent something recently and are not leaving."""
        return [member for member in self._members.values() if member.is_live(now)]

    def heard(self, now: float) -> list[Member]:
        """Return the live members, and leaving ones that have sent something lately."""
        return [
            member
            for member in self._members.values()
            if member.is_live(now)
            or (member.leaving and now - member.last_heard_at < MEMBER_TIMEOUT_SECONDS)
        ]

    def update_liveness(self, now: float) -> None:
        """Log which members became live or silent, and remove long-silent ones.

        Members are removed after MEMBER_RETENTION_SECONDS of silence.
        """
        live = {member.node_id for member in self.live(now)}
        for node_id in sorted(live - self._last_live):
            log.info("regained", extra={"dependency": node_id})
        for node_id in sorted(self._last_live - live):
            log.warning("lost", extra={"dependency": node_id})
        self._last_live = live
        for node_id, member in list(self._members.items()):
            if now - member.last_heard_at > MEMBER_RETENTION_SECONDS:
                del self._members[node_id]
                log.info("silent member removed", extra={"member": node_id})

    def leader(self, now: float, within: float, above: int = 0) -> Member | None:
        """Return the leader if it sent a datagram in the last ``within`` seconds.

        Its fence is higher than ``above``.
        """
        leaders = [
            member
            for member in self._members.values()
            if member.fence > above and now - member.last_heard_at < within
        ]
        return max(leaders, key=lambda member: member.fence, default=None)
