"""Admission control of one upstream.

Combines a concurrency limit (slots), the request rate that the upstream states,
a bounded priority queue, load shedding below a priority threshold, and early
refusal of requests that would miss their deadline.

Source: docs/design.md, section 6.2.
"""

import heapq
import random
from math import inf

from radishtray_state._admission_policy import ADMISSION_POLICIES
from radishtray_state._clock import Clock
from radishtray_state._limit_learner import LimitLearner, ObservedRun
from radishtray_state._rank_queue import (
    QUEUED,
    RUNNING,
    RankQueue,
    Ticket,
)
from radishtray_state._rank_threshold import RankThreshold
from radishtray_state._refusal import RefusalReason
from radishtray_state._service_times import ServiceTimes
from radishtray_state._stated_limit import StatedLimit

_WINDOW_S = 0.05
# While nothing is queued and every rank is admitted, the arrival rates are
# needed only once a queue forms, so they are updated less often.
_IDLE_WINDOW_S = 0.5
# A queue longer than this multiple of the target length ends a window early,
# but not before _MIN_WINDOW_S.
_EARLY_END_QUEUE_FACTOR = 2.0
_MIN_WINDOW_S = _WINDOW_S / 5
_TARGET_QUEUE_DELAY_S = 0.02
# The target queueing delay grows with the mean service time: if service times
# are long, a shorter queue would leave slots empty between arrivals.
_TARGET_QUEUE_DELAY_PER_SERVICE_TIME = 0.1
# A deviation from the target queue length is to be corrected within this time,
# or within this many mean service times if that is longer.
_BACKLOG_CORRECTION_S = 0.2
_BACKLOG_CORRECTION_PER_SERVICE_TIME = 0.5
# While no request waits and the share of busy slots is below this value, a
# threshold only wastes capacity, so every rank is admitted.
_UNDERUSED_SHARE = 0.5
# While the share of busy slots is below this value, requests are not refused
# for their expected service time: if all were refused, no run could correct an
# estimate that is too long.
_PROBE_SHARE = 0.1
# Share of the slots that is available at the beginning of a cold start.
_COLD_START_SHARE = 0.1


class AdmissionController:
    """Grants the slots of one upstream to the requests of highest rank.

    A request runs at once, is queued, or is refused. A request that runs is
    never aborted. All refusals belong to the family `not_run`.

    Attributes:
        stated_limit: Request rate that the upstream states.
    """

    __slots__ = (
        "_clock",
        "_dispatching",
        "_expiries",
        "_expiry_sequence",
        "_in_flight",
        "_learned_limit",
        "_learner",
        "_policy",
        "_queue",
        "_ramp_s",
        "_ramp_started_at",
        "_service_times",
        "_slots",
        "_threshold",
        "_used_share",
        "_window_start",
        "stated_limit",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        slots: int,
        policy: str = "adaptive",
        used_share: float = 1.0,
        *,
        is_restart: bool = False,
        learner: LimitLearner | None = None,
    ) -> None:
        """Starts with all slots available, an empty queue and threshold 0.

        Args:
            clock: Time source.
            rng: Offsets the start of the first window, so that the nodes of a
                service do not update their thresholds at the same time.
            slots: Requests that the upstream runs concurrently.
            policy: Name of a registered admission policy.
            used_share: Share of the slots that is used. Some upstreams slow
                down when nearly all slots are busy, so that using the last
                slots lowers their throughput.
            is_restart: Whether an earlier process of the node may have known a
                request rate of the upstream.
            learner: Learns a limit below the used slots; None for none.

        Raises:
            ValueError: If the policy is unknown, slots is not positive or the
                share is not above 0 and at most 1.
        """
        if not 0 < used_share <= 1:
            raise ValueError(
                f"used share {used_share} is not above 0 and at most 1"
            )
        self._used_share = used_share
        if policy not in ADMISSION_POLICIES:
            known = ", ".join(sorted(ADMISSION_POLICIES))
            raise ValueError(
                f"unknown admission policy {policy!r}; expected one of {known}"
            )
        self._clock = clock
        self.stated_limit = StatedLimit(clock, is_restart=is_restart)
        self._policy = ADMISSION_POLICIES[policy]
        self._queue = RankQueue(self._policy.orders_by_rank)
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._service_times = ServiceTimes()
        self._threshold = RankThreshold()
        self._expiry_sequence = 0
        self._in_flight = 0
        self._dispatching = False
        self._ramp_started_at = 0.0
        self._ramp_s = 0.0
        self._window_start = clock.monotonic() - rng.random() * _WINDOW_S
        self._learner = learner
        self._learned_limit = 0
        self._slots = 0
        self.set_slots(slots)

    @property
    def threshold(self) -> int:
        """Lowest rank that is admitted now; 0 admits every request."""
        if not self._policy.uses_threshold:
            return 0
        now = self._clock.monotonic()
        self._update_threshold(now)
        return 0 if self._underused(now) else self._threshold.rank

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests in the queue."""
        return self._queue.size

    @property
    def queue_ms(self) -> float:
        """Milliseconds in which the present queue would drain."""
        mean_service_s = self._service_times.mean
        if not self._queue.size or not mean_service_s:
            return 0.0
        limit = self._slot_limit(self._clock.monotonic())
        return 1000.0 * self._queue.size / self._capacity(limit, mean_service_s)

    def _capacity(self, slot_limit: int, mean_service_s: float) -> float:
        """Returns the requests per second that can run."""
        return min(slot_limit / mean_service_s, self.stated_limit.rate_per_s)

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots, and discards what was learned of them.

        Requests that already run above a lowered limit continue.

        Raises:
            ValueError: If slots is not positive.
        """
        if slots < 1:
            raise ValueError(f"an upstream needs at least 1 slot, not {slots}")
        self._slots = max(1, int(slots * self._used_share))
        self._learned_limit = self._slots
        if self._learner is not None:
            self._learner.reset(self._slots)
        self._dispatch()

    def begin_cold_start(self, duration_s: float) -> None:
        """Raises the concurrency limit linearly (slow start).

        Args:
            duration_s: Seconds in which the limit rises from a tenth of the
                slots to all of them.
        """
        self._ramp_started_at = self._clock.monotonic()
        self._ramp_s = duration_s

    def submit(self, ticket: Ticket) -> RefusalReason | None:
        """Runs, queues or refuses a request.

        Returns:
            None if the request runs or is queued, else the reason for its
            refusal. The callbacks of a refused ticket are not called.
        """
        now = self._clock.monotonic()
        policy = self._policy
        if policy.uses_threshold:
            self._threshold.count_arrival(ticket.rank)
            self._update_threshold(now)
            if ticket.rank < self._threshold.rank and not self._underused(now):
                return RefusalReason.SHED
        if policy.enforces_deadlines and self._would_miss_deadline(ticket, now):
            return RefusalReason.DEADLINE_EXPECTED
        if not self._queue.size and self._try_start(now):
            self._run(ticket, now)
            return None
        return self._enqueue(ticket)

    def finish(
        self,
        ticket: Ticket,
        service_s: float | None,
        waited_s: float = 0.0,
    ) -> None:
        """Frees the slot of a running ticket; idempotent.

        Args:
            ticket: A ticket that got a slot.
            service_s: Service time in seconds; None if the slot was returned
                without a service time to learn from.
            waited_s: Part of the service time in which the request waited for
                calls of its own.
        """
        if ticket.state != RUNNING:
            return
        ticket.end()
        self._in_flight -= 1
        if ticket.observed_run is not None:
            self._observe(ticket.observed_run, service_s, waited_s)
        if service_s is not None:
            self._service_times.add(ticket.kind, service_s)
        self._dispatch()

    def _observe(
        self, run: ObservedRun, service_s: float | None, waited_s: float
    ) -> None:
        assert self._learner is not None
        if service_s is None:
            self._learner.abandon(run)
            return
        limit = self._learner.finish(run, self._clock.monotonic(), waited_s)
        self._learned_limit = min(limit, self._slots)

    def cancel(self, ticket: Ticket) -> bool:
        """Removes a queued ticket without calling its callbacks.

        Returns:
            True if the ticket was still queued and so will never run.
        """
        if ticket.state != QUEUED:
            return False
        ticket.end()
        self._queue.remove(ticket)
        return True

    def expire(self) -> None:
        """Drops queued tickets whose deadline can no longer be met."""
        now = self._clock.monotonic()
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            ticket = heapq.heappop(expiries)[2]
            if ticket.state == QUEUED:
                self._queue.remove(ticket)
                self._drop(ticket, _deadline_reason(ticket, now))
        self._dispatch()

    def next_expiry(self) -> float | None:
        """Returns the monotonic time at which `expire` must be called.

        None if no queued ticket has a deadline to enforce.
        """
        expiries = self._expiries
        while expiries and expiries[0][2].state != QUEUED:
            heapq.heappop(expiries)
        return expiries[0][0] if expiries else None

    def _slot_limit(self, now: float) -> int:
        if not self._ramp_s:
            return self._learned_limit
        progress = (now - self._ramp_started_at) / self._ramp_s
        if progress >= 1.0:
            self._ramp_s = 0.0
            return self._learned_limit
        share = _COLD_START_SHARE + (1 - _COLD_START_SHARE) * progress
        return min(self._learned_limit, max(1, int(self._slots * share)))

    def _try_start(self, now: float) -> bool:
        """Takes the permission to run one request, if there is one."""
        return (
            self._in_flight < self._slot_limit(now)
            and self.stated_limit.try_take()
        )

    def _underused(self, now: float) -> bool:
        if self._queue.size:
            return False
        return self._in_flight < self._slot_limit(now) * _UNDERUSED_SHARE

    def _would_miss_deadline(self, ticket: Ticket, now: float) -> bool:
        time_left_s = ticket.deadline - now
        if time_left_s <= 0:
            return True
        if self._in_flight < self._slot_limit(now) * _PROBE_SHARE:
            return False
        if self._in_flight + self._queue.size < self._slot_limit(now):
            return time_left_s < self._service_times.median(ticket.kind)
        return time_left_s < self._service_times.tail(ticket.kind)

    def _run(self, ticket: Ticket, now: float) -> None:
        ticket.state = RUNNING
        self._in_flight += 1
        if self._learner is not None:
            ticket.observed_run = self._learner.begin(
                ticket.kind, self._in_flight, now
            )
        ticket.on_run()

    def _enqueue(self, ticket: Ticket) -> RefusalReason | None:
        ticket.state = QUEUED
        self._queue.push(ticket)
        if self._policy.enforces_deadlines and ticket.deadline != inf:
            latest_start = ticket.deadline - self._service_times.tail(
                ticket.kind
            )
            self._expiry_sequence += 1
            heapq.heappush(
                self._expiries, (latest_start, self._expiry_sequence, ticket)
            )
        if self._queue.size > self._policy.max_queued_per_slot * self._slots:
            dropped = self._queue.pop_lowest()
            if dropped is ticket:
                ticket.end()
                return RefusalReason.QUEUE_FULL
            self._drop(dropped, RefusalReason.QUEUE_FULL)
        self._dispatch()
        return None

    def _drop(self, ticket: Ticket, reason: RefusalReason) -> None:
        on_drop = ticket.on_drop
        ticket.end()
        on_drop(reason)

    def _dispatch(self) -> None:
        # A callback may finish its ticket at once and so call this method
        # again. The outer call then takes the next ticket in its loop, so the
        # stack does not grow with the length of the queue.
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue.size:
                now = self._clock.monotonic()
                if not self._try_start(now):
                    return
                ticket = self._queue.pop_highest()
                if (
                    self._policy.enforces_deadlines
                    and self._would_miss_deadline(ticket, now)
                ):
                    self.stated_limit.give_back()
                    self._drop(ticket, _deadline_reason(ticket, now))
                else:
                    self._run(ticket, now)
        finally:
            self._dispatching = False

    def _update_threshold(self, now: float) -> None:
        elapsed_s = now - self._window_start
        if elapsed_s < _MIN_WINDOW_S:
            return
        limit = self._slot_limit(now)
        mean_service_s = self._service_times.mean or _WINDOW_S
        capacity_per_s = self._capacity(limit, mean_service_s)
        target_queue = capacity_per_s * max(
            _TARGET_QUEUE_DELAY_S,
            mean_service_s * _TARGET_QUEUE_DELAY_PER_SERVICE_TIME,
        )
        queued = self._queue.size
        if (
            elapsed_s < _WINDOW_S
            and queued <= target_queue * _EARLY_END_QUEUE_FACTOR
        ):
            return
        is_idle = not queued and not self._threshold.rank
        if is_idle and elapsed_s < _IDLE_WINDOW_S:
            return
        backlog = queued
        if not self.stated_limit.is_limited:
            # Free slots count as a negative backlog, so that the threshold is
            # lowered while slots are idle.
            backlog += min(0, self._in_flight - limit)
        correction_s = max(
            _BACKLOG_CORRECTION_S,
            mean_service_s * _BACKLOG_CORRECTION_PER_SERVICE_TIME,
        )
        target_rate = capacity_per_s + (target_queue - backlog) / correction_s
        self._threshold.end_window(elapsed_s, target_rate)
        self._service_times.decay_mean(elapsed_s)
        self._window_start = now


def _deadline_reason(ticket: Ticket, now: float) -> RefusalReason:
    if now >= ticket.deadline:
        return RefusalReason.DEADLINE_QUEUED
    return RefusalReason.DEADLINE_EXPECTED
