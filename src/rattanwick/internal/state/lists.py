"""Versions of the lists: adoption, changes, history and confirmation."""

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
from rattanwick.internal.base.ids import new_token
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
NEWS_KEY = "current"
FETCH_MESSAGE = "lists.fetch"
FETCH_TIMEOUT_SECONDS = 2.0
PEERS_ASKED_ON_NEWS = 4
WRITE_ATTEMPTS = 4
RETRY_SECONDS = 0.5
CONFIRM_POLL_SECONDS = 0.1
# Heartbeats bring the version of linked nodes within a second; the others are
# probed only every 15 heartbeats, too late for the time limit of a change.
REFRESH_SECONDS = 1.0
REFRESH_TIMEOUT_SECONDS = 1.0
MAX_HISTORY = 100

log = get_logger("lists")


class ListStore:
    """Hold the lists in force at this node and change them through the table."""

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
        self._news = gossip
        self._members = members
        self._instances = instances
        self._timers = timers
        self._settings = settings
        self._confirmed_versions = confirmed_versions
        self._refresh_versions = refresh_versions  # asks nodes without a heartbeat
        self._current = EMPTY_VERSION
        self._callbacks: list[Callable[[ListsVersion], None]] = []
        self.adopted_at: float | None = None  # monotonic seconds
        self.checked_at: float | None = None  # last answer of the table, monotonic

    def start(self) -> None:
        """Answer peers, follow news and poll the table."""
        self._network.handle(FETCH_MESSAGE, self._answer_fetch)
        self._news.subscribe(LISTS_TOPIC, self._follow_news)
        self._timers.subscribe("lists poll", self._settings.poll_seconds, self.poll)

    def subscribe(self, callback: Callable[[ListsVersion], None]) -> None:
        """Call back after each adoption."""
        self._callbacks.append(callback)

    def current(self) -> ListsVersion:
        """Return the version in force here."""
        return self._current

    def adopt(self, candidate: ListsVersion) -> bool:
        """Put a higher version in force; tell whether it was higher."""
        if candidate.number <= self._current.number:
            self._report_fork(candidate)
            return False
        self._current = candidate
        self.adopted_at = self._timers.now()
        log.info("version %d by %s is in force", candidate.number, candidate.author)
        self._news.publish(
            LISTS_TOPIC, NEWS_KEY, candidate.number, {"digest": candidate.digest}
        )
        for callback in self._callbacks:
            callback(candidate)
        return True

    def _report_fork(self, candidate: ListsVersion) -> None:
        same = candidate.number == self._current.number
        if same and candidate.digest != self._current.digest:
            log.error("two different texts have version %d", candidate.number)

    def poll(self) -> None:
        """Adopt the table's version where it is higher."""
        try:
            self._adopt_from_table()
        except (StepError, SettingsError) as exc:
            log.warning("cannot read the table: %s", exc)

    def load_newest(self) -> bool:
        """Adopt the newest version within reach; tell whether a source answered.

        The table is asked first; when it is down, every listed peer.
        """
        try:
            self._adopt_from_table()
            return True
        except (StepError, SettingsError) as exc:
            log.warning("cannot read the table, asking all peers: %s", exc)
        own = self._members.self_node.id
        peers = [node.id for node in self._instances.nodes() if node.id != own]
        answers = Pool(16).map(self._fetch_from_peer, peers)
        return any(answers)

    def apply(
        self, plans_text: str, allowances_text: str, from_version: int, author: str
    ) -> ListsVersion:
        """Store and adopt the next version.

        Raises SettingsError for faults in the texts, Conflict with the version in
        force (``current``) for a stale edit, Unavailable when surely not stored and
        MaybeApplied when that cannot be told.
        """
        contents = parse_lists(plans_text, allowances_text)
        row = self._table.get(CURRENT_KEY)
        stored = row.values["version"] if row else 0
        if stored != from_version:
            raise self._stale(from_version)
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
        """Write both rows conditionally; read back after a lost answer."""
        token = new_token()
        expected = (
            Precondition.version(row.row_version) if row else Precondition.absent()
        )
        pointer = {"version": version.number, "digest": version.digest}
        values = self._version_values(version) | {"token": token}
        writes = [
            Write(CURRENT_KEY, pointer, expected),
            Write(version_key(version.number), values, Precondition.absent()),
        ]
        uncertain = False
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                self._timers.sleep(RETRY_SECONDS)
            try:
                self._table.transact(writes, token)
                return
            except Conflict:
                if self._is_stored(version.number, token):
                    return
                raise self._stale(version.from_version)
            except MaybeApplied:
                uncertain = True
                if self._is_stored(version.number, token):
                    return
            except Unavailable:
                if not uncertain:
                    raise
        reason = f"version {version.number} may be stored; check with 'lists show'"
        raise MaybeApplied("apply lists", "table", reason)

    def _is_stored(self, number: int, token: str) -> bool:
        try:
            row = self._table.get(version_key(number))
        except StepError:
            return False
        return row is not None and row.values.get("token") == token

    def _stale(self, from_version: int) -> Conflict:
        try:
            self._adopt_from_table()
        except (StepError, SettingsError) as exc:
            log.warning("cannot read the newest version: %s", exc)
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
        """Return the newest versions of the table, newest first."""
        row = self._table.get(CURRENT_KEY)
        newest = row.values["version"] if row else 0
        oldest = max(newest - min(limit, MAX_HISTORY), 0)
        versions = [self.read_version(number) for number in range(newest, oldest, -1)]
        return [version for version in versions if version is not None]

    def read_version(self, number: int) -> ListsVersion | None:
        """Return a stored version."""
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

    def _follow_news(self, key: str, version: int, body: dict) -> None:
        if version > self._current.number:
            # A task of its own: the caller may be the task that reads from a peer.
            self._timers.after(0, lambda: self._catch_up(version))

    def _catch_up(self, version: int) -> None:
        """Adopt at least a version from the table or from a few peers."""
        if version <= self._current.number:
            return
        self.poll()
        own = self._members.self_node.id
        peers = [node.id for node in self._members.live() if node.id != own]
        random.shuffle(peers)  # spreads the fetches of all nodes over the holders
        for peer in peers[:PEERS_ASKED_ON_NEWS]:
            if version <= self._current.number:
                return
            self._fetch_from_peer(peer)

    def _fetch_from_peer(self, peer: str) -> bool:
        """Adopt a peer's version where it is higher; tell whether it answered."""
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

    def _answer_fetch(self, peer: str, body: dict) -> dict:
        above = body.get("above", 0)
        if isinstance(above, int) and self._current.number > above:
            return self._current.to_message()
        return {"version": self._current.number}

    def unconfirmed_nodes(self, number: int) -> tuple[str, ...]:
        """Return the nodes that have not confirmed a version.

        A node that peers know counts as well, because the instance list lags: a
        node that has just started may serve before it is listed.
        """
        confirmed = dict(self._confirmed_versions())
        confirmed[self._members.self_node.id] = self._current.number
        known = {node.id for node in self._instances.nodes()}
        known |= {node.id for node in self._members.live()}
        return tuple(sorted(name for name in known if confirmed.get(name, 0) < number))

    def wait_for_confirmation(self, number: int) -> tuple[str, ...]:
        """Wait for all listed nodes; return those that have not confirmed."""
        started = self._timers.now()
        limit = started + self._settings.confirm_seconds
        refresh_at = started + REFRESH_SECONDS
        missing = self.unconfirmed_nodes(number)
        while missing and self._timers.now() < limit:
            if self._refresh_versions is not None and self._timers.now() >= refresh_at:
                self._refresh_versions(REFRESH_TIMEOUT_SECONDS, missing)
                refresh_at = self._timers.now() + REFRESH_SECONDS
            else:
                self._timers.sleep(CONFIRM_POLL_SECONDS)
            missing = self.unconfirmed_nodes(number)
        return missing
