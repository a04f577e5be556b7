"""Tests the history checker, and slot owners under simulated faults.

Guards against a checker that misses a violation of the at-most-once rules, and
against owners that break these rules under faults.
"""

import logging
from collections.abc import Iterator

import pytest

from radishtray_testing import key_simulation
from radishtray_testing.history import (
    Body,
    Effect,
    Event,
    Reply,
    ReplyKind,
    Rule,
    Send,
    check_history,
)
from radishtray_testing.key_simulation import find_violations
from radishtray_testing.mutations import (
    MUTATIONS,
    Mutation,
    find_first_violation,
)

FIRST, RESEND = Send(1, 1, "k", "d"), Send(2, 1, "k", "d")
RETRY_KEY_SEND = Send(3, 1, "fresh", "d")
BODY, SECOND_BODY = Body("k", "d", "run 1"), Body("k", "d", "run 2")
ANSWERED, NOT_RUN = ReplyKind.ANSWERED, ReplyKind.NOT_RUN

HISTORIES: dict[str, tuple[list[Event], list[Rule]]] = {
    "run and resend": (
        [
            FIRST, Effect(1, BODY), Reply(1, ANSWERED, BODY),
            RESEND, Reply(2, ANSWERED, BODY),
        ],
        [],
    ),
    "not_run, then the resend runs": (
        [FIRST, Reply(1, NOT_RUN), RESEND, Effect(2, BODY)], [],
    ),
    "two runs of a key": (
        [FIRST, RESEND, Effect(1, BODY), Effect(2, SECOND_BODY)],
        [Rule.ONE_EFFECT_PER_KEY],
    ),
    "key and retry key both run": (
        [FIRST, RETRY_KEY_SEND, Effect(1, BODY), Effect(3, SECOND_BODY)],
        [Rule.ONE_EFFECT_PER_OPERATION],
    ),
    "run after not_run": (
        [FIRST, Reply(1, NOT_RUN), Effect(1, BODY)], [Rule.NOT_RUN_IS_TRUE],
    ),
    "not_run after run": (
        [FIRST, Effect(1, BODY), Reply(1, NOT_RUN)], [Rule.NOT_RUN_IS_TRUE],
    ),
    "answer of another key": (
        [FIRST, Reply(1, ANSWERED, Body("other", "d", ""))], [Rule.OWN_ANSWER],
    ),
    "answer of another request": (
        [FIRST, Reply(1, ANSWERED, Body("k", "other", ""))], [Rule.OWN_ANSWER],
    ),
    "empty answer": ([FIRST, Reply(1, ANSWERED)], [Rule.OWN_ANSWER]),
    "answer without a run": (
        [FIRST, Reply(1, ANSWERED, BODY)], [Rule.WHOLE_ANSWER],
    ),
    "truncated answer": (
        [FIRST, Effect(1, BODY), Reply(1, ANSWERED, Body("k", "d", "run"))],
        [Rule.WHOLE_ANSWER],
    ),
}  # fmt: skip


@pytest.mark.parametrize(("events", "rules"), HISTORIES.values(), ids=HISTORIES)
def test_checker_reports_the_broken_rule(
    events: list[Event], rules: list[Rule]
) -> None:
    assert [violation.rule for violation in check_history(events)] == rules


@pytest.fixture(autouse=True)
def _suppress_warnings() -> Iterator[None]:
    """Suppresses the log warnings that simulated faults cause."""
    logging.disable(logging.WARNING)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("seed", range(8))
def test_owners_keep_the_rules_under_faults(seed: int) -> None:
    """Guards against a key that runs twice, or a false `not_run`.

    Each seed combines three kinds of faults, from crashes, pauses, partitions,
    platform faults and planned stops. The clocks of callers and nodes differ.
    """
    assert find_violations(seed) == []


AVAILABILITY_CASES = {
    # Name: pairs of faults, kind of fault, minimum share of operations run.
    "no fault": (0, "kill", 0.95),
    "platform outages": (10, "platform_outage", 0.95),
    "planned stops": (2, "planned_stop", 0.9),
}


@pytest.mark.parametrize(
    ("fault_pairs", "fault", "min_share"),
    AVAILABILITY_CASES.values(),
    ids=AVAILABILITY_CASES,
)
def test_operations_run_when_clocks_are_right(
    monkeypatch: pytest.MonkeyPatch,
    fault_pairs: int,
    fault: str,
    min_share: float,
) -> None:
    """Guards against owners that keep the rules by refusing most requests.

    Clock errors are small, because keys with a wrong issue time may rightly be
    refused.
    """
    monkeypatch.setattr(key_simulation, "_FAULT_PAIRS", fault_pairs)
    monkeypatch.setattr(key_simulation, "_MAX_NODE_CLOCK_ERROR_S", 1)
    monkeypatch.setattr(key_simulation, "_CALLER_CLOCK_OFFSETS_S", (0,))
    with key_simulation.shortened_times():
        simulation = key_simulation.Simulation(1, [fault])
        assert simulation.run_and_check() == []
    sends_by_id = {
        e.send_id: e for e in simulation.events if isinstance(e, Send)
    }
    wanted_operations = {
        s.operation_id for s in sends_by_id.values() if s.operation_id > 0
    }
    effects = [e for e in simulation.events if isinstance(e, Effect)]
    run_operations = {sends_by_id[e.send_id].operation_id for e in effects}
    assert len(run_operations & wanted_operations) > min_share * len(
        wanted_operations
    )


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda m: m.name)
def test_checker_notices_a_removed_mechanism(mutation: Mutation) -> None:
    """Guards against a simulation that cannot show a missing mechanism.

    Each mutation removes or weakens one mechanism; with it, some seed must
    break a rule.
    """
    assert find_first_violation(mutation, range(30)) is not None
