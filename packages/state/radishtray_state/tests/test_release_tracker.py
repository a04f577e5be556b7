"""Tests that generations never decrease and that the pulls are bounded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_state import ManualClock, ReleaseTracker

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["observe", "adopt", "pull", "fail", "wait"]),
        st.integers(0, 4),
        st.integers(0, 9),
    ),
    max_size=40,
)


@settings(deadline=None, derandomize=True)
@given(EVENTS)
def test_generation_never_decreases(events: list[tuple[str, int, int]]) -> None:
    """No order of announcements, pulls and failures may lower a generation."""
    clock = ManualClock()
    tracker = ReleaseTracker(clock)
    for event, peer, number in events:
        before = tracker.generation
        if event == "observe":
            tracker.observe(f"p{peer}", number)
        elif event == "adopt":
            assert tracker.adopt(number) is (number > before)
        elif event == "wait":
            clock.advance(number)
        elif event == "fail" and tracker.current_pull:
            tracker.pull_failed(tracker.current_pull)
        elif event == "pull" and tracker.current_pull is None:
            plan = tracker.start_next_pull()
            assert plan is None or plan.generation > before
        assert tracker.generation >= before


def test_one_pull_runs_at_a_time_and_from_the_highest_peer() -> None:
    tracker = ReleaseTracker(ManualClock())
    for peer, generation in (("a", 3), ("b", 5), ("c", 4)):
        assert tracker.observe(peer, generation)
    plan = tracker.start_next_pull()
    assert plan is not None
    assert (plan.peer, plan.generation) == ("b", 5)
    assert tracker.start_next_pull() is None


def test_peer_is_not_asked_again_during_its_backoff() -> None:
    clock = ManualClock()
    tracker = ReleaseTracker(clock, peer_backoff_s=2)
    tracker.observe("a", 3)
    tracker.observe("b", 3)
    failed = set()
    while (plan := tracker.start_next_pull()) is not None:
        failed.add(plan.peer)
        tracker.pull_failed(plan)
    assert failed == {"a", "b"}
    clock.advance(2)
    assert tracker.start_next_pull() is not None


def test_number_of_stored_peers_is_bounded() -> None:
    tracker = ReleaseTracker(ManualClock(), max_peers=4)
    for index in range(100):
        tracker.observe(f"p{index}", index + 1)
    assert tracker.highest_announced == 100
    plans = 0
    while (plan := tracker.start_next_pull()) is not None:
        plans += 1
        tracker.pull_failed(plan)
    assert plans == 4
