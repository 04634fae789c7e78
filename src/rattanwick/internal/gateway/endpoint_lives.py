"""Endpoints that have left, and their entries that only a return of the store shows."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.gateway.interfaces import StoredRow, Version
from rattanwick.internal.gateway.model import Endpoint

log = get_logger("endpoints")

MAX_ENDED = 1000
# An endpoint writes its entry about every second, and the store removes an entry after
# three intervals of silence. An entry that is there for longer is written by a process.
OUTDATED_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class OutdatedEntry:
    """Entry of an endpoint that has left, in an older copy of the store."""

    endpoint: Endpoint
    version: Version
    until: float  # monotonic seconds


class EndpointLives:
    """Processes of endpoints that have left, by endpoint id.

    A process is ready, then leaving, then gone. When the store returns with older rows,
    its entry may be back as it was before.
    """

    def __init__(self):
        self._ended: OrderedDict[str, Endpoint] = OrderedDict()
        self._outdated: dict[str, OutdatedEntry] = {}

    def note_ended(self, endpoint: Endpoint) -> None:
        """Record that the entry of an endpoint was removed for good."""
        self._ended[endpoint.id] = endpoint
        self._ended.move_to_end(endpoint.id)
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def note_removed(self, endpoint_id: str) -> None:
        """Record that an entry is not in the store any more."""
        self._outdated.pop(endpoint_id, None)

    def admit(
        self, endpoint: Endpoint, row: StoredRow, returned: bool, now: float
    ) -> Endpoint | None:
        """Return the endpoint that an entry names; None if its process has left.

        ``returned`` states that the entry comes with a return of the store. An entry
        that is written later shows that the process runs.
        """
        ended = self._ended.get(row.key)
        if ended is None or not is_same_process(ended, endpoint):
            self._ended.pop(row.key, None)
            self._outdated.pop(row.key, None)
            return endpoint
        if returned:
            self._outdated[row.key] = OutdatedEntry(
                endpoint, row.version, now + OUTDATED_SECONDS
            )
            log.info("entry of a departed endpoint unused", extra={"endpoint": row.key})
            return None
        outdated = self._outdated.get(row.key)
        if outdated is not None and outdated.version == row.version:
            return None
        return self._end_doubt(row.key, endpoint)

    def pop_outlasting(self, now: float) -> list[Endpoint]:
        """Return endpoints whose entries a silent process would have lost by now."""
        outlasting = []
        for key, entry in list(self._outdated.items()):
            if now >= entry.until:
                outlasting.append(self._end_doubt(key, entry.endpoint))
        return outlasting

    def _end_doubt(self, key: str, endpoint: Endpoint) -> Endpoint:
        self._outdated.pop(key, None)
        ended = self._ended.pop(key)
        log.info("departed endpoint is back", extra={"endpoint": key})
        return keep_leaving(ended, endpoint)


def keep_leaving(known: Endpoint, new: Endpoint) -> Endpoint:
    """Return a process's new entry, as leaving if its known one was leaving."""
    if not known.leaving or new.leaving:
        return new
    log.info("entry is older, endpoint is leaving", extra={"endpoint": new.id})
    return replace(new, leaving=True)


def is_same_process(known: Endpoint, new: Endpoint) -> bool:
    """Return whether both entries were written by the same process."""
    return (known.address, known.service, known.born_ms) == (
        new.address,
        new.service,
        new.born_ms,
    )
