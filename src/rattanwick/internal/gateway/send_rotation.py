"""Rotation in which a node sends its state to the others."""

from rattanwick.internal.gateway.members import Member


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
