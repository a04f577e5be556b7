"""Builds the components of a node, connects them and runs periodic tasks."""

import gc
import logging
import random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._control_frames import ControlFrameDispatcher
from radishtray_node._entry import Entry
from radishtray_node._fleet import Fleet
from radishtray_node._forwarding import ContextForwarding
from radishtray_node._incarnation import new_incarnation
from radishtray_node._listeners import Listeners
from radishtray_node._local_upstream import LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._object_store import PlatformObjectStore
from radishtray_node._operator_api import OperatorApi
from radishtray_node._peer_link import PeerLink
from radishtray_node._running_request import RunningRequests
from radishtray_node._settings import Settings
from radishtray_node._shutdown import GracefulShutdown
from radishtray_node._slot_service import SlotService
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._unsent_answers import call_when_sent
from radishtray_node._upstream_api import UpstreamApi
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import Document, wire
from radishtray_state import (
    AttemptSequence,
    Clock,
    CrashSuspects,
    KeyOwner,
    KeyRouter,
    MemberRecord,
    SlotOwner,
    SystemClock,
    UpstreamSelector,
)
from radishtray_transport import (
    NodeIdentity,
    PlatformClient,
)

_LOG = logging.getLogger(__name__)
_LIVENESS_CHECK_INTERVAL_S = 0.25
_HOUSEKEEPING_INTERVAL_S = 1.0


class Application:
    """Composition root of a node process: builds, starts and stops it.

    Attributes:
        settings: Validated settings.
        identity: Node id and incarnation of this process.
        clock: Time source.
        metrics: Metrics of this node.
        router: Sends calls to nodes.
        server: Serves calls on the upstream.
        upstream: The upstream beside this node.
        key_owner: Records of the at-most-once keys that this node owns.
        suspects: Fingerprints of requests that may crash upstreams.
    """

    __slots__ = (
        "_attempt_sequence",
        "_control_frames",
        "_document",
        "_entry",
        "_fleet",
        "_links",
        "_listeners",
        "_node_server",
        "_object_store",
        "_periodic_calls",
        "_reactor",
        "_replaced_owners",
        "_rng",
        "_running_requests",
        "_shutdown",
        "_slot_service",
        "_stopped",
        "_timers",
        "_unknown_outcomes",
        "clock",
        "identity",
        "key_owner",
        "metrics",
        "router",
        "server",
        "settings",
        "suspects",
        "upstream",
    )

    def __init__(self, reactor: Any, settings: Settings) -> None:
        """Builds all components; `start` opens the listeners.

        Args:
            reactor: The Twisted reactor.
            settings: Validated settings.
        """
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.identity = NodeIdentity(
            settings.node_id, new_incarnation(self.clock)
        )
        self._attempt_sequence = AttemptSequence.with_random_salt()
        self.metrics = Metrics()
        self._reactor = reactor
        self._document: Document | None = None
        self._shutdown = GracefulShutdown(
            reactor, self.clock, settings.drain_time, self._is_idle
        )
        self._stopped: Deferred[None] = Deferred()
        self._timers = TimerWheel(reactor)
        self._running_requests = RunningRequests()
        self._unknown_outcomes = UnknownOutcomes(self.clock)
        rng = random.Random()
        self.suspects = CrashSuspects(self.clock)
        self.key_owner: KeyOwner[CallResult] = KeyOwner(
            settings.node_id,
            self.identity.incarnation,
            self.clock,
            answer_size=_answer_size_bytes,
        )
        forwarding = ContextForwarding()
        self.upstream = LocalUpstream(
            reactor,
            self.clock,
            rng,
            settings.admission_policy,
            self.suspects,
            self._on_upstream_change,
            self._on_upstream_crash,
            forwarding.response_rules,
        )
        self.server = UpstreamServer(
            self.clock,
            self._timers,
            self.upstream,
            self.key_owner,
            self._running_requests,
            self.metrics,
            self._key_not_owned,
            self._refuses_calls,
            forwarding,
        )
        self.router = CallRouter(
            settings.node_id,
            self.clock,
            rng,
            self._timers,
            UpstreamSelector(
                self.clock,
                rng,
                settings.failure_domain,
                settings.selection_policy,
            ),
            KeyRouter(self.clock, rng, self._is_owner_alive),
            self.suspects,
            self.server,
            self.metrics,
            self._unknown_outcomes,
            self._create_link,
            settings.retry_policy == "budget",
            self._suspect_nodes,
        )
        self._object_store = PlatformObjectStore(
            PlatformClient(
                reactor, [settings.platform], token=settings.platform_token
            )
        )
        self._slot_service = SlotService(
            reactor,
            self.clock,
            rng,
            self._object_store,
            self.key_owner,
            self.router.key_router,
            self._slot_members,
            self.send_control,
            self.router.slot_table_received,
        )
        self._control_frames = ControlFrameDispatcher(
            self._slot_service, lambda: self.fleet
        )
        self._rng = rng
        self._replaced_owners: dict[str, SlotOwner] = {}
        self._fleet: Fleet | None = None
        self._entry = Entry(self.router, self._current_document)
        self._node_server = NodeServer(
            self.clock,
            self.server,
            self.metrics,
            self._control_frames.handle_frame,
        )
        self._listeners = self._build_listeners()
        self._periodic_calls = [
            (
                LoopingCall(self.router.check_liveness),
                _LIVENESS_CHECK_INTERVAL_S,
            ),
            (LoopingCall(self._run_housekeeping), _HOUSEKEEPING_INTERVAL_S),
        ]

    def _build_listeners(self) -> Listeners:
        settings = self.settings
        upstream_api = UpstreamApi(
            self.router,
            self._current_document,
            self.upstream,
            self._running_requests,
        )
        operator_api = OperatorApi(
            settings.operator_token, self.status, self.drain, self.metrics
        )
        return Listeners(
            self._reactor,
            settings,
            self.identity,
            self.metrics,
            caller_handler=self._entry.handle,
            upstream_handler=upstream_api.handle,
            operator_handler=operator_api.handle,
            node_events=self._node_server,
        )

    def start(self) -> None:
        """Opens the listeners, starts the periodic tasks and joins the fleet.

        Raises:
            CannotListenError: If a port is taken.
        """
        self._listeners.start()
        for loop, interval_s in self._periodic_calls:
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
        self._fleet = self._join_fleet()
        self._fleet.start()
        _LOG.info("node started", extra={"ports": self.ports()})
        # The objects built so far live as long as the process, so later garbage
        # collections can skip them.
        gc.collect()
        gc.freeze()

    def _join_fleet(self) -> Fleet:
        """Builds the fleet component, which opens the gossip socket.

        The node listener must be open, because its port is announced to the
        other nodes.
        """
        settings = self.settings
        return Fleet(
            self._reactor,
            self.clock,
            self._rng,
            identity=self.identity,
            failure_domain=settings.failure_domain,
            node_address=f"{settings.address}:{self._listeners.node_port}",
            gossip_host=settings.address,
            gossip_port=settings.gossip_port,
            keys=settings.cluster_keys,
            seeds=settings.seeds,
            store=self._object_store,
            suspects=self.suspects,
            events=self,
        )

    @property
    def fleet(self) -> Fleet:
        """Membership and configuration exchanged with the other nodes.

        Raises:
            RuntimeError: If `start` has not been called.
        """
        if self._fleet is None:
            raise RuntimeError("the node has not been started")
        return self._fleet

    def ports(self) -> dict[str, int]:
        """Returns the ports of the TCP listeners by name."""
        return self._listeners.ports()

    def _current_document(self) -> Document | None:
        return self._document

    def document_changed(self, document: Document, generation: int) -> None:
        """Applies a configuration unless its generation is already applied."""
        if generation <= self.router.generation:
            return
        self._document = document
        self.router.generation = generation
        _LOG.info("configuration applied", extra={"generation": generation})

    def service_changed(self, service: str) -> None:
        """Updates the candidate nodes and the slot balance of a service."""
        self.router.set_candidates(service, self.fleet.candidates(service))
        self._slot_service.members_changed(service)

    def node_gone(self, node_id: str) -> None:
        """Closes the link to a node after settling its attempts."""
        self.router.release_link(node_id)

    def node_moved(self, node_id: str) -> None:
        """Closes the link to the former address of a node."""
        self.router.abandon_link(node_id)

    def process_replaced(
        self, service: str, replaced_owner: SlotOwner, node_id: str
    ) -> None:
        """Contacts the process that replaced an owner of key slots.

        The handshake with the newer incarnation proves that the earlier
        process has ended, so its slots can be reassigned. A request for the
        slot table opens the connection.
        """
        if service and service == self._slot_service.service:
            pull = wire.SlotTablePull(service_name=service)
            self._replaced_owners[node_id] = replaced_owner
            self.send_control(node_id, wire.Frame(slot_table_pull=pull))

    def upstream_announced(self, member: MemberRecord) -> None:
        """Does nothing, since crashes are not counted by process."""

    def _peer_verified(self, node_id: str, incarnation: int) -> None:
        """Ends what depends on earlier processes of a node."""
        self._slot_service.peer_verified(node_id, incarnation)
        replaced_owner = self._replaced_owners.pop(node_id, None)
        if (
            replaced_owner is not None
            and incarnation > replaced_owner.incarnation
        ):
            self._slot_service.replace_dead_owner(
                self._slot_service.service, replaced_owner
            )

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame; False if the node has no known address."""
        return self.router.send_control(node_id, frame)

    def _create_link(self, node_id: str) -> PeerLink | None:
        """Creates a link, or returns None if the address is not known."""
        address = self.fleet.node_address(node_id)
        if address is None:
            return None
        return PeerLink(
            self._reactor,
            self._timers,
            address,
            self.identity,
            self._attempt_sequence,
            self.settings.cluster_keys,
            lambda frame: self._control_frames.handle_reply(node_id, frame),
            self._peer_verified,
            lambda reason: self.metrics.rejected_connections.labels(
                reason
            ).inc(),
        )

    def _is_owner_alive(self, owner: SlotOwner) -> bool:
        return self.fleet.is_alive(owner)

    def _key_not_owned(self) -> None:
        """Refreshes the slot table from the platform and from peers.

        The sender may have routed the key by a newer table. Peers are asked as
        well, because the platform may be down.
        """
        self._slot_service.refresh_table()
        self.router.refresh_slot_table(self._slot_service.service, lambda: None)

    def _refuses_calls(self, call: wire.Call) -> bool:
        """Whether calls that the upstream makes for this one are refused."""
        document = self._document
        if document is None:
            return False
        kind = document.find_kind(call.service_name, call.kind)
        return kind is not None and self.router.would_calls_be_refused(
            kind, call.context
        )

    def _suspect_nodes(self, service: str) -> list[str]:
        """Returns the nodes that may be sent a request that caused crashes.

        Nodes of the service whose upstream is down are included.
        """
        return self.fleet.live_nodes(service)

    def _slot_members(self, service: str) -> list[SlotOwner]:
        return self.fleet.slot_members(service)

    def _on_upstream_change(self) -> None:
        """Announces the upstream to the fleet and starts owning key slots."""
        announcement = self.upstream.announcement
        service = self.upstream.service
        slots = announcement.slots if announcement else 0
        self.fleet.announce(service, slots, announcement is not None)
        if service:
            self.service_changed(service)
        self._slot_service.set_service(service)

    def _on_upstream_crash(self) -> None:
        self.server.handle_upstream_crash()

    def reload_keys(self) -> None:
        """Reloads the cluster keys file; the old keys stay after an error."""
        path = self.settings.cluster_keys_file
        if not path:
            return
        try:
            with open(path, encoding="ascii") as file:
                result = self.settings.cluster_keys.reload(file.read())
        except (OSError, UnicodeDecodeError) as error:
            _LOG.error(
                "cluster keys file cannot be read; the old keys stay in use",
                extra={"error": str(error)},
            )
            return
        if result.is_error():
            errors = [str(error) for error in result.error]
            _LOG.error(
                "cluster keys rejected; the old keys stay in use",
                extra={"errors": errors},
            )
        else:
            _LOG.info("cluster keys reloaded")

    def _run_housekeeping(self) -> None:
        self.fleet.check_incarnation()
        self.upstream.check_heartbeat()
        self._node_server.tick()
        self.key_owner.expire()

    def status(self) -> dict[str, Any]:
        """Returns the node's status as JSON values."""
        admission = self.upstream.admission
        return {
            "node_id": self.identity.node_id,
            "incarnation": self.identity.incarnation,
            "failure_domain": self.settings.failure_domain,
            "service": self.upstream.service,
            "generation": self.router.generation,
            "draining": self._shutdown.is_started,
            "members": self.fleet.membership.live_count,
            "members_serving": sum(
                member.accepts_requests
                for member in self.fleet.membership.members()
            ),
            "roles": list(self.fleet.held_roles),
            "control_bytes": self.fleet.control_bytes,
            "key_slots_owned": self._slot_service.owned_slot_count,
            "in_flight": admission.in_flight,
            "queued": admission.queued,
            "threshold": admission.threshold,
            "unknown_outcomes_total": self._unknown_outcomes.total,
            "unknown_outcomes": self._unknown_outcomes.to_json(),
        }

    def drain(self) -> None:
        """Starts the graceful shutdown; safe to repeat."""
        if self._shutdown.is_started:
            return
        _LOG.info("draining")
        self._shutdown.start()
        self.server.is_draining = True
        self._entry.is_draining = True
        self.key_owner.stop_accepting()
        self.fleet.drain()
        handover = self._slot_service.hand_over(self._shutdown.drained)
        handover.addBoth(self._handover_finished)

    def _handover_finished(self, is_handed_over: object) -> None:
        """Closes the node, also if the handover failed or timed out."""
        if is_handed_over is not True:
            _LOG.warning(
                "key slots or key records were not handed over; stopping anyway"
            )
        self.close()

    def _is_idle(self) -> bool:
        """Whether this node has no unfinished request."""
        return not (
            self._entry.active
            or self.server.unfinished_calls
            or self.router.outstanding_attempts
        )

    @property
    def stopped(self) -> "Deferred[None]":
        """Fires after `close`, once all answers have been sent."""
        return self._stopped

    def close(self) -> None:
        """Closes listeners and connections after their last answers."""
        for loop, _ in self._periodic_calls:
            if loop.running:
                loop.stop()
        self._slot_service.close()
        if self._fleet is not None:
            self._fleet.close()
        self._object_store.close()
        self._listeners.close()
        self.router.close()
        self.upstream.close()
        self._timers.close()
        call_when_sent(
            self._reactor,
            self.clock,
            lambda: self._listeners.answering_connections,
            self._shutdown.deadline_s,
            self._report_stopped,
        )

    def _report_stopped(self) -> None:
        _LOG.info("node stopped")
        self._stopped.callback(None)


def _answer_size_bytes(result: CallResult) -> int:
    return len(result.body) + sum(map(len, result.headers))
