"""Order of upstream reports.

Guards against late or reordered reports after which an upstream process that
has left is taken to serve again.
"""

import pytest

from radishtray_state import (
    ReportVerdict,
    UpstreamReport,
    UpstreamReportTracker,
)

SERVING, LEAVING, STALE = (
    ReportVerdict.SERVING,
    ReportVerdict.LEAVING,
    ReportVerdict.STALE,
)


def build_report(
    instance: str, started_ms: int, sequence: int, is_leaving: bool = False
) -> UpstreamReport:
    return UpstreamReport(
        instance,
        started_ms,
        sequence,
        "s",
        "10.0.0.1",
        80,
        4,
        is_leaving=is_leaving,
        cold_left_s=0.0,
    )


# Name: reports as (instance, start, sequence, leaving), verdict of the last
# report.
REPORTS = {
    "first": ([("a", 1, 0, False)], SERVING),
    "next": ([("a", 1, 0, False), ("a", 1, 1, False)], SERVING),
    "repeated": ([("a", 1, 1, False), ("a", 1, 1, False)], STALE),
    "reordered": ([("a", 1, 2, False), ("a", 1, 1, False)], STALE),
    "leaving": ([("a", 1, 1, False), ("a", 1, 2, True)], LEAVING),
    "ready_before_leaving_late": (
        [("a", 1, 3, True), ("a", 1, 2, False)],
        STALE,
    ),
    "ready_after_leaving": ([("a", 1, 3, True), ("a", 1, 4, False)], LEAVING),
    "successor": ([("a", 1, 3, True), ("b", 2, 0, False)], SERVING),
    "predecessor_late": ([("b", 2, 0, False), ("a", 1, 9, False)], STALE),
    "same_id_started_again": (
        [("a", 1, 50, True), ("a", 2, 0, False)],
        SERVING,
    ),
    "same_id_earlier_start_late": (
        [("a", 2, 0, False), ("a", 1, 51, True)],
        STALE,
    ),
}


@pytest.mark.parametrize("name", REPORTS)
def test_the_last_report_gets_its_verdict(name: str) -> None:
    texts, verdict = REPORTS[name]
    reports = UpstreamReportTracker()
    verdicts = [reports.apply_report(build_report(*text)) for text in texts]
    assert verdicts[-1] is verdict


# Name: instance and start in the statement, its verdict after a report of the
# instance `b` that started at 5.
LEAVE_STATEMENTS = {
    "own": (("b", 5), LEAVING),
    "own_without_start": (("b", None), LEAVING),
    "own_started_again": (("b", 6), LEAVING),
    "own_earlier_start": (("b", 4), STALE),
    "predecessor": (("a", 4), STALE),
    "unknown_without_start": (("a", None), STALE),
    "unknown_with_the_same_start": (("c", 5), STALE),
    "unknown_with_a_later_start": (("c", 6), STALE),
}


@pytest.mark.parametrize("name", LEAVE_STATEMENTS)
def test_only_the_process_that_has_reported_can_leave(name: str) -> None:
    """A statement of another writer withdrew the upstream for good."""
    arguments, verdict = LEAVE_STATEMENTS[name]
    reports = UpstreamReportTracker()
    reports.apply_report(build_report("b", 5, 1))
    assert reports.apply_leave(*arguments) is verdict
    after = reports.apply_report(build_report("b", 5, 2))
    if verdict is STALE:
        assert after is SERVING
    else:
        assert after in (LEAVING, STALE)


def test_a_deregistration_after_a_restart_concerns_no_other_process() -> None:
    reports = UpstreamReportTracker(is_restart=True)
    assert reports.apply_leave("c", 6) is STALE
    report = build_report("b", 5, 1)
    assert reports.apply_report(report) is UNCONFIRMED
    assert reports.confirm(report) is SERVING


@pytest.mark.parametrize("is_restart", [False, True])
@pytest.mark.parametrize("known", [None, ("b", 5, 1)])
def test_a_process_whose_end_overtook_its_reports_never_serves(
    known: tuple[str, int, int] | None, is_restart: bool
) -> None:
    reports = UpstreamReportTracker(is_restart=is_restart)
    if known is not None:
        reports.apply_report(build_report(*known))
    reports.apply_leave("c", 6)
    for sequence in (1, 2):
        assert reports.apply_report(build_report("c", 6, sequence)) is LEAVING
    assert reports.apply_report(build_report("d", 7, 1)) in (
        SERVING,
        UNCONFIRMED,
    )


def test_a_process_that_starts_again_under_the_id_of_an_ended_one_serves() -> (
    None
):
    reports = UpstreamReportTracker()
    reports.apply_leave("c", 6)
    assert reports.apply_report(build_report("c", 7, 1)) is SERVING


def test_many_deregistrations_of_unknown_processes_take_bounded_memory() -> (
    None
):
    reports = UpstreamReportTracker()
    for number in range(1000):
        reports.apply_leave(f"x{number}", number)
    assert reports.ended_process_count <= 16
    assert reports.apply_report(build_report("x999", 999, 1)) is LEAVING


def test_a_process_that_left_never_serves_again() -> None:
    reports = UpstreamReportTracker()
    reports.apply_report(build_report("b", 5, 1))
    reports.apply_leave("b", 5)
    assert reports.apply_report(build_report("b", 5, 9)) is LEAVING


# Name: field, value out of range.
INVALID_FIELDS = {
    "no_service": {"service": ""},
    "no_instance": {"instance": ""},
    "host": {"host": "example"},
    "port": {"port": 0},
    "slots": {"slots": 0},
    "cold": {"cold_left_s": -1.0},
}


@pytest.mark.parametrize("name", INVALID_FIELDS)
def test_invalid_fields_are_rejected(name: str) -> None:
    fields = {
        "instance": "a",
        "started_ms": 1,
        "sequence": 1,
        "service": "s",
        "host": "10.0.0.1",
        "port": 80,
        "slots": 1,
        "is_leaving": False,
        "cold_left_s": 0.0,
    }
    with pytest.raises(ValueError):
        UpstreamReport(**(fields | INVALID_FIELDS[name]))


UNCONFIRMED = ReportVerdict.UNCONFIRMED
# Name: reports that a restarted node receives, and their verdicts.
REPORTS_AFTER_RESTART = {
    "one": ([("a", 1, 5, False)], [UNCONFIRMED]),
    "same_again": ([("a", 1, 5, False)] * 2, [UNCONFIRMED, STALE]),
    "two": (
        [("a", 1, 5, False), ("a", 1, 6, False)],
        [UNCONFIRMED, UNCONFIRMED],
    ),
    "leaving": ([("a", 1, 5, True)], [LEAVING]),
    "successor": (
        [("a", 1, 5, False), ("b", 2, 0, False), ("b", 2, 1, False)],
        [UNCONFIRMED, UNCONFIRMED, UNCONFIRMED],
    ),
}


@pytest.mark.parametrize("name", REPORTS_AFTER_RESTART)
def test_late_reports_after_a_restart_bring_no_upstream_back(
    name: str,
) -> None:
    texts, verdicts = REPORTS_AFTER_RESTART[name]
    reports = UpstreamReportTracker(is_restart=True)
    assert [
        reports.apply_report(build_report(*text)) for text in texts
    ] == verdicts


# Name: reports after a restart of which the last cannot be late, its verdict.
RECENT_REPORTS = {
    "first": ([("a", 1, 5, False)], SERVING),
    "after_unconfirmed_ones": (
        [("a", 1, 5, False), ("a", 1, 6, False), ("a", 1, 7, False)],
        SERVING,
    ),
    "after_one_of_a_leaving_process": (
        [("a", 1, 5, True), ("a", 1, 6, False)],
        LEAVING,
    ),
    "successor": ([("a", 1, 5, False), ("b", 2, 0, False)], SERVING),
}


@pytest.mark.parametrize("name", RECENT_REPORTS)
def test_a_report_that_cannot_be_late_needs_no_confirmation(name: str) -> None:
    texts, verdict = RECENT_REPORTS[name]
    reports = UpstreamReportTracker(is_restart=True)
    for text in texts[:-1]:
        reports.apply_report(build_report(*text))
    last = build_report(*texts[-1])
    assert reports.apply_report(last, may_be_late=False) is verdict
    following = build_report(texts[-1][0], texts[-1][1], 20)
    assert reports.apply_report(following) is verdict


# Name: what happens between the unconfirmed report and its confirmation.
CONFIRMATIONS = {
    "nothing": (None, SERVING),
    "later_report": (("a", 1, 6, False), STALE),
    "leaving": (("a", 1, 6, True), STALE),
    "successor": (("b", 2, 0, False), STALE),
}


@pytest.mark.parametrize("name", CONFIRMATIONS)
def test_a_report_is_confirmed_unless_it_is_outdated(name: str) -> None:
    between, verdict = CONFIRMATIONS[name]
    reports = UpstreamReportTracker(is_restart=True)
    first = build_report("a", 1, 5)
    reports.apply_report(first)
    if between is not None:
        reports.apply_report(build_report(*between))
    assert reports.confirm(first) is verdict
    assert reports.confirm(first) is STALE


def test_an_unconfirmed_process_that_left_is_not_confirmed() -> None:
    reports = UpstreamReportTracker(is_restart=True)
    report = build_report("a", 1, 5)
    reports.apply_report(report)
    reports.apply_leave("a", 1)
    assert reports.confirm(report) is STALE
