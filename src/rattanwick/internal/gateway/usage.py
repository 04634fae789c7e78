"""Requests that began, by organisation and window of the wall clock."""

from collections import defaultdict

KEPT_WINDOWS = 4  # the newest; older ones have been reported

Counts = dict[int, dict[str, int]]  # window, organisation, requests


class UsageCounts:
    """Count the requests of this node and keep what peers tell of theirs."""

    def __init__(self, window: float):
        self._window = window  # seconds
        self._own: Counts = {}
        self._peers: dict[tuple[str, int], Counts] = {}

    def window_of(self, wall: float) -> int:
        """Return the number of the window that holds a Unix time."""
        return int(wall // self._window)

    def note_began(self, organisation: str, wall: float) -> None:
        """Count a request that began to run."""
        window = self.window_of(wall)
        counts = self._own.setdefault(window, defaultdict(int))
        counts[organisation] += 1
        self._trim(self._own)

    def own(self) -> Counts:
        """Return this node's counts of the newest windows."""
        return {window: dict(counts) for window, counts in self._own.items()}

    def update_from_peer(self, peer: tuple[str, int], counts: Counts) -> None:
        """Keep the counts that a peer's process has told."""
        kept = self._peers.setdefault(peer, {})
        kept.update(counts)
        self._trim(kept)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of all nodes in a window, by organisation."""
        totals: dict[str, int] = defaultdict(int)
        for counts in (self._own, *self._peers.values()):
            for organisation, count in counts.get(window, {}).items():
                if organisation:
                    totals[organisation] += count
        return dict(totals)

    def _trim(self, counts: Counts) -> None:
        while len(counts) > KEPT_WINDOWS:
            del counts[min(counts)]
