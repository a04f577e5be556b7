"""Learned capacity: the concurrency limit that an upstream handles well.

Throughput is concurrency divided by service time. The limit changes only by
trials: a change of the limit for a short window, compared with the windows
before and after it, so that changes of the upstream over time (noise, a cold
start, a neighbour on its machine) do not look like an effect of concurrency.

Source: docs/design/learned-capacity.md.
"""

from enum import Enum
from math import ceil, exp

from radishtray_overload._capacity_window import CapacityWindow, WindowResult
from radishtray_overload._concurrency_bins import ConcurrencyBins
from radishtray_overload._kind_costs import KindCosts
from radishtray_overload._trial_interval import TrialInterval
from radishtray_state import ObservedRun

# Share of the slots below which the limit is not lowered.
_MIN_SHARE = 0.1
# A lower limit is tried if its known throughput is higher by this factor, for
# this time without interruption. Step-like noise lasts 0.6 s.
_SUSPECTED_GAIN = 1.1
_SUSPICION_S = 0.7
# A trial of a lower limit must show at least this gain, both against the window
# before and against the one after it.
_REQUIRED_GAIN = 1.05
# A difference is certain from this number of standard errors on; otherwise the
# window continues until it is precise.
_DECISIVE_ERRORS = 1.5
# A lower limit is at most this share of the present one: smaller differences
# are not measurable within one window.
_MAX_LOWERED_SHARE = 0.85
# The window after the trial must have a concurrency that is higher by this
# factor: without a knee its throughput is then higher, too.
_COMPARABLE_RATIO = 1.15
# Shares of the slots that are tried if nothing is known of them while the
# upstream is full.
_EXPLORED_SHARES = (0.6, 0.4, 0.75)
_FIRST_EXPLORATION_S = 1.0
_MAX_EXPLORATION_S = 30.0
# Weight of earlier windows in what a trial is compared with.
_EARLIER_WEIGHT = 0.7
# Steps of raises, as shares of the slots. Large steps show a loss or a gain
# more clearly, so a rejected step is halved. After the smallest one the first
# step is tried again, at longer intervals.
_FIRST_STEP_SHARE = 0.1
_MAX_STEP_SHARE = 0.25
# A raise must show this share of the throughput known at the present limit,
# which changes with this time constant.
_REFERENCE_SHARE = 0.9
_REFERENCE_TIME_CONSTANT_S = 5.0
# A trial shows that the upstream has become slower at all concurrencies if its
# speed is below the expected one by this many standard errors.
_SLOWER_ERRORS = 2.0
# A trial ends early with this throughput, by this many standard errors.
_EARLY_LOSS = 0.85
_EARLY_ERRORS = 2.0
# Intervals between trials; they grow by this factor after each trial without
# result. A rejected raise costs throughput, also while it is measured.
_LOWER_INTERVAL_FACTOR = 2.0
_RAISE_INTERVAL_FACTOR = 4.0
_EXPLORATION_INTERVAL_FACTOR = 4.0
# Shortest interval between rejected raises, in mean service times of the raise.
# One costs about 1.2 of them: it is noticed late, and its slow runs must end.
_RAISE_SERVICE_TIMES = 30.0
_FIRST_INTERVAL_S = 0.25
_FIRST_RAISE_S = 0.1
_MAX_RAISE_INTERVAL_S = 2.5
_MAX_LOWER_INTERVAL_S = 8.0


class _Phase(Enum):
    STEADY = 0
    """The learned limit is in force."""

    LOWERED = 1
    """A trial of a lower limit."""

    RESTORED = 2
    """The learned limit again, to confirm the result of a lower one."""

    RAISED = 3
    """A trial of a higher limit."""


_EARLY_PHASES = frozenset((_Phase.LOWERED, _Phase.RAISED))


class LearnedCapacity:
    """Learns how many concurrent requests an upstream handles well.

    Without evidence the limit is the number of usable slots. It is lowered only
    after a trial that has shown more throughput at a lower concurrency, and
    raised by trials with small steps.
    """

    __slots__ = (
        "_before",
        "_bins",
        "_costs",
        "_expected_speed",
        "_exploring",
        "_floor",
        "_learned",
        "_lowering",
        "_phase",
        "_raising",
        "_reference",
        "_reference_s",
        "_slots",
        "_step",
        "_suspected_since_s",
        "_trial",
        "_window",
    )

    def __init__(self, slots: int) -> None:
        """Starts without evidence.

        Args:
            slots: Usable slots, which are the highest limit.

        Raises:
            ValueError: If slots is not positive.
        """
        self.reset(slots)

    def reset(self, slots: int) -> None:
        """Discards all evidence, as after a restart of the upstream.

        Args:
            slots: Usable slots.

        Raises:
            ValueError: If slots is not positive.
        """
        if slots < 1:
            raise ValueError(f"an upstream needs at least 1 slot, not {slots}")
        self._slots = slots
        self._floor = max(1, ceil(slots * _MIN_SHARE))
        self._learned = slots
        self._costs = KindCosts()
        self._bins = ConcurrencyBins(slots)
        self._phase = _Phase.STEADY
        self._window = CapacityWindow(0, slots, 0.0)
        self._before: WindowResult | None = None
        self._trial: WindowResult | None = None
        self._reference = 0.0
        self._reference_s = 0.0
        self._step = self._first_step
        self._suspected_since_s: float | None = None
        self._expected_speed: float | None = None
        self._lowering = TrialInterval(
            _FIRST_INTERVAL_S, _MAX_LOWER_INTERVAL_S, _LOWER_INTERVAL_FACTOR
        )
        self._raising = TrialInterval(
            _FIRST_RAISE_S, _MAX_RAISE_INTERVAL_S, _RAISE_INTERVAL_FACTOR
        )
        self._exploring = TrialInterval(
            _FIRST_EXPLORATION_S,
            _MAX_EXPLORATION_S,
            _EXPLORATION_INTERVAL_FACTOR,
        )

    @property
    def _first_step(self) -> int:
        return max(1, round(self._slots * _FIRST_STEP_SHARE))

    @property
    def slots(self) -> int:
        """Usable slots, which are the highest limit."""
        return self._slots

    @property
    def learned(self) -> int:
        """The learned limit, without trials."""
        return self._learned

    @property
    def limit(self) -> int:
        """The limit in force, which differs from `learned` during a trial."""
        return self._window.limit

    @property
    def is_learned(self) -> bool:
        """Whether there is evidence for another limit than the slots."""
        return self._learned != self._slots

    def begin(self, kind: str, concurrency: int, now_s: float) -> ObservedRun:
        """Records that a run starts.

        Args:
            kind: Kind of the request.
            concurrency: Running requests, including this one.
            now_s: Present monotonic time.
        """
        self._window.begin(now_s)
        return ObservedRun(kind, concurrency, now_s, self._window.number)

    def abandon(self, run: ObservedRun) -> None:
        """Records that a run has ended in a way that says nothing.

        Args:
            run: The run.
        """
        if run.window == self._window.number:
            self._window.abandon(run.started_s)

    def finish(
        self, run: ObservedRun, now_s: float, waited_s: float = 0.0
    ) -> int:
        """Records that a run has ended.

        Args:
            run: The run.
            now_s: Present monotonic time.
            waited_s: Part of the run in which it waited for calls of its own.

        Returns:
            The limit in force from now on.
        """
        cost = self._costs.add(run.kind, now_s - run.started_s, waited_s)
        self._bins.add(run.concurrency, cost.quotient, now_s)
        window = self._window
        if run.window == window.number:
            window.finish(run.started_s, run.concurrency, cost)
            if window.is_complete(now_s):
                self._finish_window(window.result(now_s), now_s)
            elif self._phase in _EARLY_PHASES:
                self._check_early(window, now_s)
        if self._window is window and window.is_expired(now_s):
            self._begin(_Phase.STEADY, self._learned, now_s)
        return self._window.limit

    def _begin(self, phase: _Phase, limit: int, now_s: float) -> None:
        self._phase = phase
        self._window = CapacityWindow(self._window.number + 1, limit, now_s)

    def _finish_window(self, result: WindowResult, now_s: float) -> None:
        """Draws conclusions from a complete window, or lets it continue."""
        if self._phase is _Phase.STEADY:
            self._finish_steady(result, now_s)
        elif self._phase is _Phase.LOWERED:
            self._finish_lowered(result, now_s)
        elif self._phase is _Phase.RESTORED:
            self._finish_restored(result, now_s)
        else:
            self._finish_raised(result, now_s)

    # Steady state.

    def _finish_steady(self, result: WindowResult, now_s: float) -> None:
        before = self._before
        if before is not None and before.limit == result.limit:
            result = result.merged(before, _EARLIER_WEIGHT)
        self._before = result
        if result.is_filled:
            self._update_reference(result, now_s)
        lower = self._lower_limit(result, now_s)
        if lower is not None:
            self._begin(_Phase.LOWERED, lower, now_s)
        elif (
            self._learned < self._slots
            and result.is_filled
            and self._raising.is_due(now_s)
        ):
            raised = min(self._slots, self._learned + self._step)
            self._begin(_Phase.RAISED, raised, now_s)
        else:
            self._begin(_Phase.STEADY, self._learned, now_s)

    def _update_reference(self, result: WindowResult, now_s: float) -> None:
        """Updates the throughput that a raise is compared with.

        It changes slowly: as soon as noise ends, any limit looks better than
        the one before it.
        """
        elapsed_s = now_s - self._reference_s
        weight = 1 - exp(-elapsed_s / _REFERENCE_TIME_CONSTANT_S)
        self._reference += weight * (result.throughput - self._reference)
        self._reference_s = now_s

    def _lower_limit(self, result: WindowResult, now_s: float) -> int | None:
        """Returns a lower limit to try, or None."""
        highest = int(result.concurrency * _MAX_LOWERED_SHARE)
        if highest < self._floor:
            return None
        best = self._bins.best(self._floor, highest, now_s)
        if best is None or best[1] < result.throughput * _SUSPECTED_GAIN:
            self._suspected_since_s = None
            if result.is_filled:
                return self._explored_limit(highest, now_s)
            return None
        if self._suspected_since_s is None:
            self._suspected_since_s = now_s
        if (
            now_s - self._suspected_since_s < _SUSPICION_S
            or not self._lowering.is_due(now_s)
        ):
            return None
        self._expected_speed = best[1] / best[0]
        return best[0]

    def _explored_limit(self, highest: int, now_s: float) -> int | None:
        if not self._exploring.is_due(now_s):
            return None
        for share in _EXPLORED_SHARES:
            limit = int(self._slots * share)
            if self._floor <= limit <= highest and not self._bins.knows(
                limit, now_s
            ):
                self._exploring.back_off(now_s)
                self._expected_speed = None
                return limit
        return None

    # Trials.

    def _finish_lowered(self, result: WindowResult, now_s: float) -> None:
        assert self._before is not None
        gain = self._shows_gain(result, self._before)
        if gain is None and not result.is_precise:
            self._window.extend()
            return
        if gain:
            self._trial = result
            self._begin(_Phase.RESTORED, self._learned, now_s)
            return
        self._reject_lower(result, now_s)

    def _reject_lower(self, result: WindowResult, now_s: float) -> None:
        """Ends a trial of a lower limit that has shown no gain.

        Args:
            result: What the trial has shown.
            now_s: Present time.
        """
        expected = self._expected_speed
        slower = result.speed * (1 + _SLOWER_ERRORS * result.relative_error)
        if expected is not None and slower < expected:
            # The upstream has become slower at this concurrency, too.
            self._bins.scale(expected / result.speed)
        self._suspected_since_s = None
        self._lowering.back_off(now_s)
        self._begin(_Phase.STEADY, self._learned, now_s)

    def _finish_restored(self, result: WindowResult, now_s: float) -> None:
        assert self._trial is not None
        if result.concurrency < self._trial.concurrency * _COMPARABLE_RATIO:
            # The demand has fallen, so that the two limits are not comparable.
            self._begin(_Phase.STEADY, self._learned, now_s)
            return
        gain = self._shows_gain(self._trial, result)
        if gain is None and not result.is_precise:
            self._window.extend()
            return
        if not gain:
            self._reject_lower(self._trial, now_s)
            return
        self._learned = self._trial.limit
        # A trial that is adopted has more often shown too much than too little.
        trial_error = self._trial.relative_error
        self._reference = self._trial.throughput * (1 - trial_error)
        self._reference_s = now_s
        self._step = self._first_step
        self._suspected_since_s = None
        self._lowering.restart(now_s)
        self._raising.restart(now_s)
        self._begin(_Phase.STEADY, self._learned, now_s)

    def _shows_gain(
        self, lower: WindowResult, other: WindowResult
    ) -> bool | None:
        """Returns whether there is a gain, None if it is not certain."""
        ratio, error = lower.compare(other)
        margin = error * _DECISIVE_ERRORS
        if ratio - margin > _REQUIRED_GAIN:
            return True
        return False if ratio + margin < _REQUIRED_GAIN else None

    def _check_early(self, window: CapacityWindow, now_s: float) -> None:
        """Ends a trial whose loss is evident before its window is complete."""
        assert self._before is not None
        if not window.is_comparable_early(now_s, self._before.mean_s):
            return
        ratio, error = window.result(now_s).compare(self._before)
        if ratio + _EARLY_ERRORS * error >= _EARLY_LOSS:
            return
        if self._phase is _Phase.RAISED:
            self._reject_raise(window.result(now_s).mean_s, now_s)
        else:
            self._reject_lower(window.result(now_s), now_s)

    def _finish_raised(self, result: WindowResult, now_s: float) -> None:
        assert self._before is not None
        if not result.is_filled:
            self._begin(_Phase.STEADY, self._learned, now_s)
            return
        ratio, error = result.compare(self._before)
        if abs(ratio - 1.0) < error and not result.is_precise:
            self._window.extend()
            return
        if (
            ratio < 1.0
            or result.throughput < self._reference * _REFERENCE_SHARE
        ):
            self._reject_raise(result.mean_s, now_s)
            return
        self._learned = result.limit
        max_step = max(1, int(self._slots * _MAX_STEP_SHARE))
        self._step = min(2 * self._step, max_step)
        self._raising.restart(now_s)
        self._begin(_Phase.STEADY, self._learned, now_s)

    def _reject_raise(self, mean_s: float, now_s: float) -> None:
        if self._step > 1:
            self._step //= 2
            self._raising.repeat(now_s)
        else:
            self._step = self._first_step
            self._raising.back_off(now_s, mean_s * _RAISE_SERVICE_TIMES)
        self._begin(_Phase.STEADY, self._learned, now_s)
