"""Store of the two lists, plans and allowances.

Adopts versions from the table or from peers, applies changes, and waits until all
nodes have confirmed a version.
"""

import random
from collections.abc import Callable, Collection

from gevent.pool import Pool

from rattanwick.internal.base.errors import (
    Conflict,
    MaybeApplied,
    ProtocolError,
    StepError,
    Unavailable,
)
from rattanwick.internal.base.ids import new_write_token
from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import ListSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.peers.interfaces import Gossip, Members, PeerNetwork
from rattanwick.internal.platform.interfaces import (
    InstanceList,
    ObjectStore,
    Precondition,
    Row,
    Table,
    Write,
)
from rattanwick.internal.state.list_format import parse_lists
from rattanwick.internal.state.list_versions import (
    CURRENT_KEY,
    EMPTY_VERSION,
    MAX_ROW_BYTES,
    ListsVersion,
    version_from_message,
    version_key,
)

LISTS_TOPIC = "lists"
GOSSIP_KEY = "current"
FETCH_MESSAGE = "lists.fetch"
FETCH_TIMEOUT_SECONDS = 2.0
MAX_PEERS_PER_FETCH = 4
MAX_WRITE_ATTEMPTS = 4
WRITE_RETRY_INTERVAL_SECONDS = 0.5
CONFIRMATION_POLL_INTERVAL_SECONDS = 0.1
# Nodes with a link report their version in heartbeats, within a second. Nodes without
# one are probed only every 15 heartbeats, too late to confirm a change in time.
REFRESH_INTERVAL_SECONDS = 1.0
REFRESH_TIMEOUT_SECONDS = 1.0
MAX_HISTORY = 100

log = get_logger("lists")


class ListStore:
    """The lists in force at this node, which are changed through the table."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore | None,
        network: PeerNetwork,
        gossip: Gossip,
        members: Members,
        instances: InstanceList,
        timers: TimerService,
        settings: ListSettings,
        confirmed_versions: Callable[[], dict[str, int]] = dict,
        refresh_versions: Callable[[float, Collection[str]], None] | None = None,
    ):
        self._table = table
        self._objects = objects
        self._network = network
        self._gossip = gossip
        self._members = members
        self._instances = instances
        self._timers = timers
        self._settings = settings
        self._confirmed_versions = confirmed_versions
        self._refresh_versions = refresh_versions  # probes nodes without a link
        self._current = EMPTY_VERSION
        self._callbacks: list[Callable[[ListsVersion], None]] = []
        self.adopted_at: float | None = None  # monotonic seconds
        self.checked_at: float | None = None  # last table read, monotonic seconds

    def start(self) -> None:
        """Start answering peers, receiving gossip and polling the table."""
        self._network.handle(FETCH_MESSAGE, self._handle_fetch)
        self._gossip.subscribe(LISTS_TOPIC, self._handle_gossip)
        self._timers.subscribe("lists poll", self._settings.poll_seconds, self.poll)

    def subscribe(self, callback: Callable[[ListsVersion], None]) -> None:
        """Call ``callback`` with each version that is adopted."""
        self._callbacks.append(callback)

    def current(self) -> ListsVersion:
        """Return the version in force at this node."""
        return self._current

    def adopt(self, candidate: ListsVersion) -> bool:
        """Adopt a version if its number is higher; return False otherwise."""
        if candidate.number <= self._current.number:
            self._report_conflicting_version(candidate)
            return False
        self._current = candidate
        self.adopted_at = self._timers.now()
        log.info(
            "adopted version %d of the lists, applied by %s",
            candidate.number,
            candidate.author,
        )
        self._gossip.publish(
            LISTS_TOPIC, GOSSIP_KEY, candidate.number, {"digest": candidate.digest}
        )
        for callback in self._callbacks:
            callback(candidate)
        return True

    def _report_conflicting_version(self, candidate: ListsVersion) -> None:
        same = candidate.number == self._current.number
        if same and candidate.digest != self._current.digest:
            log.error(
                "received other lists than those in force with the same version %d",
                candidate.number,
            )

    def poll(self) -> None:
        """Adopt the version in the table if it is higher."""
        try:
            self._adopt_from_table()
        except (StepError, SettingsError) as exc:
            log.warning("cannot read the lists from the table: %s", exc)

    def load_newest(self) -> bool:
        """Adopt the newest version; return whether the table or a peer answered.

        If the table fails, asks all nodes of the instance list.
        """
        try:
            self._adopt_from_table()
            return True
        except (StepError, SettingsError) as exc:
            log.warning(
                "cannot read the lists from the table; asking all peers: %s", exc
            )
        own = self._members.self_node.id
        peers = [node.id for node in self._instances.nodes() if node.id != own]
        answers = Pool(16).map(self._fetch_from_peer, peers)
        return any(answers)

    def apply(
        self, plans_text: str, allowances_text: str, from_version: int, author: str
    ) -> ListsVersion:
        """Store and adopt the next version.

        Raises SettingsError for problems in the texts, Conflict with the version in
        force (``current``) if the edit is not based on the newest version,
        Unavailable if the version was not stored, and MaybeApplied if it is unknown
        whether it was stored.
        """
        contents = parse_lists(plans_text, allowances_text)
        row = self._table.get(CURRENT_KEY)
        stored = row.values["version"] if row else 0
        if stored != from_version:
            raise self._stale_edit(from_version)
        version = ListsVersion(
            number=from_version + 1,
            plans_text=plans_text,
            allowances_text=allowances_text,
            author=author,
            time=self._timers.wall_time(),
            from_version=from_version,
            contents=contents,
        )
        self._store(version, row)
        self.adopt(version)
        return version

    def _store(self, version: ListsVersion, row: Row | None) -> None:
        """Write both rows conditionally; read them back after a lost response."""
        token = new_write_token()
        expected = (
            Precondition.version(row.row_version) if row else Precondition.absent()
        )
        pointer = {"version": version.number, "digest": version.digest}
        values = self._version_values(version) | {"token": token}
        writes = [
            Write(CURRENT_KEY, pointer, expected),
            Write(version_key(version.number), values, Precondition.absent()),
        ]
        maybe_applied = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                self._timers.sleep(WRITE_RETRY_INTERVAL_SECONDS)
            try:
                self._table.transact(writes, token)
                return
            except Conflict:
                if self._is_stored(version.number, token):
                    return
                raise self._stale_edit(version.from_version)
            except MaybeApplied:
                maybe_applied = True
                if self._is_stored(version.number, token):
                    return
            except Unavailable:
                if not maybe_applied:
                    raise
        reason = f"version {version.number} may be stored; check with 'lists show'"
        raise MaybeApplied("apply lists", "table", reason)

    def _is_stored(self, number: int, token: str) -> bool:
        try:
            row = self._table.get(version_key(number))
        except StepError:
            return False
        return row is not None and row.values.get("token") == token

    def _stale_edit(self, from_version: int) -> Conflict:
        try:
            self._adopt_from_table()
        except (StepError, SettingsError) as exc:
            log.warning("cannot read the newest lists after a stale edit: %s", exc)
        reason = f"the edit is based on version {from_version}"
        return Conflict("apply lists", "table", reason, self._current)

    def _version_values(self, version: ListsVersion) -> dict:
        values = version.to_message()
        size = len(version.plans_text) + len(version.allowances_text)
        if self._objects is None or size <= MAX_ROW_BYTES:
            return values
        name = f"lists/{version.number:08d}-{version.digest[:16]}"
        for part in ("plans", "allowances"):
            self._objects.put(f"{name}/{part}", values.pop(part).encode())
        return values | {"object": name}

    def history(self, limit: int = 20) -> list[ListsVersion]:
        """Return the newest stored versions, newest first; at most MAX_HISTORY."""
        row = self._table.get(CURRENT_KEY)
        newest = row.values["version"] if row else 0
        oldest = max(newest - min(limit, MAX_HISTORY), 0)
        versions = [self.read_version(number) for number in range(newest, oldest, -1)]
        return [version for version in versions if version is not None]

    def read_version(self, number: int) -> ListsVersion | None:
        """Return a version from the table, or None if there is none.

        Raises StepError if the table or object store fails, SettingsError or
        ProtocolError if the stored texts are invalid.
        """
        if number == self._current.number:
            return self._current
        row = self._table.get(version_key(number))
        if row is None:
            return None
        values = dict(row.values)
        if "object" in values:
            for part in ("plans", "allowances"):
                data = self._objects.get(f"{values['object']}/{part}")
                values[part] = (data or b"").decode()
        return version_from_message(values, "table")

    def _adopt_from_table(self) -> None:
        row = self._table.get(CURRENT_KEY)
        self.checked_at = self._timers.now()
        if row is None or row.values["version"] <= self._current.number:
            return
        version = self.read_version(row.values["version"])
        if version is None:
            number = row.values["version"]
            raise ProtocolError("read lists", "table", f"version {number} is missing")
        self.adopt(version)

    def _handle_gossip(self, key: str, version: int, body: dict) -> None:
        if version > self._current.number:
            # In a separate task, because the calling task may be the one that reads
            # from a peer.
            self._timers.after(0, lambda: self._catch_up(version))

    def _catch_up(self, version: int) -> None:
        """Adopt this version or a later one, from the table or from a few peers."""
        if version <= self._current.number:
            return
        self.poll()
        own = self._members.self_node.id
        peers = [node.id for node in self._members.live() if node.id != own]
        random.shuffle(peers)  # spreads the fetches of all nodes over their peers
        for peer in peers[:MAX_PEERS_PER_FETCH]:
            if version <= self._current.number:
                return
            self._fetch_from_peer(peer)

    def _fetch_from_peer(self, peer: str) -> bool:
        """Adopt a peer's version if it is higher; return False if the fetch failed."""
        request = {"above": self._current.number}
        try:
            reply = self._network.call(
                peer, FETCH_MESSAGE, request, FETCH_TIMEOUT_SECONDS
            )
            if "plans" in reply:
                self.adopt(version_from_message(reply, peer))
            return True
        except (StepError, SettingsError) as exc:
            log.warning("cannot fetch the lists from %s: %s", peer, exc)
            return False

    def _handle_fetch(self, peer: str, body: dict) -> dict:
        above = body.get("above", 0)
        if isinstance(above, int) and self._current.number > above:
            return self._current.to_message()
        return {"version": self._current.number}

    def unconfirmed_nodes(self, number: int) -> tuple[str, ...]:
        """Return the ids of nodes that have not confirmed a version.

        Live members count as well as listed nodes: the instance list lags, and a
        node that has just started may serve before it is listed.
        """
        confirmed = dict(self._confirmed_versions())
        confirmed[self._members.self_node.id] = self._current.number
        known = {node.id for node in self._instances.nodes()}
        known |= {node.id for node in self._members.live()}
        return tuple(sorted(name for name in known if confirmed.get(name, 0) < number))

    def wait_for_confirmation(self, number: int) -> tuple[str, ...]:
        """Wait until all nodes have confirmed a version, up to ``confirm_seconds``.

        Returns the ids of nodes that have not confirmed it.
        """
        started = self._timers.now()
        deadline = started + self._settings.confirm_seconds
        refresh_at = started + REFRESH_INTERVAL_SECONDS
        missing = self.unconfirmed_nodes(number)
        while missing and self._timers.now() < deadline:
            if self._refresh_versions is not None and self._timers.now() >= refresh_at:
                self._refresh_versions(REFRESH_TIMEOUT_SECONDS, missing)
                refresh_at = self._timers.now() + REFRESH_INTERVAL_SECONDS
            else:
                self._timers.sleep(CONFIRMATION_POLL_INTERVAL_SECONDS)
            missing = self.unconfirmed_nodes(number)
        return missing
