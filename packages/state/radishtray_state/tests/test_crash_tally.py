"""Guards against contents that crash upstreams, and against blocking others."""

from radishtray_state import (
    CrashSuspect,
    CrashTally,
    ManualClock,
    SuspectVerdict,
)

BAD, GOOD = 1, 2


def crash(tally: CrashTally, *running: int) -> None:
    """Lets the upstream crash while it runs some contents."""
    for digest in running:
        tally.started(digest)
    tally.upstream_crashed()


def test_a_content_is_refused_after_three_crashes() -> None:
    tally = CrashTally(ManualClock())
    for _ in range(2):
        crash(tally, BAD)
        assert tally.check(BAD) is SuspectVerdict.RUN
    crash(tally, BAD)
    assert tally.check(BAD) is SuspectVerdict.REFUSE


def test_crashes_at_different_nodes_add_up() -> None:
    clock = ManualClock()
    nodes = [CrashTally(clock) for _ in range(3)]
    for node in nodes:
        crash(node, BAD)
        for other in nodes:
            other.merge(node.export())
    assert all(n.check(BAD) is SuspectVerdict.REFUSE for n in nodes)


def test_an_answer_clears_a_content_at_every_node() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    for _ in range(3):
        crash(here, BAD, GOOD)
        there.merge(here.export())
    here.started(GOOD)
    here.finished(GOOD)
    there.merge(here.export())
    # Older news that is still under way must not bring the entry back.
    there.merge([CrashSuspect(GOOD, 3, 50.0)])
    assert there.check(GOOD) is SuspectVerdict.RUN
    assert there.check(BAD) is SuspectVerdict.REFUSE


def test_a_run_without_an_answer_clears_nothing() -> None:
    tally = CrashTally(ManualClock())
    crash(tally, BAD)
    tally.started(BAD)
    tally.finished(BAD, completed=False)
    assert tally.crashes(BAD) == 1


def test_crashes_are_forgotten_after_a_minute() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for _ in range(3):
        crash(tally, BAD)
    clock.advance(61)
    assert tally.check(BAD) is SuspectVerdict.RUN
    assert len(tally) == 0


def test_entries_are_bounded() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for digest in range(5000):
        clock.advance(0.001)
        tally.note_crash(digest)
    assert len(tally) <= 2048
    assert tally.crashes(4999) == 1
