"""A gateway node: its components, started in order and stopped gracefully."""

import signal

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from rattanwick import __version__
from rattanwick.internal.base.garbage_collection import tune_garbage_collector
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import gauge
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.gateway.autoscaler import Autoscaler
from rattanwick.internal.gateway.blocked_part_rows import BlockRows
from rattanwick.internal.gateway.caller_server import DEFAULT_LIMITS, CallerServer
from rattanwick.internal.gateway.connection_pool import connection_keys
from rattanwick.internal.gateway.interfaces import (
    Cloud,
    MessageCodec,
    RowStore,
    StoredRow,
)
from rattanwick.internal.gateway.leadership import Leadership
from rattanwick.internal.gateway.member_rows import MemberRows
from rattanwick.internal.gateway.model import CallerLimits
from rattanwick.internal.gateway.node_directory import NodeDirectory
from rattanwick.internal.gateway.node_state import make_node_state
from rattanwick.internal.gateway.operator_configuration import OperatorConfiguration
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.poll_schedule import PollSchedule
from rattanwick.internal.gateway.relay import Relay
from rattanwick.internal.gateway.settings import GatewaySettings
from rattanwick.internal.gateway.shutdown import GracefulShutdown
from rattanwick.internal.gateway.table_watch import TableWatch
from rattanwick.internal.gateway.usage_reports import UsageReports

log = get_logger("node")

live_members = gauge(
    "live_members", "Other nodes that have sent something recently and are not leaving"
)

LEADER_TASK_INTERVAL_SECONDS = 0.5
IDLE_CHECK_INTERVAL_SECONDS = 1.0


class GatewayNode:
    """A gateway node with all its components."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: RowStore,
        cloud: Cloud | None,
        codec: MessageCodec,
        timers: GeventTimerService,
    ):
        self.settings = settings
        self._timers = timers
        self.state = make_node_state(settings, timers, codec)
        configuration = OperatorConfiguration(self.state, codec)
        self._configuration_watch = TableWatch(
            store,
            configuration.table,
            timers,
            configuration.apply_rows,
            self.state.members.count_nodes,
            self.state.polls_store,
            PollSchedule(settings.bounds.apply, self.state.poll_slot),
        )
        self._endpoint_watch = TableWatch(
            store,
            codec.endpoint_table,
            timers,
            self._apply_endpoints,
            self.state.members.count_nodes,
            self.state.polls_store,
            PollSchedule(settings.bounds.apply, self.state.poll_slot),
        )
        self._block_rows = BlockRows(self.state, store)
        self.peers = PeerExchange(
            self.state,
            [self._configuration_watch, self._endpoint_watch],
            self._block_rows,
            configuration,
        )
        self.member_rows = MemberRows(self.state, store, self.peers.boot)
        self.entry = NodeDirectory(self.state)
        relay = Relay(self.state, codec)
        self._callers = CallerServer(
            settings.callers,
            codec,
            relay,
            self._caller_limits,
            self.state.stop,
            self.state.request_memory,
        )
        leadership = Leadership(self.state, store, self.peers.boot)
        self._leader_tasks = [leadership.step]
        if cloud is not None and settings.reports_usage:
            usage = UsageReports(self.state, store, cloud, leadership)
            self._leader_tasks.append(usage.step)
        if cloud is not None and settings.orders_endpoints:
            autoscaler = Autoscaler(
                self.state, cloud, leadership, self.peers.peer_prompt_tokens
            )
            self._leader_tasks.append(autoscaler.step)
        self._stopping = Event()
        self._web: list[WSGIServer] = []

    def run(self, web: list[tuple[tuple[str, int], object]]) -> None:
        """Serve callers until SIGTERM or SIGINT, then stop gracefully.

        ``web`` holds pairs of an address and the WSGI application to serve there.
        """
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        settings = self.settings
        log.info(
            "started",
            extra={
                "version": __version__,
                "data_centre": settings.data_centre,
                "first_start": settings.first_start,
            },
        )
        self._configuration_watch.start()
        self._endpoint_watch.start()
        self.peers.start()
        self._block_rows.start()
        gevent.spawn(self.member_rows.run)
        gevent.spawn(self._run_leader_tasks)
        self._timers.subscribe(
            "links.idle", IDLE_CHECK_INTERVAL_SECONDS, self._close_idle_connections
        )
        # Before the directory answers with this node's address. Starting a web server
        # lets other tasks run.
        self._callers.start()
        for address, application in web:
            server = WSGIServer(address, application, log=None, error_log=None)
            server.start()
            self._web.append(server)
        tune_garbage_collector()
        self._stopping.wait()
        self._drain()
        # The interpreter restores the default handlers at its end. A signal that is
        # ignored stays so, and cannot turn the status of a complete stop into an error.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _caller_limits(self) -> CallerLimits:
        cfg = self.state.configuration
        return cfg.limits if cfg else DEFAULT_LIMITS

    def _apply_endpoints(self, rows: dict[str, StoredRow], changed: set[str]) -> None:
        failed = self._endpoint_watch.failed_seconds()
        era = self._endpoint_watch.version.era
        self.state.endpoints.apply(rows, changed, failed, era)
        for key in changed:
            view = self.state.endpoints.get(key)
            if view is not None and view.endpoint.leaving:
                self.state.part_guard.note_planned_stop(key)

    def _run_leader_tasks(self) -> None:
        while not self._stopping.is_set():
            for step in self._leader_tasks:
                try:
                    step()
                except Exception:
                    log.exception("leader task failed")
            self._timers.sleep(LEADER_TASK_INTERVAL_SECONDS)

    def _close_idle_connections(self) -> None:
        endpoints = [view.endpoint for view in self.state.endpoints.all()]
        self.state.connections.close_stale(connection_keys(endpoints))
        live_members.set(len(self.state.members.live(self._timers.now())))

    def _log_reload(self) -> None:
        """Log that a reload has no effect: the addresses are fixed for a process."""
        log.info("reload requested", extra={"effect": "none until the next start"})

    def _drain(self) -> None:
        """Stop serving, and return when the process may end."""
        self.state.leaving = True
        shutdown = GracefulShutdown(
            self._callers, self.state.stop, self.settings.bounds.grace
        )
        shutdown.begin()
        self.peers.broadcast_state()
        gevent.spawn(self._deregister)
        shutdown.wait()

    def _deregister(self) -> None:
        """Release leadership and remove this node from the table of members."""
        # The first task is Leadership.step, which releases leadership on leaving.
        self._leader_tasks[0]()
        self.member_rows.remove_own()
