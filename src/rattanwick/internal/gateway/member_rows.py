"""Rows of the store by which nodes know others that have sent them nothing yet."""

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import RowStore, StoredRow
from rattanwick.internal.gateway.members import decode_member, encode_member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.table_watch import poll_interval_factor

log = get_logger("node")

MEMBER_TABLE = "members"
# Members are known from their datagrams. The table only adds those that have sent none
# yet, so it is read seldom.
MEMBER_READ_INTERVAL_SECONDS = 10.0
# Pause before the next try, and between checks whether the store is in a new era.
RETRY_SECONDS = 1.0


class MemberRows:
    """Reader of the table, and keeper of this node's row."""

    def __init__(self, state: NodeState, store: RowStore, boot: int):
        self._state = state
        self._store = store
        self._boot = boot
        self._written = False

    def run(self) -> None:
        """Keep this node's row and read the table regularly, until this node leaves."""
        timers = self._state.timers
        while not self._state.leaving:
            era = self._store.era
            next_read = timers.now() + self._sync()
            while timers.now() < next_read and self._store.era <= era:
                timers.sleep(RETRY_SECONDS)
                if self._state.leaving:
                    return

    def remove_own(self) -> None:
        """Remove this node's row."""
        try:
            self._store.put(MEMBER_TABLE, self._state.settings.node_id, None)
        except StepError as exc:
            log.info("own member row not removed", extra={"error": str(exc)})

    def _sync(self) -> float:
        """Write this node's row if it is missing and read the table.

        Returns the pause before the next time.
        """
        try:
            if not self._written:
                self._write_own()
                self._written = True
            rows = self._store.read(MEMBER_TABLE).rows
            if self._must_write_again(rows):
                log.warning(
                    "own member row is missing, writing it again",
                    extra={"era": self._store.era},
                )
                self._write_own()
            self.add_members(rows)
            self._remove_left(rows)
        except StepError as exc:
            log.info("members not read", extra={"error": str(exc)})
            return RETRY_SECONDS
        except Exception:
            # An unexpected error must not end this task.
            log.exception("members not read")
            return MEMBER_READ_INTERVAL_SECONDS
        state = self._state
        if state.configuration is None and not state.settings.first_start:
            # This node's start waits for members, whose rows may just be written again.
            return RETRY_SECONDS
        nodes = state.members.count_nodes()
        return MEMBER_READ_INTERVAL_SECONDS * poll_interval_factor(nodes)

    def _write_own(self) -> None:
        settings = self._state.settings
        value = encode_member(settings, self._boot)
        self._store.put(MEMBER_TABLE, settings.node_id, value)

    def _must_write_again(self, rows: tuple[StoredRow, ...]) -> bool:
        """Return whether this process has no row, and no later process has one.

        The store may have returned to a copy from before this process's start.
        """
        own_id = self._state.settings.node_id
        for row in rows:
            if row.key == own_id and not self._state.leaving:
                try:
                    return decode_member(own_id, row.value, 0.0).boot < self._boot
                except ValueError:
                    return True
        return not self._state.leaving

    def add_members(self, rows: tuple[StoredRow, ...]) -> None:
        """Add members that have sent nothing yet, so that this node sends to them.

        They count as silent until their first datagram. A row whose process has left
        may be back after the store returned to an older copy, and adds nobody.
        """
        members = self._state.members
        last_heard_at = self._state.timers.now() - MEMBER_READ_INTERVAL_SECONDS
        for row in rows:
            try:
                member = decode_member(row.key, row.value, last_heard_at)
            except ValueError as exc:
                log.warning(
                    "malformed member row ignored",
                    extra={"member": row.key, "error": str(exc)},
                )
                continue
            known = members.get(row.key)
            if members.has_left(row.key, member.boot):
                continue
            if known is None or known.boot < member.boot:
                members.put(member)

    def _remove_left(self, rows: tuple[StoredRow, ...]) -> None:
        """Remove the rows of processes that are known to have left.

        Nodes that start later cannot know this. One node does it, the first by name.
        """
        state = self._state
        live = state.members.live(state.timers.now())
        if any(member.node_id < state.settings.node_id for member in live):
            return
        for row in rows:
            left = state.members.left_boot(row.key)
            if left is None or row.key == state.settings.node_id:
                continue
            try:
                if decode_member(row.key, row.value, 0.0).boot > left:
                    continue
                self._store.write(MEMBER_TABLE, row.key, None, row.version)
            except (StepError, ValueError) as exc:
                log.info(
                    "row of a member that left not removed",
                    extra={"member": row.key, "error": str(exc)},
                )
                continue
            log.info("row of a member that left removed", extra={"member": row.key})
