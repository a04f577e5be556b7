"""Guards against splits that deviate from their weights in short windows."""

import random
from collections import Counter

import pytest

from radishtray_state import WeightedRoundRobin

# Name: weights of the services.
WEIGHTS = {
    "one": [("a", 7.0)],
    "even": [("a", 50.0), ("b", 50.0)],
    "skewed": [("a", 90.0), ("b", 10.0)],
    "three": [("a", 5.0), ("b", 3.0), ("c", 2.0)],
    "zero": [("a", 1.0), ("b", 0.0)],
    "fractions": [("a", 0.25), ("b", 0.75)],
}


@pytest.mark.parametrize("name", WEIGHTS)
@pytest.mark.parametrize("seed", range(20))
def test_every_hundred_requests_keep_to_the_weights(
    name: str, seed: int
) -> None:
    weights = WEIGHTS[name]
    rotation = WeightedRoundRobin(weights, random.Random(seed))
    chosen = [rotation.next_service() for _ in range(400)]
    total = sum(weight for _, weight in weights)
    for start in range(0, 300, 7):
        counts = Counter(chosen[start : start + 100])
        for service, weight in weights:
            assert abs(counts[service] - 100 * weight / total) <= 2


def test_weights_without_a_positive_one_are_rejected() -> None:
    with pytest.raises(ValueError, match="positive weight"):
        WeightedRoundRobin([("a", 0.0)], random.Random(1))
