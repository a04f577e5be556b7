"""Tests admission control under simulated surges.

Guards against a collapse of goodput, a slow recovery after the surge and
shedding in the wrong order of classes. Goodput counts requests that were
answered before their deadline.
"""

import pytest

from radishtray_testing.service_run import Phase, ServiceRun, ServiceSettings

SURGE_START_S = 2.0
SURGE_END_S = 4.0
MAX_RECOVERY_S = 2.0
MIXED = {"low": 0.3, "normal": 0.3, "high": 0.2, "critical": 0.2}
CRITICAL = {"critical": 1.0}


def run_surge(
    policy: str,
    mix: dict[str, float],
    seed: int,
    settings: ServiceSettings,
    load_factor: float = 3.0,
) -> ServiceRun:
    """Runs a service below its capacity, in a surge, and below it again.

    Args:
        policy: Name of the admission policy.
        mix: Share of each class in the arrivals.
        seed: Seed of the run.
        settings: Settings of the simulated service.
        load_factor: Load in the surge as a multiple of the capacity.
    """
    capacity = (
        settings.slots / settings.mean_service_s / settings.calls_per_request
    )

    def arrival_rates(factor: float) -> dict[str, float]:
        return {name: share * factor * capacity for name, share in mix.items()}

    plan = [
        Phase(2.0, arrival_rates(0.5)),
        Phase(2.0, arrival_rates(load_factor)),
        Phase(3.0, arrival_rates(0.5)),
    ]
    run = ServiceRun(policy, seed, plan, settings)
    run.run_to_end()
    return run


FAST = ServiceSettings()
SLOW = ServiceSettings(mean_service_s=0.1, deadline_s=1.0)
WRONG_SLOTS = ServiceSettings(announced_slots=80)
ONE_LEVEL = ServiceSettings(levels_per_class=1)
SHORT_DEADLINE = ServiceSettings(levels_per_class=1, deadline_s=0.2)
# Each case: test id, policy, mix and settings; then, for the time of the
# surge, the least goodput as a share of the capacity, the least share of
# critical requests answered in time, and the greatest mean drain time of the
# queue in milliseconds.
SURGE_CASES = [
    ("mix", "adaptive", MIXED, FAST, 0.9, 0.98, 45),
    ("mix_long", "adaptive", MIXED, SLOW, 0.9, 0.98, 60),
    ("mix_false_slots", "adaptive", MIXED, WRONG_SLOTS, 0.9, 0.95, 60),
    ("critical_alone", "adaptive", CRITICAL, FAST, 0.9, 0.3, 45),
    ("critical_alone_long", "adaptive", CRITICAL, SLOW, 0.9, 0.3, 60),
    ("critical_of_one_level", "adaptive", CRITICAL, ONE_LEVEL, 0.9, 0.3, 999),
    (
        "critical_of_one_level_hurried",
        "adaptive",
        CRITICAL,
        SHORT_DEADLINE,
        0.85,
        0.25,
        999,
    ),
    ("without_threshold", "no_threshold", MIXED, FAST, 0.9, 0.98, 999),
    ("without_deadline", "no_deadline", MIXED, FAST, 0.9, 0.95, 45),
    ("by_arrival", "fifo", MIXED, FAST, 0.9, 0.95, 45),
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "case", SURGE_CASES, ids=[case[0] for case in SURGE_CASES]
)
def test_surge_does_not_collapse_goodput_or_delay_recovery(
    case: tuple[
        str, str, dict[str, float], ServiceSettings, float, float, float
    ],
    seed: int,
) -> None:
    """A surge must not collapse goodput or delay the recovery.

    Without load shedding, calls wait until their deadline has passed, and
    the service spends its capacity on answers that come too late.
    """
    (
        _,
        policy,
        mix,
        settings,
        min_goodput_ratio,
        min_critical_share,
        max_queue_drain_ms,
    ) = case
    run = run_surge(policy, mix, seed, settings)
    capacity = settings.slots / settings.mean_service_s
    assert run.goodput("", 2.5, SURGE_END_S) >= min_goodput_ratio * capacity
    assert run.goodput_share("critical", 2.5, SURGE_END_S) >= min_critical_share
    assert run.mean_queue_drain_ms(2.5, SURGE_END_S) <= max_queue_drain_ms
    assert run.recovery_s(SURGE_END_S) <= MAX_RECOVERY_S
    assert run.goodput_share("", 0.5, SURGE_START_S) >= 0.99


def test_baseline_collapses_in_the_same_surge() -> None:
    """Shows that the surge overloads a service without admission control.

    Otherwise the cases above could pass without any load shedding.
    """
    run = run_surge("none", MIXED, 1, ServiceSettings())
    # The capacity is 2000 requests per second.
    assert run.goodput("", 2.5, SURGE_END_S) <= 0.3 * 2000
    assert run.recovery_s(SURGE_END_S) >= MAX_RECOVERY_S


def test_classes_are_shed_in_order() -> None:
    """Lower classes must be shed before higher ones.

    With the default settings the capacity in the surge suffices for all
    critical requests, for a part of the high ones and for almost no low ones.
    """
    run = run_surge("adaptive", MIXED, 1, ServiceSettings())
    shares = [run.goodput_share(name, 2.5, SURGE_END_S) for name in MIXED]
    assert shares == sorted(shares)
    assert shares[0] < 0.02
    assert 0.5 < shares[2] < 0.8


def test_calls_of_one_request_get_the_same_verdict() -> None:
    """Refusing a later call of a request wastes its earlier calls.

    All calls of a request have the same rank, so that the threshold admits or
    refuses them together.
    """
    run = run_surge("adaptive", MIXED, 1, ServiceSettings(calls_per_request=4))
    assert run.partial_refusal_share() <= 0.05
    # The capacity is 500 requests per second, of four calls each.
    assert run.goodput("", 2.5, SURGE_END_S) >= 0.95 * 500


def test_critical_is_served_from_the_start_of_a_steep_surge() -> None:
    """Critical requests must be served before the threshold has adapted."""
    mix = {"normal": 0.95, "critical": 0.05}
    run = run_surge("adaptive", mix, 1, FAST, load_factor=15.0)
    assert run.goodput_share("critical", SURGE_START_S, SURGE_END_S) >= 0.95
