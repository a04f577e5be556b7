"""Joins the parts of a node and runs their periodic work."""

import gc
import logging
import random
import secrets
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._control_frames import ControlFrames
from radishtray_node._entry import Entry
from radishtray_node._fleet import Fleet
from radishtray_node._listeners import Listeners
from radishtray_node._local_upstream import LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._object_store import ObjectStore
from radishtray_node._operator_api import OperatorApi
from radishtray_node._peer_link import PeerLink
from radishtray_node._running_request import RunningRequests
from radishtray_node._settings import Settings
from radishtray_node._shutdown import GracefulShutdown
from radishtray_node._slot_service import SlotService
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_api import UpstreamApi
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import Document, wire
from radishtray_state import (
    Clock,
    CrashSuspects,
    KeyOwner,
    KeyRouter,
    SlotOwner,
    SystemClock,
    UpstreamSelector,
)
from radishtray_transport import (
    NodeIdentity,
    PlatformClient,
)

_LOG = logging.getLogger(__name__)
_SILENCE_INTERVAL_S = 0.25
_SECOND_S = 1.0
_INCARNATION_RANDOM_BITS = 20


class Application:
    """One node.

    Attributes:
        settings: Checked settings.
        identity: Name and incarnation of this process.
        clock: Time source.
        metrics: Counters of this node.
        router: Sends calls to nodes.
        server: Serves calls on the upstream.
        upstream: The upstream beside this node.
        key_owner: At-most-once records.
        suspects: Requests that may crash upstreams.
    """

    __slots__ = (
        "_control",
        "_document",
        "_entry",
        "_fleet",
        "_links",
        "_listeners",
        "_loops",
        "_node_server",
        "_reactor",
        "_replaced",
        "_rng",
        "_running",
        "_shutdown",
        "_slots",
        "_stopped",
        "_store",
        "_timers",
        "_unknown",
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
        """Builds all parts; nothing is opened yet.

        Args:
            reactor: The Twisted reactor.
            settings: Checked settings.
        """
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.identity = NodeIdentity(
            settings.node_id, new_incarnation(self.clock)
        )
        self.metrics = Metrics()
        self._reactor = reactor
        self._document: Document | None = None
        self._shutdown = GracefulShutdown(
            reactor, self.clock, settings.drain_time, self._is_idle
        )
        self._stopped: Deferred[None] = Deferred()
        self._timers = TimerWheel(reactor)
        self._running = RunningRequests()
        self._unknown = UnknownOutcomes(self.clock)
        rng = random.Random()
        self.suspects = CrashSuspects(self.clock)
        self.key_owner: KeyOwner[CallResult] = KeyOwner(
            settings.node_id,
            self.identity.incarnation,
            self.clock,
            answer_size=_answer_size,
        )
        self.upstream = LocalUpstream(
            reactor,
            self.clock,
            rng,
            settings.admission_policy,
            self.suspects,
            self._upstream_changed,
            self._upstream_crashed,
        )
        self.server = UpstreamServer(
            self.clock,
            self._timers,
            self.upstream,
            self.key_owner,
            self._running,
            self.metrics,
            self._key_not_owned,
            self._refuses_calls,
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
            self._unknown,
            self._link_to,
            settings.retry_policy == "budget",
            self._suspect_nodes,
        )
        self._store = ObjectStore(
            PlatformClient(
                reactor, [settings.platform], token=settings.platform_token
            )
        )
        self._slots = SlotService(
            reactor,
            self.clock,
            rng,
            self._store,
            self.key_owner,
            self.router.keys,
            self._slot_members,
            self.send_control,
            self.router.slot_table_received,
        )
        self._control = ControlFrames(self._slots, lambda: self.fleet)
        self._rng = rng
        self._replaced: dict[str, SlotOwner] = {}
        self._fleet: Fleet | None = None
        self._entry = Entry(self.router, self._current)
        self._node_server = NodeServer(
            self.clock, self.server, self.metrics, self._control.received
        )
        self._listeners = self._build_listeners()
        self._loops = [
            (LoopingCall(self.router.check_silence), _SILENCE_INTERVAL_S),
            (LoopingCall(self._every_second), _SECOND_S),
        ]

    def _build_listeners(self) -> Listeners:
        settings = self.settings
        upstream_api = UpstreamApi(
            self.router, self._current, self.upstream, self._running
        )
        operator_api = OperatorApi(
            settings.operator_token, self.status, self.drain, self.metrics
        )
        return Listeners(
            self._reactor,
            settings,
            self.identity,
            self.metrics,
            caller=self._entry.handle,
            upstream=upstream_api.handle,
            operator=operator_api.handle,
            node=self._node_server,
        )

    def start(self) -> None:
        """Opens the listeners and starts the periodic work."""
        self._listeners.start()
        for loop, interval_s in self._loops:
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
        self._fleet = self._join_fleet()
        self._fleet.start()
        _LOG.info("node started", extra={"ports": self.ports()})
        # What exists now lives as long as the process; later collections need
        # not visit it.
        gc.collect()
        gc.freeze()

    def _join_fleet(self) -> Fleet:
        """Opens the gossip socket; the node listener must be open."""
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
            store=self._store,
            suspects=self.suspects,
            events=self,
        )

    @property
    def fleet(self) -> Fleet:
        """This node among the others; only after `start`."""
        if self._fleet is None:
            raise RuntimeError("the node has not been started")
        return self._fleet

    def ports(self) -> dict[str, int]:
        """Returns the ports of the TCP listeners by name."""
        return self._listeners.ports()

    def _current(self) -> Document | None:
        return self._document

    def document_changed(self, document: Document, generation: int) -> None:
        """Puts a newer generation of the configuration in force."""
        if generation <= self.router.generation:
            return
        self._document = document
        self.router.generation = generation
        _LOG.info("configuration applied", extra={"generation": generation})

    def service_changed(self, service: str) -> None:
        """Takes over the nodes that serve a service."""
        self.router.set_candidates(service, self.fleet.candidates(service))
        self._slots.members_changed(service)

    def node_gone(self, node_id: str) -> None:
        """Closes the link to a node that died, left or moved."""
        self.router.forget(node_id)

    def process_replaced(
        self, service: str, dead: SlotOwner, node_id: str
    ) -> None:
        """Asks the new process for a handshake, which proves the old dead."""
        if service and service == self._slots.service:
            pull = wire.SlotTablePull(service_name=service)
            self._replaced[node_id] = dead
            self.send_control(node_id, wire.Frame(slot_table_pull=pull))

    def _peer_verified(self, node_id: str, incarnation: int) -> None:
        dead = self._replaced.pop(node_id, None)
        if dead is not None and incarnation > dead.incarnation:
            self._slots.proven_dead(self._slots.service, dead)

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame; False if the node has no address."""
        return self.router.send_control(node_id, frame)

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
            lambda frame: self._control.replied(node_id, frame),
            self._peer_verified,
            lambda reason: self.metrics.connections.labels(reason).inc(),
        )

    def _is_owner_alive(self, owner: SlotOwner) -> bool:
        return self.fleet.is_alive(owner)

    def _key_not_owned(self) -> None:
        """Looks for a newer slot table at the platform and at peers.

        A sender with a newer table may be right, and the platform may be down.
        """
        self._slots.refresh()
        self.router.refresh_slot_table(self._slots.service, lambda: None)

    def _refuses_calls(self, call: wire.Call) -> bool:
        document = self._document
        if document is None:
            return False
        kind = document.find_kind(call.service_name, call.kind)
        return kind is not None and self.router.refuses_calls(
            kind, call.context
        )

    def _suspect_nodes(self, service: str) -> list[str]:
        return self.fleet.nodes_of(service)

    def _slot_members(self, service: str) -> list[SlotOwner]:
        return self.fleet.slot_members(service)

    def _upstream_changed(self) -> None:
        """Tells the others about the upstream and takes up its slots."""
        announcement = self.upstream.announcement
        service = self.upstream.service
        slots = announcement.slots if announcement else 0
        self.fleet.announce(service, slots, announcement is not None)
        if service:
            self.service_changed(service)
        self._slots.serve(service)

    def _upstream_crashed(self) -> None:
        self.server.upstream_crashed()

    def reload_keys(self) -> None:
        """Reads the cluster keys file again."""
        path = self.settings.cluster_keys_file
        if not path:
            return
        try:
            with open(path, encoding="ascii") as file:
                result = self.settings.cluster_keys.reload(file.read())
        except (OSError, UnicodeDecodeError) as error:
            _LOG.error("cluster keys not read", extra={"error": str(error)})
            return
        if result.is_error():
            errors = [str(error) for error in result.error]
            _LOG.error("cluster keys rejected", extra={"errors": errors})
        else:
            _LOG.info("cluster keys reloaded")

    def _every_second(self) -> None:
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
                member.takes_requests
                for member in self.fleet.membership.members()
            ),
            "roles": list(self.fleet.held_roles),
            "control_bytes": self.fleet.control_bytes,
            "key_slots_owned": self._slots.owned_count,
            "in_flight": admission.in_flight,
            "queued": admission.queued,
            "threshold": admission.threshold,
            "unknown_outcomes_total": self._unknown.total,
            "unknown_outcomes": self._unknown.to_json(),
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
        left = self._slots.leave(self._shutdown.drained)
        left.addBoth(self._slots_left)

    def _slots_left(self, is_handed_over: object) -> None:
        """Ends the shutdown; key slots may have stayed with this process."""
        if is_handed_over is not True:
            _LOG.warning("key slots or records were not handed over")
        self.close()

    def _is_idle(self) -> bool:
        """Whether no request is unfinished at this node."""
        return not (
            self._entry.active
            or self.server.unfinished
            or self.router.outstanding
        )

    @property
    def stopped(self) -> "Deferred[None]":
        """Fires once the node has closed everything."""
        return self._stopped

    def close(self) -> None:
        """Closes listeners and connections after their last answers."""
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        self._slots.close()
        if self._fleet is not None:
            self._fleet.close()
        self._store.close()
        self._listeners.close()
        self.router.close()
        self.upstream.close()
        self._timers.close()
        _LOG.info("node stopped")
        self._reactor.callLater(0.1, self._stopped.callback, None)


def new_incarnation(clock: Clock) -> int:
    """Returns a number that rises with the time of the start.

    The random bits keep two processes of one millisecond apart, on which the
    ownership of key slots depends.
    """
    return (clock.wall_ms() << _INCARNATION_RANDOM_BITS) | secrets.randbits(
        _INCARNATION_RANDOM_BITS
    )


def _answer_size(result: CallResult) -> int:
    return len(result.body) + sum(map(len, result.headers))
