"""A gateway node, which forwards requests by route to upstreams.

The node runs beside one upstream, which reports its state to the node.
"""

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
from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._capacity_monitor import CapacityMonitor
from radishtray_node._compression_metrics import add_compression_gauge
from radishtray_node._crash_blocklist import CrashBlocklist
from radishtray_node._crash_exchange import CrashExchange
from radishtray_node._decision_log import DecisionLog
from radishtray_node._entry_decisions import EntryDecisions
from radishtray_node._features import Feature
from radishtray_node._fleet import ConfigurationSource, Fleet, ReleasePuller
from radishtray_node._forwarding import HeaderForwarding
from radishtray_node._gateway_settings import GatewaySettings
from radishtray_node._held_maximum import HeldMaximum
from radishtray_node._incarnation import incarnation_above, new_incarnation
from radishtray_node._local_upstream import LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._organisations import ALLOTMENT_TICK_S, Organisations
from radishtray_node._peer_link import PeerLink
from radishtray_node._process_limits import ProcessLimits
from radishtray_node._reactor import uncached
from radishtray_node._report_rejection import ReportRejection
from radishtray_node._route_entry import RouteEntry
from radishtray_node._running_request import RunningRequests
from radishtray_node._service_uses import RunUses
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._unsent_answers import call_when_sent
from radishtray_node._upstream_identity import UpstreamIdentity
from radishtray_node._upstream_reports import UpstreamReports
from radishtray_node._upstream_server import UpstreamServer
from radishtray_organisations import grantable_share
from radishtray_protocol import Document, RouteTable, wire
from radishtray_state import (
    ArrivalBudget,
    AttemptSequence,
    Clock,
    CrashTally,
    KeyOwner,
    KeyRouter,
    MemberRecord,
    Membership,
    RejectionRepeats,
    ReportVerdict,
    SlotOwner,
    UpstreamReport,
    UpstreamSelector,
    suspect_host,
)
from radishtray_transport import (
    CompressionTotals,
    HttpLimits,
    HttpRequest,
    HttpServer,
    MemoryAccount,
    NodeConnection,
    NodeIdentity,
    NodeListener,
)

_LOG = logging.getLogger(__name__)
_LIVENESS_CHECK_INTERVAL_S = 0.25
_HOUSEKEEPING_INTERVAL_S = 1.0
_MS_PER_S = 1000.0
_DRAIN_POLL_S = 0.05
# Time after the announcement of a drain in which calls are still answered, with
# a refusal: until then other nodes may send more. A call that is under way to a
# closed listener would have an unknown outcome.
_ANNOUNCED_DRAIN_S = 1.0
# A request must fit into one frame between nodes, of 4 MiB.
_MAX_BODY_BYTES = 3 * 1024 * 1024 + 512 * 1024
_REQUEST_TIMEOUT_S = 30.0
# Connections to the upstream that were idle for longer are not reused. The
# upstream may state a shorter limit.
_UPSTREAM_IDLE_LIMIT_S = 5.0
# Share of the upstream's slots that is used, since upstreams may slow down once
# 95% of their slots are busy.
_USABLE_SLOT_SHARE = 0.94
# Time for which the largest size seen of the fleet or the service determines
# this node's share of the retry budgets, so that a network partition does not
# increase the share at once.
_FLEET_SIZE_HOLD_S = 60.0
# Net new container objects before a collection of the youngest generation.
# Requests leave no reference cycles, so frequent collections find nothing. At
# about 1 kB per container, cycles left by faults are bounded to 20 MB.
_GC_THRESHOLD = 20_000
_METRICS_HEADERS = ["Content-Type", "text/plain; version=0.0.4"]


class Gateway:
    """A node that forwards requests by route.

    Attributes:
        settings: Validated settings.
        identity: Node id and incarnation of this process.
        attempt_sequence: Numbers of this process's attempts and connections.
        clock: Time source.
        metrics: Metrics of this node.
        entry: Handler of forwarded requests.
        upstream: The upstream beside this node.
        upstream_identity: What the settings say about that upstream; checks
            what a report states of its origin.
        crash_tally: Crash counts, by fingerprint of the request.
    """

    __slots__ = (
        "_arrival_budget",
        "_compression",
        "_configuration",
        "_crashes",
        "_decode_table",
        "_fleet",
        "_fleet_size",
        "_is_draining",
        "_limits",
        "_listeners",
        "_node_listener",
        "_node_server",
        "_organisations",
        "_periodic_calls",
        "_reactor",
        "_report_handler",
        "_rng",
        "_router",
        "_service_size",
        "_stop_deadline_s",
        "_stopped",
        "_store",
        "_timers",
        "_upstream_reports",
        "_upstream_server",
        "attempt_sequence",
        "clock",
        "crash_tally",
        "entry",
        "identity",
        "metrics",
        "settings",
        "upstream",
        "upstream_identity",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: GatewaySettings,
        store: WatchableStore,
        decode_table: RouteTableDecoder,
        report_handler: Callable[
            ["Gateway", HttpRequest], ReportRejection | None
        ],
    ) -> None:
        """Builds all parts; `start` opens the listeners.

        Args:
            reactor: The Twisted reactor.
            clock: Time source; the reactor's timers must run by it.
            settings: Validated settings.
            store: The platform's object store.
            decode_table: Decodes the object with the route table.
            report_handler: Decodes requests with the upstream's reports and
                calls `accept_report` or `accept_leave_report`; returns why it
                rejected the report, or None.
        """
        self.settings = settings
        self.clock = clock
        self.identity = NodeIdentity(
            settings.node_id, new_incarnation(self.clock)
        )
        self.attempt_sequence = AttemptSequence.with_random_salt()
        self.metrics = Metrics()
        self.crash_tally = CrashTally(self.clock)
        self._reactor = reactor
        self._store = store
        self._decode_table = decode_table
        self._report_handler = report_handler
        self._rng = random.Random()
        self._timers = TimerWheel(reactor)
        self._stopped: Deferred[None] = Deferred()
        self._is_draining = False
        self._stop_deadline_s = 0.0
        self._fleet: Fleet | None = None
        self._configuration: RouteConfigurationDriver | None = None
        self._crashes = CrashExchange(
            self.crash_tally,
            settings.node_id,
            lambda: self.fleet,
            self.send_control,
        )
        self._fleet_size = HeldMaximum(clock, _FLEET_SIZE_HOLD_S)
        self._service_size = HeldMaximum(clock, _FLEET_SIZE_HOLD_S)
        self._limits = ProcessLimits(
            settings.memory_bytes, settings.max_descriptors
        )
        self._limits.add_gauges(self.metrics)
        self._upstream_server, self.upstream = self._build_upstream_server()
        self.upstream_identity = UpstreamIdentity(
            settings.service,
            settings.failure_domain,
            settings.addresses.upstream,
        )
        self._upstream_reports = UpstreamReports(
            reactor,
            self._timers,
            self.upstream,
            self._upstream_server.forwarding,
            settings.headers.instance,
            self.upstream_identity,
            is_restart=not settings.is_first_start,
        )
        self.metrics.add_gauge(
            "radishtray_ended_upstream_processes",
            "Processes that have stated that they end, without a report.",
            lambda: self._upstream_reports.ended_process_count,
        )
        self._router = self._build_router()
        self._organisations = Organisations(
            clock,
            uncached(clock),
            self._timers,
            settings.node_id,
            settings.revocation,
            settings.allotment_tolerance,
            lambda: self.fleet.membership,
            self._fleet_share,
            self.send_control,
            self.metrics,
            is_first_start=settings.is_first_start,
        )
        self._upstream_server.is_key_withdrawn = self._is_key_withdrawn
        self._arrival_budget = ArrivalBudget(
            self.clock,
            settings.repeats.ratio,
            settings.repeats.slack,
            settings.repeats.window_s,
        )
        self.entry = RouteEntry(
            self._router,
            self._arrival_budget,
            CrashBlocklist(self.crash_tally, self._is_crash_prober),
            self._upstream_server.chains,
            settings.headers,
            settings.service,
            self._rng,
            DecisionLog(self.clock),
            self._organisations.gate,
            lambda organisation, refusal: self._organisations.count(
                organisation, refusal.value if refusal else "answered"
            ),
            EntryDecisions(
                self.clock,
                self._rng,
                settings.features,
                self.metrics,
                self._timers,
            ),
        )
        self._node_server = NodeServer(
            self.clock,
            self._upstream_server,
            self.metrics,
            self._on_control_frame,
            self._limits.account,
        )
        self._compression = (
            CompressionTotals()
            if Feature.FRAME_COMPRESSION in settings.features
            else None
        )
        if self._compression is not None:
            add_compression_gauge(self.metrics, self._compression)
        self._node_listener = NodeListener(
            reactor,
            self.identity,
            settings.cluster_keys,
            self._node_server,
            self._limits.node_connections,
            memory=self._limits.account,
            compression=self._compression,
        )
        self._listeners = self._build_listeners()
        self._periodic_calls = [
            (
                LoopingCall(self._router.check_liveness),
                _LIVENESS_CHECK_INTERVAL_S,
            ),
            (LoopingCall(self._organisations.tick), ALLOTMENT_TICK_S),
            (LoopingCall(self._run_housekeeping), _HOUSEKEEPING_INTERVAL_S),
        ]

    def _build_upstream_server(self) -> tuple[UpstreamServer, LocalUpstream]:
        forwarding = HeaderForwarding(
            self.settings.headers, _UPSTREAM_IDLE_LIMIT_S
        )
        capacity = self._build_capacity_monitor()
        upstream = LocalUpstream(
            self._reactor,
            self.clock,
            self._rng,
            "adaptive",
            self.crash_tally,
            self._on_upstream_change,
            self._on_upstream_crash,
            forwarding.response_rules,
            _USABLE_SLOT_SHARE,
            lambda fault: self.metrics.response_faults.labels(
                fault.value
            ).inc(),
            is_restart=not self.settings.is_first_start,
            limit_learner=capacity,
            memory=self._limits.account,
            max_connections=self._limits.upstream_connections,
        )
        server = UpstreamServer(
            self.clock,
            self._timers,
            upstream,
            # Routed requests carry no idempotency keys, so this stores no
            # records.
            KeyOwner[CallResult](
                self.settings.node_id, self.identity.incarnation, self.clock
            ),
            RunningRequests(),
            self.metrics,
            lambda: None,
            lambda _call: False,
            forwarding,
            RejectionRepeats(
                self.clock,
                self.settings.repeats.ratio,
                self.settings.repeats.slack,
                self.settings.repeats.window_s,
            ),
            self._announce_failures,
            self._on_upstream_leaving,
        )
        if capacity is not None:
            server.learned_slots = capacity.answer_slots
        if Feature.ENTRY_ORDER in self.settings.features:
            server.run_uses = RunUses(self.clock)
        return server, upstream

    def _build_capacity_monitor(self) -> CapacityMonitor | None:
        if Feature.LEARNED_CAPACITY not in self.settings.features:
            return None
        return CapacityMonitor(self.metrics, lambda: self._stated_slots)

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
            self.crash_tally,
            self._upstream_server,
            self.metrics,
            UnknownOutcomes(self.clock),
            self._create_link,
        )

    def _build_listeners(self) -> list[tuple[HttpServer, str, int]]:
        addresses = self.settings.addresses

        def http(
            name: str,
            handler: Callable[[HttpRequest], None],
            limits: HttpLimits,
            may_overlap: Callable[[HttpRequest], bool] = lambda _: False,
            memory: MemoryAccount | None = None,
        ) -> HttpServer:
            return HttpServer(
                self._reactor,
                handler,
                limits,
                lambda reason: self.metrics.rejected_input.labels(
                    name, reason
                ).inc(),
                may_overlap,
                memory,
                self.settings.headers.deadline_ms.encode(),
            )

        def control(
            name: str, handler: Callable[[HttpRequest], None]
        ) -> HttpServer:
            return http(name, handler, self._limits.control_limits())

        callers = http(
            "caller",
            self.entry.handle,
            self._limits.caller_limits(_MAX_BODY_BYTES, _REQUEST_TIMEOUT_S),
            self.entry.may_overlap,
            self._limits.account,
        )
        readiness = control("readiness", self._answer_readiness)
        listeners = [
            (callers, *addresses.caller),
            (readiness, *addresses.readiness),
            (control("reports", self._answer_report), *addresses.reports),
        ]
        if addresses.metrics_port:
            metrics = control("metrics", self._answer_metrics)
            listeners.append((metrics, addresses.host, addresses.metrics_port))
        return listeners

    def start(self) -> None:
        """Opens the listeners and joins the fleet.

        Raises:
            CannotListenError: If a port is already in use.
        """
        addresses = self.settings.addresses
        self._node_listener.start(addresses.host, addresses.node_port)
        for server, host, port in self._listeners:
            server.start(host, port)
        for loop, interval_s in self._periodic_calls:
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
            suspects=self.crash_tally,
            events=self,
            configuration=self._configuration_source,
        )
        self._fleet.start()
        assert self._configuration is not None
        self._organisations.start(
            self._reactor, self._configuration, self._fleet.membership
        )
        _LOG.info(
            "node started",
            extra={
                "service": self.settings.service,
                "incarnation": self.identity.incarnation,
            },
        )
        # Objects that exist now live as long as the process, so they are
        # excluded from later collections.
        gc.collect()
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD)

    def _configuration_source(
        self, membership: Membership, send: Any, pull: ReleasePuller
    ) -> ConfigurationSource:
        self._configuration = RouteConfigurationDriver(
            self._reactor,
            self._rng,
            store=self._store,
            object_name=self.settings.configuration_object,
            membership=membership,
            send=send,
            pull=pull,
            decode=self._decode_table,
            on_table=self._apply_table,
        )
        return self._configuration

    def _fleet_share(self) -> float:
        """Returns the share of the allotments that this node may grant."""
        live = self.fleet.membership.live_count
        return grantable_share(live, self._fleet_size.update(live))

    def _is_key_withdrawn(self, call: wire.Call) -> bool:
        """Returns whether the key of a call has been withdrawn meanwhile.

        A configuration older than that of the sender may lack a new key.
        """
        digest = call.context.key_digest
        return (
            digest is not None
            and self.entry.version >= call.generation
            and not self._organisations.gate.holds(digest)
        )

    @property
    def fleet(self) -> Fleet:
        """The node's view of the fleet; available after `start`."""
        if self._fleet is None:
            raise RuntimeError("the node has not been started")
        return self._fleet

    @property
    def is_ready(self) -> bool:
        """Whether callers on this VM should send requests to this node."""
        return self.entry.version > 0 and not self._is_draining

    # Configuration.

    def _apply_table(self, table: RouteTable) -> None:
        self._router.generation = table.version
        self._organisations.apply(table)
        self.entry.apply(table)
        limits = self._listeners[0][0].limits
        limits.head_bytes = table.limits.head_bytes
        limits.body_bytes = min(table.limits.body_bytes, _MAX_BODY_BYTES)
        limits.head_s = table.limits.head_s
        limits.idle_s = table.limits.idle_s
        self._upstream_reports.set_health_paths(table.health_paths)

    # Callbacks of the fleet (`FleetEvents`).

    def document_changed(self, document: Document, generation: int) -> None:
        """Never called, since the configuration is a route table."""

    def service_changed(self, service: str) -> None:
        """Updates the nodes that requests for a service may be sent to."""
        self._router.set_candidates(service, self.fleet.candidates(service))

    def node_gone(self, node_id: str) -> None:
        """Closes the link to a node after settling its attempts."""
        self._router.release_link(node_id)

    def node_moved(self, node_id: str) -> None:
        """Closes the link to the former address of a node."""
        self._router.abandon_link(node_id)

    def process_replaced(
        self, service: str, replaced_owner: SlotOwner, node_id: str
    ) -> None:
        """Does nothing, since no state is tied to a process."""

    def upstream_announced(self, member: MemberRecord) -> None:
        """Retracts the crashes of earlier processes that it has survived."""
        self._crashes.upstream_announced(member)

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame; False if the node has no address."""
        return self._router.send_control(node_id, frame)

    def _on_control_frame(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        reply = self._organisations.handle_frame(frame)
        if reply is not None:
            connection.send(reply)
        elif frame.release_pull is not None:
            connection.send(self.fleet.answer_release_pull(frame.release_pull))
        elif frame.crash_suspects is not None:
            self._crashes.merge(frame.crash_suspects.suspects)

    def _on_link_control(self, frame: wire.Frame) -> None:
        """Handles the replies to the frames of organisations."""
        self._organisations.handle_frame(frame)

    def _create_link(self, node_id: str) -> PeerLink | None:
        address = self.fleet.node_address(node_id)
        member = self.fleet.membership.get(node_id)
        if address is None or member is None:
            return None
        is_same_domain = member.failure_domain == self.settings.failure_domain
        return PeerLink(
            self._reactor,
            self._timers,
            address,
            self.identity,
            self.attempt_sequence,
            self.settings.cluster_keys,
            self._on_link_control,
            self._crashes.process_verified,
            lambda reason: self.metrics.rejected_connections.labels(
                reason
            ).inc(),
            lambda calls, incarnation: self._crashes.process_ended(
                node_id, calls, incarnation
            ),
            memory=self._limits.account,
            compression=None if is_same_domain else self._compression,
        )

    # The upstream.

    def accept_report(self, report: UpstreamReport) -> ReportVerdict:
        """Applies a status report of the upstream on this VM.

        Raises:
            ReportRejectedError: If it is a report of another upstream.
        """
        return self._upstream_reports.accept(report)

    def accept_leave_report(
        self, instance: str, started_ms: int | None
    ) -> ReportVerdict:
        """Applies the upstream's report that it is leaving.

        Args:
            instance: Id of the upstream process.
            started_ms: Start time of the process; None if it was not stated.
        """
        return self._upstream_reports.accept_leave(instance, started_ms)

    @property
    def _stated_slots(self) -> int:
        """Slots that the upstream states; 0 without an upstream."""
        announcement = self.upstream.announcement
        return announcement.slots if announcement else 0

    def _on_upstream_change(self) -> None:
        self._upstream_server.failures.reset()
        announcement = self.upstream.announcement
        self.fleet.announce(
            self.settings.service,
            self._stated_slots,
            announcement is not None,
            announcement.process_digest if announcement else 0,
        )
        self.service_changed(self.settings.service)

    def _on_upstream_leaving(self) -> None:
        announcement = self.upstream.announcement
        if announcement is not None:
            self._upstream_reports.accept_leave(
                announcement.instance, announcement.started_ms
            )

    def _announce_failures(self) -> None:
        self.fleet.announce_failures(self._upstream_server.failures.percent)

    def _on_upstream_crash(self) -> None:
        _LOG.warning(
            "upstream crashed; counting it against the requests that were "
            "running"
        )
        changed = self._upstream_server.handle_upstream_crash()
        self._crashes.announce(changed, self.settings.service)

    def _is_crash_prober(self, fingerprint: int) -> bool:
        live = (
            member.node_id
            for member in self.fleet.membership.members()
            if member.is_live
        )
        return suspect_host(fingerprint, live) == self.settings.node_id

    # Listeners.

    def _answer_readiness(self, http: HttpRequest) -> None:
        http.respond(200 if self.is_ready else 503, [], b"")

    def _answer_report(self, http: HttpRequest) -> None:
        rejection = self._report_handler(self, http)
        if rejection is not None:
            self.metrics.rejected_reports.labels(rejection.value).inc()

    def _answer_metrics(self, http: HttpRequest) -> None:
        http.respond(200, _METRICS_HEADERS, self.metrics.exposition())

    # Periodic work.

    def _run_housekeeping(self) -> None:
        self._node_server.tick()
        self.upstream.check_heartbeat()
        self._update_fleet_size()
        self._announce_failures()
        self._supersede_earlier_process()

    def _update_fleet_size(self) -> None:
        self._arrival_budget.node_count = self._fleet_size.update(
            self.fleet.membership.live_count
        )
        repeats = self._upstream_server.rejection_repeats
        if repeats is not None:
            service_nodes = self.fleet.live_nodes(self.settings.service)
            repeats.node_count = self._service_size.update(len(service_nodes))

    def _supersede_earlier_process(self) -> None:
        """Adopts an incarnation above that of an earlier process.

        Needed if the clock was ahead when the earlier process started.
        """
        later = self.fleet.membership.superseded_by
        if later is None:
            return
        _LOG.warning(
            "an earlier process of this node had a higher incarnation; "
            "adopting a higher one and ending attempts as unknown",
            extra={"known_incarnation": later},
        )
        self.identity.incarnation = incarnation_above(later)
        self.fleet.adopt_incarnation(self.identity.incarnation)
        self._router.reset_links()

    # Shutdown.

    @property
    def stopped(self) -> "Deferred[None]":
        """Fires once the node has closed everything."""
        return self._stopped

    def drain(self) -> None:
        """Starts a planned stop; further calls have no effect.

        During `ready_linger_s` the node still accepts requests from callers and
        from other nodes: in a rolling restart the other nodes of the service
        may be down at that moment.
        """
        if self._is_draining:
            return
        _LOG.info("draining", extra={"active": self.entry.active})
        self._is_draining = True
        now_s = self.clock.monotonic()
        self._stop_deadline_s = now_s + self.settings.stop_s
        self._reactor.callLater(
            self.settings.ready_linger_s, self._stop_accepting
        )

    def _stop_accepting(self) -> None:
        self._upstream_server.is_draining = True
        self.fleet.drain()
        # Idle connections close now, the others after their request.
        self._listeners[0][0].close()
        self._reactor.callLater(_ANNOUNCED_DRAIN_S, self._finish_when_idle)

    def _finish_when_idle(self) -> None:
        is_idle = not (
            self.entry.active
            or self._upstream_server.unfinished_calls
            or self._router.outstanding_attempts
        )
        is_late = self.clock.monotonic() >= self._stop_deadline_s
        if not is_idle and not is_late:
            self._reactor.callLater(_DRAIN_POLL_S, self._finish_when_idle)
            return
        if not is_idle:
            _LOG.warning(
                "stop deadline reached; closing with unfinished requests",
                extra={
                    "active": self.entry.active,
                    "at_upstream": self._upstream_server.unfinished_calls,
                },
            )
            self.entry.end_all()
        self.close()

    def close(self) -> None:
        """Closes the listeners, and connections after their last answers."""
        for loop, _ in self._periodic_calls:
            if loop.running:
                loop.stop()
        self._organisations.close()
        if self._fleet is not None:
            self._fleet.close()
        for server, _, _ in self._listeners:
            server.close()
        self._node_listener.close()
        self._router.close()
        self.upstream.close()
        self._timers.close()
        call_when_sent(
            self._reactor,
            self.clock,
            self._count_open_connections,
            self._stop_deadline_s,
            self._report_stopped,
        )

    def _count_open_connections(self) -> int:
        """Returns the number of connections that may have unsent answers."""
        callers, _, _ = self._listeners[0]
        return callers.connection_count + self._node_listener.connection_count

    def _report_stopped(self) -> None:
        _LOG.info("node stopped")
        self._stopped.callback(None)
