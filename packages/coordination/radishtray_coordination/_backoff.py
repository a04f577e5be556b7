"""Exponential backoff with jitter."""

import random


class Backoff:
    """Random delays whose upper bound doubles up to a maximum.

    Each delay is drawn uniformly between a tenth of its upper bound and the
    bound, so nodes that failed together do not retry together.

    >>> backoff = Backoff(random.Random(1), first_delay_s=1, max_delay_s=4)
    >>> all(0 <= backoff.next_delay_s() <= limit for limit in (1, 2, 4, 4))
    True
    """

    __slots__ = ("_first_delay_s", "_max_delay_s", "_next_bound_s", "_rng")

    def __init__(
        self, rng: random.Random, first_delay_s: float, max_delay_s: float
    ) -> None:
        """Starts with the bound of the first delay.

        Args:
            rng: Random source of the jitter.
            first_delay_s: Upper bound of the first delay.
            max_delay_s: Upper bound of all delays.
        """
        self._rng = rng
        self._first_delay_s = first_delay_s
        self._max_delay_s = max_delay_s
        self._next_bound_s = first_delay_s

    def next_delay_s(self) -> float:
        """Returns the next delay and doubles the bound of the one after it."""
        bound_s = self._next_bound_s
        self._next_bound_s = min(2 * bound_s, self._max_delay_s)
        return self._rng.uniform(0.1 * bound_s, bound_s)

    def reset(self) -> None:
        """Returns to the bound of the first delay; call it after a success."""
        self._next_bound_s = self._first_delay_s
