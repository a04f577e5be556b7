"""Shares the requests of a route among its services by weight."""

import random
from collections.abc import Sequence


class SplitRotation:
    """Smooth weighted round robin over the services of one route.

    Every run of consecutive requests is shared as closely to the weights as
    whole numbers allow, so the shares also hold in short windows.

    >>> rotation = SplitRotation([("a", 3), ("b", 1)], random.Random(1))
    >>> sorted(rotation.next() for _ in range(8))
    ['a', 'a', 'a', 'a', 'a', 'a', 'b', 'b']
    """

    __slots__ = ("_credits", "_names", "_total", "_weights")

    def __init__(
        self, weights: Sequence[tuple[str, float]], rng: random.Random
    ) -> None:
        """Starts at a random point of the rotation.

        Args:
            weights: Services with their weights.
            rng: Keeps the nodes of a fleet from moving in step.

        Raises:
            ValueError: If no weight is positive.
        """
        self._names = [name for name, _ in weights]
        self._weights = [float(weight) for _, weight in weights]
        self._total = sum(self._weights)
        if not self._total > 0:
            raise ValueError("a rotation needs a positive weight")
        self._credits = [rng.random() * weight for weight in self._weights]

    def next(self) -> str:
        """Returns the service of the next request."""
        if len(self._names) == 1:
            return self._names[0]
        credits = self._credits
        for index, weight in enumerate(self._weights):
            credits[index] += weight
        # A weight of zero never wins: its credit stays zero.
        best = max(
            (i for i, weight in enumerate(self._weights) if weight > 0),
            key=credits.__getitem__,
        )
        credits[best] -= self._total
        return self._names[best]
