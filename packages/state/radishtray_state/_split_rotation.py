"""Distributes the requests of a route among its services by weight."""

import random
from collections.abc import Sequence


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route.

    Each service's share of any number of consecutive requests is close to its
    weight, so the split also holds in short windows.

    >>> rotation = WeightedRoundRobin([("a", 3), ("b", 1)], random.Random(1))
    >>> sorted(rotation.next_service() for _ in range(8))
    ['a', 'a', 'a', 'a', 'a', 'a', 'b', 'b']
    """

    __slots__ = ("_current_weights", "_services", "_total_weight", "_weights")

    def __init__(
        self, weights: Sequence[tuple[str, float]], rng: random.Random
    ) -> None:
        """Starts with random current weights.

        Args:
            weights: Services with their weights.
            rng: Randomises the start, so that the nodes of a fleet do not all
                choose the same service at the same time.

        Raises:
            ValueError: If no weight is positive.
        """
        self._services = [name for name, _ in weights]
        self._weights = [float(weight) for _, weight in weights]
        self._total_weight = sum(self._weights)
        if not self._total_weight > 0:
            raise ValueError("round robin needs at least one positive weight")
        self._current_weights = [
            rng.random() * weight for weight in self._weights
        ]

    def next_service(self) -> str:
        """Returns the service of the next request."""
        if len(self._services) == 1:
            return self._services[0]
        current_weights = self._current_weights
        for index, weight in enumerate(self._weights):
            current_weights[index] += weight
        # Services of weight zero are left out, since their current weight stays
        # zero and could be the greatest.
        best = max(
            (i for i, weight in enumerate(self._weights) if weight > 0),
            key=current_weights.__getitem__,
        )
        current_weights[best] -= self._total_weight
        return self._services[best]
