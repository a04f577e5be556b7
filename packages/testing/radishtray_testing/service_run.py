"""Discrete-event simulation of one service under an admission policy.

Requests arrive as a Poisson process from one sender; service times are
exponential. A run yields goodput, refusals, queue times and recovery time.

>>> run = ServiceRun("adaptive", seed=1, plan=[Phase(1.0, {"normal": 100})])
>>> run.run_to_end()
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
        duration_s: Length of the phase, in seconds.
        arrivals_per_s: Mean rate of Poisson arrivals by priority class, in
            requests per second.
    """

    duration_s: float
    arrivals_per_s: dict[str, float]


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a run.

    Attributes:
        priority: Priority class.
        rank: Rank of all its calls, from its priority class and level.
        arrived_s: Simulated time of its arrival, in seconds.
        calls_left: Number of calls not yet submitted.
        calls_answered: Number of calls answered before their deadline.
        first_refusal: Reason of its first refusal, or None.
    """

    priority: str
    rank: int
    arrived_s: float
    calls_left: int
    calls_answered: int = 0
    first_refusal: RefusalReason | None = None


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of the simulated service.

    Attributes:
        slots: Calls that can run at the same time at full speed.
        announced_slots: Number of slots that the admission controller is given.
        mean_service_s: Mean of the exponential service time, in seconds.
        deadline_s: Time to answer one call, in seconds.
        calls_per_request: Calls that one request makes one after the other.
        levels_per_class: Levels in use within each priority class.
    """

    slots: int = 40
    announced_slots: int = 40
    mean_service_s: float = 0.02
    deadline_s: float = 0.5
    calls_per_request: int = 1
    levels_per_class: int = 128


@dataclass(slots=True)
class ServiceRun:
    """Runs a plan from one sender against one admission controller.

    Attributes:
        policy: Admission policy.
        seed: Seed of arrivals, levels and service times.
        plan: Phases in order.
        settings: Settings of the simulated service.
        requests: All requests, by phase, priority class and arrival.
        refusals: Number of refused calls by reason, including calls that the
            sender refuses without submitting them.
        queue_drain_samples: One pair for each call: its time in seconds, and
            the time in milliseconds that the queue then needs to drain.
    """

    policy: str
    seed: int
    plan: Sequence[Phase]
    settings: ServiceSettings = field(default_factory=ServiceSettings)
    requests: list[SimulatedRequest] = field(default_factory=list)
    refusals: Counter[RefusalReason] = field(default_factory=Counter)
    queue_drain_samples: list[tuple[float, float]] = field(default_factory=list)
    _clock: ManualClock = field(default_factory=ManualClock)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    # Counts by priority class and by bucket of 0.1 s.
    _arrivals: Counter[tuple[str, int]] = field(default_factory=Counter)
    _served_by_arrival: Counter[tuple[str, int]] = field(
        default_factory=Counter
    )
    _served_by_completion: Counter[tuple[str, int]] = field(
        default_factory=Counter
    )
    _sequence: int = 0
    _rng: random.Random = field(init=False)
    _controller: AdmissionController = field(init=False)
    _selector: UpstreamSelector = field(init=False)

    def __post_init__(self) -> None:
        """Builds the controller and selector, and schedules all arrivals."""
        self._rng = random.Random(self.seed)
        self._controller = AdmissionController(
            self._clock, self._rng, self.settings.announced_slots, self.policy
        )
        self._selector = UpstreamSelector(
            self._clock,
            self._rng,
            "domain",
            "random" if self.policy == "none" else "adaptive",
        )
        node = Candidate(_NODE, "domain", self.settings.announced_slots)
        self._selector.set_candidates(_SERVICE, [node])
        start_s = 0.0
        for phase in self.plan:
            for priority, rate_per_s in phase.arrivals_per_s.items():
                self._schedule_arrivals(
                    priority, rate_per_s, start_s, phase.duration_s
                )
            start_s += phase.duration_s

    def run_to_end(self, drain_s: float = 1.0) -> None:
        """Runs to the end of the plan, and for `drain_s` after it."""
        end_s = sum(phase.duration_s for phase in self.plan) + drain_s
        while self._events and self._events[0][0] <= end_s:
            due_s, _, action = heapq.heappop(self._events)
            self._clock.advance(max(0.0, due_s - self._clock.monotonic()))
            action()
            self._controller.expire()

    def goodput(self, priority: str, start_s: float, end_s: float) -> float:
        """Returns the requests per second that were completed in time.

        Args:
            priority: Priority class; the empty string counts every class.
            start_s: Start of the interval of completion times, in seconds.
            end_s: End of the interval, in seconds.
        """
        return self._sum_buckets(
            self._served_by_completion, priority, start_s, end_s
        ) / (end_s - start_s)

    def goodput_share(
        self, priority: str, start_s: float, end_s: float
    ) -> float:
        """Returns the share of an interval's arrivals completed in time."""
        arrived = self._sum_buckets(self._arrivals, priority, start_s, end_s)
        if not arrived:
            return 1.0
        return (
            self._sum_buckets(self._served_by_arrival, priority, start_s, end_s)
            / arrived
        )

    def recovery_s(self, surge_end_s: float, min_share: float = 0.9) -> float:
        """Returns how long after a surge goodput takes to recover.

        Goodput has recovered when, to the end of the plan, every window of
        0.5 s completes the given share of its arrivals in time.

        Returns:
            Seconds in steps of 0.1; the rest of the plan without recovery.
        """
        end_s = sum(phase.duration_s for phase in self.plan)
        step_count = round((end_s - surge_end_s) * _BUCKETS_PER_S)
        recovered_step = step_count
        for step in reversed(range(step_count - 4)):
            start_s = surge_end_s + step / _BUCKETS_PER_S
            if self.goodput_share("", start_s, start_s + 0.5) < min_share:
                break
            recovered_step = step
        return recovered_step / _BUCKETS_PER_S

    def mean_queue_drain_ms(self, start_s: float, end_s: float) -> float:
        """Returns the mean drain time of the queue at calls in an interval."""
        values = [
            ms
            for arrived_s, ms in self.queue_drain_samples
            if start_s <= arrived_s < end_s
        ]
        return sum(values) / max(1, len(values))

    def partial_refusal_share(self) -> float:
        """Returns the share of requests refused after an answered call.

        The share is taken of all requests with an answered call.
        """
        with_answered_call = [r for r in self.requests if r.calls_answered]
        return sum(
            r.first_refusal is not None for r in with_answered_call
        ) / max(1, len(with_answered_call))

    def _sum_buckets(
        self,
        counts: Counter[tuple[str, int]],
        priority: str,
        start_s: float,
        end_s: float,
    ) -> int:
        first_bucket = round(start_s * _BUCKETS_PER_S)
        end_bucket = round(end_s * _BUCKETS_PER_S)
        return sum(
            counts[priority_class, bucket]
            for bucket in range(first_bucket, end_bucket)
            for priority_class in ([priority] if priority else CLASS_INDEX)
        )

    def _schedule_arrivals(
        self,
        priority: str,
        rate_per_s: float,
        start_s: float,
        duration_s: float,
    ) -> None:
        due_s = start_s + self._rng.expovariate(rate_per_s)
        while due_s < start_s + duration_s:
            rank = CLASS_INDEX[priority] * 128 + self._rng.randrange(
                self.settings.levels_per_class
            )
            request = SimulatedRequest(
                priority, rank, due_s, self.settings.calls_per_request
            )
            self._arrivals[priority, int(due_s * _BUCKETS_PER_S)] += 1
            self.requests.append(request)
            self._schedule(due_s, partial(self._submit_call, request))
            due_s += self._rng.expovariate(rate_per_s)

    def _schedule(self, due_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (due_s, self._sequence, action))

    def _submit_call(self, request: SimulatedRequest) -> None:
        request.calls_left -= 1
        now_s = self._clock.monotonic()
        self.queue_drain_samples.append((now_s, self._controller.queue_ms))
        choice = self._selector.choose(_SERVICE, request.rank)
        if isinstance(choice, RefusalReason):
            self._record_refusal(request, choice)
            return
        self._selector.record_sent(choice)
        ticket = Ticket(
            request.rank,
            now_s + self.settings.deadline_s,
            on_run=lambda: self._run_call(request, ticket),
            on_drop=lambda reason: self._report_outcome(request, now_s, reason),
        )
        reason = self._controller.submit(ticket)
        if reason is not None:
            self._report_outcome(request, now_s, reason)

    def _run_call(self, request: SimulatedRequest, ticket: Ticket) -> None:
        service_s = self._rng.expovariate(1 / self.settings.mean_service_s)
        # Calls admitted beyond the real slots share their capacity, so that
        # every call takes longer.
        service_s *= max(1.0, self._controller.in_flight / self.settings.slots)
        due_s = self._clock.monotonic() + service_s
        sent_s = ticket.deadline - self.settings.deadline_s
        self._schedule(
            due_s, lambda: self._finish_call(request, ticket, service_s, sent_s)
        )

    def _finish_call(
        self,
        request: SimulatedRequest,
        ticket: Ticket,
        service_s: float,
        sent_s: float,
    ) -> None:
        self._controller.finish(ticket, service_s)
        self._report_outcome(request, sent_s, None)
        now_s = self._clock.monotonic()
        if now_s > ticket.deadline:
            return
        request.calls_answered += 1
        if request.calls_left:
            self._submit_call(request)
            return
        arrival_bucket = int(request.arrived_s * _BUCKETS_PER_S)
        self._served_by_arrival[request.priority, arrival_bucket] += 1
        self._served_by_completion[
            request.priority, int(now_s * _BUCKETS_PER_S)
        ] += 1

    def _report_outcome(
        self,
        request: SimulatedRequest,
        sent_s: float,
        reason: RefusalReason | None,
    ) -> None:
        self._selector.record_answer(
            _NODE,
            self._clock.monotonic() - sent_s,
            self._controller.threshold,
            self._controller.in_flight,
            self._controller.queue_ms,
            reason=reason,
        )
        if reason is not None:
            self._record_refusal(request, reason)

    def _record_refusal(
        self, request: SimulatedRequest, reason: RefusalReason
    ) -> None:
        request.first_refusal = request.first_refusal or reason
        self.refusals[reason] += 1
