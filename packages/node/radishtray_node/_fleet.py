"""This node among the others: membership, configuration and crash suspects."""

import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from radishtray_coordination import (
    ConfigurationDriver,
    MembershipDriver,
    SectionCollector,
    WatchableStore,
)
from radishtray_protocol import (
    ClusterKeys,
    Document,
    ParsedSource,
    combine_sources,
    parse_source,
    wire,
)
from radishtray_state import (
    Candidate,
    Clock,
    CrashSuspect,
    CrashSuspectEntry,
    CrashSuspects,
    CrashTally,
    Datagram,
    MemberChange,
    MemberRecord,
    Membership,
    MemberState,
    SlotOwner,
)
from radishtray_transport import GossipSocket, NodeIdentity

_LOG = logging.getLogger(__name__)
_PULL_TIMEOUT_S = 3.0
_SUSPECTS_INTERVAL_S = 0.5
_MS_PER_S = 1000


class FleetEvents(Protocol):
    """What the node does when the fleet changes."""

    def document_changed(self, document: Document, generation: int) -> None:
        """A newer generation of the configuration is in force."""
        ...

    def service_changed(self, service: str) -> None:
        """The nodes that serve a service have changed."""
        ...

    def node_gone(self, node_id: str) -> None:
        """A node has died, left or moved to another address."""
        ...

    def process_replaced(
        self, service: str, dead: SlotOwner, node_id: str
    ) -> None:
        """A newer process answers at a node's address in place of another."""
        ...

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame; False if the node has no address."""
        ...


class ConfigurationSource(Protocol):
    """Gets the configuration and hands it to other nodes.

    Attributes:
        held_roles: Control roles that this node holds.
    """

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Control roles that this node holds."""
        ...

    def start(self) -> None:
        """Starts to look for newer generations."""
        ...

    def close(self) -> None:
        """Stops."""
        ...

    def peer_told(self, node_id: str, generation: int) -> None:
        """A node has said that it knows a newer generation."""
        ...

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns what a node with an older generation lacks."""
        ...


Pull = Callable[[MemberRecord, int], "Deferred[wire.ReleasePush]"]
"""Asks a member for a generation newer than the given one."""

ConfigurationFactory = Callable[
    [Membership, Callable[[Iterable[Datagram]], None], Pull],
    ConfigurationSource,
]
"""Builds a source from the view, the gossip socket and the pulls."""


class Fleet:
    """The node's view of the fleet, and what the fleet knows of the node.

    Attributes:
        membership: View of all members.
    """

    __slots__ = (
        "_collector",
        "_configuration",
        "_driver",
        "_events",
        "_is_superseded",
        "_pulls",
        "_reactor",
        "_socket",
        "_sources",
        "_suspects",
        "_suspects_loop",
        "membership",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rng: random.Random,
        *,
        identity: NodeIdentity,
        failure_domain: str,
        node_address: str,
        gossip_host: str,
        gossip_port: int,
        keys: ClusterKeys,
        seeds: tuple[str, ...],
        store: WatchableStore,
        suspects: CrashSuspects | CrashTally,
        events: FleetEvents,
        configuration: ConfigurationFactory | None = None,
    ) -> None:
        """Opens the gossip socket and joins the parts.

        Args:
            reactor: The Twisted reactor.
            clock: Time source.
            rng: Source of jitter.
            identity: This node.
            failure_domain: Failure domain of the VM.
            node_address: Address of the node listener as ip:port.
            gossip_host: IP address of the gossip socket.
            gossip_port: UDP port of the gossip socket; 0 chooses one.
            keys: Cluster keys.
            seeds: Gossip addresses to try when the platform is down.
            store: The platform's objects.
            suspects: Crash suspects, exchanged with the other nodes.
            events: What to do when the fleet changes.
            configuration: Builds the source of the configuration; None for
                that of documents.
        """
        self._reactor = reactor
        self._events = events
        self._suspects = suspects
        self._is_superseded = False
        self._sources: dict[str, tuple[str, ParsedSource]] = {}
        self._pulls: dict[str, Deferred[wire.ReleasePush]] = {}
        self._socket = GossipSocket(keys, self._message_received)
        self._socket.start(reactor, gossip_host, gossip_port)
        own = MemberRecord(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            state=MemberState.ALIVE,
            version=0,
            gossip_address=self._socket.address,
            node_address=node_address,
            failure_domain=failure_domain,
            service_name="",
            slots=0,
            serving=False,
            draining=False,
        )
        self.membership = Membership(
            own,
            clock,
            rng,
            on_change=self._member_changed,
            on_generation=self._generation_told,
            on_crash_suspects=self._suspects_told,
        )
        self._driver = MembershipDriver(
            reactor,
            clock,
            rng,
            membership=self.membership,
            send=self._socket.send,
            store=store,
            seeds=seeds,
        )
        self._collector: SectionCollector | None = None
        self._configuration: ConfigurationSource
        if configuration is not None:
            self._configuration = configuration(
                self.membership, self._socket.send, self._pull
            )
        else:
            self._configuration = ConfigurationDriver(
                reactor,
                clock,
                rng,
                store=store,
                membership=self.membership,
                send=self._socket.send,
                pull=self._pull,
                parse=self._parse,
                on_document=self._document_changed,
            )
            self._collector = SectionCollector(
                reactor, clock, rng, store=store, membership=self.membership
            )
        self._suspects_loop = LoopingCall(self._publish_suspects)
        self._suspects_loop.clock = reactor

    @property
    def gossip_address(self) -> str:
        """Address of the gossip socket as ip:port."""
        return self._socket.address

    @property
    def control_bytes(self) -> int:
        """Bytes of gossip sent and received since the start."""
        counters = self._socket.counters
        return counters.received_bytes + counters.sent_bytes

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Control roles that this node holds."""
        return self._configuration.held_roles

    def check_incarnation(self) -> None:
        """Reports once that a later process of this node is known.

        The wall clock was set back before the start; the others ignore this
        process until it starts again with a higher incarnation.
        """
        later = self.membership.superseded_by
        if later is not None and not self._is_superseded:
            self._is_superseded = True
            _LOG.error(
                "a higher incarnation of this node is known; check the clock",
                extra={"known_incarnation": later},
            )

    def adopt_incarnation(self, incarnation: int) -> None:
        """Takes an incarnation above that of an earlier process."""
        self._socket.send(self.membership.adopt_incarnation(incarnation))

    def start(self) -> None:
        """Starts all periodic work."""
        self._driver.start()
        self._configuration.start()
        if self._collector is not None:
            self._collector.start()
        self._suspects_loop.start(_SUSPECTS_INTERVAL_S, now=False)

    def close(self) -> None:
        """Leaves the fleet and stops."""
        if self._suspects_loop.running:
            self._suspects_loop.stop()
        if self._collector is not None:
            self._collector.close()
        self._configuration.close()
        self._driver.close()
        self._socket.close()

    # What the fleet knows of this node.

    def announce(self, service: str, slots: int, serving: bool) -> None:
        """Tells the others about the upstream."""
        changes = {"slots": slots, "serving": serving}
        if service:
            changes["service_name"] = service  # type: ignore[assignment]
        self._socket.send(self.membership.update_own_record(**changes))  # type: ignore[arg-type]

    def drain(self) -> None:
        """Tells the others that this node takes no new work."""
        self._socket.send(self.membership.update_own_record(draining=True))

    # What this node knows of the fleet.

    def candidates(self, service: str) -> list[Candidate]:
        """Returns the nodes that take requests for a service."""
        return [
            Candidate(member.node_id, member.failure_domain, member.slots)
            for member in self._serving(service)
            if member.slots > 0
        ]

    def slot_members(self, service: str) -> list[SlotOwner]:
        """Returns the processes that may own key slots of a service."""
        return [
            SlotOwner(member.node_id, member.incarnation)
            for member in self._serving(service)
        ]

    def nodes_of(self, service: str) -> list[str]:
        """Returns the live nodes of a service, also without an upstream."""
        return [
            member.node_id
            for member in self.membership.members()
            if member.service_name == service and member.is_live
        ]

    def _serving(self, service: str) -> tuple[MemberRecord, ...]:
        return self.membership.members_serving(service)

    def node_address(self, node_id: str) -> tuple[str, int] | None:
        """Returns the address of a live node's listener."""
        member = self.membership.get(node_id)
        if member is None or not member.is_live:
            return None
        host, _, port = member.node_address.rpartition(":")
        return host, int(port)

    def is_alive(self, owner: SlotOwner) -> bool:
        """Returns whether a process is believed to answer."""
        member = self.membership.get(owner.node_id)
        return (
            member is not None
            and member.is_live
            and member.incarnation == owner.incarnation
        )

    def _message_received(self, message: Any, source: str) -> Any:
        return self.membership.receive(message, source)

    def _member_changed(self, change: MemberChange) -> None:
        before, after = change.before, change.after
        is_replaced = before is not None and (
            before.incarnation < after.incarnation
        )
        has_moved = before is not None and (
            before.node_address != after.node_address
        )
        if change.died_or_left or has_moved or is_replaced:
            self._events.node_gone(after.node_id)
        services = {after.service_name}
        if before is not None:
            services.add(before.service_name)
        for service in services - {""}:
            self._events.service_changed(service)
        if before is not None and is_replaced and not has_moved:
            # The same address: a completed handshake there proves that the
            # earlier process has ended.
            dead = SlotOwner(before.node_id, before.incarnation)
            self._events.process_replaced(
                before.service_name, dead, after.node_id
            )

    # Configuration.

    def _generation_told(self, node_id: str, generation: int) -> None:
        self._configuration.peer_told(node_id, generation)

    def _pull(
        self, member: MemberRecord, have_generation: int
    ) -> "Deferred[wire.ReleasePush]":
        done: Deferred[wire.ReleasePush] = Deferred()
        frame = wire.Frame(
            release_pull=wire.ReleasePull(have_generation=have_generation)
        )
        if not self._events.send_control(member.node_id, frame):
            done.errback(ConnectionError(f"{member.node_id} has no address"))
            return done
        self._pulls[member.node_id] = done
        done.addTimeout(_PULL_TIMEOUT_S, self._reactor)
        return done

    def release_pulled(self, pull: wire.ReleasePull) -> wire.Frame:
        """Returns the reply to a pull of another node."""
        push = self._configuration.answer_pull(pull.have_generation)
        if push is None:
            push = wire.ReleasePush(generation=0, manifest=b"", sections={})
        return wire.Frame(release_push=push)

    def release_received(self, node_id: str, push: wire.ReleasePush) -> None:
        """Takes the reply to the pull from a node."""
        done = self._pulls.pop(node_id, None)
        if done is not None and not done.called:
            done.callback(push)

    def _parse(self, texts: Mapping[str, str]) -> "Result[Document, list[Any]]":
        """Parses only the sections that have changed."""
        parsed: dict[str, tuple[str, ParsedSource]] = {}
        for section, text in texts.items():
            known = self._sources.get(section)
            if known is None or known[0] != text:
                known = (text, parse_source(section, text))
            parsed[section] = known
        combined = combine_sources([source for _, source in parsed.values()])
        if combined.is_error():
            return Error(list(combined.error))
        self._sources = parsed
        return Ok(combined.ok)

    def _document_changed(self, generation: int, document: Document) -> None:
        self._events.document_changed(document, generation)

    # Crash suspects.

    def _publish_suspects(self) -> None:
        self.membership.set_crash_suspects(
            CrashSuspectEntry(
                s.fingerprint, s.crashes, int(s.ttl_s * _MS_PER_S)
            )
            for s in self._suspects.export()
        )

    def _suspects_told(self, notes: Any) -> None:
        self._suspects.merge(
            CrashSuspect(n.fingerprint, n.crashes, n.ttl_ms / _MS_PER_S)
            for n in notes
        )
