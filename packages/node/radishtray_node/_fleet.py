"""Membership, configuration and crash suspects, as exchanged by the nodes.

Membership is gossiped over UDP. Nodes pull newer configurations from each
other.
"""

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
from radishtray_node._pull_client import PullClient
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
_SUSPECTS_INTERVAL_S = 0.5
_MS_PER_S = 1000
# Members of each other failure domain that are told of a change directly.
_TOLD_PER_OTHER_DOMAIN = 3


class FleetEvents(Protocol):
    """Callbacks for changes of the fleet."""

    def document_changed(self, document: Document, generation: int) -> None:
        """Called when a newer generation of the configuration applies."""
        ...

    def service_changed(self, service: str) -> None:
        """Called when the set of nodes that serve a service has changed."""
        ...

    def node_gone(self, node_id: str) -> None:
        """Called when a node or its earlier process is believed gone."""
        ...

    def node_moved(self, node_id: str) -> None:
        """Called when a node has moved to another address."""
        ...

    def process_replaced(
        self, service: str, replaced_owner: SlotOwner, node_id: str
    ) -> None:
        """Called when a newer process has taken over a node's address.

        Args:
            service: Service of the earlier process.
            replaced_owner: The earlier process, which has ended.
            node_id: The node.
        """
        ...

    def upstream_announced(self, member: MemberRecord) -> None:
        """Called when a node's process has announced its upstream."""
        ...


class ConfigurationSource(Protocol):
    """Obtains the configuration and serves it to other nodes.

    Attributes:
        held_roles: Control roles that this node holds.
    """

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Control roles that this node holds."""
        ...

    def start(self) -> None:
        """Starts looking for newer generations."""
        ...

    def close(self) -> None:
        """Stops looking for newer generations."""
        ...

    def handle_peer_generation(self, node_id: str, generation: int) -> None:
        """Handles the generation in a peer's gossip; pulls a newer one."""
        ...

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns the configuration for an older generation, or None."""
        ...


ReleasePuller = Callable[[MemberRecord, int], "Deferred[wire.ReleasePush]"]
"""Pulls a generation newer than the given one from a member."""

ConfigurationFactory = Callable[
    [Membership, Callable[[Iterable[Datagram]], None], ReleasePuller],
    ConfigurationSource,
]
"""Builds a source from the membership, a gossip sender and a puller."""


class Fleet:
    """This node's copy of the fleet's membership, and its own member record.

    Attributes:
        membership: All members known to this node.
    """

    __slots__ = (
        "_configuration",
        "_events",
        "_is_superseded",
        "_membership_driver",
        "_parsed_sections",
        "_pull_client",
        "_reactor",
        "_section_collector",
        "_socket",
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
        """Opens the gossip socket; `start` begins to exchange messages.

        Args:
            reactor: The Twisted reactor.
            clock: Time source.
            rng: Source of jitter.
            identity: Node id and incarnation of this process.
            failure_domain: Failure domain of the VM.
            node_address: Address of the node listener as ip:port.
            gossip_host: IP address of the gossip socket.
            gossip_port: UDP port of the gossip socket; 0 chooses one.
            keys: Cluster keys.
            seeds: Gossip addresses to try when the platform is down.
            store: The platform's object store.
            suspects: Crash suspects, exchanged with the other nodes.
            events: Callbacks for changes of the fleet.
            configuration: Builds the source of the configuration; None for
                a configuration made of documents.
        """
        self._reactor = reactor
        self._events = events
        self._suspects = suspects
        self._is_superseded = False
        self._parsed_sections: dict[str, tuple[str, ParsedSource]] = {}
        self._pull_client = PullClient(reactor, identity, keys)
        self._socket = GossipSocket(keys, self._on_gossip_message)
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
            on_change=self._on_member_change,
            on_generation=self._on_peer_generation,
            on_crash_suspects=self._on_peer_suspects,
        )
        self._membership_driver = MembershipDriver(
            reactor,
            clock,
            rng,
            membership=self.membership,
            send=self._socket.send,
            store=store,
            seeds=seeds,
        )
        self._section_collector: SectionCollector | None = None
        self._configuration: ConfigurationSource
        if configuration is not None:
            self._configuration = configuration(
                self.membership, self._socket.send, self._pull_release
            )
        else:
            self._configuration = ConfigurationDriver(
                reactor,
                clock,
                rng,
                store=store,
                membership=self.membership,
                send=self._socket.send,
                pull=self._pull_release,
                parse=self._parse,
                on_document=self._on_document,
            )
            self._section_collector = SectionCollector(
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
        """Gossip bytes sent and received since the start."""
        counters = self._socket.counters
        return counters.received_bytes + counters.sent_bytes

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Control roles that this node holds."""
        return self._configuration.held_roles

    def check_incarnation(self) -> None:
        """Logs once that a higher incarnation of this node is known.

        This happens if the wall clock was set back before the start. The other
        nodes ignore this process until it is restarted with a higher
        incarnation.
        """
        later = self.membership.superseded_by
        if later is not None and not self._is_superseded:
            self._is_superseded = True
            _LOG.error(
                "a higher incarnation of this node is known, so other nodes "
                "ignore this process; check the clock and restart the node",
                extra={"known_incarnation": later},
            )

    def adopt_incarnation(self, incarnation: int) -> None:
        """Announces an incarnation above that of an earlier process."""
        self._socket.send(self.membership.adopt_incarnation(incarnation))

    def start(self) -> None:
        """Starts gossip, configuration updates and suspect exchange."""
        self._membership_driver.start()
        self._configuration.start()
        if self._section_collector is not None:
            self._section_collector.start()
        self._suspects_loop.start(_SUSPECTS_INTERVAL_S, now=False)

    def close(self) -> None:
        """Leaves the fleet and stops."""
        if self._suspects_loop.running:
            self._suspects_loop.stop()
        if self._section_collector is not None:
            self._section_collector.close()
        self._configuration.close()
        self._pull_client.close()
        self._membership_driver.close()
        self._socket.close()

    # This node's own entry.

    def announce(
        self,
        service: str,
        slots: int,
        serving: bool,
        upstream_digest: int = 0,
    ) -> None:
        """Announces the state of this node's upstream to the other nodes.

        Args:
            service: Service of the upstream; empty if it is not known.
            slots: Number of requests that it runs concurrently.
            serving: Whether it accepts requests.
            upstream_digest: Names its process; 0 to leave the last one.
        """
        changes = {"slots": slots, "serving": serving}
        if upstream_digest:
            changes["upstream_digest"] = upstream_digest
        if service:
            changes["service_name"] = service  # type: ignore[assignment]
        self._socket.send(self.membership.update_own_record(**changes))  # type: ignore[arg-type]

    def announce_failures(self, percent: int) -> None:
        """Announces which percentage of its requests the upstream fails.

        The members that use it most, those of the own failure domain, are told
        directly, since gossip takes seconds to reach all.
        """
        membership = self.membership
        if membership.own_record.failure_percent == percent:
            return
        self._socket.send(membership.update_own_record(failure_percent=percent))
        told = membership.sample_by_domain(_TOLD_PER_OTHER_DOMAIN)
        self._socket.send(membership.own_record_pushes(told))

    def drain(self) -> None:
        """Announces that this node accepts no new requests."""
        self._socket.send(self.membership.update_own_record(draining=True))

    # The other members.

    def candidates(self, service: str) -> list[Candidate]:
        """Returns the nodes that accept requests for a service."""
        return [
            Candidate(
                member.node_id,
                member.failure_domain,
                member.slots,
                member.failure_percent,
            )
            for member in self._serving_members(service)
            if member.slots > 0
        ]

    def slot_members(self, service: str) -> list[SlotOwner]:
        """Returns the processes that may own key slots of a service."""
        return [
            SlotOwner(member.node_id, member.incarnation)
            for member in self._serving_members(service)
        ]

    def live_nodes(self, service: str) -> list[str]:
        """Returns the live nodes of a service, with or without an upstream."""
        return [
            member.node_id
            for member in self.membership.members()
            if member.service_name == service and member.is_live
        ]

    def _serving_members(self, service: str) -> tuple[MemberRecord, ...]:
        return self.membership.members_serving(service)

    def node_address(self, node_id: str) -> tuple[str, int] | None:
        """Returns the address of a live node's listener."""
        member = self.membership.get(node_id)
        if member is None or not member.is_live:
            return None
        return _listener_address(member)

    def is_alive(self, owner: SlotOwner) -> bool:
        """Returns whether a process is a live member in this node's view."""
        member = self.membership.get(owner.node_id)
        return (
            member is not None
            and member.is_live
            and member.incarnation == owner.incarnation
        )

    def _on_gossip_message(self, message: Any, source: str) -> Any:
        return self.membership.receive(message, source)

    def _on_member_change(self, change: MemberChange) -> None:
        before, after = change.before, change.after
        is_replaced = before is not None and (
            before.incarnation < after.incarnation
        )
        has_moved = before is not None and (
            before.node_address != after.node_address
        )
        if has_moved:
            self._events.node_moved(after.node_id)
        elif change.died_or_left or is_replaced:
            self._events.node_gone(after.node_id)
        if after.upstream_digest and (
            before is None
            or is_replaced
            or before.upstream_digest != after.upstream_digest
        ):
            self._events.upstream_announced(after)
        services = {after.service_name}
        if before is not None:
            services.add(before.service_name)
        for service in services - {""}:
            self._events.service_changed(service)
        if before is not None and is_replaced and not has_moved:
            # The address is the same, so a completed handshake there proves
            # that the earlier process has ended.
            replaced_owner = SlotOwner(before.node_id, before.incarnation)
            self._events.process_replaced(
                before.service_name, replaced_owner, after.node_id
            )

    # Configuration.

    def _on_peer_generation(self, node_id: str, generation: int) -> None:
        self._configuration.handle_peer_generation(node_id, generation)

    def _pull_release(
        self, member: MemberRecord, have_generation: int
    ) -> "Deferred[wire.ReleasePush]":
        return self._pull_client.pull(
            _listener_address(member), have_generation
        )

    def answer_release_pull(self, pull: wire.ReleasePull) -> wire.Frame:
        """Returns the reply to a pull of another node."""
        push = self._configuration.answer_pull(pull.have_generation)
        if push is None:
            push = wire.ReleasePush(generation=0, manifest=b"", sections={})
        return wire.Frame(release_push=push)

    def _parse(self, texts: Mapping[str, str]) -> "Result[Document, list[Any]]":
        """Combines all sections, and parses only those that have changed."""
        parsed: dict[str, tuple[str, ParsedSource]] = {}
        for section, text in texts.items():
            known = self._parsed_sections.get(section)
            if known is None or known[0] != text:
                known = (text, parse_source(section, text))
            parsed[section] = known
        combined = combine_sources([source for _, source in parsed.values()])
        if combined.is_error():
            return Error(list(combined.error))
        self._parsed_sections = parsed
        return Ok(combined.ok)

    def _on_document(self, generation: int, document: Document) -> None:
        self._events.document_changed(document, generation)

    # Crash suspects.

    def _publish_suspects(self) -> None:
        self.membership.set_crash_suspects(
            CrashSuspectEntry(
                s.fingerprint,
                s.crashes,
                int(s.ttl_s * _MS_PER_S),
                s.crash_ids,
            )
            for s in self._suspects.export()
        )

    def _on_peer_suspects(self, notes: Any) -> None:
        self._suspects.merge(
            CrashSuspect(
                n.fingerprint, n.crashes, n.ttl_ms / _MS_PER_S, n.crash_ids
            )
            for n in notes
        )


def _listener_address(member: MemberRecord) -> tuple[str, int]:
    """Returns the IP address and port of a member's node listener."""
    host, _, port = member.node_address.rpartition(":")
    return host, int(port)
