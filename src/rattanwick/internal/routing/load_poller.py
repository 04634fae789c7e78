"""Polling of the load reports of endpoints whose cells this node owns."""

import json
from collections.abc import Callable

from gevent.pool import Pool
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Endpoint
from rattanwick.internal.peers.interfaces import Members, Ownership
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.routing.cells import Cell, group_cells

log = get_logger("load")

READ_INTERVAL_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 0.8
MAX_PARALLEL_READS = 16

READS = counter("load_reads", "Load reports read from endpoints", ("result",))

# (endpoint id, running, queued, age in seconds)
ReportCallback = Callable[[str, int, int, float], None]


class LoadPoller:
    """Read the load reports of endpoints once a second.

    Only the owner of a cell reads the reports of the cell's endpoints.
    """

    def __init__(
        self,
        instances: InstanceList,
        members: Members,
        ownership: Ownership,
        timers: TimerService,
        max_cell_endpoints: int,
        report: ReportCallback,
    ):
        self._instances = instances
        self._members = members
        self._ownership = ownership
        self._timers = timers
        self._max_cell_endpoints = max_cell_endpoints
        self._report = report
        self._cells: list[Cell] | None = None
        self._clients: dict[str, HTTPClient] = {}
        self._reading = False
        instances.subscribe(self._forget_cells)
        timers.subscribe("load", READ_INTERVAL_SECONDS, self.read_all)

    def owned_endpoints(self) -> list[Endpoint]:
        """Return the endpoints of the cells that this node owns."""
        own = self._members.self_node.id
        owned = []
        if self._cells is None:
            listed = self._instances.endpoints()
            self._cells = group_cells(listed, self._max_cell_endpoints)
        for cell in self._cells:
            owner = self._ownership.owner(cell.key)
            if owner is not None and owner.id == own:
                owned += cell.endpoints
        return owned

    def _forget_cells(self) -> None:
        self._cells = None

    def read_all(self) -> None:
        """Read the reports of all owned endpoints, several at a time."""
        if self._reading:
            return
        self._reading = True
        try:
            endpoints = self.owned_endpoints()
            self._close_unused({endpoint.id for endpoint in endpoints})
            Pool(MAX_PARALLEL_READS).map(self._read, endpoints)
        finally:
            self._reading = False

    def _read(self, endpoint: Endpoint) -> None:
        client = self._clients.get(endpoint.id)
        if client is None:
            client = HTTPClient(
                endpoint.host,
                endpoint.port,
                connection_timeout=READ_TIMEOUT_SECONDS,
                network_timeout=READ_TIMEOUT_SECONDS,
                concurrency=1,
            )
            self._clients[endpoint.id] = client
        try:
            response = client.get("/load")
            data = response.read()
            if response.status_code != 200:
                raise ValueError(f"status {response.status_code}")
            report = json.loads(data)
            age = max(0.0, self._timers.wall_time() - float(report["time"]))
            running, queued = int(report["running"]), int(report["queued"])
            self._report(endpoint.id, running, queued, age)
        except (OSError, ValueError, KeyError, TypeError, HTTPParseError) as exc:
            READS.labels("failed").inc()
            log.debug("endpoint %s gave no valid load report: %s", endpoint.id, exc)
            return
        READS.labels("read").inc()

    def _close_unused(self, used_ids: set[str]) -> None:
        for endpoint_id in set(self._clients) - used_ids:
            self._clients.pop(endpoint_id).close()
