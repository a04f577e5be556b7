"""Times between trials of other concurrency limits."""


class TrialInterval:
    """Time between trials, which grows after each trial without result."""

    __slots__ = ("_factor", "_first_s", "_interval_s", "_max_s", "_next_s")

    def __init__(self, first_s: float, max_s: float, factor: float) -> None:
        """Starts with a trial that is due.

        Args:
            first_s: First interval.
            max_s: Longest interval.
            factor: Factor by which the interval grows.
        """
        self._factor = factor
        self._first_s = first_s
        self._max_s = max_s
        self._interval_s = first_s
        self._next_s = 0.0

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next trial may begin."""
        return now_s >= self._next_s

    def restart(self, now_s: float) -> None:
        """Returns to the first interval, after a trial with a result."""
        self._interval_s = self._first_s
        self._next_s = now_s + self._interval_s

    def repeat(self, now_s: float) -> None:
        """Waits for the present interval."""
        self._next_s = now_s + self._interval_s

    def back_off(self, now_s: float, shortest_s: float = 0.0) -> None:
        """Waits for the present interval, and extends it.

        Args:
            now_s: Present time.
            shortest_s: Shortest interval from now on.
        """
        self._interval_s = max(self._interval_s, shortest_s)
        self._next_s = now_s + self._interval_s
        self._interval_s = max(
            min(self._factor * self._interval_s, self._max_s), shortest_s
        )
