"""Node process: builds its components, starts them in order and drains them."""

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from rattanwick.internal.adapters import ClaimsAdapter, DirectoryAdapter, GrantsAdapter
from rattanwick.internal.base.errors import Refused, StepError
from rattanwick.internal.base.garbage_collection import tune_garbage_collector
from rattanwick.internal.base.ids import new_incarnation
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.settings import Settings
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.base.tracing import Tracer
from rattanwick.internal.model.instances import Node
from rattanwick.internal.model.request_records import RequestOutput, RequestRegistry
from rattanwick.internal.model.requests import ServingRequest
from rattanwick.internal.operators.application import (
    build_operator_application,
    lists_status,
)
from rattanwick.internal.operators.node_status import endpoints_status, members_status
from rattanwick.internal.peers.components import (
    PeerComponents,
    build_peers,
    read_secret,
)
from rattanwick.internal.peers.drain import DrainCallbacks, NodeDrain
from rattanwick.internal.peers.reclaim_notices import ReclaimNoticeWatcher
from rattanwick.internal.platform.ec2 import Ec2CloudApi
from rattanwick.internal.platform.instance_list import CloudMapInstanceList
from rattanwick.internal.platform.object_store import S3ObjectStore
from rattanwick.internal.platform.table import DynamoTable
from rattanwick.internal.recording.recorder import ObjectStoreRecorder
from rattanwick.internal.requests.app import CallerApplication, build_application
from rattanwick.internal.requests.dependencies import RequestDependencies
from rattanwick.internal.requests.server import CallerServer
from rattanwick.internal.routing.load_poller import LoadPoller
from rattanwick.internal.routing.router import CellRouter
from rattanwick.internal.state.api_keys import CallerDirectory, OperatorKeys
from rattanwick.internal.state.claims import Claims
from rattanwick.internal.state.grants import Grants
from rattanwick.internal.state.leases import Leases
from rattanwick.internal.state.lists import ListStore
from rattanwick.internal.state.order_client import HttpOrderClient
from rattanwick.internal.state.order_service import OrderService

log = get_logger("node")

NOTICE_POLL_INTERVAL_SECONDS = 1.0  # between reads of this instance's reclaim notice
LIST_LOAD_RETRY_INTERVAL_SECONDS = 0.5
RECORDER_FLUSH_TIMEOUT_SECONDS = 2.0  # to store the last recordings
JOIN_TIMEOUT_SECONDS = 3.0  # to read the instance list and reach a first peer


class NodeRuntime:
    """One node of the deployment, from its settings to the end of its drain."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.timers = GeventTimerService()
        self.incarnation = new_incarnation()
        self.node = self._describe_node()
        self.ready = False
        self._stop = Event()
        tracing = settings.tracing
        self.tracer = Tracer(self.node.id, tracing.otlp_url, tracing.sample_ratio)
        self._build_platform()
        self.recorder = ObjectStoreRecorder(
            self.object_store, self.node, self.timers, settings.recording
        )
        self._build_peers()
        self._build_state()
        self._build_routing()
        self._build_requests()
        self._build_drain()
        self._build_operators()

    def _describe_node(self) -> Node:
        cfg = self.settings
        return Node(
            id=cfg.node.id,
            data_centre=cfg.node.data_centre,
            region=cfg.node.region,
            host=cfg.callers.address,
            caller_port=cfg.callers.port,
            peer_port=cfg.peers.port,
            operator_port=cfg.operators.port,
            instance_id=cfg.node.instance_id,
            incarnation=self.incarnation,
        )

    def _build_platform(self) -> None:
        cfg, timers, name = self.settings.platform, self.timers, self.node.id
        self.table = DynamoTable(cfg, timers, name)
        self.object_store = S3ObjectStore(cfg, timers, name)
        self.instances = CloudMapInstanceList(cfg, timers, name)
        self.cloud = Ec2CloudApi(cfg, timers, name)

    def _build_peers(self) -> None:
        self.request_registry = RequestRegistry(self.timers.now)
        self.peers: PeerComponents = build_peers(
            self.settings.peers,
            self.node,
            read_secret(self.settings.peers.secret_file),
            self.instances,
            self.timers,
            self.request_registry,
            list_version=lambda: self.lists.current().number,
            restart=self._restart,
            resume=self._resume,
        )

    def _build_state(self) -> None:
        cfg, peers, timers = self.settings, self.peers, self.timers
        holder = f"{self.node.id}.{self.incarnation}"
        self.lists = ListStore(
            self.table,
            self.object_store,
            peers.network,
            peers.gossip,
            peers.members,
            self.instances,
            timers,
            cfg.lists,
            peers.members.confirmed_versions,
            peers.members.refresh_versions,
        )
        self.grants = Grants(
            self.table,
            peers.network,
            peers.members,
            self.lists,
            timers,
            cfg.allowances,
        )
        self.claims = Claims(self.table, self.object_store, timers, cfg.claims, holder)
        self.leases = Leases(self.table, holder, recorder=self.recorder)
        self.order_service = OrderService(
            self.leases,
            HttpOrderClient(),
            lambda endpoint_id: self.application.endpoints.get(endpoint_id),
            timers,
            self.recorder,
        )

    def _build_routing(self) -> None:
        peers = self.peers
        self.router = CellRouter(
            self.settings.routing,
            peers.members,
            peers.ownership,
            peers.network,
            self.instances,
            peers.gossip,
            self.timers,
            self.recorder,
        )

        self.load_poller = LoadPoller(
            self.instances,
            peers.members,
            peers.ownership,
            self.timers,
            self.settings.routing.cell_endpoints,
            self.router.report_load,
        )
        self.notice_watcher = ReclaimNoticeWatcher(
            self.cloud,
            peers.members,
            peers.ownership,
            peers.gossip,
            self.instances,
            self.timers,
        )

    def _build_requests(self) -> None:
        cfg, peers = self.settings, self.peers
        self.dependencies = RequestDependencies(
            settings=cfg.callers,
            default_deadline_seconds=cfg.routing.default_deadline_seconds,
            directory=DirectoryAdapter(CallerDirectory(self.lists)),
            grants=GrantsAdapter(self.grants),
            claims=ClaimsAdapter(self.claims),
            router=self.router,
            instances=self.instances,
            members=peers.members,
            ownership=peers.ownership,
            peers=peers.network,
            gossip=peers.gossip,
            replicator=peers.replicator,
            timers=self.timers,
            tracer=self.tracer,
            requests=self.request_registry,
            fetcher=peers.fetcher,
            recorder=self.recorder,
        )
        self.application: CallerApplication = build_application(self.dependencies)
        self.server = CallerServer(cfg.callers, self.application, self.timers)

    def _build_operators(self) -> None:
        cfg = self.settings.operators
        app = build_operator_application(
            OperatorKeys(cfg.key_hashes),
            self.lists,
            self.object_store,
            self._status_providers(),
            self._not_ready_reason,
        )
        self.operator_server = WSGIServer((cfg.address, cfg.port), app, log=None)

    def _status_providers(self) -> dict:
        now = self.timers.now
        return {
            "node": self._node_status,
            "lists": lambda: lists_status(self.lists, now),
            "members": lambda: members_status(self.peers.members, now()),
            "endpoints": lambda: endpoints_status(
                self.instances, self.application.endpoints.is_leaving
            ),
            "grants": self.grants.status,
            "control": self.order_service.status,
            "recording": self.recorder.status,
        }

    def _node_status(self) -> dict:
        return {
            "id": self.node.id,
            "data_centre": self.node.data_centre,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "draining": self.drain.started,
            "requests_in_flight": len(self.request_registry.in_flight()),
        }

    def _not_ready_reason(self) -> str:
        """Return why /readyz answers 503, or an empty string when ready."""
        if self.drain.started:
            return "the node is draining"
        return "" if self.ready else "the node has not joined its peers yet"

    def _build_drain(self) -> None:
        peers = self.peers
        self.drain = NodeDrain(
            self.settings.drain,
            peers.network,
            peers.members,
            self.request_registry,
            peers.replicator,
            peers.handover,
            peers.replica_transfer,
            DrainCallbacks(
                withdraw=self._withdraw,
                release_leases=self.order_service.stop,
                return_grants=self.grants.return_all,
                pending_settlements=self.claims.pending_settlements,
                stop_generation=self._stop_generation,
                resume=self._resume,
                redirect_callers=self._redirect_callers,
            ),
            self.timers,
        )

    def run(self) -> None:
        """Start the node, serve until it is told to stop, then drain it."""
        self._start()
        self._stop.wait()
        self.ready = False
        self.drain.run()
        self.server.close_gracefully(self._drain_timeout())
        self._shut_down()
        log.info("stopped")

    def stop(self) -> None:
        """Begin a planned stop, without waiting for its end."""
        self._stop.set()

    def _start(self) -> None:
        """Join the peers, load the newest lists, then serve callers.

        The other nodes must know this node before it reads the lists. Otherwise they
        could accept a change of the lists without the confirmation of this node, after
        it read the former version and before its first request (specification
        ``lists``, variant "ready before the others know the node").
        """
        self.operator_server.start()
        self.instances.refresh()
        self.peers.network.handle("claims.settle", self._take_over_settlement)
        self.peers.start()
        self._wait_for_peers()
        self.lists.start()
        while not self.lists.load_newest() and not self._stop.is_set():
            self.timers.sleep(LIST_LOAD_RETRY_INTERVAL_SECONDS)
        self.grants.start()
        self.recorder.start()
        self.order_service.start()
        self.server.start()
        self._notice_timer = self.timers.subscribe(
            "own reclaim notice", NOTICE_POLL_INTERVAL_SECONDS, self._check_notice
        )
        tune_garbage_collector()
        self.ready = True
        log.info("ready with version %d of the lists", self.lists.current().number)

    def _wait_for_peers(self) -> None:
        """Wait for a first live peer, at most ``JOIN_TIMEOUT_SECONDS``.

        Return at once when a fresh instance list holds no other node.
        """
        deadline = self.timers.now() + JOIN_TIMEOUT_SECONDS
        while self.timers.now() < deadline and not self._stop.is_set():
            others = [
                node for node in self.instances.nodes() if node.id != self.node.id
            ]
            if not others and self.instances.age() < JOIN_TIMEOUT_SECONDS:
                return
            if len(self.peers.members.live()) > 1:
                return
            self.timers.sleep(self.settings.peers.heartbeat_seconds / 10)

    def _check_notice(self) -> None:
        """Start the drain when the cloud has announced the end of this instance."""
        try:
            notice = self.cloud.own_notice()
        except StepError as exc:
            log.warning("cannot read the reclaim notice of this instance: %s", exc)
            return
        if notice is not None:
            self._notice_timer.cancel()
            log.info(
                "this instance is reclaimed at Unix time %.1f; draining",
                notice.not_before,
            )
            self.claims.set_shutdown_time(notice.not_before)
            self.drain.handle_reclaim_notice(notice.not_before)
            self._stop.set()

    def _withdraw(self) -> None:
        """Refuse new requests and name another live node, if there is one."""
        self.ready = False
        live = [node for node in self.peers.members.live() if node.id != self.node.id]
        address = f"http://{live[0].host}:{live[0].caller_port}" if live else ""
        self.dependencies.drain.refuse_new(address)

    def _stop_generation(self, request_id: str) -> bool:
        """Stop a request for its handover; return False if it does not run here."""
        if self.application.live.get(request_id) is None:
            return False
        self.application.live.stop_for_handover(request_id)
        return True

    def _redirect_callers(self, request_id: str, address: str) -> None:
        self.application.live.redirect_callers(request_id, f"http://{address}")

    def _restart(self, req: ServingRequest) -> None:
        """Run a request of a lost node from the start."""
        output = RequestOutput()
        output.restarted = True
        self.application.take_over(req, output)

    def _resume(self, req: ServingRequest, output: RequestOutput) -> None:
        """Continue a request from the text that it has produced so far."""
        self.application.take_over(req, output)

    def _take_over_settlement(self, peer: str, body: dict) -> dict:
        if self.drain.started:
            # Two nodes of a reclaimed data centre may choose each other for a takeover.
            raise Refused("take over settlement", self.node.id, "the node is draining")
        self.claims.take_over_settlement(body, wait=False)
        return {}

    def _drain_timeout(self) -> float | None:
        """Return the limit in seconds, None for no limit (0 in the settings)."""
        return self.settings.drain.limit_seconds or None

    def _shut_down(self) -> None:
        with gevent.Timeout(RECORDER_FLUSH_TIMEOUT_SECONDS, False):
            self.recorder.flush()
        self.instances.stop()
        self.peers.stop()
        self.tracer.stop()
        self.timers.stop()
