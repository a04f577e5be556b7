"""Admission control beside one upstream: slots, queue, threshold, deadlines.

Source: docs/design.md, section 6.2.
"""

import heapq
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate
from math import exp, inf

from radishtray_state._clock import Clock
from radishtray_state._refusal import RefusalReason

LEVELS_PER_CLASS = 128
CLASS_COUNT = 4
RANK_COUNT = LEVELS_PER_CLASS * CLASS_COUNT

_WINDOW_S = 0.05
# The mix of a calm node is needed only once a queue forms.
_CALM_WINDOW_S = 0.5
# A queue beyond this multiple of the target closes a window early.
_SURGE_FACTOR = 2.0
_EARLY_WINDOW_S = _WINDOW_S / 5
_ARRIVAL_MEMORY_S = 0.3
# Senders refuse early below the threshold, so arrivals there are hidden. Their
# last known rate fades over this time, which lowers the threshold step by step.
# In simulated surges of requests with four calls, 0.5 s refused 7.5% of the
# requests after an answered call, 2 s 5.4%.
_HIDDEN_MEMORY_S = 2.0
_SERVICE_MEMORY_S = 1.0
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
_QUANTILE_STEP = 0.1
# While others wait, a slot goes to a request that is likely to be answered in
# time. With the median, a queue of equal ranks ran requests that were late, and
# simulated goodput was 0.67 of the capacity (deadline of 10 service times).
_TAIL = 0.9
_MAX_KINDS = 1024

_NEW = 0
_QUEUED = 1
_RUNNING = 2
_DONE = 3


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Which mechanisms of the controller are on.

    Attributes:
        threshold: Whether ranks below a moving threshold are refused.
        deadline: Whether requests that cannot be answered in time are refused
            or dropped from the queue.
        priority: Whether the queue is ordered by rank; else by arrival.
        queue_per_slot: Bound of the queue, in waiting requests per slot.
    """

    threshold: bool = True
    deadline: bool = True
    priority: bool = True
    queue_per_slot: int = 32


ADMISSION_POLICIES: dict[str, AdmissionPolicy] = {}


def admission_policy(
    name: str,
) -> Callable[[Callable[[], AdmissionPolicy]], Callable[[], AdmissionPolicy]]:
    """Registers the result of the decorated function under a name."""

    def register(
        build: Callable[[], AdmissionPolicy],
    ) -> Callable[[], AdmissionPolicy]:
        if name in ADMISSION_POLICIES:
            raise ValueError(f"admission policy {name!r} is registered twice")
        ADMISSION_POLICIES[name] = build()
        return build

    return register


@admission_policy("adaptive")
def _adaptive() -> AdmissionPolicy:
    return AdmissionPolicy()


@admission_policy("none")
def _none() -> AdmissionPolicy:
    return AdmissionPolicy(
        threshold=False, deadline=False, priority=False, queue_per_slot=10_000
    )


@admission_policy("no_threshold")
def _no_threshold() -> AdmissionPolicy:
    return AdmissionPolicy(threshold=False)


@admission_policy("no_deadline")
def _no_deadline() -> AdmissionPolicy:
    return AdmissionPolicy(deadline=False)


@admission_policy("fifo")
def _fifo() -> AdmissionPolicy:
    return AdmissionPolicy(priority=False)


class Ticket:
    """One request that asks for a slot."""

    __slots__ = ("_state", "deadline", "kind", "on_drop", "on_run", "rank")

    def __init__(
        self,
        rank: int,
        deadline: float,
        on_run: Callable[[], None],
        on_drop: Callable[[RefusalReason], None],
        kind: str = "",
    ) -> None:
        """Creates a ticket that has not been submitted.

        Args:
            rank: Importance, class * 128 + level; higher is more important.
            deadline: Monotonic time in seconds after which an answer is
                worthless.
            on_run: Called once when the ticket gets a slot.
            on_drop: Called once when a queued ticket is dropped. It has not
                run and will not run.
            kind: Request kind; expected service times are kept by kind.

        Raises:
            ValueError: If rank is not within 0 and 511.
        """
        if not 0 <= rank < RANK_COUNT:
            raise ValueError(f"rank {rank} is not within 0 and 511")
        self.rank = rank
        self.deadline = deadline
        self.on_run = on_run
        self.on_drop = on_drop
        self.kind = kind
        self._state = _NEW


class _RankQueue:
    """Waiting tickets in one FIFO per rank, with a bit set of ranks in use."""

    __slots__ = ("_fifos", "_ranked", "_used", "size")

    def __init__(self, ranked: bool) -> None:
        count = RANK_COUNT if ranked else 1
        self._fifos: list[deque[Ticket]] = [deque() for _ in range(count)]
        self._ranked = ranked
        self._used = 0
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        index = ticket.rank if self._ranked else 0
        self._fifos[index].append(ticket)
        self._used |= 1 << index
        self.size += 1

    def pop(self) -> Ticket:
        """Removes the most important ticket, the oldest among equals."""
        index = self._used.bit_length() - 1
        ticket = self._fifos[index].popleft()
        self._removed(index)
        return ticket

    def pop_least(self) -> Ticket:
        """Removes the least important ticket, the newest among equals."""
        index = (self._used & -self._used).bit_length() - 1
        ticket = self._fifos[index].pop()
        self._removed(index)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        index = ticket.rank if self._ranked else 0
        self._fifos[index].remove(ticket)
        self._removed(index)

    def _removed(self, index: int) -> None:
        self.size -= 1
        if not self._fifos[index]:
            self._used &= ~(1 << index)


class _MovingQuantile:
    """Follows one quantile of positive observations in steps."""

    __slots__ = ("_down", "_up", "value")

    def __init__(self, quantile: float, first: float) -> None:
        self._up = 1 + _QUANTILE_STEP * quantile
        self._down = 1 - _QUANTILE_STEP * (1 - quantile)
        self.value = first

    def add(self, observation: float) -> None:
        self.value *= self._up if observation > self.value else self._down


class _ServiceTimes:
    """Observed service times: the recent mean and two quantiles by kind."""

    __slots__ = ("_count", "_medians", "_sum", "_tails")

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0.0
        self._medians: dict[str, _MovingQuantile] = {}
        self._tails: dict[str, _MovingQuantile] = {}

    @property
    def mean(self) -> float:
        """Recent mean in seconds, 0 before the first observation."""
        return self._sum / self._count if self._count else 0.0

    def median(self, kind: str) -> float:
        """Moving median of a kind in seconds, 0 before its first run."""
        found = self._medians.get(kind)
        return found.value if found else 0.0

    def tail(self, kind: str) -> float:
        """Moving 90% quantile of a kind, 0 before its first run."""
        found = self._tails.get(kind)
        return found.value if found else 0.0

    def add(self, kind: str, service_s: float) -> None:
        self._sum += service_s
        self._count += 1.0
        median = self._medians.get(kind)
        if median is not None:
            median.add(service_s)
            self._tails[kind].add(service_s)
        elif len(self._medians) < _MAX_KINDS:
            self._medians[kind] = _MovingQuantile(0.5, service_s)
            self._tails[kind] = _MovingQuantile(_TAIL, service_s)

    def fade(self, elapsed_s: float) -> None:
        """Lets older observations weigh less in the mean."""
        if self._count < 1.0:
            return
        factor = exp(-elapsed_s / _SERVICE_MEMORY_S)
        self._sum *= factor
        self._count *= factor


class _Threshold:
    """Finds the rank that admits a wanted rate of the arriving mix."""

    __slots__ = ("_counts", "_rates", "rank")

    def __init__(self) -> None:
        self._counts = [0] * RANK_COUNT
        self._rates = [0.0] * RANK_COUNT
        self.rank = 0

    def count(self, rank: int) -> None:
        self._counts[rank] += 1

    def move(self, elapsed_s: float, wanted: float) -> None:
        """Ends a window.

        Args:
            elapsed_s: Length of the window in seconds.
            wanted: Arrivals per second to admit from now on.
        """
        keep = exp(-elapsed_s / _ARRIVAL_MEMORY_S)
        gain = (1 - keep) / elapsed_s
        cut = self.rank
        rates = [
            rate * keep + count * gain
            for rate, count in zip(self._rates, self._counts, strict=True)
        ]
        fade = exp(-elapsed_s / _HIDDEN_MEMORY_S)
        hidden = [
            max(rate, old * fade)
            for rate, old in zip(rates[:cut], self._rates[:cut], strict=True)
        ]
        self._rates = hidden + rates[cut:]
        self._counts = [0] * RANK_COUNT
        self._place(wanted)

    def _place(self, wanted: float) -> None:
        admitted = list(accumulate(reversed(self._rates)))
        # The rank that crosses the wanted rate is admitted: the queue bounds
        # the excess, while too few arrivals would leave slots empty.
        index = bisect_left(admitted, wanted)
        self.rank = max(0, RANK_COUNT - 1 - index)


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
        "_window_start",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        slots: int,
        policy: str = "adaptive",
    ) -> None:
        """Starts warm, with an empty queue and threshold 0.

        Args:
            clock: Time source.
            rng: Shifts the first window, so that the thresholds of a service
                do not move in step.
            slots: Requests that the upstream runs at the same time.
            policy: Name of a registered policy.

        Raises:
            ValueError: If the policy is unknown or slots is not positive.
        """
        if policy not in ADMISSION_POLICIES:
            known = ", ".join(sorted(ADMISSION_POLICIES))
            raise ValueError(f"admission policy {policy!r} is none of {known}")
        self._clock = clock
        self._policy = ADMISSION_POLICIES[policy]
        self._queue = _RankQueue(self._policy.priority)
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._service = _ServiceTimes()
        self._threshold = _Threshold()
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
        self._slots = slots
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
        if ticket._state != _RUNNING:
            return
        ticket._state = _DONE
        self._in_flight -= 1
        if service_s is not None:
            self._service.add(ticket.kind, service_s)
        self._dispatch()

    def cancel(self, ticket: Ticket) -> bool:
        """Withdraws a queued ticket without a callback.

        Returns:
            True if the ticket was still queued, so that it never runs.
        """
        if ticket._state != _QUEUED:
            return False
        ticket._state = _DONE
        self._queue.remove(ticket)
        return True

    def expire(self) -> None:
        """Drops queued tickets that can no longer be answered in time."""
        now = self._clock.monotonic()
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            ticket = heapq.heappop(expiries)[2]
            if ticket._state == _QUEUED:
                self._queue.remove(ticket)
                self._drop(ticket, _deadline_reason(ticket, now))
        self._dispatch()

    def next_expiry(self) -> float | None:
        """Monotonic time of the next call of `expire`; None if none is due."""
        expiries = self._expiries
        while expiries and expiries[0][2]._state != _QUEUED:
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
        ticket._state = _RUNNING
        self._in_flight += 1
        ticket.on_run()

    def _enqueue(self, ticket: Ticket) -> RefusalReason | None:
        ticket._state = _QUEUED
        self._queue.push(ticket)
        if self._policy.deadline and ticket.deadline != inf:
            latest = ticket.deadline - self._service.tail(ticket.kind)
            self._sequence += 1
            heapq.heappush(self._expiries, (latest, self._sequence, ticket))
        if self._queue.size > self._policy.queue_per_slot * self._slots:
            least = self._queue.pop_least()
            if least is ticket:
                ticket._state = _DONE
                return RefusalReason.QUEUE_FULL
            self._drop(least, RefusalReason.QUEUE_FULL)
        self._dispatch()
        return None

    def _drop(self, ticket: Ticket, reason: RefusalReason) -> None:
        ticket._state = _DONE
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
