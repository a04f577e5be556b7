"""Nodes with all coordination drivers on fake clocks."""

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

Texts = dict[str, str]


class ReactorClock:
    """The time of a fake reactor as a `Clock`."""

    __slots__ = ("_reactor",)

    def __init__(self, reactor: FakeReactor) -> None:
        """Takes the reactor."""
        self._reactor = reactor

    def monotonic(self) -> float:
        """Returns the reactor's seconds."""
        return float(self._reactor.seconds())

    def wall_ms(self) -> int:
        """Returns the reactor's time in milliseconds."""
        return int(self._reactor.seconds() * 1000)


class ClusterNode:
    """One node: membership, configuration and the collector."""

    def __init__(
        self,
        cluster: "Cluster",
        record: MemberRecord,
        seeds: Sequence[str],
        parse: Callable[[Texts], Result[Any, Any]],
    ) -> None:
        """Builds the node; `start` runs it."""
        self._cluster = cluster
        self.reactor = FakeReactor()
        self.reactor.advance(cluster.store.reactor.seconds())
        self.clock = ReactorClock(self.reactor)
        self.client = cluster.store.client(self.reactor)
        self.documents: list[tuple[int, Any]] = []
        """Generations and documents in the order of their adoption."""
        rng = random.Random(cluster.rng.random())
        self.membership = Membership(
            record,
            self.clock,
            rng,
            on_generation=self._peer_told,
        )
        self.configuration = ConfigurationDriver(
            self.reactor,
            self.clock,
            rng,
            store=self.client,
            membership=self.membership,
            send=self.send,
            pull=self._pull,
            parse=parse,
            on_document=lambda *adopted: self.documents.append(adopted),
        )
        self.joining = MembershipDriver(
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
        self.drivers = (self.joining, self.configuration, self.collector)

    @property
    def address(self) -> str:
        """Own gossip address."""
        return self.membership.own_record.gossip_address

    def start(self) -> None:
        """Starts all drivers."""
        for driver in self.drivers:
            driver.start()

    def close(self) -> None:
        """Closes all drivers."""
        for driver in reversed(self.drivers):
            driver.close()

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Sends datagrams to other nodes of the cluster."""
        for datagram in datagrams:
            self._cluster.deliver(
                self.address, datagram.address, self._receiver(datagram)
            )

    def _peer_told(self, node_id: str, generation: int) -> None:
        self.configuration.peer_told(node_id, generation)

    def _receiver(self, datagram: Datagram) -> Callable[["ClusterNode"], None]:
        return lambda peer: peer.send(
            peer.membership.receive(datagram.message, self.address)
        )

    def _pull(
        self, member: MemberRecord, have_generation: int
    ) -> "Deferred[wire.ReleasePush]":
        answer: Deferred[wire.ReleasePush] = Deferred(lambda _: None)

        def ask(peer: "ClusterNode") -> None:
            push = peer.configuration.answer_pull(have_generation)
            self._cluster.deliver(
                peer.address,
                self.address,
                lambda _: None if answer.called else answer.callback(push),
            )

        self._cluster.deliver(self.address, member.gossip_address, ask)
        return answer


class Cluster:
    """All nodes, their network and the platform."""

    def __init__(self, seed: int) -> None:
        """Starts without nodes.

        Args:
            seed: Seed of every random choice.
        """
        self.rng = random.Random(seed)
        self.store = MemoryStore(FakeReactor(), random.Random(seed))
        self.nodes: dict[str, ClusterNode] = {}
        """Running nodes by gossip address."""
        self.paused: set[str] = set()
        """Addresses of nodes that stand still."""
        self.is_cut: Callable[[str, str], bool] = lambda _a, _b: False
        self.observe: Callable[[], None] = lambda: None
        """Called after every step, for invariants."""
        self.release: Release | None = None

    def add(
        self,
        record: MemberRecord,
        seeds: Sequence[str] = (),
        parse: Callable[[Texts], Result[Any, Any]] = Ok,
    ) -> ClusterNode:
        """Starts a node."""
        node = ClusterNode(self, record, seeds, parse)
        self.nodes[node.address] = node
        node.start()
        return node

    def kill(self, address: str) -> ClusterNode:
        """Ends a node without notice."""
        self.paused.discard(address)
        return self.nodes.pop(address)

    def deliver(
        self,
        source: str,
        target: str,
        action: Callable[[ClusterNode], None],
    ) -> None:
        """Runs an action at a node after the latency of the network."""
        node = self.nodes.get(target)
        if node is None or self.is_cut(source, target):
            return
        node.reactor.callLater(_LATENCY_S, action, node)

    def run(self, seconds: float) -> None:
        """Advances all clocks; a paused node catches up when it resumes."""
        for _ in range(round(seconds / _STEP_S)):
            self.store.reactor.advance(_STEP_S)
            now = self.store.reactor.seconds()
            for address, node in list(self.nodes.items()):
                if address not in self.paused:
                    node.reactor.advance(now - node.reactor.seconds())
            self.observe()

    def publish(self, **texts: str) -> int:
        """Puts a release with changed sections into the platform at once."""
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
        """Returns the generations in effect at running nodes."""
        return {node.configuration.generation for node in self.nodes.values()}
