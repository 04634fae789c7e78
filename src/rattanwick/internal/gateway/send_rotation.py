"""Rotation in which a node sends its state to the others, and its pace."""

from math import ceil

from rattanwick.internal.gateway.members import Member

SEND_INTERVAL_SECONDS = 0.2
# With more peers than this, each interval sends to some of them only, in rotation: a
# full state has up to 4 kB, and 24 of them in each interval filled links of 5 Mbit/s.
MIN_PEERS_PER_INTERVAL = 6
# Time in which every peer receives this node's state; below MEMBER_TIMEOUT_SECONDS.
ACTIVE_ROUND_SECONDS = 0.8
STANDBY_ROUND_SECONDS = 2.5  # of a node on standby; half of STANDBY_TIMEOUT_SECONDS
# Pause after a message of loads, for each peer that it was sent to. Above
# MAX_PEERS_AT_FULL_LOAD_RATE peers the pause grows faster, so that the number of
# messages that a node receives per second stays the same.
LOAD_PAUSE_SECONDS_PER_PEER = 0.004
MAX_PEERS_AT_FULL_LOAD_RATE = 24


class SendRotation:
    """Rotation of members: those to which this node sent longest ago are next.

    Members join and leave between intervals. A rotation by position in the list of
    members left some of them out for seconds.
    """

    __slots__ = ("_interval", "_last_sent")

    def __init__(self):
        self._interval = 0
        self._last_sent: dict[str, int] = {}

    def next_members(self, members: list[Member], count: int) -> list[Member]:
        """Return the next ``count`` members, or all if there are no more than that."""
        self._interval += 1
        if len(members) > count:
            last_sent = self._last_sent
            members = sorted(
                members, key=lambda member: last_sent.get(member.node_id, 0)
            )
            members = members[:count]
        for member in members:
            self._last_sent[member.node_id] = self._interval
        return members

    def forget(self, known: set[str]) -> None:
        """Remove the members whose ids are not in ``known``."""
        self._last_sent = {
            key: at for key, at in self._last_sent.items() if key in known
        }


def peers_per_interval(peers: int, standby: bool) -> int:
    """Return how many of ``peers`` to send to in one interval; may exceed ``peers``."""
    if standby:
        return max(ceil(peers * SEND_INTERVAL_SECONDS / STANDBY_ROUND_SECONDS), 1)
    return max(
        ceil(peers * SEND_INTERVAL_SECONDS / ACTIVE_ROUND_SECONDS),
        MIN_PEERS_PER_INTERVAL,
    )


def load_pause(peers: int) -> float:
    """Return the seconds to wait after sending loads to a number of peers."""
    return (
        LOAD_PAUSE_SECONDS_PER_PEER
        * peers
        * max(peers / MAX_PEERS_AT_FULL_LOAD_RATE, 1.0)
    )
