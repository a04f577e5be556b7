"""Discrete-event simulation of the membership protocol on a manual clock."""

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

_TICK_INTERVAL_S = 0.25


def member_record(
    index: int,
    *,
    domain: str = "zone-0",
    service: str = "taquilla",
    incarnation: int = 1,
    node_id: str | None = None,
) -> MemberRecord:
    """Returns the record of a serving node, with addresses from its index."""
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
    """Simulates a datagram network with latency, loss, partitions and pauses.

    Attributes:
        clock: Simulated time.
        loss: Probability that a datagram is lost.
        latency_s: Mean one-way latency in seconds.
        nodes: Running nodes by gossip address.
        changes: Changes that each running node reported, by node id.
        sent_counts: Number of datagrams by sender address and simulated second.
    """

    __slots__ = (
        "_event_number",
        "_events",
        "_is_partitioned",
        "_paused_inboxes",
        "_rng",
        "_seeds",
        "_ticking_addresses",
        "changes",
        "clock",
        "latency_s",
        "loss",
        "nodes",
        "sent_counts",
    )

    def __init__(
        self, seed: int, loss: float = 0.0, latency_s: float = 0.005
    ) -> None:
        """Creates a network without nodes.

        Args:
            seed: Seed of losses, latencies and the nodes' random choices.
            loss: Probability that a datagram is lost.
            latency_s: Mean one-way latency in seconds.
        """
        self._rng = random.Random(seed)
        self.loss = loss
        self.latency_s = latency_s
        self.clock = ManualClock()
        self.nodes: dict[str, Membership] = {}
        self.changes: dict[str, list[MemberChange]] = {}
        self.sent_counts: Counter[tuple[str, int]] = Counter()
        self._is_partitioned: Callable[[str, str], bool] | None = None
        self._paused_inboxes: dict[str, list[tuple[Datagram, str]]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self._seeds: dict[str, tuple[str, ...]] = {}
        self._ticking_addresses: set[str] = set()

    def add(
        self,
        record: MemberRecord,
        seeds: Iterable[str] = (),
        parameters: MembershipParameters | None = None,
        on_generation: Callable[[str, int], None] = lambda _peer, _number: None,
    ) -> Membership:
        """Starts a node; it replaces the one at its address, if any.

        The node pings the seeds until its membership view holds a peer, as
        with the membership driver.

        Args:
            record: Member record of the node.
            seeds: Gossip addresses to join through.
            parameters: Timing of the membership protocol; None for defaults.
            on_generation: Called with a peer's node id and configuration
                generation if that generation is higher than the node's own.
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
        self._paused_inboxes.pop(address, None)
        if address not in self._ticking_addresses:
            self._ticking_addresses.add(address)
            phase_s = self._rng.uniform(0, _TICK_INTERVAL_S)
            self.schedule(phase_s, partial(self._tick, address))
        self._seeds[address] = tuple(seeds)
        return node

    def kill(self, address: str) -> None:
        """Simulates a crash: removes a node, which sends no leave message."""
        del self.nodes[address]
        self._paused_inboxes.pop(address, None)

    def pause(self, address: str) -> None:
        """Pauses a node; datagrams to it are buffered, as in its socket."""
        self._paused_inboxes[address] = []

    def resume(self, address: str) -> None:
        """Resumes a paused node and delivers the buffered datagrams."""
        for datagram, source in self._paused_inboxes.pop(address):
            self._deliver(datagram, source)

    def set_partition(
        self, is_partitioned: Callable[[str, str], bool] | None
    ) -> None:
        """Partitions the network.

        Args:
            is_partitioned: Returns whether datagrams from a first address to a
                second are lost; None ends the partition.
        """
        self._is_partitioned = is_partitioned

    def send(self, datagrams: Iterable[Datagram], source: str) -> None:
        """Sends datagrams from an address; each may be lost."""
        now = self.clock.monotonic()
        for datagram in datagrams:
            self.sent_counts[source, int(now)] += 1
            if self._rng.random() < self.loss:
                continue
            if self._is_partitioned is not None and self._is_partitioned(
                source, datagram.address
            ):
                continue
            latency_s = self._rng.uniform(0.5, 1.5) * self.latency_s
            self.schedule(latency_s, partial(self._deliver, datagram, source))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in simulated time."""
        self._event_number += 1
        due_s = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (due_s, self._event_number, action))

    def run(self, seconds: float) -> None:
        """Runs all events that are due within a time and advances the clock."""
        end_s = self.clock.monotonic() + seconds
        while self._events and self._events[0][0] <= end_s:
            due_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due_s - self.clock.monotonic()))
            action()
        self.clock.advance(max(0.0, end_s - self.clock.monotonic()))

    def views_agree(self) -> bool:
        """Returns whether the membership views of all running nodes agree.

        They do if all hold the same live members, and as many as there are
        running nodes.
        """
        digests = {node.view_digest for node in self.nodes.values()}
        counts = {node.live_count for node in self.nodes.values()}
        return len(digests) == 1 and counts == {len(self.nodes)}

    def run_until_views_agree(self, limit_s: int) -> int:
        """Runs until the nodes' membership views agree.

        Args:
            limit_s: Simulated seconds after which to give up.

        Returns:
            Simulated seconds until they agreed.

        Raises:
            TimeoutError: If the views still differ at the limit.
        """
        for second in range(limit_s):
            if self.views_agree():
                return second
            self.run(1.0)
        if self.views_agree():
            return limit_s
        raise TimeoutError(
            f"membership views still differ after {limit_s} simulated seconds"
        )

    def reported_deaths(self) -> list[tuple[str, str]]:
        """Returns the members that were declared dead.

        Returns:
            Node ids of the observer and of the dead member, for each change to
            dead that a node reported.
        """
        return [
            (observer, change.after.node_id)
            for observer, changes in self.changes.items()
            for change in changes
            if change.died_or_left and change.after.state is MemberState.DEAD
        ]

    def _deliver(self, datagram: Datagram, source: str) -> None:
        address = datagram.address
        if address in self._paused_inboxes:
            self._paused_inboxes[address].append((datagram, source))
            return
        node = self.nodes.get(address)
        if node is not None:
            self.send(node.receive(datagram.message, source), address)

    def _tick(self, address: str) -> None:
        node = self.nodes.get(address)
        if node is None:
            self._ticking_addresses.discard(address)
            return
        self.schedule(_TICK_INTERVAL_S, partial(self._tick, address))
        if address in self._paused_inboxes:
            return
        self.send(node.tick(self.clock.monotonic()), address)
        if node.live_count == 1:
            self.send(node.join(self._seeds[address]), address)
