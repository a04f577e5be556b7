"""Learned capacity beside one upstream, in a discrete model.

Guards against limits that stay above an upstream's knee, and against limits
that are lowered for a slowness that a lower limit does not cure. Callers need
0.95 of what the upstream could serve 5 s after a change, and must not lose more
than 0.02 of today's throughput where there is no knee.
"""

from collections.abc import Callable

import pytest

from radishtray_overload import LearnedCapacity
from radishtray_overload.tests.upstream_model import (
    SLOTS,
    USABLE_SLOTS,
    Kind,
    Upstream,
    UpstreamRun,
    steps_of_noise,
)

MIN_SHARE_OF_BEST = 0.95
MAX_LOSS = 0.02
SEEDS = (1, 2)
DURATION_S = 20.0
LEARNED_S = 5.0
TWO_KINDS = (Kind("light", 0.01, weight=4.0), Kind("heavy", 0.1))
CALLING_KIND = (Kind("calling", 0.01, waited_s=0.02),)


def between(
    start_s: float, end_s: float, factor: float
) -> Callable[[float], float]:
    return lambda now_s: factor if start_s <= now_s < end_s else 1.0


def demand(work: float) -> Callable[[float], float]:
    return lambda _now_s: work


def run(upstream: Upstream, seed: int, **settings: object) -> UpstreamRun:
    return UpstreamRun(upstream, seed=seed, **settings).run(DURATION_S)


KNEES = {
    f"knee at {knee} of the slots, {slowdown} times slower": (knee, slowdown)
    for knee in (0.3, 0.6, 0.95)
    for slowdown in (1.3, 3.0)
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", KNEES)
def test_throughput_is_near_the_best_at_any_knee(name: str, seed: int) -> None:
    upstream = Upstream(*KNEES[name])
    learned = run(upstream, seed)
    best = upstream.best_throughput()
    served = learned.throughput(LEARNED_S, DURATION_S)
    assert served >= MIN_SHARE_OF_BEST * best


@pytest.mark.parametrize("seed", SEEDS)
def test_kinds_of_different_cost_do_not_hide_a_knee(seed: int) -> None:
    upstream = Upstream(0.6, 3.0)
    learned = run(upstream, seed, kinds=TWO_KINDS)
    constant = run(upstream, seed, kinds=TWO_KINDS, is_learning=False)
    # The heavy kind takes 10 times as long, so it is learned later.
    best = upstream.best_throughput()
    assert learned.throughput(10.0, DURATION_S) >= MIN_SHARE_OF_BEST * best
    assert learned.mean_latency_s(10.0, DURATION_S) < constant.mean_latency_s(
        10.0, DURATION_S
    )


NO_KNEES: dict[str, tuple[Upstream, dict[str, object]]] = {
    "fast": (Upstream(), {}),
    "always slow": (Upstream(speed=between(0, 1e9, 2.7)), {}),
    "cold start": (Upstream(speed=between(0, 3, 3.0)), {}),
    "cold start below capacity": (
        Upstream(speed=between(0, 3, 3.0)),
        {"demand": demand(28.0)},
    ),
    "noise in steps": (Upstream(speed=steps_of_noise), {}),
    "noise in steps below capacity": (
        Upstream(speed=steps_of_noise),
        {"demand": demand(28.0)},
    ),
    "neighbour": (Upstream(speed=between(6, 14, 2.0)), {}),
    "neighbour below capacity": (
        Upstream(speed=between(6, 14, 2.0)),
        {"demand": demand(30.0)},
    ),
    "two kinds": (Upstream(), {"kinds": TWO_KINDS}),
    "slow dependency": (
        Upstream(wait=between(6, 14, 3.0)),
        {"kinds": CALLING_KIND},
    ),
    "slow dependency below capacity": (
        Upstream(wait=between(6, 14, 3.0)),
        {"kinds": CALLING_KIND, "demand": demand(28.0)},
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", NO_KNEES)
def test_slowness_that_a_lower_limit_does_not_cure_costs_nothing(
    name: str, seed: int
) -> None:
    upstream, settings = NO_KNEES[name]
    learned = run(upstream, seed, **settings)
    constant = run(upstream, seed, is_learning=False, **settings)
    today = constant.throughput(0.0, DURATION_S)
    assert learned.throughput(0.0, DURATION_S) >= (1 - MAX_LOSS) * today
    assert learned.limits[-1] == USABLE_SLOTS


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_returns_when_the_upstream_becomes_fast_again(seed: int) -> None:
    upstream = Upstream(0.6, 3.0, until_s=8.0)
    learned = run(upstream, seed)
    assert learned.limits[79] < 0.7 * SLOTS
    served = learned.throughput(8.0 + LEARNED_S, DURATION_S)
    assert served >= MIN_SHARE_OF_BEST * USABLE_SLOTS


@pytest.mark.parametrize("seed", SEEDS)
def test_knee_is_found_in_spite_of_noise(seed: int) -> None:
    upstream = Upstream(0.6, 3.0, speed=steps_of_noise)
    learned = run(upstream, seed)
    constant = run(upstream, seed, is_learning=False)
    served = learned.throughput(LEARNED_S, DURATION_S)
    assert served >= 1.5 * constant.throughput(LEARNED_S, DURATION_S)


def test_without_evidence_the_limit_is_the_usable_slots() -> None:
    """Guards against another limit at low load than without the feature."""
    learned = UpstreamRun(Upstream(0.6, 3.0), demand=demand(10.0)).run(10.0)
    assert set(learned.limits) == {USABLE_SLOTS}


def test_limit_stays_within_its_bounds() -> None:
    """Guards against a limit of 0 or above the slots, with any slot number."""
    for slots in (1, 2, 3, 5):
        capacity = LearnedCapacity(slots)
        now_s = 0.0
        for number in range(3000):
            run = capacity.begin("k", 1 + number % slots, now_s)
            now_s += 0.001 * (1 + number % 7)
            limit = capacity.finish(run, now_s)
            assert 1 <= limit <= slots


def test_restart_of_the_upstream_discards_what_was_learned() -> None:
    """Guards against a limit of the earlier process."""
    capacity = LearnedCapacity(USABLE_SLOTS)
    run = capacity.begin("k", 1, 0.0)
    capacity.reset(20)
    assert capacity.limit == capacity.learned == capacity.slots == 20
    capacity.finish(run, 1.0)
    assert capacity.limit == 20


def test_kinds_take_bounded_memory() -> None:
    """Guards against growth with the kinds that callers name."""
    capacity = LearnedCapacity(USABLE_SLOTS)
    for number in range(2000):
        run = capacity.begin(f"kind {number}", 1, float(number))
        capacity.finish(run, number + 0.01)
    assert len(capacity._costs) <= 257
