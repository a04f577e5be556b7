"""Many entry nodes in front of one small scarce service, without a network.

The decision code of the entry nodes and of the node beside the upstream is the
real one. Messages are replaced by delays: an entry node sees a threshold or the
answer to a request only some time later.
"""

import heapq
import random
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from statistics import mean, pstdev

from radishtray_overload import (
    EntryOrder,
    EntryWait,
    ReturnDetector,
    ReturnSchedule,
    RouteCosts,
    SlotFill,
    WaitingRequest,
    add_uses,
    run_uses,
)
from radishtray_state import (
    FIRST_LEVELS,
    LEVELS_PER_CLASS,
    AdmissionController,
    ManualClock,
    ParentRequest,
    Ticket,
)

SLOTS = 40
CALLS = {"tree": 4, "direct": 1}
CALL_S = {"tree": 0.05, "direct": 0.06}
# Shares of the demanded slot time.
LOAD_SHARES = {"tree": 0.7, "direct": 0.3}
PERIOD_S = 6.0
PEAK_S = 3.0
PEAK_LOAD = 1.6
TROUGH_LOAD = 0.55
_DEADLINE_S = 1.0
_PROBE_SHARE = 0.01
_SAMPLE_S = 0.05
_POLL_S = 0.025
_BIN_S = 0.25
_CLASS = 1
BUDGET_S = {"tree": 5.0, "direct": 1.2}
# A served request is worth less after its latency target.
TARGET_S = {"tree": 1.2, "direct": 0.3}
_LATE_VALUE = 0.5
# Delays of a refused request without a schedule, as RouteEntry.refuse draws.
_MIN_DELAY_S = 0.3
_MAX_DELAY_S = 1.0
_MIN_KNOWLEDGE_AGE_S = 0.1
_MAX_KNOWLEDGE_AGE_S = 1.0


def cost_s(route: str) -> float:
    return CALLS[route] * CALL_S[route]


def is_peak(at_s: float) -> bool:
    return at_s % PERIOD_S < PEAK_S


def _is_late_in_peak(at_s: float) -> bool:
    return 1.0 <= at_s % PERIOD_S < PEAK_S


class _Entry:
    """What one entry node knows."""

    def __init__(self, clock: ManualClock, rng: random.Random) -> None:
        self.costs = RouteCosts(clock)
        self.order = EntryOrder(clock, rng, self.costs, ReturnDetector(clock))
        self.schedule = ReturnSchedule(clock, rng, 0.5)
        self.wait = EntryWait(clock)
        self.age_s = rng.uniform(_MIN_KNOWLEDGE_AGE_S, _MAX_KNOWLEDGE_AGE_S)


class OverloadModel:
    """Peaks of demand at one service, shed by many entry nodes.

    Attributes:
        arrived: Requests by route.
        served: Served requests by route.
        returned: Requests that were refused once, by route.
        refused_twice: Requests that were refused as they returned, by route.
        value: Served requests, of which late ones count half.
        wasted_calls: Calls that ran for trees that failed later.
        busy: Times and busy shares of the slots.
        admitted: First requests that were not shed at the entry, by bin.
    """

    def __init__(
        self,
        entries: int,
        seed: int,
        *,
        is_ordered: bool,
        has_returns: bool = False,
        is_scheduled: bool = False,
        has_waits: bool = False,
    ) -> None:
        """Creates the entry nodes without knowledge.

        Args:
            entries: Number of entry nodes.
            seed: Seed of all random decisions.
            is_ordered: Whether levels follow costs; otherwise uniform.
            has_returns: Whether a request that is refused at the entry returns
                once after its Retry-After.
            is_scheduled: Whether Retry-After follows the schedule; otherwise it
                is random.
            has_waits: Whether requests wait at the entry instead of being shed.
        """
        self._has_waits = has_waits
        self._has_returns = has_returns
        self._is_scheduled = is_scheduled
        self._clock = ManualClock()
        self._rng = random.Random(seed)
        # Models with the same seed get the same arrivals, so that they can be
        # compared.
        self._arrival_rngs = {
            route: random.Random(f"{seed} {route}") for route in CALLS
        }
        self._is_ordered = is_ordered
        self._entries = [_Entry(self._clock, self._rng) for _ in range(entries)]
        self._admission = AdmissionController(self._clock, self._rng, SLOTS)
        self._fill = SlotFill(self._clock)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._threshold_times: list[float] = [0.0]
        self._thresholds: list[int] = [0]
        self._arrived_in_phase: Counter[tuple[int, str]] = Counter()
        self.arrived: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.returned: Counter[str] = Counter()
        self.refused_twice: Counter[str] = Counter()
        self.value = 0.0
        self.wasted_calls = 0
        self.busy: list[tuple[float, float]] = []
        self.admitted: Counter[int] = Counter()

    @property
    def served_shares(self) -> dict[str, float]:
        """Share of the requests that were served, by route."""
        return {r: self.served[r] / self.arrived[r] for r in CALLS}

    @property
    def ideal(self) -> float:
        """Requests that could be served by one who knows all arrivals.

        In each peak and trough, routes that need less are served first, and no
        slot is idle while requests are left.
        """
        served = 0.0
        phases = {phase for phase, _ in self._arrived_in_phase}
        for phase in phases:
            left_s = SLOTS * (PERIOD_S - PEAK_S if phase % 2 else PEAK_S)
            for route in sorted(CALLS, key=cost_s):
                count = min(
                    self._arrived_in_phase[phase, route],
                    left_s / cost_s(route),
                )
                served += count
                left_s -= count * cost_s(route)
        return served

    @property
    def idle_share(self) -> float:
        """Share of the peaks, after 1 s, with over 30% of the slots idle."""
        busy = [b for at_s, b in self.busy if _is_late_in_peak(at_s)]
        return sum(b < 0.7 for b in busy) / len(busy)

    @property
    def admission_deviation(self) -> float:
        """Relative deviation of the requests admitted per bin, in peaks."""
        counts = [
            count
            for index, count in self.admitted.items()
            if _is_late_in_peak(index * _BIN_S)
        ]
        return pstdev(counts) / mean(counts)

    def _phase(self) -> int:
        """Returns an even number in peaks, an odd one in troughs."""
        now_s = self._clock.monotonic()
        return 2 * int(now_s // PERIOD_S) + (not is_peak(now_s))

    def run(self, seconds: float) -> None:
        """Runs the model."""
        for route in CALLS:
            self._schedule_arrival(route)
        self._sample()
        while self._events and self._events[0][0] <= seconds:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, at_s - self._clock.monotonic()))
            action()

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        at_s = self._clock.monotonic() + delay_s
        heapq.heappush(self._events, (at_s, self._sequence, action))

    def _schedule_arrival(self, route: str) -> None:
        load = PEAK_LOAD if is_peak(self._clock.monotonic()) else TROUGH_LOAD
        rate = load * SLOTS * LOAD_SHARES[route] / cost_s(route)

        def arrive() -> None:
            self._arrive(route)
            self._schedule_arrival(route)

        self._later(self._arrival_rngs[route].expovariate(rate), arrive)

    def _sample(self) -> None:
        now_s = self._clock.monotonic()
        self._admission.expire()
        self._threshold_times.append(now_s)
        self._thresholds.append(self._admission.threshold)
        self.busy.append((now_s, self._admission.in_flight / SLOTS))
        self._later(_SAMPLE_S, self._sample)

    def _known_threshold(self, entry: _Entry) -> int:
        at_s = self._clock.monotonic() - entry.age_s
        return self._thresholds[
            max(0, bisect_right(self._threshold_times, at_s) - 1)
        ]

    def _arrive(self, route: str) -> None:
        self.arrived[route] += 1
        self._arrived_in_phase[self._phase(), route] += 1
        self._enter(route, self._clock.monotonic(), is_return=False)

    def _enter(self, route: str, first_s: float, *, is_return: bool) -> None:
        now_s = self._clock.monotonic()
        elapsed_s = now_s - first_s
        left_s = BUDGET_S[route] - elapsed_s
        entry = self._rng.choice(self._entries)
        service = "scarce" if route == "direct" else "middle"
        level = (
            entry.order.draw_level(route, service, _CLASS, left_s)
            if self._is_ordered
            else self._rng.randrange(FIRST_LEVELS)
        )
        rank = _CLASS * LEVELS_PER_CLASS + level
        if (
            rank < self._known_threshold(entry)
            and self._rng.random() >= _PROBE_SHARE
        ):
            if not self._offer(entry, route, rank, first_s, is_return):
                self._refuse(entry, route, first_s, is_return)
            return
        self._admit(entry, route, rank, now_s + _DEADLINE_S, first_s)

    def _admit(
        self,
        entry: _Entry,
        route: str,
        rank: int,
        deadline: float,
        first_s: float,
    ) -> None:
        self.admitted[int(self._clock.monotonic() / _BIN_S)] += 1
        level = rank % LEVELS_PER_CLASS
        parent = ParentRequest(route, _CLASS, level, False)
        self._call(entry, route, parent, deadline, first_s)

    def _refuse(
        self, entry: _Entry, route: str, first_s: float, is_return: bool
    ) -> None:
        entry.schedule.record(route, is_shed=True)
        left_s = BUDGET_S[route] - (self._clock.monotonic() - first_s)
        if is_return:
            self.refused_twice[route] += 1
        elif self._has_returns:
            self._return_later(entry, route, first_s, left_s)

    def _offer(
        self,
        entry: _Entry,
        route: str,
        rank: int,
        first_s: float,
        is_return: bool,
    ) -> bool:
        """Has a request wait at its entry node; returns whether it does."""
        if not self._has_waits:
            return False
        deadline = self._clock.monotonic() + _DEADLINE_S
        is_idle = not len(entry.wait)
        waits = entry.wait.offer(
            WaitingRequest(
                route,
                rank,
                0,
                deadline,
                first_s + TARGET_S[route],
                lambda: rank >= self._known_threshold(entry),
                lambda: self._admit(entry, route, rank, deadline, first_s),
                lambda: self._refuse(entry, route, first_s, is_return),
            )
        )
        if waits and is_idle:
            self._later(_POLL_S, lambda: self._poll(entry))
        return waits

    def _poll(self, entry: _Entry) -> None:
        entry.wait.poll()
        if len(entry.wait):
            self._later(_POLL_S, lambda: self._poll(entry))

    def _return_later(
        self, entry: _Entry, route: str, first_s: float, left_s: float
    ) -> None:
        self.returned[route] += 1
        if self._is_scheduled:
            delay_s = entry.schedule.retry_after_s(
                route, left_s, BUDGET_S[route] - left_s, TARGET_S[route]
            )
        else:
            delay_s = min(
                self._rng.uniform(_MIN_DELAY_S, _MAX_DELAY_S), left_s / 3
            )
        self._later(
            delay_s, lambda: self._enter(route, first_s, is_return=True)
        )

    def _call(
        self,
        entry: _Entry,
        route: str,
        parent: ParentRequest,
        deadline: float,
        first_s: float,
    ) -> None:
        level = parent.level if route == "direct" else parent.call_level
        service_s = CALL_S[route] * self._rng.uniform(0.7, 1.3)

        def run() -> None:
            self._later(service_s, finish)

        def drop(_reason: object) -> None:
            self.wasted_calls += parent.served_calls

        def finish() -> None:
            fill = self._fill.update(self._admission.in_flight, SLOTS)
            self._admission.finish(ticket, service_s)
            parent.served_calls += 1
            totals = parent.service_uses = parent.service_uses or {}
            add_uses(totals, run_uses(None, "scarce", service_s, fill))
            if parent.served_calls < CALLS[route]:
                self._call(entry, route, parent, deadline, first_s)
                return
            self.served[route] += 1
            latency_s = self._clock.monotonic() - first_s
            is_late = latency_s > TARGET_S[route]
            self.value += _LATE_VALUE if is_late else 1.0
            entry.schedule.record(route, is_shed=False, latency_s=latency_s)
            sent_s = deadline - _DEADLINE_S
            entry.wait.record_latency(route, self._clock.monotonic() - sent_s)
            uses = run_uses(totals, "middle", 0.3, 5)
            self._later(entry.age_s, lambda: entry.costs.record(route, uses))

        rank = _CLASS * LEVELS_PER_CLASS + level
        ticket = Ticket(rank, deadline, run, drop, route)
        if self._admission.submit(ticket) is not None:
            drop(None)
