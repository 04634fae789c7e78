"""Exchange between nodes of the limits that endpoints name, and of permits."""

from collections.abc import Callable
from math import ceil

import gevent

from rattanwick.internal.gateway.limit_messages import LimitUpdate, PeerLimits
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.peer_messages import encode_limits
from rattanwick.internal.gateway.send_rotation import SendRotation

UPDATE_ROUND_SECONDS = 2.0  # time in which each active member is sent the limits again
MAX_UPDATES_PER_DATAGRAM = 100  # of about 50 bytes each
# Shortest time between two broadcasts, for each member that they are sent to.
BROADCAST_PAUSE_SECONDS_PER_PEER = 0.004


class LimitExchange:
    """Sender and receiver of limits and permits.

    Nothing is sent while no endpoint names a limit.
    """

    def __init__(
        self,
        state: NodeState,
        boot: int,
        send: Callable[[bytes, list[Member]], None],
        reply: Callable[[bytes, tuple[str, int]], None],
    ):
        """``send`` sends a datagram to members, ``reply`` to an address."""
        self._state = state
        self._limits = state.endpoint_limits
        self._boot = boot
        self._send = send
        self._reply = reply
        self._rotation = SendRotation()
        self._limits.transmit = self._transmit

    def start(self) -> None:
        """Start sending limits when they change."""
        gevent.spawn(self._broadcast_changes)

    def update(self, interval: float) -> None:
        """Apply this node's role, and repeat the limits for which it is the grantor.

        The members that are next in rotation may have missed the broadcast of a change.
        ``interval`` is the time between two calls, in seconds.
        """
        state, limits = self._state, self._limits
        limits.set_eligible(not (state.leaving or state.standby))
        if not limits.any_named():
            return
        limits.forget(view.endpoint for view in state.endpoints.all())
        members = state.members.active()
        count = ceil(len(members) * interval / UPDATE_ROUND_SECONDS)
        recipients = self._rotation.next_members(members, count)
        self._rotation.forget({member.node_id for member in members})
        self._send_updates(limits.granted_limits(), recipients)

    def inform(self, member: Member) -> None:
        """Send a process that has just started the limits granted by this node."""
        if self._limits.any_named():
            self._send_updates(self._limits.granted_limits(member.node_id), [member])

    def receive(self, message: PeerLimits, address: tuple[str, int]) -> None:
        """Apply a peer's message and reply to the address that it came from."""
        reply = self._limits.receive(message.node_id, message)
        if reply is not None:
            self._reply(self._encode(reply), address)

    def _transmit(self, node_id: str, message: PeerLimits) -> None:
        member = self._state.members.get(node_id)
        if member is not None:
            self._send(self._encode(message), [member])

    def _broadcast_changes(self) -> None:
        while True:
            self._limits.changed.wait()
            self._limits.changed.clear()
            members = self._state.members.active()
            self._send_updates(self._limits.take_unsent_updates(), members)
            self._state.timers.sleep(BROADCAST_PAUSE_SECONDS_PER_PEER * len(members))

    def _send_updates(self, updates: list[LimitUpdate], members: list[Member]) -> None:
        for start in range(0, len(updates), MAX_UPDATES_PER_DATAGRAM):
            part = updates[start : start + MAX_UPDATES_PER_DATAGRAM]
            self._send(self._encode(PeerLimits(limits=part)), members)

    def _encode(self, message: PeerLimits) -> bytes:
        return encode_limits(self._state.settings.node_id, self._boot, message)
