"""Guards against contents that crash upstream after upstream.

Many requests share one content here. A harmless content that was in flight at
the crashes must not stay blocked after an answer.
"""

from radishtray_state import (
    CrashSuspect,
    CrashTally,
    ManualClock,
    SuspectVerdict,
)

CRASHING, HARMLESS = 1, 2


def crash(tally: CrashTally, *running: int) -> None:
    """Simulates a crash of the upstream while it runs some contents."""
    for digest in running:
        tally.record_start(digest)
    tally.upstream_crashed()


def test_a_content_is_refused_after_three_crashes() -> None:
    tally = CrashTally(ManualClock())
    for _ in range(2):
        crash(tally, CRASHING)
        assert tally.check(CRASHING) is SuspectVerdict.RUN
    crash(tally, CRASHING)
    assert tally.check(CRASHING) is SuspectVerdict.REFUSE


def test_crashes_at_different_nodes_are_added_up() -> None:
    clock = ManualClock()
    nodes = [CrashTally(clock) for _ in range(3)]
    for node in nodes:
        crash(node, CRASHING)
        for other in nodes:
            other.merge(node.export())
    assert all(n.check(CRASHING) is SuspectVerdict.REFUSE for n in nodes)


def test_an_answer_clears_a_content_at_every_node() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    for _ in range(3):
        crash(here, CRASHING, HARMLESS)
        there.merge(here.export())
    here.record_start(HARMLESS)
    here.record_end(HARMLESS)
    there.merge(here.export())
    # A report from before the answer arrives late and must be ignored.
    there.merge([CrashSuspect(HARMLESS, 3, 50.0)])
    assert there.check(HARMLESS) is SuspectVerdict.RUN
    assert there.check(CRASHING) is SuspectVerdict.REFUSE


def test_a_run_without_an_answer_clears_nothing() -> None:
    tally = CrashTally(ManualClock())
    crash(tally, CRASHING)
    tally.record_start(CRASHING)
    tally.record_end(CRASHING, completed=False)
    assert tally.crashes(CRASHING) == 1


def test_crashes_are_forgotten_after_a_minute() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for _ in range(3):
        crash(tally, CRASHING)
    clock.advance(61)
    assert tally.check(CRASHING) is SuspectVerdict.RUN
    assert len(tally) == 0


def test_entries_are_bounded() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for digest in range(5000):
        clock.advance(0.001)
        tally.record_crash(digest)
    assert len(tally) <= 2048
    assert tally.crashes(4999) == 1
