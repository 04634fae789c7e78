"""Probes of nodes without a heartbeat link, to detect failure and recovery."""

import random
import time
from typing import TYPE_CHECKING

import gevent
from gevent.pool import Pool

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.peers.member_records import SUSPECT_STATE_OF, MemberState
from rattanwick.internal.peers.network import TcpPeerNetwork

if TYPE_CHECKING:
    from rattanwick.internal.peers.members import HeartbeatMembers

log = get_logger("peers")

LIVE_PROBE_HEARTBEATS = 15  # heartbeats between probes of live nodes
MAX_PARALLEL_PINGS = 16
LOST_PROBE_HEARTBEATS = 3  # heartbeats between probes of dead or unknown nodes


class Probes:
    """Periodic pings of one random node without a link.

    They detect the loss of a node whose linked peers failed at the same time, and
    the end of a partition.
    """

    def __init__(
        self, members: "HeartbeatMembers", network: TcpPeerNetwork, timeout: float
    ):
        self._members = members
        self._network = network
        self._timeout = timeout  # seconds
        self._random = random.Random(network.node.id)
        self._heartbeat_count = self._random.randrange(LIVE_PROBE_HEARTBEATS)

    def run(self) -> None:
        """Start the probes that are due with this heartbeat."""
        self._heartbeat_count += 1
        if self._heartbeat_count % LIVE_PROBE_HEARTBEATS == 0:
            self._start(self._live_ids(), self._probe_live)
        if self._heartbeat_count % LOST_PROBE_HEARTBEATS == 0:
            self._start(self._lost_ids(), self._probe_lost)

    def ping_all(self, node_ids: list[str], timeout: float) -> None:
        """Ping nodes, a limited number at once, for at most ``timeout`` seconds."""
        pool = Pool(MAX_PARALLEL_PINGS)
        deadline = time.monotonic() + timeout
        for node_id in node_ids:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            pool.spawn(self._ping, node_id, remaining)
        pool.join(max(deadline - time.monotonic(), 0.0))
        pool.kill(block=False)

    def _ping(self, node_id: str, timeout: float) -> None:
        try:
            self._members.ping(node_id, timeout)
        except StepError as exc:
            log.debug("ping of %s failed: %s", node_id, exc.reason)

    def _start(self, ids: list[str], probe) -> None:
        if ids:
            gevent.spawn(probe, self._random.choice(ids))

    def _live_ids(self) -> list[str]:
        return [
            node_id
            for node_id, record in self._members.records().items()
            if record.state in SUSPECT_STATE_OF
            and self._members.links.get(node_id) is None
        ]

    def _lost_ids(self) -> list[str]:
        """Return the ids of dead nodes and of listed nodes without a record."""
        records = self._members.records()
        lost = {
            node_id
            for node_id, record in records.items()
            if record.state is MemberState.DEAD
        }
        unheard = {node.id for node in self._members.listed()} - records.keys()
        return sorted((lost | unheard) - {self._network.node.id})

    def _probe_live(self, node_id: str) -> None:
        for _ in range(2):
            try:
                self._members.ping(node_id, self._timeout)
                return
            except StepError as exc:
                log.debug("probe of %s failed: %s", node_id, exc.reason)
        self._members.suspect(node_id)

    def _probe_lost(self, node_id: str) -> None:
        try:
            self._members.ping(node_id, self._timeout)
            log.info("node %s answers probes again", node_id)
        except StepError as exc:
            log.debug("probe of %s failed: %s", node_id, exc.reason)
