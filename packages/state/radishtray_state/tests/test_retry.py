"""Retry ledger, retry policy and retry throttle.

Guards against more retries than the budget allows, and against the retry of an
attempt that may have run and must not run twice.
"""

import random

import pytest

from radishtray_state import (
    RETRY_RULES,
    RefusalReason,
    RetryDenial,
    RetryLedger,
    RetryPolicy,
    RetryThrottle,
)


@pytest.mark.parametrize(
    ("case", "settlements", "expected"),
    [
        ("unused share", [2], [1]),
        ("used in full", [3], [0]),
        ("duplicate answer", [2, 0], [1, 0]),
        ("answer after the loss", [None, 0], [None, 0]),
        ("more than the share", [4, 0], [0, 0]),
        ("negative", [-1, 0], [0, 0]),
    ],
)
def test_a_share_is_returned_once(
    case: str, settlements: list[int | None], expected: list[int | None]
) -> None:
    ledger = RetryLedger(6)
    grant = ledger.begin(is_retry=False)
    assert grant is not None
    assert grant.share == 3
    got = [
        ledger.forfeit(grant) if used is None else ledger.settle(grant, used)
        for used in settlements
    ]
    assert got == expected, case
    assert ledger.remaining == 3 + sum(n or 0 for n in expected)
    assert ledger.spent + ledger.remaining == 6


def test_a_foreign_grant_returns_nothing() -> None:
    grant = RetryLedger(6).begin(is_retry=False)
    other = RetryLedger(0)
    assert grant is not None
    assert other.settle(grant, 0) == 0
    assert other.remaining == 0


def test_a_closed_ledger_returns_and_grants_nothing() -> None:
    ledger = RetryLedger(6)
    grant = ledger.begin(is_retry=False)
    assert grant is not None
    assert ledger.close() == 3
    assert ledger.settle(grant, 0) == 0
    assert ledger.begin(is_retry=True) is None
    assert ledger.close() == 3


@pytest.mark.parametrize("budget", [-1, 2**15])
def test_a_budget_out_of_range_is_an_error(budget: int) -> None:
    with pytest.raises(ValueError, match=str(budget)):
        RetryLedger(budget)


def _policy(burst: int = 10) -> RetryPolicy:
    return RetryPolicy(random.Random(1), RetryThrottle(0.1, burst))


@pytest.mark.parametrize("reason", RefusalReason, ids=lambda r: r.value)
def test_every_reason_has_a_rule_and_unknown_effects_never_repeat(
    reason: RefusalReason,
) -> None:
    assert reason in RETRY_RULES
    decision = _policy().decide(
        reason,
        is_idempotent=False,
        is_at_most_once=True,
        deadline_s=1,
        budget=1,
    )
    assert reason.is_not_run or not decision.allowed


@pytest.mark.parametrize(
    ("case", "outcome", "changes", "denial"),
    [
        ("shed", RefusalReason.SHED, {}, None),
        ("idempotent loss", RefusalReason.NODE_LOST, {}, None),
        ("status 503", 503, {}, None),
        ("status 500", 500, {}, RetryDenial.FINAL),
        ("bad request", RefusalReason.BAD_REQUEST, {}, RetryDenial.FINAL),
        (
            "loss of a change",
            RefusalReason.NODE_LOST,
            {"is_idempotent": False},
            RetryDenial.NOT_IDEMPOTENT,
        ),
        (
            "status of a keyed kind",
            503,
            {"is_at_most_once": True},
            RetryDenial.AT_MOST_ONCE,
        ),
        ("no units", RefusalReason.SHED, {"budget": 0}, RetryDenial.BUDGET),
        (
            "two crashes",
            RefusalReason.UPSTREAM_LOST,
            {"crashes": 2},
            RetryDenial.CRASHES,
        ),
        (
            "no time",
            RefusalReason.DRAINING,
            {"deadline_s": 0.1, "expected_attempt_s": 0.2},
            RetryDenial.DEADLINE,
        ),
        ("throttled", RefusalReason.SHED, {"burst": 0}, RetryDenial.THROTTLED),
        ("not throttled", RefusalReason.DRAINING, {"burst": 0}, None),
    ],
)
def test_policy(
    case: str,
    outcome: RefusalReason | int,
    changes: dict[str, float],
    denial: RetryDenial | None,
) -> None:
    policy = _policy(int(changes.pop("burst", 10)))
    arguments = {
        "is_idempotent": True,
        "is_at_most_once": False,
        "deadline_s": 1.0,
        "budget": 1,
        **changes,
    }
    assert policy.decide(outcome, **arguments).denial is denial, case


def test_back_off_stays_within_its_limit() -> None:
    policy = _policy(1000)
    delays = [
        policy.decide(
            RefusalReason.SHED,
            is_idempotent=True,
            is_at_most_once=False,
            deadline_s=9,
            budget=1,
            retries=retries,
        ).delay_s
        for retries in (0, 3, 10**6)
        for _ in range(50)
    ]
    assert max(delays[:50]) < 0.01 < max(delays[50:100]) < 0.08
    assert 0.25 < max(delays) < 0.5


def test_throttle_allows_a_tenth_of_first_attempts() -> None:
    throttle = RetryThrottle(0.1, burst=2)
    assert [throttle.try_take_retry() for _ in range(3)] == [True, True, False]
    for _ in range(10):
        assert not throttle.try_take_retry()
        throttle.count_first_attempt()
    assert throttle.try_take_retry()
