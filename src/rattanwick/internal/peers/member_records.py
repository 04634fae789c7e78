"""Membership records and heartbeats, with their encoding and versions."""

from dataclasses import dataclass
from enum import IntEnum

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.model.instances import Node

STATE_SLOTS = 8  # leaves room for states of later releases
STEP = "read member"


class MemberState(IntEnum):
    """State of one incarnation; a higher value replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    LEAVING_SUSPECT = 3
    DEAD = 4


SUSPECT_STATE_OF = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.LEAVING_SUSPECT,
}
SUSPECT_STATES = frozenset(SUSPECT_STATE_OF.values())


def member_version(incarnation: int, state: MemberState) -> int:
    """Return the version of a member's gossip item."""
    return incarnation * STATE_SLOTS + state


@dataclass(slots=True)
class MemberRecord:
    """Newest known state of a member."""

    node: Node
    incarnation: int  # the member increases it to refute a suspicion
    state: MemberState
    changed_at: float  # monotonic seconds
    dead_at: float = 0.0  # monotonic seconds at which a suspect counts as dead

    def is_live(self, now: float) -> bool:
        """Return whether new work may be sent to the member."""
        if self.state is MemberState.SUSPECT:
            return now < self.dead_at
        return self.state is MemberState.ALIVE

    def version(self) -> int:
        """Return the version of the member's gossip item."""
        return member_version(self.incarnation, self.state)


def node_to_body(node: Node) -> dict:
    """Return the body of a member's gossip item, for msgpack."""
    return {
        "n": [
            node.data_centre,
            node.region,
            node.host,
            node.caller_port,
            node.peer_port,
            node.operator_port,
            node.instance_id,
            node.incarnation,
        ]
    }


def node_from_body(node_id: str, body: dict) -> Node:
    """Decode the node in a gossip item; raise ProtocolError if it is invalid."""
    values = body.get("n")
    kinds = [str, str, str, int, int, int, str, int]
    if type(values) is not list or [type(value) for value in values] != kinds:
        raise ProtocolError(STEP, node_id, "field n is not a node")
    return Node(node_id, *values)


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """State of a node, its list version and the digest of its gossip."""

    incarnation: int
    state: MemberState
    list_version: int
    news_count: int
    news_digest: int
    wanted: bool  # the sender chose this link and keeps it
    full: bool = False  # the sender has too many links to accept this one

    def to_body(self) -> dict:
        """Return a map for msgpack; short keys, because heartbeats are frequent."""
        body = {
            "i": self.incarnation,
            "s": int(self.state),
            "v": self.list_version,
            "n": self.news_count,
            "d": self.news_digest,
            "w": self.wanted,
        }
        if self.full:
            body["f"] = True
        return body

    @classmethod
    def from_body(cls, body: dict, peer: str) -> "Heartbeat":
        """Decode a heartbeat; raise ProtocolError that names an invalid field."""
        for name in ("i", "s", "v", "n", "d"):
            if type(body.get(name)) is not int or body[name] < 0:
                raise ProtocolError(
                    "heartbeat", peer, f"field {name} is not a non-negative integer"
                )
        if body["s"] > MemberState.DEAD or body["i"] >= 1 << 59:
            raise ProtocolError("heartbeat", peer, "field s or i is out of range")
        return cls(
            body["i"],
            MemberState(body["s"]),
            body["v"],
            body["n"],
            body["d"],
            body.get("w") is True,
            body.get("f") is True,
        )
