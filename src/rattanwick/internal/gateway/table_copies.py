"""Exchange of table changes and of whole copies of tables between nodes."""

from collections.abc import Callable
from random import Random

import gevent
from gevent import socket
from gevent.server import StreamServer
from msgpack import Unpacker, packb
from msgpack.exceptions import BufferFull

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.pacing import let_others_run
from rattanwick.internal.gateway.interfaces import NO_VERSION, Version
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.operator_configuration import OperatorConfiguration
from rattanwick.internal.gateway.peer_messages import (
    MAX_CHANGES_BYTES,
    decode_copy,
    encode_changes,
    encode_copy,
)
from rattanwick.internal.gateway.table_watch import (
    TableChanges,
    TableCopy,
    TableWatch,
    batching_seconds,
)

log = get_logger("peers")

# Delay from learning that a peer has a newer version of a table to acting on it. A node
# that polls the store then cancels its long poll; any other node fetches the peer's
# copy. A polling node first waits for the batching time.
CATCH_UP_DELAY_SECONDS = 0.2
# Delay after which a polling node fetches the peer's copy too, counted in the same way.
POLLER_FETCH_DELAY_SECONDS = 0.6
COPY_TIMEOUT_SECONDS = 1.5  # for fetching or sending a copy
MAX_COPY_BYTES = 32 << 20


class TableCopies:
    """Exchange of the changes and copies of this node's tables with peers.

    ``send`` sends a datagram to each of the given members.
    """

    def __init__(
        self,
        state: NodeState,
        watches: list[TableWatch],
        send: Callable[[bytes, list[Member]], None],
        configuration: OperatorConfiguration | None = None,
    ):
        self._state = state
        self._watches = {watch.table: watch for watch in watches}
        self._send = send
        self._configuration = configuration
        self._behind_since: dict[str, float] = {}
        # Tables with a newer version at a peer, whose long poll has been cancelled.
        self._cancelled: set[str] = set()
        self._fetching = False
        settings = state.settings
        self._random = Random(settings.node_id)
        self._server = StreamServer((settings.ip, settings.peer_port), self._serve_copy)
        for watch in watches:
            watch.forward_changes = self._forward_changes

    def start(self) -> None:
        """Start serving copies to peers."""
        self._server.start()

    def versions(self) -> dict[str, Version]:
        """Return the version of the newest known change, by table."""
        return {t: watch.changed_version for t, watch in self._watches.items()}

    def store_failing(self) -> bool:
        """Return whether this node's calls to the store fail."""
        return any(watch.failing_since is not None for watch in self._watches.values())

    def _forward_changes(self, changes: TableChanges) -> None:
        """Forward changes to the members that do not poll the store themselves."""
        members = self._state.change_recipients()
        if not members:
            return
        data = encode_changes(self._state.settings.node_id, changes)
        if len(data) <= MAX_CHANGES_BYTES:
            self._send(data, members)
        else:
            # The members see the newer version in this node's state and fetch a copy.
            log.info("changes too large to forward", extra={"bytes": len(data)})

    def apply_changes(self, node_id: str, changes: TableChanges) -> None:
        """Apply changes that a peer read from the store.

        They are not applied if this node lacks earlier ones.
        """
        watch = self._watches.get(changes.table)
        if watch is None or not watch.apply_changes(changes):
            log.info(
                "changes from peer not applied",
                extra={
                    "peer": node_id,
                    "table": changes.table,
                    "after": changes.after,
                    "version": changes.version,
                    "known": watch.version if watch else None,
                },
            )

    def catch_up(self, now: float) -> None:
        """Refresh the tables of which a live peer has a newer version.

        ``now`` is in monotonic seconds. See CATCH_UP_DELAY_SECONDS.
        """
        batching = batching_seconds(self._state.members.count_nodes())
        members = self._state.members.heard(now)
        for table, watch in self._watches.items():
            ahead = self._members_ahead(members, watch)
            if not ahead:
                self._behind_since.pop(table, None)
                self._cancelled.discard(table)
                continue
            since = self._behind_since.setdefault(table, now)
            polling = watch.is_polling()
            behind = now - since - (batching if polling else 0.0)
            fetch_delay = (
                POLLER_FETCH_DELAY_SECONDS if polling else CATCH_UP_DELAY_SECONDS
            )
            if behind >= fetch_delay and not self._fetching:
                self._fetching = True
                gevent.spawn(self._fetch, self._random.choice(ahead), watch)
            elif behind >= CATCH_UP_DELAY_SECONDS and table not in self._cancelled:
                self._cancelled.add(table)
                watch.cancel_poll()

        if self._configuration is not None:
            self._configuration.check_start(now)

    def _members_ahead(self, members: list[Member], watch: TableWatch) -> list[Member]:
        """Return the members with the newest version, if it is newer than the watch's.

        If none has one, return those with the newest configuration, in the same way.
        """
        versions = [
            (member.versions or {}).get(watch.table, NO_VERSION) for member in members
        ]
        newest = max(versions, default=NO_VERSION)
        # A copy that was read after a removal has no row with its version.
        if newest > watch.version:
            pairs = zip(members, versions, strict=True)
            return [member for member, version in pairs if version == newest]
        cfg = self._configuration
        if cfg is None or cfg.table != watch.table:
            return []
        newest = max((member.configuration for member in members), default=0)
        if newest <= cfg.version:
            return []
        return [member for member in members if member.configuration == newest]

    def _fetch(self, member: Member, watch: TableWatch) -> None:
        """Fetch a peer's copy of a table, and replace this node's if it is newer."""
        try:
            with gevent.Timeout(
                COPY_TIMEOUT_SECONDS, TimeoutError("copy not received in time")
            ):
                sock = socket.create_connection(member.address, COPY_TIMEOUT_SECONDS)
                try:
                    sock.sendall(packb(watch.table))
                    copy = decode_copy(_read_message(sock))
                finally:
                    sock.close()
            watch.note_peer_failure(copy.failed_seconds)
            cfg = self._configuration
            if cfg is not None and copy.configuration_value is not None:
                cfg.adopt(copy.configuration_value, member.node_id, None)
                cfg.check_start(self._state.timers.now())
            replaced = watch.replace_with_copy(copy.rows, copy.version, copy.changed)
            log.info(
                "copy fetched",
                extra={
                    "peer": member.node_id,
                    "table": watch.table,
                    "version": copy.changed,
                    "taken": replaced,
                },
            )
        except (OSError, ValueError, ProtocolError) as exc:
            log.warning(
                "copy not fetched",
                extra={"peer": member.node_id, "table": watch.table, "error": str(exc)},
            )
        finally:
            self._fetching = False
            # A copy that was of no use is fetched again only after the delay.
            self._behind_since.pop(watch.table, None)

    def _serve_copy(self, sock, address) -> None:
        try:
            with gevent.Timeout(
                COPY_TIMEOUT_SECONDS, TimeoutError("copy not sent in time")
            ):
                table = _read_message(sock)
                watch = self._watches.get(table) if type(table) is str else None
                if watch is None:
                    log.warning(
                        "copy of unknown table requested", extra={"peer": address[0]}
                    )
                    return
                copy = TableCopy(
                    watch.version,
                    watch.changed_version,
                    watch.failed_seconds(),
                    watch.rows,
                    self._configuration_value(table),
                )
                sock.sendall(encode_copy(copy))
        except (OSError, ValueError) as exc:
            log.warning("copy not sent", extra={"peer": address[0], "error": str(exc)})
        finally:
            sock.close()

    def _configuration_value(self, table: str) -> bytes | None:
        cfg = self._configuration
        return cfg.value if cfg is not None and cfg.table == table else None


def _read_message(sock):
    """Return the first msgpack message that arrives on a socket.

    Raises ValueError if the stream ends before it, or if it is malformed or too large.
    """
    try:
        return _read_first(sock)
    except BufferFull:
        raise ValueError("message is too large")


def _read_first(sock):
    unpacker = Unpacker(max_buffer_size=MAX_COPY_BYTES, strict_map_key=False)
    while True:
        for message in unpacker:
            return message
        data = sock.recv(65_536)
        if not data:
            raise ValueError("stream ended inside a message")
        unpacker.feed(data)
        # Without this, a peer that sends faster than this node reads would keep all
        # other tasks, and the time limit of the copy, from running.
        let_others_run()
