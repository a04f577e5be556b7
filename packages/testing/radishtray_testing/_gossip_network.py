"""In-memory network of membership nodes on a manual clock."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from radishtray_state import (
    Datagram,
    ManualClock,
    MemberChange,
    MemberRecord,
    Membership,
    MembershipParameters,
    MemberState,
)

_TICK_S = 0.25


def member_record(
    index: int,
    *,
    domain: str = "zone-0",
    service: str = "taquilla",
    incarnation: int = 1,
    node_id: str | None = None,
) -> MemberRecord:
    """Returns the record of a serving node whose addresses follow its index."""
    address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
    return MemberRecord(
        node_id=node_id or f"node-{index:05d}",
        incarnation=incarnation,
        state=MemberState.ALIVE,
        version=1,
        gossip_address=f"{address}:7401",
        node_address=f"{address}:7400",
        failure_domain=domain,
        service_name=service,
        slots=40,
        serving=True,
        draining=False,
    )


class GossipNetwork:
    """Delivers datagrams between nodes with latency, loss, cuts and pauses."""

    __slots__ = (
        "_cut",
        "_events",
        "_order",
        "_paused",
        "_rng",
        "_seeds",
        "_ticking",
        "changes",
        "clock",
        "latency_s",
        "loss",
        "nodes",
        "sent",
    )

    def __init__(
        self, seed: int, loss: float = 0.0, latency_s: float = 0.005
    ) -> None:
        """Starts without nodes.

        Args:
            seed: Seed of loss, latency and all nodes' choices.
            loss: Probability that a datagram is lost.
            latency_s: Mean one-way latency in seconds.
        """
        self._rng = random.Random(seed)
        self.loss = loss
        self.latency_s = latency_s
        self.clock = ManualClock()
        self.nodes: dict[str, Membership] = {}
        """Running nodes by gossip address."""
        self.changes: dict[str, list[MemberChange]] = {}
        """Changes that each running node reported, by node id."""
        self.sent: Counter[tuple[str, int]] = Counter()
        """Datagrams by sender address and second."""
        self._cut: Callable[[str, str], bool] | None = None
        self._paused: dict[str, list[tuple[Datagram, str]]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._seeds: dict[str, tuple[str, ...]] = {}
        self._ticking: set[str] = set()

    def add(
        self,
        record: MemberRecord,
        seeds: Iterable[str] = (),
        parameters: MembershipParameters | None = None,
        on_generation: Callable[[str, int], None] = lambda _peer, _told: None,
    ) -> Membership:
        """Starts a node, in place of the one at its address if there is one.

        It pings the seeds until it knows a peer, as the driver does.
        """
        changes = self.changes[record.node_id] = []
        node = Membership(
            record,
            self.clock,
            random.Random(self._rng.random()),
            parameters,
            on_change=changes.append,
            on_generation=on_generation,
        )
        address = record.gossip_address
        self.nodes[address] = node
        self._paused.pop(address, None)
        if address not in self._ticking:
            self._ticking.add(address)
            phase_s = self._rng.uniform(0, _TICK_S)
            self.schedule(phase_s, partial(self._tick, address))
        self._seeds[address] = tuple(seeds)
        return node

    def kill(self, address: str) -> None:
        """Ends a node without notice."""
        del self.nodes[address]
        self._paused.pop(address, None)

    def pause(self, address: str) -> None:
        """Stops a node; what arrives waits in its socket buffer."""
        self._paused[address] = []

    def resume(self, address: str) -> None:
        """Lets a paused node run again."""
        for datagram, source in self._paused.pop(address):
            self._deliver(datagram, source)

    def cut(self, separates: Callable[[str, str], bool] | None) -> None:
        """Loses every datagram between addresses for which it is true."""
        self._cut = separates

    def send(self, datagrams: Iterable[Datagram], source: str) -> None:
        """Puts datagrams on the network."""
        now = self.clock.monotonic()
        for datagram in datagrams:
            self.sent[source, int(now)] += 1
            if self._rng.random() < self.loss:
                continue
            if self._cut is not None and self._cut(source, datagram.address):
                continue
            latency = self._rng.uniform(0.5, 1.5) * self.latency_s
            self.schedule(latency, partial(self._deliver, datagram, source))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay of simulated time."""
        self._order += 1
        due = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (due, self._order, action))

    def run(self, seconds: float) -> None:
        """Advances the clock from event to event."""
        end = self.clock.monotonic() + seconds
        while self._events and self._events[0][0] <= end:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due - self.clock.monotonic()))
            action()
        self.clock.advance(max(0.0, end - self.clock.monotonic()))

    def agreed(self) -> bool:
        """Returns whether all running nodes hold the same live members."""
        digests = {node.view_digest for node in self.nodes.values()}
        counts = {node.live_count for node in self.nodes.values()}
        return len(digests) == 1 and counts == {len(self.nodes)}

    def run_until_agreed(self, limit_s: int) -> int:
        """Runs until views agree.

        Returns:
            Simulated seconds that it took.

        Raises:
            TimeoutError: If views differ after limit_s simulated seconds.
        """
        for second in range(limit_s):
            if self.agreed():
                return second
            self.run(1.0)
        if self.agreed():
            return limit_s
        raise TimeoutError(f"views differ after {limit_s} simulated seconds")

    def deaths(self) -> list[tuple[str, str]]:
        """Returns (observer, subject) for each death that a node reported."""
        return [
            (observer, change.after.node_id)
            for observer, changes in self.changes.items()
            for change in changes
            if change.died_or_left and change.after.state is MemberState.DEAD
        ]

    def _deliver(self, datagram: Datagram, source: str) -> None:
        address = datagram.address
        if address in self._paused:
            self._paused[address].append((datagram, source))
            return
        node = self.nodes.get(address)
        if node is not None:
            self.send(node.receive(datagram.message, source), address)

    def _tick(self, address: str) -> None:
        node = self.nodes.get(address)
        if node is None:
            self._ticking.discard(address)
            return
        self.schedule(_TICK_S, partial(self._tick, address))
        if address in self._paused:
            return
        self.send(node.tick(self.clock.monotonic()), address)
        if node.live_count == 1:
            self.send(node.join(self._seeds[address]), address)
