"""What admission control needs of a learned concurrency limit."""

from typing import Protocol


class ObservedRun:
    """A run from which a concurrency limit is learned.

    Attributes:
        kind: Kind of the request.
        concurrency: Running requests at its start, including it.
        started_s: Monotonic time of its start.
        window: Number of the window of time in which it started.
    """

    __slots__ = ("concurrency", "kind", "started_s", "window")

    def __init__(
        self, kind: str, concurrency: int, started_s: float, window: int
    ) -> None:
        """Stores the values."""
        self.kind = kind
        self.concurrency = concurrency
        self.started_s = started_s
        self.window = window


class LimitLearner(Protocol):
    """Learns a concurrency limit from the runs of an upstream."""

    def reset(self, slots: int) -> None:
        """Discards all evidence.

        Args:
            slots: Usable slots, which are the highest limit.
        """
        ...

    def begin(self, kind: str, concurrency: int, now_s: float) -> ObservedRun:
        """Records that a run starts.

        Args:
            kind: Kind of the request.
            concurrency: Running requests, including this one.
            now_s: Present monotonic time.
        """
        ...

    def finish(self, run: ObservedRun, now_s: float, waited_s: float) -> int:
        """Records that a run has ended, and returns the limit.

        Args:
            run: The run.
            now_s: Present monotonic time.
            waited_s: Part of the run in which it waited for calls of its own.
        """
        ...

    def abandon(self, run: ObservedRun) -> None:
        """Records that a run has ended in a way that says nothing.

        Args:
            run: The run.
        """
        ...
