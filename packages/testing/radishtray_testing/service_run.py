"""A run of one service on simulated time, to judge admission policies.

>>> run = ServiceRun("adaptive", seed=1, plan=[Phase(1.0, {"normal": 100})])
>>> run.finish()
>>> run.goodput_share("normal", 0.0, 1.0)
1.0
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from radishtray_state import (
    AdmissionController,
    Candidate,
    ManualClock,
    RefusalReason,
    Ticket,
    UpstreamSelector,
)

CLASS_INDEX = {"low": 0, "normal": 1, "high": 2, "critical": 3}
_BUCKETS_PER_S = 10
_SERVICE = "service"
_NODE = "node"


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of a run with constant arrival rates.

    Attributes:
        seconds: Length.
        rates: Requests per second by priority class, as Poisson arrivals.
    """

    seconds: float
    rates: dict[str, float]


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a run.

    Attributes:
        priority: Priority class.
        rank: Rank of all its calls.
        started: Simulated time of its arrival in seconds.
        calls_left: Calls that have not been submitted.
        answered: Number of calls answered in time.
        refused: Reason of its first refusal.
    """

    priority: str
    rank: int
    started: float
    calls_left: int
    answered: int = 0
    refused: RefusalReason | None = None


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """The simulated service.

    Attributes:
        slots: Requests that run at the same time.
        announced_slots: Slots that the controller is told.
        service_s: Mean of the exponential service time, in seconds.
        deadline_s: Time to answer one call, in seconds.
        calls: Calls that one request makes one after the other.
        levels: Levels in use within each class.
    """

    slots: int = 40
    announced_slots: int = 40
    service_s: float = 0.02
    deadline_s: float = 0.5
    calls: int = 1
    levels: int = 128


@dataclass(slots=True)
class ServiceRun:
    """Runs a plan from one sender against one admission controller.

    Attributes:
        policy: Admission policy.
        seed: Seed of arrivals, levels and service times.
        plan: Phases in order.
        shape: The simulated service.
        requests: All requests, in order of arrival.
        refusals: Refused calls by reason, early refusals included.
        queue_ms: Time that the queue needs to drain, at each arrival, with
            the time of the arrival in seconds.
    """

    policy: str
    seed: int
    plan: Sequence[Phase]
    shape: ServiceShape = field(default_factory=ServiceShape)
    requests: list[SimulatedRequest] = field(default_factory=list)
    refusals: Counter[RefusalReason] = field(default_factory=Counter)
    queue_ms: list[tuple[float, float]] = field(default_factory=list)
    _clock: ManualClock = field(default_factory=ManualClock)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    _arrived: Counter[tuple[str, int]] = field(default_factory=Counter)
    _served: Counter[tuple[str, int]] = field(default_factory=Counter)
    _completed: Counter[tuple[str, int]] = field(default_factory=Counter)
    _sequence: int = 0
    _rng: random.Random = field(init=False)
    _controller: AdmissionController = field(init=False)
    _selector: UpstreamSelector = field(init=False)

    def __post_init__(self) -> None:
        """Schedules all arrivals."""
        self._rng = random.Random(self.seed)
        self._controller = AdmissionController(
            self._clock, self._rng, self.shape.announced_slots, self.policy
        )
        self._selector = UpstreamSelector(
            self._clock,
            self._rng,
            "domain",
            "random" if self.policy == "none" else "adaptive",
        )
        node = Candidate(_NODE, "domain", self.shape.announced_slots)
        self._selector.set_candidates(_SERVICE, [node])
        start = 0.0
        for phase in self.plan:
            for priority, rate in phase.rates.items():
                self._schedule_arrivals(priority, rate, start, phase.seconds)
            start += phase.seconds

    def finish(self, drain_s: float = 1.0) -> None:
        """Runs to the end of the plan and a little longer."""
        end = sum(phase.seconds for phase in self.plan) + drain_s
        while self._events and self._events[0][0] <= end:
            due, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, due - self._clock.monotonic()))
            action()
            self._controller.expire()

    def goodput(self, priority: str, start: float, end: float) -> float:
        """Requests per second that were answered in time.

        Args:
            priority: Class; the empty string counts every class.
            start: Start of the interval of completion, in seconds.
            end: Its end.
        """
        return self._total(self._completed, priority, start, end) / (
            end - start
        )

    def goodput_share(self, priority: str, start: float, end: float) -> float:
        """Share of the interval's arrivals that were answered in time."""
        arrived = self._total(self._arrived, priority, start, end)
        if not arrived:
            return 1.0
        return self._total(self._served, priority, start, end) / arrived

    def recovery_s(self, surge_end: float, share: float = 0.9) -> float:
        """Time after the surge until this share of arrivals is served.

        Returns:
            Seconds in steps of 0.1; the rest of the plan if it never does.
        """
        end = sum(phase.seconds for phase in self.plan)
        steps = round((end - surge_end) * _BUCKETS_PER_S)
        recovered = steps
        for step in reversed(range(steps - 4)):
            start = surge_end + step / _BUCKETS_PER_S
            if self.goodput_share("", start, start + 0.5) < share:
                break
            recovered = step
        return recovered / _BUCKETS_PER_S

    def mean_queue_ms(self, start: float, end: float) -> float:
        """Mean of the queue's drain time at arrivals in the interval."""
        values = [ms for at, ms in self.queue_ms if start <= at < end]
        return sum(values) / max(1, len(values))

    def split_share(self) -> float:
        """Share of requests refused after one of their calls was answered."""
        begun = [r for r in self.requests if r.answered]
        return sum(r.refused is not None for r in begun) / max(1, len(begun))

    def _total(
        self,
        counts: Counter[tuple[str, int]],
        priority: str,
        start: float,
        end: float,
    ) -> int:
        first = round(start * _BUCKETS_PER_S)
        last = round(end * _BUCKETS_PER_S)
        return sum(
            counts[name, bucket]
            for bucket in range(first, last)
            for name in ([priority] if priority else CLASS_INDEX)
        )

    def _schedule_arrivals(
        self, priority: str, rate: float, start: float, seconds: float
    ) -> None:
        due = start + self._rng.expovariate(rate)
        while due < start + seconds:
            rank = CLASS_INDEX[priority] * 128 + self._rng.randrange(
                self.shape.levels
            )
            request = SimulatedRequest(priority, rank, due, self.shape.calls)
            self._arrived[priority, int(due * _BUCKETS_PER_S)] += 1
            self.requests.append(request)
            self._at(due, partial(self._call, request))
            due += self._rng.expovariate(rate)

    def _at(self, due: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (due, self._sequence, action))

    def _call(self, request: SimulatedRequest) -> None:
        request.calls_left -= 1
        now = self._clock.monotonic()
        self.queue_ms.append((now, self._controller.queue_ms))
        choice = self._selector.choose(_SERVICE, request.rank)
        if isinstance(choice, RefusalReason):
            self._refuse(request, choice)
            return
        self._selector.record_sent(choice)
        ticket = Ticket(
            request.rank,
            now + self.shape.deadline_s,
            on_run=lambda: self._run(request, ticket),
            on_drop=lambda reason: self._answer(request, now, reason),
        )
        reason = self._controller.submit(ticket)
        if reason is not None:
            self._answer(request, now, reason)

    def _run(self, request: SimulatedRequest, ticket: Ticket) -> None:
        service_s = self._rng.expovariate(1 / self.shape.service_s)
        # Announced slots beyond the real ones only share the same capacity.
        service_s *= max(1.0, self._controller.in_flight / self.shape.slots)
        due = self._clock.monotonic() + service_s
        sent = ticket.deadline - self.shape.deadline_s
        self._at(due, lambda: self._done(request, ticket, service_s, sent))

    def _done(
        self,
        request: SimulatedRequest,
        ticket: Ticket,
        service_s: float,
        sent: float,
    ) -> None:
        self._controller.finish(ticket, service_s)
        self._answer(request, sent, None)
        now = self._clock.monotonic()
        if now > ticket.deadline:
            return
        request.answered += 1
        if request.calls_left:
            self._call(request)
            return
        arrival = int(request.started * _BUCKETS_PER_S)
        self._served[request.priority, arrival] += 1
        self._completed[request.priority, int(now * _BUCKETS_PER_S)] += 1

    def _answer(
        self,
        request: SimulatedRequest,
        sent: float,
        reason: RefusalReason | None,
    ) -> None:
        self._selector.record_answer(
            _NODE,
            self._clock.monotonic() - sent,
            self._controller.threshold,
            self._controller.in_flight,
            self._controller.queue_ms,
            reason=reason,
        )
        if reason is not None:
            self._refuse(request, reason)

    def _refuse(self, request: SimulatedRequest, reason: RefusalReason) -> None:
        request.refused = request.refused or reason
        self.refusals[reason] += 1
