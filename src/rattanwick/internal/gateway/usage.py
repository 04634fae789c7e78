"""Counts of requests that began, by organisation and window of Unix time."""

from collections import defaultdict

MAX_KEPT_WINDOWS = 4  # older windows have been reported

Counts = dict[int, dict[str, int]]  # window, organisation, requests


class UsageCounts:
    """Counts of this node's requests, and those that peers have sent.

    Windows are numbered from the start of Unix time.
    """

    def __init__(self, window: float):
        self._window = window  # seconds
        self._own: Counts = {}
        self._peers: dict[tuple[str, int], Counts] = {}

    def window_of(self, wall_time: float) -> int:
        """Return the number of the window that holds a Unix time."""
        return int(wall_time // self._window)

    def note_began(self, organisation: str, wall_time: float) -> None:
        """Count a request that began to run at a Unix time."""
        window = self.window_of(wall_time)
        counts = self._own.setdefault(window, defaultdict(int))
        counts[organisation] += 1
        self._trim(self._own)

    def own(self) -> Counts:
        """Return this node's own counts of the newest windows."""
        return {window: dict(counts) for window, counts in self._own.items()}

    def update_from_peer(self, peer: tuple[str, int], counts: Counts) -> None:
        """Update a peer's counts; ``peer`` is its node id and process start."""
        kept = self._peers.setdefault(peer, {})
        for window, by_organisation in counts.items():
            kept.setdefault(window, {}).update(by_organisation)
        self._trim(kept)

    def total(self, window: int) -> dict[str, int]:
        """Return the number of requests at all nodes in a window, by organisation.

        Requests without an organisation are left out.
        """
        totals: dict[str, int] = defaultdict(int)
        for counts in (self._own, *self._peers.values()):
            for organisation, count in counts.get(window, {}).items():
                if organisation:
                    totals[organisation] += count
        return dict(totals)

    def _trim(self, counts: Counts) -> None:
        while len(counts) > MAX_KEPT_WINDOWS:
            del counts[min(counts)]
