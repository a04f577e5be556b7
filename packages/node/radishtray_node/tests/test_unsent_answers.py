"""Guards against stops that cut answers which are still being sent."""

import pytest
from twisted.internet.task import Clock as FakeReactor

from radishtray_node._unsent_answers import call_when_sent
from radishtray_state import ManualClock

DEADLINE_S = 2.0

# Name: time at which the last connection closes, earliest and latest time of
# the end of the stop.
CASES = {
    "nothing_to_send": (0.0, 0.0, 0.2),
    "sent_before_the_deadline": (1.0, 1.0, 1.2),
    "never_sent": (99.0, DEADLINE_S, DEADLINE_S + 0.2),
}


@pytest.mark.parametrize("name", CASES)
def test_a_stop_ends_once_all_is_sent_or_at_its_deadline(name: str) -> None:
    sent_at_s, earliest_s, latest_s = CASES[name]
    reactor, clock = FakeReactor(), ManualClock()
    start_s = clock.monotonic()
    ended_at: list[float] = []
    call_when_sent(
        reactor,
        clock,
        lambda: int(reactor.seconds() < sent_at_s),
        start_s + DEADLINE_S,
        lambda: ended_at.append(reactor.seconds()),
    )
    for _ in range(300):
        clock.advance(0.01)
        reactor.advance(0.01)
    assert len(ended_at) == 1
    assert earliest_s <= ended_at[0] <= latest_s
