"""Simulation of a cluster and its platform in simulated time.

Each node runs the coordination drivers of production on a fake reactor of its
own, so that a test can pause a single node.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from expression import Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from radishtray_coordination import (
    ConfigurationDriver,
    MembershipDriver,
    SectionCollector,
)
from radishtray_protocol import (
    RELEASE_OBJECT,
    Release,
    next_release,
    section_digest,
    section_object_name,
    wire,
)
from radishtray_state import Datagram, MemberRecord, Membership
from radishtray_testing._memory_store import MemoryStore

_STEP_S = 0.05
_LATENCY_S = 0.005

SectionTexts = dict[str, str]
"""Texts of the configuration's sections by section name."""


class ReactorClock:
    """A `Clock` that reads the time of a fake reactor."""

    __slots__ = ("_reactor",)

    def __init__(self, reactor: FakeReactor) -> None:
        """Creates the clock of a reactor."""
        self._reactor = reactor

    def monotonic(self) -> float:
        """Returns the reactor's time in seconds."""
        return float(self._reactor.seconds())

    def wall_ms(self) -> int:
        """Returns the reactor's time in milliseconds."""
        return int(self._reactor.seconds() * 1000)


class ClusterNode:
    """A node with its drivers: membership, configuration, section collector.

    Attributes:
        reactor: The node's own fake reactor.
        clock: Time of that reactor.
        client: Client of the platform's store.
        documents: Generations and documents in the order of their adoption.
        membership: State of the membership protocol.
        configuration: Driver that distributes and adopts configurations.
        membership_driver: Driver that joins the cluster and runs the protocol.
        collector: Driver that deletes unreferenced sections.
        drivers: All drivers, in the order in which they are started.
    """

    def __init__(
        self,
        cluster: "Cluster",
        record: MemberRecord,
        seeds: Sequence[str],
        parse: Callable[[SectionTexts], Result[Any, Any]],
    ) -> None:
        """Builds a node, which `start` then runs.

        Args:
            cluster: Network and platform of the node.
            record: Own member record.
            seeds: Gossip addresses to join through.
            parse: Builds a document from the texts of the sections.
        """
        self._cluster = cluster
        self.reactor = FakeReactor()
        self.reactor.advance(cluster.store.reactor.seconds())
        self.clock = ReactorClock(self.reactor)
        self.client = cluster.store.client(self.reactor)
        self.documents: list[tuple[int, Any]] = []
        rng = random.Random(cluster.rng.random())
        self.membership = Membership(
            record,
            self.clock,
            rng,
            on_generation=self._on_peer_generation,
        )
        self.configuration = self._build_configuration(rng, parse)
        self.membership_driver = MembershipDriver(
            self.reactor,
            self.clock,
            rng,
            membership=self.membership,
            send=self.send,
            store=self.client,
            seeds=seeds,
        )
        self.collector = SectionCollector(
            self.reactor,
            self.clock,
            rng,
            store=self.client,
            membership=self.membership,
        )
        self.drivers = (
            self.membership_driver,
            self.configuration,
            self.collector,
        )

    def _build_configuration(
        self,
        rng: random.Random,
        parse: Callable[[SectionTexts], Result[Any, Any]],
    ) -> Any:
        return ConfigurationDriver(
            self.reactor,
            self.clock,
            rng,
            store=self.client,
            membership=self.membership,
            send=self.send,
            pull=self.pull_release,
            parse=parse,
            on_document=lambda *adopted: self.documents.append(adopted),
        )

    @property
    def address(self) -> str:
        """The node's gossip address."""
        return self.membership.own_record.gossip_address

    def start(self) -> None:
        """Starts all drivers."""
        for driver in self.drivers:
            driver.start()

    def close(self) -> None:
        """Closes all drivers, in the reverse order of their start."""
        for driver in reversed(self.drivers):
            driver.close()

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Sends datagrams to other nodes of the cluster."""
        for datagram in datagrams:
            self._cluster.deliver(
                self.address, datagram.address, self._receive_action(datagram)
            )

    def _on_peer_generation(self, node_id: str, generation: int) -> None:
        self.configuration.handle_peer_generation(node_id, generation)

    def _receive_action(
        self, datagram: Datagram
    ) -> Callable[["ClusterNode"], None]:
        return lambda peer: peer.send(
            peer.membership.receive(datagram.message, self.address)
        )

    def pull_release(
        self, member: MemberRecord, have_generation: int
    ) -> "Deferred[wire.ReleasePush]":
        """Pulls a newer release from a peer."""
        answer: Deferred[wire.ReleasePush] = Deferred(lambda _: None)

        def send_release(peer: "ClusterNode") -> None:
            push = peer.configuration.answer_pull(have_generation)
            self._cluster.deliver(
                peer.address,
                self.address,
                lambda _: None if answer.called else answer.callback(push),
            )

        self._cluster.deliver(self.address, member.gossip_address, send_release)
        return answer


class Cluster:
    """The nodes, the network between them and the platform's store.

    Attributes:
        rng: Source of the seeds of the nodes' random choices.
        store: The platform's store; its reactor holds the simulated time.
        nodes: Running nodes by gossip address.
        paused: Gossip addresses of nodes whose reactor does not advance.
        is_partitioned: Returns whether messages from a first gossip address to
            a second are lost.
        on_step: Called after every time step, so that tests can check
            invariants.
        release: The release that was published last.
    """

    def __init__(
        self,
        seed: int,
        build_node: Callable[..., "ClusterNode"] | None = None,
    ) -> None:
        """Creates a cluster without nodes.

        Args:
            seed: Seed of every random choice.
            build_node: Builds a node; `ClusterNode` if None.
        """
        self._build_node = build_node or ClusterNode
        self.rng = random.Random(seed)
        self.store = MemoryStore(FakeReactor(), random.Random(seed))
        self.nodes: dict[str, ClusterNode] = {}
        self.paused: set[str] = set()
        self.is_partitioned: Callable[[str, str], bool] = lambda _a, _b: False
        self.on_step: Callable[[], None] = lambda: None
        self.release: Release | None = None

    def add(
        self,
        record: MemberRecord,
        seeds: Sequence[str] = (),
        parse: Callable[[SectionTexts], Result[Any, Any]] = Ok,
    ) -> ClusterNode:
        """Adds a node and starts it.

        Args:
            record: Member record of the node.
            seeds: Gossip addresses to join through.
            parse: Builds a document from the texts of the sections.
        """
        node = self._build_node(self, record, seeds, parse)
        self.nodes[node.address] = node
        node.start()
        return node

    def kill(self, address: str) -> ClusterNode:
        """Simulates a crash: removes a node, which sends no leave message."""
        self.paused.discard(address)
        return self.nodes.pop(address)

    def deliver(
        self,
        source: str,
        target: str,
        action: Callable[[ClusterNode], None],
    ) -> None:
        """Runs an action at a node after the latency of the network.

        The message is lost if the target does not run or if a partition
        separates it from the source.

        Args:
            source: Gossip address of the sender.
            target: Gossip address of the receiver.
            action: Called with the receiver.
        """
        node = self.nodes.get(target)
        if node is None or self.is_partitioned(source, target):
            return
        node.reactor.callLater(_LATENCY_S, action, node)

    def run(self, seconds: float) -> None:
        """Advances simulated time; paused nodes catch up once they resume."""
        for _ in range(round(seconds / _STEP_S)):
            self.store.reactor.advance(_STEP_S)
            now = self.store.reactor.seconds()
            for address, node in list(self.nodes.items()):
                if address not in self.paused:
                    node.reactor.advance(now - node.reactor.seconds())
            self.on_step()

    def publish(self, **texts: str) -> int:
        """Writes a release to the platform's store without simulated delay.

        Args:
            **texts: New texts by section name; other sections stay.

        Returns:
            The generation of the release.
        """
        for name, text in texts.items():
            key = section_object_name(name, section_digest(text))
            self.store.write(key, text.encode(), None)
        digests = {name: section_digest(text) for name, text in texts.items()}
        previous = self.store.read(RELEASE_OBJECT)
        self.release = next_release(
            self.release, digests, change_id="c", author="team", time_ms=0
        )
        version = previous.ok.version if previous.is_ok() else None
        self.store.write(RELEASE_OBJECT, self.release.encode(), version)
        return self.release.generation

    def generations(self) -> set[int]:
        """Returns the distinct generations in effect at the running nodes."""
        return {node.configuration.generation for node in self.nodes.values()}
