"""Guards against a wrong `not_run` and answers matched to wrong attempts.

A sender reports `not_run` if the receiver never saw the attempt. That would be
wrong if the receiver had dropped its record or accepted the attempt later.
"""

import pytest

from radishtray_state import (
    AttemptBounds,
    AttemptPhase,
    AttemptSequence,
    AttemptState,
    AttemptTable,
    AttemptVerdict,
    ConnectionRejection,
    ConnectionToken,
    ManualClock,
    OutstandingAttempts,
)

_NEVER = AttemptPhase.NEVER_SEEN
_RUNNING = AttemptPhase.RUNNING
_DONE = AttemptPhase.DONE
_FORGOTTEN = AttemptPhase.FORGOTTEN


def _table(**bounds: float) -> AttemptTable[str]:
    return AttemptTable(ManualClock(), AttemptBounds(**bounds))


def _open(
    table: AttemptTable[str],
    epoch: int,
    incarnation: int = 1,
    sender: str = "s",
) -> ConnectionToken[str]:
    return table.open_connection(sender, incarnation, epoch).ok


def _phases(
    table: AttemptTable[str], token: ConnectionToken[str], *ids: int
) -> list[AttemptPhase]:
    return [state.phase for state in table.query(token, ids)]


def test_a_new_connection_fences_the_older_one() -> None:
    table = _table()
    old = _open(table, 1)
    assert table.accept(old, 1)
    assert not table.accept(old, 1)
    new = _open(table, 2)
    assert new.replaced is old
    assert old.is_fenced
    assert not table.accept(old, 2)
    assert table.query(old, [2]) == []
    assert not table.cancel(old, 1)
    assert _phases(table, new, 1, 2) == [_RUNNING, _NEVER]
    assert not table.accept(new, 2), "reported as never seen"
    assert table.cancel(new, 1)
    assert table.finish(old, 1, "a") is new
    assert table.finish(old, 1, "b") is None
    assert table.query(new, [1])[0].answer == "a"
    assert table.running_count == 0


@pytest.mark.parametrize(
    ("case", "incarnation", "epoch", "rejection"),
    [
        ("older epoch", 5, 2, ConnectionRejection.OLD_EPOCH),
        ("same epoch", 5, 3, ConnectionRejection.OLD_EPOCH),
        ("older process", 4, 9, ConnectionRejection.OLD_INCARNATION),
        ("newer epoch", 5, 4, None),
        ("newer process", 6, 1, None),
    ],
)
def test_connections_only_move_forward(
    case: str, incarnation: int, epoch: int, rejection: object
) -> None:
    table = _table()
    old = _open(table, 3, 5)
    result = table.open_connection("s", incarnation, epoch)
    assert (result.error if result.is_error() else None) is rejection, case
    assert old.is_fenced is (rejection is None)


@pytest.mark.parametrize(
    ("case", "bounds", "wait_s", "acknowledged", "expected"),
    [
        ("within the limits", {}, 0, 0, [_DONE, _DONE, _DONE]),
        ("count", {"max_answers": 1}, 0, 0, [_FORGOTTEN, _FORGOTTEN, _DONE]),
        ("bytes", {"max_answer_bytes": 25}, 0, 0, [_FORGOTTEN, _DONE, _DONE]),
        ("time", {"retention_s": 9}, 9, 0, [_FORGOTTEN] * 3),
        ("acknowledged", {}, 0, 2, [_FORGOTTEN, _FORGOTTEN, _DONE]),
    ],
)
def test_a_dropped_answer_is_never_reported_as_never_seen(
    case: str,
    bounds: dict[str, float],
    wait_s: float,
    acknowledged: int,
    expected: list[AttemptPhase],
) -> None:
    clock = ManualClock()
    table: AttemptTable[str] = AttemptTable(clock, AttemptBounds(**bounds))
    token = _open(table, 1)
    for attempt_id in (1, 2, 3):
        assert table.accept(token, attempt_id)
        assert table.finish(token, attempt_id, "answer", 10) is token
    clock.advance(wait_s)
    table.expire()
    table.acknowledge(token, acknowledged)
    token = _open(table, 2)
    assert _phases(table, token, 1, 2, 3, 4) == [*expected, _NEVER], case
    assert table.kept_answers == expected.count(_DONE)
    assert table.kept_bytes == 10 * expected.count(_DONE)


def test_lost_calls_stay_never_seen_after_later_answers_are_dropped() -> None:
    table = _table(max_answers=1)
    for epoch, ids in ((1, [1, 2]), (2, [6, 7])):
        token = _open(table, epoch)
        for attempt_id in ids:
            table.accept(token, attempt_id)
            table.finish(token, attempt_id, "answer")
    token = _open(table, 3)
    got = _phases(table, token, 1, 2, 4, 6, 7, 8)
    assert got == [_FORGOTTEN, _FORGOTTEN, _NEVER, _FORGOTTEN, _DONE, _NEVER]


def test_attempts_of_an_evicted_sender_are_reported_as_forgotten() -> None:
    table = _table(max_senders=1)
    token = _open(table, 1)
    table.accept(token, 1)
    assert table.open_connection("t", 1, 1).error is (
        ConnectionRejection.TOO_MANY_SENDERS
    )
    table.finish(token, 1, "answer")
    table.close_connection(token)
    table.close_connection(_open(table, 1, sender="t"))
    token = _open(table, 2)
    assert _phases(table, token, 1, 2) == [_FORGOTTEN, _FORGOTTEN]
    assert table.accept(token, 3)
    assert _phases(table, token, 2, 3, 4) == [_FORGOTTEN, _RUNNING, _NEVER]


def test_a_replaced_sender_process_gets_no_answer_of_its_predecessor() -> None:
    table = _table()
    old = _open(table, 1)
    table.accept(old, 1)
    new = _open(table, 1, incarnation=2)
    assert table.finish(old, 1, "answer") is None
    assert table.running_count == table.kept_answers == 0
    assert _phases(table, new, 1) == [_NEVER]


def _handed_over() -> OutstandingAttempts[str, str]:
    attempts: OutstandingAttempts[str, str] = OutstandingAttempts(
        AttemptSequence(0)
    )
    assert attempts.hand_over("x") is None
    assert attempts.opened(attempts.next_epoch(), 1) is not None
    assert [attempts.hand_over(c) for c in "abc"] == [1, 2, 3]
    return attempts


def test_links_of_one_process_use_no_id_or_epoch_twice() -> None:
    sequence = AttemptSequence(7)
    ids, epochs = [], []
    for _ in range(2):
        link: OutstandingAttempts[str, str] = OutstandingAttempts(sequence)
        epochs.append(link.next_epoch())
        assert link.opened(epochs[-1], 1) is not None
        ids += [link.hand_over(context) for context in "ab"]
    assert ids == sorted(set(ids))
    assert epochs == [1, 2]


@pytest.mark.parametrize("salt", [-1, 2**23])
def test_a_salt_outside_its_bits_is_rejected(salt: int) -> None:
    with pytest.raises(ValueError, match="does not fit"):
        AttemptSequence(salt)


def test_answers_settle_only_their_own_attempt_once() -> None:
    attempts = _handed_over()
    assert attempts.answered(1, 2) == "b"
    assert attempts.answered(1, 2) is None
    assert attempts.answered(1, 4) is None
    assert attempts.give_up(1) == "a"
    assert attempts.answered(1, 1) is None
    assert attempts.opened(attempts.next_epoch(), 1) is not None
    assert attempts.answered(1, 3) is None, "answer on an older connection"
    assert attempts.answered(2, 3) == "c"
    assert (attempts.late_answers, attempts.mismatched_answers) == (3, 1)
    assert attempts.outstanding == 0


@pytest.mark.parametrize(
    ("phase", "verdict"),
    [
        (_NEVER, AttemptVerdict.NOT_RUN),
        (_DONE, AttemptVerdict.ANSWERED),
        (_FORGOTTEN, AttemptVerdict.UNKNOWN),
        (_RUNNING, None),
    ],
)
def test_states_settle_attempts_of_older_connections(
    phase: AttemptPhase, verdict: AttemptVerdict | None
) -> None:
    attempts = _handed_over()
    attempts.closed(1)
    assert attempts.hand_over("d") is None
    states = [AttemptState(i, phase, "answer") for i in (1, 4, 9)]
    assert attempts.settle(1, states) == [], "not queried"
    reopened = attempts.opened(attempts.next_epoch(), 1)
    assert reopened is not None
    assert reopened.query_ids == [1, 2, 3]
    assert attempts.hand_over("d") == 4
    settled = attempts.settle(2, states)
    assert [(s.context, s.verdict) for s in settled] == (
        [("a", verdict)] if verdict else []
    )


@pytest.mark.parametrize(
    ("case", "epoch", "incarnation", "lost"),
    [
        ("newer receiver", 2, 2, ["a", "b", "c"]),
        ("older receiver", 2, 0, None),
        ("older connection", 1, 1, None),
    ],
)
def test_a_replaced_receiver_makes_attempts_unknown(
    case: str, epoch: int, incarnation: int, lost: list[str] | None
) -> None:
    attempts = _handed_over()
    reopened = attempts.opened(epoch, incarnation)
    if reopened is None:
        assert lost is None, case
        return
    assert [s.context for s in reopened.lost_attempts] == lost
    assert {s.verdict for s in reopened.lost_attempts} == {
        AttemptVerdict.UNKNOWN
    }
    assert reopened.query_ids == []
    assert attempts.hand_over("d") == 4
