"""Exchange between nodes of crashes and blocked prompt parts.

Nothing is sent while no endpoint crashes. Nodes compare digests of their blocks with
the states that they send each other anyway, and repair what a lost datagram left out.
"""

from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.blocked_part_rows import BlockRows
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.part_messages import (
    PeerParts,
    split_blocks,
    split_message,
)
from rattanwick.internal.gateway.peer_messages import encode_parts
from rattanwick.internal.state.boot_clock import boot_seconds

log = get_logger("parts")

# A node that received nothing for this time may have been paused or cut off. Each
# active node sends its state every 0.8 s.
MAX_CONTACT_GAP_SECONDS = 2.0
REPAIR_INTERVAL_SECONDS = 1.0  # between two sendings of the blocks to one member
SYNC_REPLY_SECONDS = 0.2  # wait for a reply before the next try
READ_INTERVAL_SECONDS = 1.0  # between two tries to read the store
SYNC_MEMBERS = 3  # asked for their blocks at a time
# A node goes on with the blocks that it knows if neither the store nor a member replies
# for this time, after a gap and after its start.
MAX_SYNC_SECONDS = 1.0
MAX_START_SYNC_SECONDS = 4.0


class PartExchange:
    """Sender and receiver of crashes and blocks, which keeps them up to date."""

    def __init__(
        self,
        state: NodeState,
        rows: BlockRows | None,
        boot: int,
        send: Callable[[bytes, list[Member]], None],
        reply: Callable[[bytes, tuple[str, int]], None],
    ):
        """``send`` sends a datagram to members, ``reply`` to an address.

        ``rows`` are the blocks in the store, None if there is no store.
        """
        self._state = state
        self._guard = state.part_guard
        self._rows = rows
        self._boot = boot
        self._send = send
        self._reply = reply
        self._random = Random(f"{state.settings.node_id} parts")
        self._contact_at = boot_seconds()
        self._synchronised = rows is None
        self._sync_needed = Event()
        self._query = 0
        self._next_read_at = 0.0  # of the store, in monotonic seconds
        self._sent_blocks_at: dict[str, float] = {}  # by node id
        self._guard.broadcast = self._broadcast
        self._guard.is_current = self.is_current
        self._guard.loaded = self._synchronised

    def start(self) -> None:
        """Learn the blocks from the store and the members."""
        gevent.spawn(self._run_sync)
        if self._synchronised:
            self._guard.synchronised.set()
        else:
            self._sync_needed.set()

    def is_current(self) -> bool:
        """Return whether this node knows all blocks, and ask for them if not.

        CLOCK_MONOTONIC stands still while the machine is suspended, so gaps are
        measured on the clock since boot.
        """
        self._check_gap()
        return self._synchronised

    def note_contact(self) -> None:
        """Record that a datagram of a peer has arrived."""
        self._check_gap()
        self._contact_at = boot_seconds()

    def compare(self, member: Member, digest: int) -> None:
        """Send this node's blocks to a member whose digest differs."""
        if digest == self._guard.blocks.digest():
            return
        now = self._state.timers.now()
        sent_at = self._sent_blocks_at.get(member.node_id, float("-inf"))
        if now - sent_at < REPAIR_INTERVAL_SECONDS:
            return
        self._sent_blocks_at[member.node_id] = now
        for message in self._block_messages():
            self._send(self._encode(message), [member])

    def receive(self, message: PeerParts, address: tuple[str, int]) -> None:
        """Apply a peer's message, and reply if it asks for the blocks."""
        self._guard.receive(message)
        for report in message.crashes:
            self._state.endpoints.note_crash(report.endpoint_id)
        if message.query and self._synchronised:
            *others, last = self._block_messages()
            last.reply = message.query
            for part in (*others, last):
                self._reply(self._encode(part), address)
        if message.reply and message.reply == self._query:
            self._end_sync(message.node_id)

    def forget(self, known: set[str]) -> None:
        """Remove the members whose ids are not in ``known``."""
        for node_id in self._sent_blocks_at.keys() - known:
            del self._sent_blocks_at[node_id]

    def _check_gap(self) -> None:
        gap = boot_seconds() - self._contact_at
        if not self._synchronised or gap < MAX_CONTACT_GAP_SECONDS:
            return
        if not self._state.members.all():
            self._contact_at = boot_seconds()
            return
        log.info("blocks may be out of date", extra={"contact_gap_s": round(gap, 2)})
        self._synchronised = False
        self._guard.synchronised.clear()
        self._sync_needed.set()

    def _run_sync(self) -> None:
        """Read the store and ask members until one of them has sent the blocks."""
        while True:
            self._sync_needed.wait()
            loaded = self._guard.loaded
            longest = MAX_SYNC_SECONDS if loaded else MAX_START_SYNC_SECONDS
            deadline = self._state.timers.now() + longest
            while not self._synchronised:
                try:
                    self._ask()
                except Exception:
                    log.exception("blocks not asked for")
                self._guard.synchronised.wait(SYNC_REPLY_SECONDS)
                if self._state.timers.now() >= deadline:
                    self._end_sync("nobody replied")

    def _ask(self) -> None:
        """Ask some members for their blocks, and read the store if it is time."""
        self._query += 1
        message = self._encode(PeerParts(query=self._query))
        members = self._state.members.all()
        count = min(SYNC_MEMBERS, len(members))
        self._send(message, self._random.sample(members, count))
        now = self._state.timers.now()
        if self._rows is not None and now >= self._next_read_at:
            self._next_read_at = float("inf")
            gevent.spawn(self._read_rows)

    def _read_rows(self) -> None:
        try:
            if self._rows.load():
                self._end_sync("store")
        finally:
            self._next_read_at = self._state.timers.now() + READ_INTERVAL_SECONDS

    def _end_sync(self, source: str) -> None:
        if self._synchronised:
            return
        self._synchronised = True
        self._guard.loaded = True
        self._contact_at = boot_seconds()
        self._sync_needed.clear()
        self._guard.synchronised.set()
        log.info(
            "blocks up to date",
            extra={"source": source, "blocks": len(self._guard.blocks.all())},
        )

    def _block_messages(self) -> list[PeerParts]:
        """Return messages that hold all blocks; one without any if there are none."""
        blocks = self._guard.blocks.all()
        return [PeerParts(blocks=group) for group in split_blocks(blocks)]

    def _broadcast(self, message: PeerParts) -> None:
        for part in split_message(message):
            self._send(self._encode(part), self._state.members.all())

    def _encode(self, message: PeerParts) -> bytes:
        return encode_parts(
            self._state.settings.node_id,
            self._boot,
            message,
            self._state.timers.now(),
        )
