"""Guards against repeated crashes and against blocking harmless requests.

A request that crashes its upstream does so again at each node that it is resent
to. Requests that were merely in flight with it must still run.
"""

import pytest

from radishtray_state import (
    CrashSuspect,
    CrashSuspects,
    ManualClock,
    SuspectVerdict,
    fingerprint,
    suspect_host,
    suspect_hosts,
)

_RUN = SuspectVerdict.RUN
_WAIT = SuspectVerdict.WAIT
_REFUSE = SuspectVerdict.REFUSE


def _after_crash(*in_flight: int) -> tuple[ManualClock, CrashSuspects]:
    clock = ManualClock()
    suspects = CrashSuspects(clock)
    suspects.upstream_crashed(in_flight)
    return clock, suspects


def test_fingerprint_has_63_bits_and_separates_fields() -> None:
    digests = [
        fingerprint(*fields, body)
        for fields in (("a", "b", "/c"), ("ab", "", "/c"), ("a", "b/", "c"))
        for body in (b"", b"x")
    ]
    assert len(set(digests)) == 6
    assert all(0 <= digest < 2**63 for digest in digests)


def test_one_suspect_runs_at_a_time_and_other_requests_are_not_delayed() -> (
    None
):
    _, suspects = _after_crash(1, 2)
    assert suspects.check(1) is _RUN
    suspects.record_start(1)
    assert suspects.check(2) is _WAIT
    assert suspects.check(1) is _WAIT
    assert suspects.check(3) is _RUN
    suspects.record_start(3)
    assert not suspects.record_end(3)
    assert suspects.record_end(1, completed=True)
    assert suspects.check(2) is _RUN
    assert (suspects.crashes(1), suspects.crashes(2)) == (0, 1)


def test_a_cancelled_suspect_stays_a_suspect() -> None:
    _, suspects = _after_crash(1)
    suspects.record_start(1)
    assert suspects.record_end(1, completed=False)
    assert suspects.crashes(1) == 1


@pytest.mark.parametrize(
    ("case", "second", "blocked"),
    [
        ("only suspect", [1, 8, 9], {1}),
        ("another suspect started beside it", [1, 2, 9], {1}),
        ("no suspect", [8, 9], set()),
    ],
)
def test_a_second_crash_blocks_only_the_only_suspect(
    case: str, second: list[int], blocked: set[int]
) -> None:
    clock, suspects = _after_crash(1, 2)
    for request in second:
        suspects.record_start(request)
    changed = suspects.upstream_crashed()
    assert {s.fingerprint for s in changed} == set(second)
    assert {f for f in (1, 2, 8, 9) if suspects.crashes(f) == 2} == blocked
    assert all(
        suspects.check(f) is (_REFUSE if f in blocked else _RUN)
        for f in (1, 2, 8, 9)
    ), case
    clock.advance(60)
    assert all(suspects.check(f) is _RUN for f in (1, 2, 8, 9))


def test_gossip_during_a_run_does_not_change_which_request_is_blocked() -> None:
    suspects = CrashSuspects(ManualClock())
    suspects.record_start(8)
    assert suspects.check(1, crash_count=1) is _RUN
    suspects.record_start(1)
    suspects.merge([CrashSuspect(8, 1, 60), CrashSuspect(1, 1, 60)])
    suspects.upstream_crashed()
    assert (suspects.crashes(1), suspects.crashes(8)) == (2, 1)


def test_crashes_noted_by_a_sender_never_block() -> None:
    suspects = CrashSuspects(ManualClock())
    assert [suspects.record_crash(7) for _ in range(3)] == [1, 1, 1]
    assert suspects.record_end(7)
    assert suspects.record_crash(7) == 0, "cleared"


def test_a_crash_of_a_blocked_request_blocks_no_suspect_beside_it() -> None:
    _, suspects = _after_crash(1, 2)
    suspects.record_start(2)
    suspects.record_start(1)
    suspects.merge([CrashSuspect(1, 2, 60)])
    suspects.upstream_crashed([1, 2])
    assert (suspects.crashes(1), suspects.crashes(2)) == (2, 1)


@pytest.mark.parametrize(
    ("case", "crash_count", "verdict"),
    [("no crash", 0, _RUN), ("one crash", 1, _WAIT), ("two", 2, _WAIT)],
)
def test_the_context_makes_a_suspect_but_never_blocks(
    case: str, crash_count: int, verdict: SuspectVerdict
) -> None:
    _, suspects = _after_crash(1)
    suspects.record_start(1)
    assert suspects.check(7, crash_count) is verdict, case


@pytest.mark.parametrize(
    ("case", "at_s", "reported", "crashes_after"),
    [
        ("same crash", 50, (1, 1, 59), {59.9: 1, 60: 0}),
        ("same crash after expiry", 61, (1, 1, 5), {61: 0}),
        ("later crash", 50, (1, 1, 60), {109.9: 1, 110: 0}),
        ("blocked elsewhere", 5, (1, 2, 60), {64.9: 2, 65: 0}),
        ("cleared elsewhere", 5, (1, 0, 60), {5: 0}),
        ("cleared before the crash", 5, (1, 0, 50), {5: 1}),
        ("unknown request", 5, (7, 1, 30), {34.9: 1, 35: 0}),
        ("no remaining time", 5, (7, 1, 0), {5: 0}),
        ("remaining time too long", 5, (7, 2, 1e9), {64.9: 2, 65: 0}),
    ],
)
def test_merge(
    case: str,
    at_s: float,
    reported: tuple[int, int, float],
    crashes_after: dict[float, int],
) -> None:
    clock, suspects = _after_crash(1)
    clock.advance(at_s if case != "same crash" else 9)
    suspects.merge([CrashSuspect(*reported)])
    for time_s, crashes in crashes_after.items():
        clock.advance(max(0.0, time_s - clock.monotonic()))
        assert suspects.crashes(reported[0]) == crashes, case


@pytest.mark.parametrize(
    ("case", "delay_s", "first_extra_delay_s"),
    [
        ("no delay", 0.0, 0.0),
        ("usual delay", 0.5, 0.0),
        ("always 9 s", 9.0, 0.0),
        ("always 15 s", 15.0, 0.0),
        ("once 59 s", 0.5, 59.0),
    ],
)
def test_gossip_between_peers_does_not_renew_a_crash_endlessly(
    case: str, delay_s: float, first_extra_delay_s: float
) -> None:
    clock, first = _after_crash(1)
    peers = [first, CrashSuspects(clock), CrashSuspects(clock)]
    while clock.monotonic() < 300:
        exported = [peer.export() for peer in peers]
        assert all(s.ttl_s < 60 for entries in exported for s in entries)
        clock.advance(delay_s + 0.1 + first_extra_delay_s)
        first_extra_delay_s = 0.0
        for peer in peers:
            for entries in exported:
                peer.merge(entries)
    assert [peer.crashes(1) for peer in peers] == [0, 0, 0], case


def test_entries_are_bounded_and_blocked_ones_are_evicted_last() -> None:
    clock = ManualClock()
    suspects = CrashSuspects(clock, max_entries=10)
    suspects.merge([CrashSuspect(1, 2, 60)])
    suspects.upstream_crashed(range(100, 200))
    assert len(suspects) == 10
    assert suspects.crashes(1) == 2
    clock.advance(400)
    suspects.merge([])
    assert len(suspects) == 0


def test_repeated_exports_cover_all_entries() -> None:
    _, suspects = _after_crash(*range(30))
    suspects.merge([CrashSuspect(99, 2, 60)])
    pages = [suspects.export(limit=8) for _ in range(8)]
    assert {len(page) for page in pages} == {8}
    assert all(99 in {s.fingerprint for s in page} for page in pages)
    assert len({s.fingerprint for page in pages for s in page}) == 31
    assert {s.ttl_s for page in pages for s in page} == {59.9}


def test_every_sender_asks_the_same_host_first_for_a_suspect() -> None:
    nodes = [f"n{i}" for i in range(20)]
    assert suspect_hosts(5, nodes) == suspect_hosts(5, reversed(nodes))
    assert sorted(suspect_hosts(5, nodes)) == sorted(nodes)
    assert len({suspect_hosts(f, nodes)[0] for f in range(200)}) == 20
    assert suspect_host(5, nodes) == suspect_hosts(5, nodes)[0]
    assert suspect_host(5, []) is None
