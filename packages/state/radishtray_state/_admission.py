"""Admission control beside one upstream: slots, queue, threshold, deadlines.

Source: docs/design.md, section 6.2.
"""

import heapq
import random
from math import inf

from radishtray_state._admission_policy import ADMISSION_POLICIES
from radishtray_state._clock import Clock
from radishtray_state._rank_queue import (
    DONE,
    QUEUED,
    RUNNING,
    RankQueue,
    Ticket,
)
from radishtray_state._rank_threshold import RankThreshold
from radishtray_state._refusal import RefusalReason
from radishtray_state._service_times import ServiceTimes

_WINDOW_S = 0.05
# The mix of a calm node is needed only once a queue forms.
_CALM_WINDOW_S = 0.5
# A queue beyond this multiple of the target closes a window early.
_SURGE_FACTOR = 2.0
_EARLY_WINDOW_S = _WINDOW_S / 5
_TARGET_QUEUE_S = 0.02
# With long service times a shorter queue would leave slots empty between
# arrivals.
_TARGET_QUEUE_PER_SERVICE = 0.1
_CORRECTION_S = 0.2
_CORRECTION_PER_SERVICE = 0.5
# Below this share of busy slots a threshold only wastes capacity.
_UNDERUSED_SHARE = 0.5
# Below this share of busy slots expected service times are not believed: if
# every request were refused, no run could correct them.
_PROBE_SHARE = 0.1
_COLD_SHARE = 0.1


class AdmissionController:
    """Grants the slots of one upstream to the most important requests.

    A request runs at once, waits, or is refused. Running work is never
    dropped. All refusals belong to the family `not_run`.
    """

    __slots__ = (
        "_clock",
        "_cold_from",
        "_cold_s",
        "_dispatching",
        "_expiries",
        "_in_flight",
        "_policy",
        "_queue",
        "_sequence",
        "_service",
        "_slots",
        "_threshold",
        "_used_share",
        "_window_start",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        slots: int,
        policy: str = "adaptive",
        used_share: float = 1.0,
    ) -> None:
        """Starts warm, with an empty queue and threshold 0.

        Args:
            clock: Time source.
            rng: Shifts the first window, so that the thresholds of a service
                do not move in step.
            slots: Requests that the upstream runs at the same time.
            policy: Name of a registered policy.
            used_share: Share of the slots that is used. Some upstreams slow
                down when they are nearly full, so that the last slots cost
                more than they bring.

        Raises:
            ValueError: If the policy is unknown, slots is not positive or the
                share is not above 0 and at most 1.
        """
        if not 0 < used_share <= 1:
            raise ValueError(f"used share {used_share} is not within 0 and 1")
        self._used_share = used_share
        if policy not in ADMISSION_POLICIES:
            known = ", ".join(sorted(ADMISSION_POLICIES))
            raise ValueError(f"admission policy {policy!r} is none of {known}")
        self._clock = clock
        self._policy = ADMISSION_POLICIES[policy]
        self._queue = RankQueue(self._policy.priority)
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._service = ServiceTimes()
        self._threshold = RankThreshold()
        self._sequence = 0
        self._in_flight = 0
        self._dispatching = False
        self._cold_from = 0.0
        self._cold_s = 0.0
        self._window_start = clock.monotonic() - rng.random() * _WINDOW_S
        self._slots = 0
        self.set_slots(slots)

    @property
    def threshold(self) -> int:
        """Least rank admitted now; 0 admits every request."""
        if not self._policy.threshold:
            return 0
        now = self._clock.monotonic()
        self._end_window(now)
        return 0 if self._underused(now) else self._threshold.rank

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.size

    @property
    def queue_ms(self) -> float:
        """Milliseconds that the present queue needs to drain."""
        limit = self._limit(self._clock.monotonic())
        return 1000.0 * self._queue.size * self._service.mean / limit

    def set_slots(self, slots: int) -> None:
        """Sets the concurrency limit; running work above it continues.

        Raises:
            ValueError: If slots is not positive.
        """
        if slots < 1:
            raise ValueError(f"an upstream needs at least 1 slot, not {slots}")
        self._slots = max(1, int(slots * self._used_share))
        self._dispatch()

    def start_cold(self, seconds: float) -> None:
        """Raises the limit from a tenth of the slots to all in this time."""
        self._cold_from = self._clock.monotonic()
        self._cold_s = seconds

    def submit(self, ticket: Ticket) -> RefusalReason | None:
        """Runs, queues or refuses a request.

        Returns:
            None if the ticket runs or waits, else the reason of the refusal.
            A refused ticket gets no callback.
        """
        now = self._clock.monotonic()
        policy = self._policy
        if policy.threshold:
            self._threshold.count(ticket.rank)
            self._end_window(now)
            if ticket.rank < self._threshold.rank and not self._underused(now):
                return RefusalReason.SHED
        if policy.deadline and self._is_hopeless(ticket, now):
            return RefusalReason.DEADLINE_EXPECTED
        if not self._queue.size and self._in_flight < self._limit(now):
            self._run(ticket)
            return None
        return self._enqueue(ticket)

    def finish(self, ticket: Ticket, service_s: float | None) -> None:
        """Frees the slot of a running ticket; safe to repeat.

        Args:
            ticket: A ticket that was run.
            service_s: Seconds of its work; None if it gave the slot back.
        """
        if ticket.state != RUNNING:
            return
        ticket.state = DONE
        self._in_flight -= 1
        if service_s is not None:
            self._service.add(ticket.kind, service_s)
        self._dispatch()

    def cancel(self, ticket: Ticket) -> bool:
        """Withdraws a queued ticket without a callback.

        Returns:
            True if the ticket was still queued, so that it never runs.
        """
        if ticket.state != QUEUED:
            return False
        ticket.state = DONE
        self._queue.remove(ticket)
        return True

    def expire(self) -> None:
        """Drops queued tickets that can no longer be answered in time."""
        now = self._clock.monotonic()
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            ticket = heapq.heappop(expiries)[2]
            if ticket.state == QUEUED:
                self._queue.remove(ticket)
                self._drop(ticket, _deadline_reason(ticket, now))
        self._dispatch()

    def next_expiry(self) -> float | None:
        """Monotonic time of the next call of `expire`; None if none is due."""
        expiries = self._expiries
        while expiries and expiries[0][2].state != QUEUED:
            heapq.heappop(expiries)
        return expiries[0][0] if expiries else None

    def _limit(self, now: float) -> int:
        if not self._cold_s:
            return self._slots
        warm = (now - self._cold_from) / self._cold_s
        if warm >= 1.0:
            self._cold_s = 0.0
            return self._slots
        share = _COLD_SHARE + (1 - _COLD_SHARE) * warm
        return max(1, int(self._slots * share))

    def _underused(self, now: float) -> bool:
        if self._queue.size:
            return False
        return self._in_flight < self._limit(now) * _UNDERUSED_SHARE

    def _is_hopeless(self, ticket: Ticket, now: float) -> bool:
        left = ticket.deadline - now
        if left <= 0:
            return True
        if self._in_flight < self._limit(now) * _PROBE_SHARE:
            return False
        if self._in_flight + self._queue.size < self._limit(now):
            return left < self._service.median(ticket.kind)
        return left < self._service.tail(ticket.kind)

    def _run(self, ticket: Ticket) -> None:
        ticket.state = RUNNING
        self._in_flight += 1
        ticket.on_run()

    def _enqueue(self, ticket: Ticket) -> RefusalReason | None:
        ticket.state = QUEUED
        self._queue.push(ticket)
        if self._policy.deadline and ticket.deadline != inf:
            latest = ticket.deadline - self._service.tail(ticket.kind)
            self._sequence += 1
            heapq.heappush(self._expiries, (latest, self._sequence, ticket))
        if self._queue.size > self._policy.queue_per_slot * self._slots:
            least = self._queue.pop_least()
            if least is ticket:
                ticket.state = DONE
                return RefusalReason.QUEUE_FULL
            self._drop(least, RefusalReason.QUEUE_FULL)
        self._dispatch()
        return None

    def _drop(self, ticket: Ticket, reason: RefusalReason) -> None:
        ticket.state = DONE
        ticket.on_drop(reason)

    def _dispatch(self) -> None:
        # A callback may finish its ticket at once; the loop that is already
        # running then takes the next one, so the stack does not grow.
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue.size:
                now = self._clock.monotonic()
                if self._in_flight >= self._limit(now):
                    return
                ticket = self._queue.pop()
                if self._policy.deadline and self._is_hopeless(ticket, now):
                    self._drop(ticket, _deadline_reason(ticket, now))
                else:
                    self._run(ticket)
        finally:
            self._dispatching = False

    def _end_window(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed < _EARLY_WINDOW_S:
            return
        limit = self._limit(now)
        service = self._service.mean or _WINDOW_S
        capacity = limit / service
        target = capacity * max(
            _TARGET_QUEUE_S, service * _TARGET_QUEUE_PER_SERVICE
        )
        queued = self._queue.size
        if elapsed < _WINDOW_S and queued <= target * _SURGE_FACTOR:
            return
        calm = not queued and not self._threshold.rank
        if calm and elapsed < _CALM_WINDOW_S:
            return
        # Free slots count as a negative backlog.
        backlog = queued + min(0, self._in_flight - limit)
        correction_s = max(_CORRECTION_S, service * _CORRECTION_PER_SERVICE)
        wanted = capacity + (target - backlog) / correction_s
        self._threshold.move(elapsed, wanted)
        self._service.fade(elapsed)
        self._window_start = now


def _deadline_reason(ticket: Ticket, now: float) -> RefusalReason:
    if now >= ticket.deadline:
        return RefusalReason.DEADLINE_QUEUED
    return RefusalReason.DEADLINE_EXPECTED
