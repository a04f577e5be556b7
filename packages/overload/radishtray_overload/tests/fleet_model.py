"""A discrete model of four upstreams of one service and their senders.

Uses the admission control and the selection of nodes of the product; only
arrivals, delays and service times are modelled.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from radishtray_overload import LearnedCapacity
from radishtray_overload.tests.upstream_model import (
    SLOTS,
    USABLE_SLOTS,
    Upstream,
)
from radishtray_state import (
    AdmissionController,
    Candidate,
    ManualClock,
    RefusalReason,
    Ticket,
    UpstreamSelector,
)

SERVICE_S = 0.055
LEVELS = 32
DOMAINS = ("a", "a", "b", "c")
_SERVICE = "s"
_SENDERS = 6
_DELAY_S = 0.001
_DEADLINE_S = 0.8
_EXPIRY_INTERVAL_S = 0.05
# A node that has ended is no longer a candidate after this time.
_DETECTION_S = 0.5


@dataclass(slots=True)
class _Node:
    """A node beside an upstream."""

    upstream: Upstream
    admission: AdmissionController
    capacity: LearnedCapacity | None
    slots: int
    is_lost: bool = False

    @property
    def learned_slots(self) -> int | None:
        capacity = self.capacity
        if capacity is None or not capacity.is_learned:
            return None
        return round(self.slots * capacity.learned / capacity.slots)


@dataclass(slots=True)
class FleetRun:
    """Runs four upstreams, of which one may be lost.

    Attributes:
        upstreams: Their speeds.
        demand: Arriving work, in concurrent runs at full speed, by time.
        slots: Slots that each node is given.
        is_learning: Whether the limits are learned.
        lost: Index of the upstream that is lost; None for none.
        lost_at_s: Time at which it is lost.
        seed: Seed of arrivals and service times.
        served: Arrival and latency of each request that was served.
        arrived: Number of requests by second of arrival.
    """

    upstreams: tuple[Upstream, ...]
    demand: Callable[[float], float]
    slots: tuple[int, ...] = (SLOTS,) * 4
    is_learning: bool = False
    lost: int | None = None
    lost_at_s: float = 0.0
    seed: int = 1
    served: list[tuple[float, float]] = field(default_factory=list)
    nodes: list[_Node] = field(default_factory=list)
    _clock: ManualClock = field(default_factory=ManualClock)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _number: int = 0
    _rng: random.Random = field(init=False)
    _selectors: list[UpstreamSelector] = field(default_factory=list)

    def run(self, duration_s: float) -> "FleetRun":
        """Runs for a time; returns this run."""
        self._rng = random.Random(self.seed)
        for upstream, slots in zip(self.upstreams, self.slots, strict=True):
            capacity = LearnedCapacity(1) if self.is_learning else None
            self.nodes.append(
                _Node(
                    upstream,
                    AdmissionController(
                        self._clock,
                        self._rng,
                        slots,
                        used_share=USABLE_SLOTS / SLOTS,
                        learner=capacity,
                    ),
                    capacity,
                    slots,
                )
            )
        for sender in range(_SENDERS):
            selector = UpstreamSelector(
                self._clock, self._rng, "abc"[sender % 3]
            )
            self._selectors.append(selector)
        self._set_candidates()
        if self.lost is not None:
            self._at(self.lost_at_s, self._lose)
            self._at(self.lost_at_s + _DETECTION_S, self._set_candidates)
        self._at(0.0, self._arrive)
        self._at(0.0, self._expire)
        while self._events and self._events[0][0] < duration_s:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self._clock.monotonic()))
            action()
        return self

    def throughput(self, start_s: float, end_s: float) -> float:
        """Returns the served work per second, by time of arrival."""
        count = sum(start_s <= at_s < end_s for at_s, _ in self.served)
        return count * SERVICE_S / (end_s - start_s)

    def latency_s(self, start_s: float, end_s: float) -> float:
        """Returns the mean latency of the served requests."""
        found = [s for at_s, s in self.served if start_s <= at_s < end_s]
        return sum(found) / max(1, len(found))

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._clock.monotonic() + delay_s, action)

    def _set_candidates(self) -> None:
        candidates = [
            Candidate(str(index), DOMAINS[index], node.slots)
            for index, node in enumerate(self.nodes)
            if not node.is_lost
        ]
        for selector in self._selectors:
            selector.set_candidates(_SERVICE, candidates)

    def _lose(self) -> None:
        assert self.lost is not None
        self.nodes[self.lost].is_lost = True

    def _expire(self) -> None:
        for node in self.nodes:
            node.admission.expire()
        self._after(_EXPIRY_INTERVAL_S, self._expire)

    def _arrive(self) -> None:
        now_s = self._clock.monotonic()
        rate = self.demand(now_s) / SERVICE_S
        self._after(self._rng.expovariate(rate), self._arrive)
        selector = self._rng.choice(self._selectors)
        rank = self._rng.randrange(LEVELS)
        chosen = selector.choose(_SERVICE, rank)
        if isinstance(chosen, RefusalReason):
            return
        selector.record_sent(chosen)
        self._after(
            _DELAY_S, lambda: self._submit(selector, chosen, rank, now_s)
        )

    def _submit(
        self, selector: UpstreamSelector, chosen: str, rank: int, sent_s: float
    ) -> None:
        node = self.nodes[int(chosen)]
        if node.is_lost:
            self._after(_DELAY_S, lambda: selector.record_loss(chosen))
            return

        def answer(reason: RefusalReason | None) -> None:
            if node.is_lost:
                selector.record_loss(chosen)
                return
            threshold = node.admission.threshold
            in_flight = node.admission.in_flight
            queue_ms = node.admission.queue_ms
            learned_slots = node.learned_slots

            def receive() -> None:
                latency_s = self._clock.monotonic() - sent_s
                if reason is None:
                    self.served.append((sent_s, latency_s))
                selector.record_answer(
                    chosen,
                    latency_s,
                    threshold,
                    in_flight,
                    queue_ms,
                    reason=reason,
                    learned_slots=learned_slots,
                )

            self._after(_DELAY_S, receive)

        def start() -> None:
            now_s = self._clock.monotonic()
            factor = node.upstream.factor(node.admission.in_flight, now_s)
            service_s = self._rng.expovariate(1 / SERVICE_S) * factor

            def finish() -> None:
                node.admission.finish(ticket, service_s)
                answer(None)

            self._after(service_s, finish)

        ticket = Ticket(rank, sent_s + _DEADLINE_S, start, answer)
        reason = node.admission.submit(ticket)
        if reason is not None:
            answer(reason)
