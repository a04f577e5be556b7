"""Guards against collapse, late recovery and shedding in the wrong order."""

import pytest

from radishtray_testing.service_run import Phase, ServiceRun, ServiceSettings

SURGE_START_S = 2.0
SURGE_END_S = 4.0
RECOVERY_S = 2.0
MIX = {"low": 0.3, "normal": 0.3, "high": 0.2, "critical": 0.2}
CRITICAL = {"critical": 1.0}


def surge(
    policy: str,
    mix: dict[str, float],
    seed: int,
    shape: ServiceSettings,
    load: float = 3.0,
) -> ServiceRun:
    capacity = shape.slots / shape.mean_service_s / shape.calls_per_request

    def rates(factor: float) -> dict[str, float]:
        return {name: share * factor * capacity for name, share in mix.items()}

    plan = [
        Phase(2.0, rates(0.5)),
        Phase(2.0, rates(load)),
        Phase(3.0, rates(0.5)),
    ]
    run = ServiceRun(policy, seed, plan, shape)
    run.run_to_end()
    return run


SHORT = ServiceSettings()
LONG = ServiceSettings(mean_service_s=0.1, deadline_s=1.0)
FALSE_SLOTS = ServiceSettings(announced_slots=80)
ONE_LEVEL = ServiceSettings(levels_per_class=1)
HURRIED = ServiceSettings(levels_per_class=1, deadline_s=0.2)
# Name, policy, mix, shape, least goodput by capacity in the surge, least share
# of critical requests served in it, greatest mean drain time of the queue.
SURGES = [
    ("mix", "adaptive", MIX, SHORT, 0.9, 0.98, 45),
    ("mix_long", "adaptive", MIX, LONG, 0.9, 0.98, 60),
    ("mix_false_slots", "adaptive", MIX, FALSE_SLOTS, 0.9, 0.95, 60),
    ("critical_alone", "adaptive", CRITICAL, SHORT, 0.9, 0.3, 45),
    ("critical_alone_long", "adaptive", CRITICAL, LONG, 0.9, 0.3, 60),
    ("critical_of_one_level", "adaptive", CRITICAL, ONE_LEVEL, 0.9, 0.3, 999),
    (
        "critical_of_one_level_hurried",
        "adaptive",
        CRITICAL,
        HURRIED,
        0.85,
        0.25,
        999,
    ),
    ("without_threshold", "no_threshold", MIX, SHORT, 0.9, 0.98, 999),
    ("without_deadline", "no_deadline", MIX, SHORT, 0.9, 0.95, 45),
    ("by_arrival", "fifo", MIX, SHORT, 0.9, 0.95, 45),
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("case", SURGES, ids=[case[0] for case in SURGES])
def test_surge_of_three_times_the_capacity(
    case: tuple[
        str, str, dict[str, float], ServiceSettings, float, float, float
    ],
    seed: int,
) -> None:
    _, policy, mix, shape, goodput, critical, queue_ms = case
    run = surge(policy, mix, seed, shape)
    capacity = shape.slots / shape.mean_service_s
    assert run.goodput("", 2.5, SURGE_END_S) >= goodput * capacity
    assert run.goodput_share("critical", 2.5, SURGE_END_S) >= critical
    assert run.mean_queue_drain_ms(2.5, SURGE_END_S) <= queue_ms
    assert run.recovery_s(SURGE_END_S) <= RECOVERY_S
    assert run.goodput_share("", 0.5, SURGE_START_S) >= 0.99


def test_baseline_collapses_in_the_same_surge() -> None:
    run = surge("none", MIX, 1, ServiceSettings())
    assert run.goodput("", 2.5, SURGE_END_S) <= 0.3 * 2000
    assert run.recovery_s(SURGE_END_S) >= RECOVERY_S


def test_classes_are_shed_in_order() -> None:
    run = surge("adaptive", MIX, 1, ServiceSettings())
    shares = [run.goodput_share(name, 2.5, SURGE_END_S) for name in MIX]
    assert shares == sorted(shares)
    assert shares[0] < 0.02
    assert 0.5 < shares[2] < 0.8


def test_calls_of_one_request_get_the_same_verdict() -> None:
    run = surge("adaptive", MIX, 1, ServiceSettings(calls_per_request=4))
    assert run.partial_refusal_share() <= 0.05
    assert run.goodput("", 2.5, SURGE_END_S) >= 0.95 * 500


def test_critical_is_served_from_the_start_of_a_steep_surge() -> None:
    mix = {"normal": 0.95, "critical": 0.05}
    run = surge("adaptive", mix, 1, SHORT, load=15.0)
    assert run.goodput_share("critical", SURGE_START_S, SURGE_END_S) >= 0.95
