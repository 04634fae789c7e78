"""Copies of the store's tables that nodes pass to each other."""

from collections.abc import Callable
from random import Random

import gevent
from gevent import socket
from gevent.server import StreamServer
from msgpack import Unpacker, packb

from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import StoredRow
from rattanwick.internal.gateway.members import Member
from rattanwick.internal.gateway.node_state import NodeState
from rattanwick.internal.gateway.peer_messages import (
    MAX_CHANGES_BYTES,
    encode_changes,
)
from rattanwick.internal.gateway.table_watch import (
    TableChanges,
    TableWatch,
    batching_seconds,
)
from rattanwick.internal.peers.packing import pack_compressed, unpack_compressed

log = get_logger("peers")

# Behind a peer's copy, beyond the time for which changes are gathered.
BEHIND_HURRY_SECONDS = 0.2  # before a waiting call is given up
BEHIND_FETCH_SECONDS = 0.6  # before the peer's copy is taken instead
COPY_SECONDS = 1.5  # time limit of fetching a copy
MAX_COPY_BYTES = 32 << 20


class TableCopies:
    """Pass changes of tables on to peers, and take a peer's copy where one is behind.

    ``send`` sends a datagram to members.
    """

    def __init__(
        self,
        state: NodeState,
        watches: list[TableWatch],
        send: Callable[[bytes, list[Member]], None],
    ):
        self._state = state
        self._watches = {watch.table: watch for watch in watches}
        self._send = send
        self._behind_since: dict[str, float] = {}
        self._hurried: set[str] = set()  # tables; once for each time behind
        self._fetching = False
        settings = state.settings
        self._random = Random(settings.node_id)
        self._server = StreamServer((settings.ip, settings.peer_port), self._serve_copy)
        for watch in watches:
            watch.forward_changes = self._pass_on

    def start(self) -> None:
        """Serve copies to peers."""
        self._server.start()

    def versions(self) -> dict[str, int]:
        """Return, by table, the version of the newest change that is known."""
        return {t: watch.changed_version for t, watch in self._watches.items()}

    def store_failing(self) -> bool:
        """Tell whether this node follows the store and is not served."""
        return any(watch.failing_since is not None for watch in self._watches.values())

    def _pass_on(self, changes: TableChanges) -> None:
        """Pass changes on to members that do not follow the store themselves."""
        members = self._state.change_recipients()
        if not members:
            return
        data = encode_changes(self._state.settings.node_id, changes)
        if len(data) <= MAX_CHANGES_BYTES:
            self._send(data, members)
        else:
            # They notice the newer version and fetch a copy.
            log.info("changes not passed on", extra={"bytes": len(data)})

    def take_changes(self, node_id: str, changes: TableChanges) -> None:
        """Take changes that a peer has read."""
        watch = self._watches.get(changes.table)
        if watch is None or not watch.apply_changes(changes):
            log.info(
                "changes not taken",
                extra={
                    "peer": node_id,
                    "table": changes.table,
                    "after": changes.after,
                    "version": changes.version,
                    "known": watch.changed_version if watch else None,
                },
            )

    def catch_up(self, now: float) -> None:
        """Renew copies of tables of which a live peer has a newer one."""
        gather = batching_seconds(self._state.members.count())
        live = self._state.members.live(now)
        for table, watch in self._watches.items():
            told = [((member.versions or {}).get(table, 0), member) for member in live]
            ahead = max((version for version, _ in told), default=0)
            if ahead <= watch.changed_version:
                self._behind_since.pop(table, None)
                self._hurried.discard(table)
                continue
            since = self._behind_since.setdefault(table, now)
            follows = watch.is_polling()
            behind = now - since - (gather if follows else 0.0)
            patience = BEHIND_FETCH_SECONDS if follows else BEHIND_HURRY_SECONDS
            if behind >= patience and not self._fetching:
                self._fetching = True
                newest = [member for version, member in told if version == ahead]
                gevent.spawn(self._fetch, self._random.choice(newest), watch)
            elif behind >= BEHIND_HURRY_SECONDS and table not in self._hurried:
                self._hurried.add(table)
                watch.cancel_poll()

    def _fetch(self, member: Member, watch: TableWatch) -> None:
        """Take a peer's copy of a table."""
        try:
            with gevent.Timeout(COPY_SECONDS, TimeoutError("no copy in time")):
                sock = socket.create_connection(member.address, COPY_SECONDS)
                try:
                    sock.sendall(packb(watch.table))
                    copy = unpack_compressed(_read_message(sock), "copy")
                finally:
                    sock.close()
            rows = {key: StoredRow(key, value, ver) for key, value, ver in copy["rows"]}
            watch.note_peer_failure(copy["failed_seconds"])
            changed = copy["changed"]
            taken = watch.replace_with_copy(rows, copy["version"], changed)
            log.info(
                "copy fetched",
                extra={
                    "peer": member.node_id,
                    "table": watch.table,
                    "version": changed,
                    "taken": taken,
                },
            )
        except (OSError, ValueError, KeyError, ProtocolError) as exc:
            log.warning(
                "copy not fetched",
                extra={"peer": member.node_id, "table": watch.table, "error": str(exc)},
            )
        finally:
            self._fetching = False

    def _serve_copy(self, sock, address) -> None:
        try:
            with gevent.Timeout(COPY_SECONDS, TimeoutError("request is late")):
                table = _read_message(sock)
                watch = self._watches.get(table)
                if watch is None:
                    log.warning("no such copy", extra={"peer": address[0]})
                    return
                rows = [
                    [row.key, row.value, row.version] for row in watch.rows.values()
                ]
                copy = {
                    "version": watch.version,
                    "changed": watch.changed_version,
                    "failed_seconds": watch.failed_seconds(),
                    "rows": rows,
                }
                sock.sendall(packb(pack_compressed(copy)))
        except (OSError, ValueError) as exc:
            log.warning("copy not sent", extra={"peer": address[0], "error": str(exc)})
        finally:
            sock.close()


def _read_message(sock):
    """Return one message from a stream."""
    unpacker = Unpacker(max_buffer_size=MAX_COPY_BYTES, strict_map_key=False)
    while True:
        for message in unpacker:
            return message
        data = sock.recv(65_536)
        if not data:
            raise ValueError("stream ended inside a message")
        unpacker.feed(data)
