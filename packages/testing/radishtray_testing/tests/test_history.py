"""Guards against a history checker that overlooks a broken rule."""

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
    check,
)
from radishtray_testing.key_simulation import violations
from radishtray_testing.mutations import MUTATIONS, Mutation, caught_by

FIRST, RESEND = Send(1, 1, "k", "d"), Send(2, 1, "k", "d")
RETRY = Send(3, 1, "fresh", "d")
BODY, AGAIN = Body("k", "d", "run 1"), Body("k", "d", "run 2")
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
        [FIRST, RESEND, Effect(1, BODY), Effect(2, AGAIN)],
        [Rule.ONE_EFFECT_PER_KEY],
    ),
    "key and retry key both run": (
        [FIRST, RETRY, Effect(1, BODY), Effect(3, AGAIN)],
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
    "cut answer": (
        [FIRST, Effect(1, BODY), Reply(1, ANSWERED, Body("k", "d", "run"))],
        [Rule.WHOLE_ANSWER],
    ),
}  # fmt: skip


@pytest.mark.parametrize(("events", "rules"), HISTORIES.values(), ids=HISTORIES)
def test_rules(events: list[Event], rules: list[Rule]) -> None:
    assert [violation.rule for violation in check(events)] == rules


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    """Drops the warnings that simulated faults cause."""
    logging.disable(logging.WARNING)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("seed", range(8))
def test_owners_keep_the_rules_under_faults(seed: int) -> None:
    assert violations(seed) == []


CALM = {
    # Name: pairs of faults, kind of fault, least share of operations that run.
    "no fault": (0, "kill", 0.95),
    "platform outages": (10, "platform_outage", 0.95),
    "planned stops": (2, "planned_stop", 0.9),
}


@pytest.mark.parametrize(("pairs", "fault", "share"), CALM.values(), ids=CALM)
def test_operations_run_when_clocks_are_right(
    monkeypatch: pytest.MonkeyPatch, pairs: int, fault: str, share: float
) -> None:
    """Guards against safety that is bought by refusing everything."""
    monkeypatch.setattr(key_simulation, "_FAULTS", pairs)
    monkeypatch.setattr(key_simulation, "_NODE_CLOCK_S", 1)
    monkeypatch.setattr(key_simulation, "_CALLER_CLOCKS_S", (0,))
    with key_simulation.shortened_times():
        world = key_simulation.Simulation(1, [fault])
        assert world.check() == []
    sends = {e.send_id: e for e in world.events if isinstance(e, Send)}
    wanted = {s.operation for s in sends.values() if s.operation > 0}
    effects = [e for e in world.events if isinstance(e, Effect)]
    run = {sends[e.send_id].operation for e in effects}
    assert len(run & wanted) > share * len(wanted)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda m: m.name)
def test_checker_notices_a_removed_mechanism(mutation: Mutation) -> None:
    assert caught_by(mutation, range(30)) is not None
