"""Tests of the times at which a link's pings, spares and aborts are due."""

import pytest

from radishtray_node._link_liveness import PING_TIMEOUT_S, LinkLiveness

TICK_S = 0.01

# Name: time that each pong takes, times without a pong after which a spare
# connection is opened in the end.
PONGS = {
    "none so far": ([], 0.2),
    "quick": ([0.01] * 5, 0.2),
    "one late": ([0.25], 0.4),
    "late for long": ([0.7] * 5, PING_TIMEOUT_S),
    "late, then quick": ([0.7] * 5 + [0.01] * 5, 0.2),
    "late, then just in time": ([0.25, 0.3, 0.3], 0.4),
}


@pytest.mark.parametrize("name", PONGS)
def test_a_spare_is_due_later_while_pongs_are_late(name: str) -> None:
    pongs, expected_s = PONGS[name]
    liveness, now_s = LinkLiveness(), 100.0
    liveness.begin(now_s)
    for pong_s in pongs:
        sequence = liveness.record_ping(now_s)
        now_s += pong_s
        assert liveness.record_pong(sequence, now_s)
    liveness.record_ping(now_s)
    assert not liveness.is_spare_due(now_s + expected_s - TICK_S)
    assert liveness.is_spare_due(now_s + expected_s + TICK_S)
    assert not liveness.has_timed_out(now_s + PING_TIMEOUT_S - TICK_S)
    assert liveness.has_timed_out(now_s + PING_TIMEOUT_S + TICK_S)


def test_a_pong_of_an_earlier_ping_or_connection_proves_nothing() -> None:
    liveness = LinkLiveness()
    first = liveness.record_ping(1.0)
    liveness.begin(1.5)
    assert not liveness.record_pong(first, 1.6)
    second = liveness.record_ping(2.0)
    assert not liveness.record_pong(first, 2.1)
    assert liveness.is_waiting
    assert liveness.record_pong(second, 2.1)
    assert not liveness.record_pong(second, 2.2)


def test_a_call_is_followed_by_a_ping_unless_a_pong_has_just_come() -> None:
    liveness = LinkLiveness()
    liveness.begin(1.0)
    assert not liveness.is_ping_due(1.1)
    assert liveness.is_ping_due(1.3)
    sequence = liveness.record_ping(1.3)
    assert not liveness.is_ping_due(1.6)
    liveness.record_pong(sequence, 1.7)
    assert not liveness.is_ping_due(1.8)
