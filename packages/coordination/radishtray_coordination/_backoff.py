"""Jittered exponential backoff."""

import random


class Backoff:
    """Delays that double up to a limit.

    Each delay is drawn from the whole interval, so nodes that failed together
    do not retry together.

    >>> backoff = Backoff(random.Random(1), first_s=1, limit_s=4)
    >>> all(0 <= backoff.next_s() <= limit for limit in (1, 2, 4, 4))
    True
    """

    __slots__ = ("_first_s", "_limit_s", "_next_limit_s", "_rng")

    def __init__(
        self, rng: random.Random, first_s: float, limit_s: float
    ) -> None:
        """Starts at the first delay.

        Args:
            rng: Source of jitter.
            first_s: Upper bound of the first delay.
            limit_s: Upper bound of all delays.
        """
        self._rng = rng
        self._first_s = first_s
        self._limit_s = limit_s
        self._next_limit_s = first_s

    def next_s(self) -> float:
        """Returns the next delay in seconds."""
        bound = self._next_limit_s
        self._next_limit_s = min(2 * bound, self._limit_s)
        return self._rng.uniform(0.1 * bound, bound)

    def reset(self) -> None:
        """Returns to the first delay after a success."""
        self._next_limit_s = self._first_s
