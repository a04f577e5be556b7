"""Tests of when keys may be accepted."""

from random import Random

import pytest

from radishtray_organisations import (
    FreshnessGuard,
    FreshnessSchedule,
    FreshnessSource,
)
from radishtray_state import ManualClock

_LIMIT_S = 5.0


def _build_guard(clock: ManualClock, generation: int = 3) -> FreshnessGuard:
    guard = FreshnessGuard(clock, _LIMIT_S)
    guard.apply(generation)
    return guard


def test_a_confirmation_expires_before_the_limit() -> None:
    """Guards against a withdrawn key that runs after the limit."""
    clock = ManualClock()
    guard = _build_guard(clock)
    assert not guard.is_fresh
    guard.confirm(3, clock.monotonic())
    clock.advance(4.8)
    assert guard.is_fresh
    clock.advance(0.2)
    assert not guard.is_fresh


def test_a_later_generation_counts_once_it_is_in_force() -> None:
    """Guards against freshness of an old configuration shown by a newer one."""
    clock = ManualClock()
    guard = _build_guard(clock)
    guard.confirm(4, clock.monotonic())
    assert not guard.is_fresh
    clock.advance(1)
    guard.apply(4)
    assert guard.is_fresh
    assert guard.age_s == pytest.approx(1)


@pytest.mark.parametrize(
    ("peer_generation", "peer_age_s", "delay_s", "is_fresh"),
    [
        pytest.param(3, 1.0, 0.5, True, id="fresh peer"),
        pytest.param(3, None, 0.0, False, id="stale peer"),
        pytest.param(3, 1.0, 4.5, False, id="answer delayed or frozen"),
        pytest.param(3, -1.0, 0.0, False, id="impossible age"),
        pytest.param(4, 0.0, 0.0, False, id="peer ahead"),
        pytest.param(2, 0.0, 0.0, True, id="peer behind"),
    ],
)
def test_peers_renew_only_what_they_can_show(
    peer_generation: int,
    peer_age_s: float | None,
    delay_s: float,
    is_fresh: bool,
) -> None:
    """Guards against freshness from a stale peer or a late answer."""
    clock = ManualClock()
    guard = _build_guard(clock)
    asked_at_s = clock.monotonic()
    clock.advance(delay_s)
    guard.confirm_by_peer(peer_generation, peer_age_s, asked_at_s)
    assert guard.is_fresh == is_fresh


def test_no_chain_of_peers_outlives_the_limit() -> None:
    """Guards against nodes that renew one another without the platform.

    Random exchanges between nodes, delayed and reordered. The last
    confirmation by the platform is at time 0 on node 0.
    """
    rng = Random(5)
    for _ in range(50):
        clock = ManualClock()
        guards = [_build_guard(clock) for _ in range(6)]
        guards[0].confirm(3, 0.0)
        in_flight: list[tuple[float, int, float | None, float]] = []
        while clock.monotonic() < _LIMIT_S + 2:
            clock.advance(rng.uniform(0.01, 0.3))
            now_s = clock.monotonic()
            asker, peer = rng.sample(range(6), 2)
            age_s = guards[peer].age_s if guards[peer].is_fresh else None
            in_flight.append((now_s + rng.expovariate(2), asker, age_s, now_s))
            for due in [item for item in in_flight if item[0] <= now_s]:
                in_flight.remove(due)
                guards[due[1]].confirm_by_peer(3, due[2], due[3])
            if now_s >= _LIMIT_S:
                assert not any(guard.is_fresh for guard in guards)


def _platform_questions(position: int | None, seconds: float) -> int:
    """Counts questions to the platform if every one is answered at once."""
    schedule = FreshnessSchedule(_LIMIT_S)
    as_of_s, questions, now_s = 0.0, 0, 0.0
    while now_s < seconds:
        now_s += 0.1
        # Peers confirm at once as well, if they are asked.
        source = schedule.choose(now_s, now_s - as_of_s, position)
        if source is not FreshnessSource.NONE:
            as_of_s = now_s
        questions += source is FreshnessSource.PLATFORM
    return questions


def test_only_the_first_candidate_asks_the_platform_in_calm() -> None:
    """Guards against platform calls that grow with the fleet."""
    assert 50 <= _platform_questions(0, 60) <= 80
    assert _platform_questions(1, 60) == 0
    assert _platform_questions(None, 60) == 0


@pytest.mark.parametrize("position", [1, 5, None])
def test_every_node_asks_the_platform_if_peers_do_not_help(
    position: int | None,
) -> None:
    """Guards against a node that refuses keys though it has a way."""
    schedule = FreshnessSchedule(_LIMIT_S)
    ages = [tenth / 10 for tenth in range(30)]
    asked = [
        age
        for age in ages
        if schedule.choose(age, age, position) is FreshnessSource.PLATFORM
    ]
    assert asked
    assert asked[0] < 0.6 * _LIMIT_S


def test_failed_questions_to_the_platform_become_rarer() -> None:
    """Guards against a flood of calls while the platform is away."""
    schedule = FreshnessSchedule(_LIMIT_S)
    questions = 0
    for tenth in range(300):
        now_s = tenth / 10
        if schedule.choose(now_s, 100.0, None) is FreshnessSource.PLATFORM:
            questions += 1
            schedule.record_probe(has_succeeded=False)
    assert questions <= 18
