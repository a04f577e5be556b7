"""Samples of one window of time in which a concurrency limit is in force."""

from math import inf, sqrt

from radishtray_overload._kind_costs import RunCost

# Numbers of equally costly runs that a comparison needs, and that are enough to
# end a window early because it is clearly worse.
_MIN_RUNS = 30.0
_MIN_RUNS_EARLY = 12.0
# Relative error of the speed, of about 180 equally costly runs.
_PRECISE_ERROR = 0.075
# A window lasts for this many of its mean service times. At its start no run of
# it can end; in windows of equal relative length this has an equal effect.
_MEAN_SERVICE_TIMES = 3.0
_MEAN_SERVICE_TIMES_EARLY = 2.0
_MIN_LENGTH_S = 0.05
_MAX_LENGTH_S = 3.0
_MAX_MEAN_SERVICE_TIMES = 6.0
_LONGEST_S = 10.0
# A window counts as filled if this share of its runs started at no less than
# this share of the limit.
_FILLED_RUNS = 0.6
_FILLED_SHARE = 0.85


class CapacityWindow:
    """Runs that started in one window.

    The speed of the upstream is the work of the runs that have ended, divided
    by the time that all runs of the window have spent in their slots, including
    those that have not ended: otherwise long runs would be missing. Throughput
    is speed times concurrency (Little's law).

    Attributes:
        number: Number of the window.
        limit: Concurrency limit that is in force.
        start_s: Start of the window.
    """

    __slots__ = (
        "_concurrency_sum",
        "_ended",
        "_filled_at",
        "_filled_count",
        "_open",
        "_open_offset_sum_s",
        "_required_runs",
        "_slot_s",
        "_work_s",
        "_work_square_sum",
        "limit",
        "number",
        "start_s",
    )

    def __init__(self, number: int, limit: int, start_s: float) -> None:
        """Starts an empty window.

        Args:
            number: Number of the window.
            limit: Concurrency limit that is in force.
            start_s: Present time.
        """
        self.number = number
        self.limit = limit
        self.start_s = start_s
        self._required_runs = _MIN_RUNS
        self._filled_at = limit * _FILLED_SHARE
        self._filled_count = 0
        self._concurrency_sum = 0
        self._open = 0
        self._open_offset_sum_s = 0.0
        self._ended = 0
        self._slot_s = 0.0
        self._work_s = 0.0
        self._work_square_sum = 0.0

    def begin(self, now_s: float) -> None:
        """Adds a run that starts."""
        self._open += 1
        self._open_offset_sum_s += now_s - self.start_s

    def abandon(self, started_s: float) -> None:
        """Removes a run that started in the window."""
        self._open -= 1
        self._open_offset_sum_s -= started_s - self.start_s

    def finish(self, started_s: float, concurrency: int, cost: RunCost) -> None:
        """Records the end of a run that started in the window.

        Args:
            started_s: Its start.
            concurrency: Runs at its start, including it.
            cost: Its cost.
        """
        self.abandon(started_s)
        self._ended += 1
        if concurrency >= self._filled_at:
            self._filled_count += 1
        self._concurrency_sum += concurrency
        self._slot_s += cost.service_s
        self._work_s += cost.work_s
        self._work_square_sum += cost.work_s * cost.work_s

    def _total_slot_s(self, now_s: float) -> float:
        open_s = self._open * (now_s - self.start_s) - self._open_offset_sum_s
        return self._slot_s + open_s

    @property
    def _effective_runs(self) -> float:
        """Number of runs, reduced if few of them contain most of the work."""
        if not self._ended:
            return 0.0
        return self._work_s * self._work_s / self._work_square_sum

    def is_complete(self, now_s: float) -> bool:
        """Returns whether the window is long enough for its throughput."""
        if (
            self._ended < self._required_runs
            or self._effective_runs < self._required_runs
        ):
            return False
        length_s = now_s - self.start_s
        mean_s = self._total_slot_s(now_s) / self._ended
        return length_s >= max(_MIN_LENGTH_S, _MEAN_SERVICE_TIMES * mean_s)

    def extend(self) -> None:
        """Lets the window continue for twice as many runs.

        If each further run were compared, chance would decide most of the
        comparisons.
        """
        self._required_runs *= 2.0

    def is_comparable_early(self, now_s: float, mean_s: float) -> bool:
        """Returns whether a much lower throughput would already be evident.

        Args:
            now_s: Present time.
            mean_s: Mean service time in the window to compare with.
        """
        return (
            self._ended >= _MIN_RUNS_EARLY
            and now_s - self.start_s >= _MEAN_SERVICE_TIMES_EARLY * mean_s
            and self._effective_runs >= _MIN_RUNS_EARLY
        )

    def is_expired(self, now_s: float) -> bool:
        """Returns whether the window has lasted too long for a comparison."""
        length_s = now_s - self.start_s
        if length_s <= _MAX_LENGTH_S:
            return False
        if not self._ended:
            return True
        mean_s = self._total_slot_s(now_s) / self._ended
        max_s = min(_MAX_MEAN_SERVICE_TIMES * mean_s, _LONGEST_S)
        return length_s > max_s

    def result(self, now_s: float) -> "WindowResult":
        """Returns what the window has shown until now."""
        return WindowResult(
            self.limit,
            self._ended,
            self._filled_count,
            self._concurrency_sum,
            self._total_slot_s(now_s),
            self._work_s,
            self._work_square_sum,
        )


class WindowResult:
    """What one or more windows with the same limit have shown.

    Attributes:
        limit: Concurrency limit that was in force.
        ended: Runs that have ended.
    """

    __slots__ = (
        "_concurrency_sum",
        "_filled_count",
        "_slot_s",
        "_work_s",
        "_work_square_sum",
        "ended",
        "limit",
    )

    def __init__(
        self,
        limit: int,
        ended: float,
        filled_count: float,
        concurrency_sum: float,
        slot_s: float,
        work_s: float,
        work_square_sum: float,
    ) -> None:
        """Stores the sums over the runs.

        Args:
            limit: Concurrency limit that was in force.
            ended: Runs that have ended.
            filled_count: Those that started with nearly all of the limit in
                use.
            concurrency_sum: Sum of the concurrency at their starts.
            slot_s: Time in slots.
            work_s: Sum of their work.
            work_square_sum: Sum of the squares of their work.
        """
        self.limit = limit
        self.ended = ended
        self._filled_count = filled_count
        self._concurrency_sum = concurrency_sum
        self._slot_s = slot_s
        self._work_s = work_s
        self._work_square_sum = work_square_sum

    def merged(self, earlier: "WindowResult", weight: float) -> "WindowResult":
        """Returns this result together with an earlier one.

        Args:
            earlier: Result with the same limit.
            weight: Weight of its runs.
        """
        return WindowResult(
            self.limit,
            self.ended + weight * earlier.ended,
            self._filled_count + weight * earlier._filled_count,
            self._concurrency_sum + weight * earlier._concurrency_sum,
            self._slot_s + weight * earlier._slot_s,
            self._work_s + weight * earlier._work_s,
            self._work_square_sum + weight * earlier._work_square_sum,
        )

    @property
    def concurrency(self) -> float:
        """Mean concurrency at the starts of the runs."""
        return self._concurrency_sum / self.ended if self.ended else 0.0

    @property
    def speed(self) -> float:
        """Work per time in a slot."""
        return self._work_s / self._slot_s if self._slot_s else 0.0

    @property
    def throughput(self) -> float:
        """Work per time."""
        return self.speed * self.concurrency

    @property
    def mean_s(self) -> float:
        """Mean time in a slot."""
        return self._slot_s / self.ended if self.ended else 0.0

    @property
    def relative_error(self) -> float:
        """Standard error of the speed, relative to it."""
        if not self._work_s:
            return inf
        return sqrt(self._work_square_sum) / self._work_s

    @property
    def is_filled(self) -> bool:
        """Whether most runs started with nearly all of the limit in use."""
        return self._filled_count >= self.ended * _FILLED_RUNS

    @property
    def is_precise(self) -> bool:
        """Whether further runs would not improve a comparison by much."""
        return self.relative_error <= _PRECISE_ERROR

    def compare(self, other: "WindowResult") -> tuple[float, float]:
        """Compares the throughput with that of another window.

        Returns:
            This throughput divided by the other one, and the standard error of
            that ratio.
        """
        ratio = self.throughput / other.throughput
        error = sqrt(self.relative_error**2 + other.relative_error**2)
        return ratio, ratio * error
