"""Guards against contents that crash upstream after upstream.

Many requests share one content here. A harmless content that was in flight at
the crashes must not stay blocked after an answer.
"""

from radishtray_state import (
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
    late_report = here.export()
    assert there.check(HARMLESS) is SuspectVerdict.REFUSE
    here.record_start(HARMLESS)
    here.record_end(HARMLESS)
    there.merge(here.export())
    # A report from before the answer arrives late and must be ignored.
    there.merge(late_report)
    assert there.check(HARMLESS) is SuspectVerdict.RUN
    assert there.check(CRASHING) is SuspectVerdict.REFUSE


def test_a_run_without_an_answer_clears_nothing() -> None:
    tally = CrashTally(ManualClock())
    crash(tally, CRASHING)
    tally.record_start(CRASHING)
    tally.record_end(CRASHING, completed=False)
    assert tally.crashes(CRASHING) == 1


def test_crashes_below_the_limit_are_forgotten_after_ten_minutes() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for _ in range(2):
        crash(tally, CRASHING)
    clock.advance(599)
    assert tally.crashes(CRASHING) == 2
    clock.advance(2)
    assert tally.crashes(CRASHING) == 0
    assert len(tally) == 0


def test_a_refused_content_stays_refused_as_long_as_it_comes_again() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    for _ in range(3):
        crash(here, CRASHING)
    there.merge(here.export())
    for _ in range(100):
        clock.advance(3000)
        assert here.check(CRASHING) is SuspectVerdict.REFUSE
        there.merge(here.export())
    assert there.check(CRASHING) is SuspectVerdict.REFUSE


def test_a_refused_content_is_forgotten_an_hour_after_it_last_came() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for _ in range(3):
        crash(tally, CRASHING)
    clock.advance(3599)
    assert tally.check(CRASHING) is SuspectVerdict.REFUSE
    clock.advance(3601)
    assert tally.check(CRASHING) is SuspectVerdict.RUN
    assert len(tally) == 0


def test_a_refused_content_is_probed_twice_at_most() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    probes = []
    for _ in range(3):
        crash(tally, CRASHING)
    for second in range(3000):
        tally.check(CRASHING)
        if tally.claim_probe(CRASHING):
            probes.append(second)
            crash(tally, CRASHING)
        clock.advance(1)
    assert probes == [60, 660]
    assert not tally.claim_probe(HARMLESS)


def test_an_answered_probe_clears_a_content_at_every_node() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    for _ in range(3):
        crash(here, CRASHING)
    late_report = here.export()
    there.merge(late_report)
    clock.advance(61)
    assert here.claim_probe(CRASHING)
    here.record_start(CRASHING)
    here.record_end(CRASHING)
    # Many other contents were cleared, and an old report arrives late.
    for digest in range(100, 300):
        crash(here, digest)
        here.record_start(digest)
        here.record_end(digest)
    clock.advance(1000)
    there.merge(here.export())
    there.merge(late_report)
    assert there.check(CRASHING) is SuspectVerdict.RUN


def test_entries_are_bounded() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    for digest in range(5000):
        clock.advance(0.001)
        tally.record_crash(digest)
    assert len(tally) <= 2048
    assert tally.crashes(4999) == 1


def test_crashes_that_nodes_saw_at_the_same_time_are_added_up() -> None:
    clock = ManualClock()
    nodes = [CrashTally(clock) for _ in range(3)]
    for node in nodes:
        crash(node, CRASHING)
    reports = [node.export() for node in nodes]
    for node in nodes:
        for report in reports:
            node.merge(report)
            node.merge(report)
    assert all(n.check(CRASHING) is SuspectVerdict.REFUSE for n in nodes)


def test_a_crash_that_is_reported_by_all_nodes_counts_once() -> None:
    clock = ManualClock()
    nodes = [CrashTally(clock) for _ in range(5)]
    crash(nodes[0], CRASHING)
    for _ in range(3):
        for node in nodes:
            for other in nodes:
                other.merge(node.export())
    assert {node.crashes(CRASHING) for node in nodes} == {1}


def test_every_content_of_a_crash_is_exported_in_turn() -> None:
    tally = CrashTally(ManualClock())
    crash(tally, *range(64))
    exported = {s.fingerprint for _ in range(12) for s in tally.export()}
    assert exported == set(range(64))


def test_a_run_abandoned_just_before_the_crash_counts() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    tally.record_start(CRASHING)
    tally.record_abandoned(CRASHING)
    clock.advance(0.5)
    tally.upstream_crashed()
    assert tally.crashes(CRASHING) == 1


def test_an_answer_clears_only_crashes_that_were_known() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    crash(here, CRASHING)
    there.merge(here.export())
    there.record_start(CRASHING)
    there.record_end(CRASHING)
    crash(here, CRASHING)
    here.merge(there.export())
    there.merge(here.export())
    assert (here.crashes(CRASHING), there.crashes(CRASHING)) == (1, 1)


def test_expired_crashes_do_not_count_with_a_later_one() -> None:
    clock = ManualClock()
    tally = CrashTally(clock)
    crash(tally, CRASHING)
    crash(tally, CRASHING)
    clock.advance(601)
    crash(tally, CRASHING)
    assert tally.crashes(CRASHING) == 1


def test_the_end_of_a_process_counts_once_however_many_senders_report_it() -> (
    None
):
    clock = ManualClock()
    senders = [CrashTally(clock) for _ in range(3)]
    for sender in senders:
        changed = sender.record_process_end((CRASHING, CRASHING), 99)
        for other in senders:
            other.merge(changed)
    assert {sender.crashes(CRASHING) for sender in senders} == {1}


def test_a_retracted_crash_counts_at_no_node() -> None:
    clock = ManualClock()
    here, there = CrashTally(clock), CrashTally(clock)
    late_report = here.record_process_end((CRASHING, HARMLESS), 99)
    there.merge(late_report)
    crash(there, CRASHING)
    there.merge(here.retract(99))
    there.merge(late_report)
    assert (there.crashes(CRASHING), there.crashes(HARMLESS)) == (1, 0)
    assert len(here) == 0
