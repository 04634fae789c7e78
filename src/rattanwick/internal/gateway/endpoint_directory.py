"""Usable endpoints, from the entries that they keep in the store."""

from dataclasses import replace

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.gateway.endpoint_lives import (
    EndpointLives,
    is_same_process,
    keep_leaving,
)
from rattanwick.internal.gateway.endpoint_view import CACHE_SHARE, EndpointView
from rattanwick.internal.gateway.interfaces import (
    NO_VERSION,
    MessageCodec,
    StoredRow,
)
from rattanwick.internal.gateway.model import Configuration, Endpoint

log = get_logger("endpoints")

# An endpoint whose entry may have lapsed is kept for this time. An entry lapses if it
# expires because the endpoint cannot renew it while the store is unavailable. The
# endpoint writes it again about 2 s after the store is available again.
LAPSED_RETENTION_SECONDS = 1.8
# An entry removed within this time after a failed call to the store may have lapsed.
STORE_FAILURE_SECONDS = 3.0
# An endpoint that crashed starts again within this time, mostly under another id.
RETURN_SECONDS = 5.0
# Longest time between an answer that says so and the end of a leaving process.
LEAVING_RETENTION_SECONDS = 60.0

ProcessKey = tuple[str, int]  # id and start (``born_ms``) of an endpoint's process


class EndpointDirectory:
    """This node's views of the registered endpoints."""

    def __init__(self, codec: MessageCodec, timers: TimerService):
        self._codec = codec
        self._timers = timers
        self._views: dict[str, EndpointView] = {}
        self._cfg: Configuration | None = None
        self._lapsed: set[str] = set()
        self._lives = EndpointLives()
        self._era = 0  # of the last changes that were applied
        # Endpoints that crashed, and when, in monotonic seconds.
        self._crashed: dict[str, tuple[Endpoint, float]] = {}
        # Processes that said in an answer that they are leaving, and when this node
        # learned of it, in monotonic seconds. Their entries may still say otherwise.
        self._announced: dict[ProcessKey, float] = {}
        self.loaded = False  # whether the entries have been read
        self.version = NO_VERSION  # newest of an entry
        self.changed_at = 0.0  # monotonic seconds

    def use_configuration(self, cfg: Configuration) -> None:
        """Apply the cache sizes of engines that a configuration states."""
        self._cfg = cfg
        for view in self._views.values():
            view.cache_capacity_tokens = self._cache_capacity_tokens(view.endpoint)

    def of_service(self, service: str) -> list[EndpointView]:
        """Return the views of a service's endpoints, including leaving ones."""
        self._drop_lapsed()
        self._add_outlasting()
        return [v for v in self._views.values() if v.endpoint.service == service]

    def get(self, endpoint_id: str) -> EndpointView | None:
        """Return the view of an endpoint, or None if it is not registered."""
        return self._views.get(endpoint_id)

    def all(self) -> list[EndpointView]:
        """Return the views of all endpoints."""
        self._drop_lapsed()
        self._add_outlasting()
        return list(self._views.values())

    def note_leaving(self, endpoint_id: str, born_ms: int, source: str) -> bool:
        """Record that a process has announced its end; return False if it is known.

        ``source`` names who said so. A later process under the same id isn't leaving.
        """
        now = self._timers.now()
        limit = now - LEAVING_RETENTION_SECONDS
        for key in [key for key, at in self._announced.items() if at < limit]:
            del self._announced[key]
        if (endpoint_id, born_ms) in self._announced:
            return False
        view = self._views.get(endpoint_id)
        if view is not None and view.endpoint.born_ms == born_ms:
            if view.endpoint.leaving:
                return False
            view.endpoint = replace(view.endpoint, leaving=True)
        self._announced[endpoint_id, born_ms] = now
        log.info("leaving", extra={"endpoint": endpoint_id, "source": source})
        return True

    def announced_leaving(self) -> list[ProcessKey]:
        """Return the processes that have announced their end and have an entry."""
        return [
            (key, born_ms)
            for key, born_ms in self._announced
            if key in self._views and self._views[key].endpoint.born_ms == born_ms
        ]

    def note_crash(self, endpoint_id: str) -> None:
        """Record that an endpoint has crashed and is expected to start again."""
        view = self._views.get(endpoint_id)
        if view is not None and not view.endpoint.leaving:
            self._crashed[endpoint_id] = view.endpoint, self._timers.now()

    def returning(self, service: str) -> list[Endpoint]:
        """Return the endpoints that crashed a short time ago and have no entry now."""
        limit = self._timers.now() - RETURN_SECONDS
        for key in [key for key, (_, at) in self._crashed.items() if at < limit]:
            del self._crashed[key]
        return [
            endpoint
            for key, (endpoint, _) in self._crashed.items()
            if key not in self._views and endpoint.service == service
        ]

    def apply(
        self,
        rows: dict[str, StoredRow],
        changed: set[str],
        store_failed_seconds: float | None,
        era: int = 0,
    ) -> None:
        """Apply changed entries.

        ``rows`` are all rows of the table, ``changed`` the keys of the changed ones.
        ``store_failed_seconds`` is the time since a call to the store last failed, None
        if no call has failed. ``era`` is that of the store when it had these rows. The
        first ones of a later era are those that the store has returned with.
        """
        now = self._timers.now()
        self.loaded = True
        self.changed_at = now
        returned = 0 < self._era < era
        self._era = max(self._era, era)
        may_have_lapsed = returned or (
            store_failed_seconds is not None
            and store_failed_seconds < STORE_FAILURE_SECONDS
        )
        for key in sorted(changed):
            row = rows.get(key)
            try:
                if row is None:
                    self._remove(key, now, may_have_lapsed)
                else:
                    self._put(key, row, returned)
            except Exception:
                # Each change is reported only once, so the other entries must be
                # applied now.
                self._views.pop(key, None)
                log.exception("entry not applied", extra={"endpoint": key})

    def _put(self, key: str, row: StoredRow, returned: bool) -> None:
        self.version = max(self.version, row.version)
        try:
            endpoint = self._codec.decode_endpoint(key, row.value)
        except ValueError as exc:
            self._views.pop(key, None)
            log.warning("entry ignored", extra={"endpoint": key, "error": str(exc)})
            return
        endpoint = self._lives.admit(endpoint, row, returned, self._timers.now())
        if endpoint is None:
            return
        endpoint = self._as_announced(endpoint)
        view = self._views.get(key)
        if view is not None and is_same_process(view.endpoint, endpoint):
            endpoint = keep_leaving(view.endpoint, endpoint)
            view.endpoint = endpoint
            view.last_resort_until = None
            self._lapsed.discard(key)
        else:
            self._add(endpoint)
        log.info(
            "entry",
            extra={
                "endpoint": key,
                "service": endpoint.service,
                "data_centre": endpoint.data_centre,
                "leaving": endpoint.leaving,
                "reclaimable": endpoint.reclaimable,
                "row_version": row.version,
            },
        )

    def _add(self, endpoint: Endpoint) -> None:
        view = EndpointView(endpoint, self._cache_capacity_tokens(endpoint))
        self._views[endpoint.id] = view
        self._end_return(endpoint)

    def _add_outlasting(self) -> None:
        for endpoint in self._lives.pop_outlasting(self._timers.now()):
            self._add(self._as_announced(endpoint))

    def _as_announced(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry's endpoint, as leaving if its process has said so."""
        if (endpoint.id, endpoint.born_ms) not in self._announced:
            return endpoint
        return replace(endpoint, leaving=True)

    def _end_return(self, started: Endpoint) -> None:
        """Take a new endpoint for the first one that crashed in its place."""
        for key, (endpoint, _) in self._crashed.items():
            if key == started.id or (
                (endpoint.service, endpoint.data_centre, endpoint.reclaimable)
                == (started.service, started.data_centre, started.reclaimable)
            ):
                del self._crashed[key]
                return

    def _remove(self, key: str, now: float, may_have_lapsed: bool) -> None:
        self._lives.note_removed(key)
        view = self._views.get(key)
        if view is None:
            return
        keep = may_have_lapsed and not view.endpoint.leaving
        log.info("entry removed", extra={"endpoint": key, "may_have_lapsed": keep})
        if keep:
            view.last_resort_until = now + LAPSED_RETENTION_SECONDS
            self._lapsed.add(key)
        else:
            del self._views[key]
            self._lives.note_ended(view.endpoint)

    def _drop_lapsed(self) -> None:
        if not self._lapsed:
            return
        now = self._timers.now()
        for key in list(self._lapsed):
            view = self._views.get(key)
            if (
                view is not None
                and view.last_resort_until
                and view.last_resort_until < now
            ):
                del self._views[key]
                log.info("lapsed entry not renewed", extra={"endpoint": key})
            if key not in self._views:
                self._lapsed.discard(key)

    def _cache_capacity_tokens(self, endpoint: Endpoint) -> int:
        service = self._cfg.services.get(endpoint.service) if self._cfg else None
        if service is None or service.engine is None:
            return 0
        return int(CACHE_SHARE * service.engine.kv_tokens)
