"""A node that forwards requests by route to upstreams that report to it."""

import gc
import logging
import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from radishtray_coordination import (
    RouteConfigurationDriver,
    RouteTableDecoder,
    WatchableStore,
)
from radishtray_node._application import new_incarnation
from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._decision_log import DecisionLog
from radishtray_node._fleet import ConfigurationSource, Fleet, Pull
from radishtray_node._forwarding import HeaderForwarding
from radishtray_node._gateway_settings import GatewaySettings
from radishtray_node._local_upstream import Announcement, LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._peer_link import PeerLink
from radishtray_node._route_entry import BlockedContents, RouteEntry
from radishtray_node._running_request import RunningRequests
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import Document, RouteTable, wire
from radishtray_state import (
    ArrivalBudget,
    Clock,
    CrashTally,
    KeyOwner,
    KeyRouter,
    Membership,
    ReportVerdict,
    SlotOwner,
    UpstreamReport,
    UpstreamReports,
    UpstreamSelector,
)
from radishtray_transport import (
    HttpLimits,
    HttpRequest,
    HttpServer,
    NodeConnection,
    NodeIdentity,
    NodeListener,
)

_LOG = logging.getLogger(__name__)
_SILENCE_INTERVAL_S = 0.25
_SECOND_S = 1.0
_DRAIN_POLL_S = 0.05
# A request must fit into one frame between nodes, of 4 MiB.
_MAX_BODY_BYTES = 3 * 1024 * 1024 + 512 * 1024
_REQUEST_TIME_S = 30.0
# Connections to the upstream that were idle for longer are not used again,
# unless the upstream states less.
_UPSTREAM_IDLE_S = 5.0
# Upstreams may work slower once 95 in 100 of their slots are busy.
_USED_SHARE = 0.94
# A node that sees only a part of the fleet after a cut keeps the earlier
# number for its part of the repeats.
_FLEET_SIZE_MEMORY_S = 60.0
# New containers, less those freed, before a collection of the youngest ones.
# Requests leave no cycles, so frequent collections find nothing; at about a
# kilobyte for each container this bounds what faults may leave to 20 MB.
_COLLECTOR_THRESHOLD = 20_000
_TEXT = ["Content-Type", "text/plain; version=0.0.4"]


class Gateway:
    """One node.

    Attributes:
        settings: Checked settings.
        identity: Name and incarnation of this process.
        clock: Time source.
        metrics: Counters of this node.
        entry: Handler of forwarded requests.
        upstream: The upstream beside this node.
        tally: Contents that have crashed upstreams.
    """

    __slots__ = (
        "_budget",
        "_decode",
        "_fleet",
        "_fleet_size_until_s",
        "_is_draining",
        "_listeners",
        "_loops",
        "_node_listener",
        "_node_server",
        "_reactor",
        "_report_handler",
        "_reports",
        "_rng",
        "_router",
        "_server",
        "_stop_deadline_s",
        "_stopped",
        "_store",
        "_timers",
        "clock",
        "entry",
        "identity",
        "metrics",
        "settings",
        "tally",
        "upstream",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: GatewaySettings,
        store: WatchableStore,
        decode: RouteTableDecoder,
        report_handler: Callable[["Gateway", HttpRequest], None],
    ) -> None:
        """Builds all parts; nothing is opened yet.

        Args:
            reactor: The Twisted reactor.
            clock: Time source; the reactor's timers must run by it.
            settings: Checked settings.
            store: The platform's objects.
            decode: Decodes the object with the routes.
            report_handler: Decodes requests of the upstream's reports and
                calls `report` or `report_leaving`.
        """
        self.settings = settings
        self.clock = clock
        self.identity = NodeIdentity(
            settings.node_id, new_incarnation(self.clock)
        )
        self.metrics = Metrics()
        self.tally = CrashTally(self.clock)
        self._reactor = reactor
        self._store = store
        self._decode = decode
        self._report_handler = report_handler
        self._reports = UpstreamReports()
        self._rng = random.Random()
        self._timers = TimerWheel(reactor)
        self._stopped: Deferred[None] = Deferred()
        self._is_draining = False
        self._stop_deadline_s = 0.0
        self._fleet: Fleet | None = None
        self._fleet_size_until_s = 0.0
        self._server, self.upstream = self._build_server()
        self._router = self._build_router()
        self._budget = ArrivalBudget(
            self.clock,
            settings.repeats.ratio,
            settings.repeats.slack,
            settings.repeats.window_s,
        )
        self.entry = RouteEntry(
            self._router,
            self._budget,
            BlockedContents(self.tally),
            self._server.chains,
            settings.headers,
            settings.service,
            self._rng,
            DecisionLog(self.clock),
        )
        self._node_server = NodeServer(
            self.clock, self._server, self.metrics, self._control_received
        )
        self._node_listener = NodeListener(
            reactor, self.identity, settings.cluster_keys, self._node_server
        )
        self._listeners = self._build_listeners()
        self._loops = [
            (LoopingCall(self._router.check_silence), _SILENCE_INTERVAL_S),
            (LoopingCall(self._every_second), _SECOND_S),
        ]

    def _build_server(self) -> tuple[UpstreamServer, LocalUpstream]:
        forwarding = HeaderForwarding(self.settings.headers, _UPSTREAM_IDLE_S)
        upstream = LocalUpstream(
            self._reactor,
            self.clock,
            self._rng,
            "adaptive",
            self.tally,
            self._upstream_changed,
            self._upstream_crashed,
            forwarding.answer_rules,
            _USED_SHARE,
        )
        server = UpstreamServer(
            self.clock,
            self._timers,
            upstream,
            # Requests of routes carry no keys, so this holds no records.
            KeyOwner[CallResult](
                self.settings.node_id, self.identity.incarnation, self.clock
            ),
            RunningRequests(),
            self.metrics,
            lambda: None,
            lambda _call: False,
            forwarding,
        )
        return server, upstream

    def _build_router(self) -> CallRouter:
        return CallRouter(
            self.settings.node_id,
            self.clock,
            self._rng,
            self._timers,
            UpstreamSelector(
                self.clock, self._rng, self.settings.failure_domain
            ),
            KeyRouter(self.clock, self._rng, lambda _owner: False),
            self.tally,
            self._server,
            self.metrics,
            UnknownOutcomes(self.clock),
            self._link_to,
        )

    def _build_listeners(self) -> list[tuple[HttpServer, str, int]]:
        addresses = self.settings.addresses

        def http(
            name: str, handler: Callable[[HttpRequest], None]
        ) -> HttpServer:
            return HttpServer(
                self._reactor,
                handler,
                HttpLimits(
                    body_bytes=_MAX_BODY_BYTES, request_s=_REQUEST_TIME_S
                ),
                lambda reason: self.metrics.rejected.labels(name, reason).inc(),
            )

        listeners = [
            (http("caller", self.entry.handle), *addresses.caller),
            (http("readiness", self._answer_readiness), *addresses.readiness),
            (http("reports", self._answer_report), *addresses.reports),
        ]
        if addresses.metrics_port:
            metrics = http("metrics", self._answer_metrics)
            listeners.append((metrics, addresses.host, addresses.metrics_port))
        return listeners

    def start(self) -> None:
        """Opens the listeners and joins the fleet.

        Raises:
            CannotListenError: If a port is taken.
        """
        addresses = self.settings.addresses
        self._node_listener.start(addresses.host, addresses.node_port)
        for server, host, port in self._listeners:
            server.start(host, port)
        for loop, interval_s in self._loops:
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
        self._fleet = Fleet(
            self._reactor,
            self.clock,
            self._rng,
            identity=self.identity,
            failure_domain=self.settings.failure_domain,
            node_address=f"{addresses.host}:{self._node_listener.port}",
            gossip_host=addresses.host,
            gossip_port=addresses.node_port,
            keys=self.settings.cluster_keys,
            seeds=self.settings.seeds,
            store=self._store,
            suspects=self.tally,
            events=self,
            configuration=self._configuration_source,
        )
        self._fleet.start()
        _LOG.info(
            "node started",
            extra={
                "service": self.settings.service,
                "incarnation": self.identity.incarnation,
            },
        )
        # What exists now lives as long as the process; later collections need
        # not visit it.
        gc.collect()
        gc.freeze()
        gc.set_threshold(_COLLECTOR_THRESHOLD)

    def _configuration_source(
        self, membership: Membership, send: Any, pull: Pull
    ) -> ConfigurationSource:
        return RouteConfigurationDriver(
            self._reactor,
            self._rng,
            store=self._store,
            object_name=self.settings.configuration_object,
            membership=membership,
            send=send,
            pull=pull,
            decode=self._decode,
            on_table=self._apply,
        )

    @property
    def fleet(self) -> Fleet:
        """This node among the others; only after `start`."""
        if self._fleet is None:
            raise RuntimeError("the node has not been started")
        return self._fleet

    @property
    def is_ready(self) -> bool:
        """Whether callers on this VM should send requests here."""
        return self.entry.version > 0 and not self._is_draining

    # Configuration.

    def _apply(self, table: RouteTable) -> None:
        self._router.generation = table.version
        self.entry.apply(table)
        limits = self._listeners[0][0].limits
        limits.head_bytes = table.limits.head_bytes
        limits.body_bytes = min(table.limits.body_bytes, _MAX_BODY_BYTES)
        limits.idle_s = table.limits.idle_s

    # Events of the fleet.

    def document_changed(self, document: Document, generation: int) -> None:
        """Does not occur: the configuration holds routes."""

    def service_changed(self, service: str) -> None:
        """Takes over the nodes that serve a service."""
        self._router.set_candidates(service, self.fleet.candidates(service))

    def node_gone(self, node_id: str) -> None:
        """Closes the link to a node that died, left or moved."""
        self._router.forget(node_id)

    def process_replaced(
        self, service: str, dead: SlotOwner, node_id: str
    ) -> None:
        """Needs nothing: no state belongs to a process."""

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame; False if the node has no address."""
        return self._router.send_control(node_id, frame)

    def _control_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        if frame.release_pull is not None:
            connection.send(self.fleet.release_pulled(frame.release_pull))

    def _control_replied(self, node_id: str, frame: wire.Frame) -> None:
        if frame.release_push is not None:
            self.fleet.release_received(node_id, frame.release_push)

    def _link_to(self, node_id: str) -> PeerLink | None:
        address = self.fleet.node_address(node_id)
        if address is None:
            return None
        return PeerLink(
            self._reactor,
            self._timers,
            address,
            self.identity,
            self.settings.cluster_keys,
            lambda frame: self._control_replied(node_id, frame),
            lambda _node_id, _incarnation: None,
            lambda reason: self.metrics.connections.labels(reason).inc(),
        )

    # The upstream.

    def report(self, report: UpstreamReport) -> ReportVerdict:
        """Takes a report of the upstream on this VM."""
        verdict = self._reports.take(report)
        if verdict is ReportVerdict.SERVING:
            self.upstream.announce(
                Announcement(
                    report.service,
                    report.host,
                    report.port,
                    report.slots,
                    report.cold_left_s,
                    report.instance,
                )
            )
        elif verdict is ReportVerdict.LEAVING:
            self.upstream.leave()
        return verdict

    def report_leaving(
        self, instance: str, started_ms: int | None
    ) -> ReportVerdict:
        """Takes the upstream's statement that it ends."""
        verdict = self._reports.take_leave(instance, started_ms)
        if verdict is ReportVerdict.LEAVING:
            self.upstream.leave()
        return verdict

    def _upstream_changed(self) -> None:
        announcement = self.upstream.announcement
        slots = announcement.slots if announcement else 0
        self.fleet.announce(
            self.settings.service, slots, announcement is not None
        )
        self.service_changed(self.settings.service)

    def _upstream_crashed(self) -> None:
        _LOG.warning("upstream crashed")
        self._server.upstream_crashed()

    # Listeners.

    def _answer_readiness(self, http: HttpRequest) -> None:
        http.respond(200 if self.is_ready else 503, [], b"")

    def _answer_report(self, http: HttpRequest) -> None:
        self._report_handler(self, http)

    def _answer_metrics(self, http: HttpRequest) -> None:
        http.respond(200, _TEXT, self.metrics.exposition())

    # Periodic work.

    def _every_second(self) -> None:
        self._node_server.tick()
        self.upstream.check_heartbeat()
        self._note_fleet_size()
        self._take_over_id()

    def _note_fleet_size(self) -> None:
        now_s = self.clock.monotonic()
        size = self.fleet.membership.live_count
        if size >= self._budget.nodes or now_s > self._fleet_size_until_s:
            self._budget.nodes = size
            self._fleet_size_until_s = now_s + _FLEET_SIZE_MEMORY_S

    def _take_over_id(self) -> None:
        """Rises above an earlier process whose clock was ahead."""
        later = self.fleet.membership.superseded_by
        if later is None:
            return
        _LOG.warning(
            "an earlier process had a higher incarnation",
            extra={"known_incarnation": later},
        )
        # Attempts that were sent under the old incarnation can't be asked for
        # under the new one: the receiver would answer that it never saw them.
        self._router.give_up_attempts()
        self.identity.incarnation = later + 1
        self.fleet.adopt_incarnation(later + 1)

    # End.

    @property
    def stopped(self) -> "Deferred[None]":
        """Fires once the node has closed everything."""
        return self._stopped

    def drain(self) -> None:
        """Starts a planned stop; safe to repeat.

        While callers still send requests here, the upstream is served as well:
        where nodes are stopped in turn, the others may be away just then.
        """
        if self._is_draining:
            return
        _LOG.info("draining", extra={"active": self.entry.active})
        self._is_draining = True
        now_s = self.clock.monotonic()
        self._stop_deadline_s = now_s + self.settings.stop_s
        self._reactor.callLater(
            self.settings.ready_linger_s, self._close_when_idle
        )

    def _close_when_idle(self) -> None:
        self._server.is_draining = True
        self.fleet.drain()
        # Connections without a request close now, the others after theirs.
        self._listeners[0][0].close()
        self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        is_idle = not (
            self.entry.active
            or self._server.unfinished
            or self._router.outstanding
        )
        is_late = self.clock.monotonic() >= self._stop_deadline_s
        if not is_idle and not is_late:
            self._reactor.callLater(_DRAIN_POLL_S, self._finish_when_idle)
            return
        if not is_idle:
            _LOG.warning(
                "stopping with unfinished requests",
                extra={
                    "active": self.entry.active,
                    "at_upstream": self._server.unfinished,
                },
            )
        self.close()

    def close(self) -> None:
        """Closes listeners and connections after their last answers."""
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        if self._fleet is not None:
            self._fleet.close()
        for server, _, _ in self._listeners:
            server.close()
        self._node_listener.close()
        self._router.close()
        self.upstream.close()
        self._timers.close()
        _LOG.info("node stopped")
        self._reactor.callLater(0.1, self._stopped.callback, None)
