"""Guards against a key that runs twice or a refusal that is not true."""

from collections.abc import Callable

import pytest

from radishtray_state import (
    KeyBounds,
    KeyOwner,
    ManualClock,
    RefusalReason,
    RequestKey,
    SlotInterval,
    SlotTable,
)

NOW = 1_700_000_000_000
SMALL = KeyBounds(max_records=3, max_bytes=2_000)


def key(issued_ms: int, number: int = 0) -> RequestKey:
    """Returns a key of slot 0."""
    for low in range(number << 12, (number + 1) << 12):
        raw = bytearray(issued_ms.to_bytes(6, "big") + low.to_bytes(10, "big"))
        raw[6], raw[8] = 0x70, 0x80
        found = RequestKey(bytes(raw))
        if found.slot == 0:
            return found
    raise AssertionError("no key of slot 0")


def table(*intervals: SlotInterval) -> SlotTable:
    return SlotTable([intervals, *([()] * 63)])


class Bench:
    """One owner with [NOW - 1000 s, NOW + 1 h) of slot 0 at version 5."""

    def __init__(self) -> None:
        """Builds the owner and sets its table."""
        self.clock = ManualClock(NOW)
        self.owner: KeyOwner[bytes] = KeyOwner(
            "n", 1, self.clock, SMALL, answer_size=len
        )
        mine = SlotInterval("n", 1, NOW - 1_000_000, NOW + 3_600_000)
        self.owner.set_table("s", 5, table(mine))

    def offer(self, offered: RequestKey, digest: bytes = b"d") -> str:
        decision = self.owner.offer("s", offered, digest)
        if decision.reason is not None:
            return decision.reason.value
        if decision.answer is not None:
            return decision.answer.decode()
        return decision.verdict.value

    def run(self, ran: RequestKey, answer: bytes = b"answer") -> None:
        assert self.offer(ran) == "run"
        assert self.owner.finish(ran, answer)

    def fill(self) -> None:
        for number in range(3):
            self.run(key(NOW, number))


def finished(bench: Bench) -> None:
    bench.run(key(NOW))


def running(bench: Bench) -> None:
    bench.offer(key(NOW))


def unknown(bench: Bench) -> None:
    running(bench)
    bench.owner.unknown(key(NOW))
    assert not bench.owner.finish(key(NOW), b"late")


def not_run(bench: Bench) -> None:
    running(bench)
    bench.owner.not_run(key(NOW))


def stopped(bench: Bench) -> None:
    bench.owner.stop_accepting()


def stopped_after_run(bench: Bench) -> None:
    finished(bench)
    stopped(bench)


def promised(bench: Bench) -> None:
    assert bench.owner.promise("s", 5, {0: NOW})


def stale_after_promise(bench: Bench) -> None:
    promised(bench)
    bench.owner.set_table("s", 4, table(SlotInterval("n", 1, 0, NOW * 2)))


def settled_promise(bench: Bench) -> None:
    promised(bench)
    bench.owner.set_table("s", 6, table(SlotInterval("n", 1, 0, NOW * 2)))


def late_promise(bench: Bench) -> None:
    running(bench)
    assert not bench.owner.promise("s", 5, {0: NOW})
    assert bench.owner.promise("s", 5, {0: NOW + 1})


def newer_incarnation(bench: Bench) -> None:
    bench.owner.set_table("s", 6, table(SlotInterval("n", 2, 0, NOW * 2)))


def full(bench: Bench) -> None:
    bench.fill()


def full_past_retention(bench: Bench) -> None:
    bench.fill()
    bench.clock.advance(601)


def full_of_bytes(bench: Bench) -> None:
    bench.run(key(NOW, 1), b"x" * 1_500)


def evicted(bench: Bench) -> None:
    bench.fill()
    bench.clock.advance(601)
    bench.run(key(NOW + 600_000, 9))


def expired(bench: Bench) -> None:
    finished(bench)
    bench.clock.advance(3_601)
    bench.owner.expire()


def clock_set_back(bench: Bench) -> None:
    finished(bench)
    bench.clock.shift_wall_clock(-60_000)


def nothing(_bench: Bench) -> None:
    pass


CASES: dict[str, tuple[Callable[[Bench], None], RequestKey, bytes, str]] = {
    "new key": (nothing, key(NOW), b"d", "run"),
    "joins the run": (running, key(NOW), b"d", "join"),
    "whole answer again": (finished, key(NOW), b"d", "answer"),
    "unknown stays unknown": (unknown, key(NOW), b"d", "key_unknown"),
    "runs after not_run": (not_run, key(NOW), b"d", "run"),
    "other body while running": (running, key(NOW), b"e", "key_reused"),
    "other body when done": (finished, key(NOW), b"e", "key_reused"),
    "other body when unknown": (unknown, key(NOW), b"e", "key_reused"),
    "before the interval": (
        nothing,
        key(NOW - 1_000_001),
        b"d",
        "key_not_owned",
    ),
    "first of the interval": (nothing, key(NOW - 1_000_000), b"d", "run"),
    "at the horizon": (nothing, key(NOW + 3_600_000), b"d", "key_not_owned"),
    "at max_ahead": (nothing, key(NOW + 5_000), b"d", "run"),
    "past max_ahead": (nothing, key(NOW + 5_001), b"d", "key_too_new"),
    "stopped": (stopped, key(NOW), b"d", "draining"),
    "resend after stop": (stopped_after_run, key(NOW), b"d", "answer"),
    "past a promise": (promised, key(NOW), b"d", "key_not_owned"),
    "before a promise": (promised, key(NOW - 1), b"d", "run"),
    "stale table": (stale_after_promise, key(NOW), b"d", "key_not_owned"),
    "settled promise": (settled_promise, key(NOW, 2), b"d", "run"),
    "promise below a run": (late_promise, key(NOW, 2), b"d", "run"),
    "promise above a run": (late_promise, key(NOW + 1), b"d", "key_not_owned"),
    "other incarnation": (newer_incarnation, key(NOW), b"d", "key_not_owned"),
    "full by count": (full, key(NOW, 8), b"d", "key_store_full"),
    "full by bytes": (full_of_bytes, key(NOW, 8), b"d", "key_store_full"),
    "resend when full": (full, key(NOW), b"d", "answer"),
    "evicts past min": (full_past_retention, key(NOW + 1, 8), b"d", "run"),
    "mark passes the key": (
        full_past_retention,
        key(NOW, 8),
        b"d",
        "key_expired",
    ),
    "evicted": (evicted, key(NOW), b"d", "key_expired"),
    "kept above the mark": (evicted, key(NOW, 1), b"d", "answer"),
    "past retention": (expired, key(NOW), b"d", "key_expired"),
    "clock set back": (clock_set_back, key(NOW), b"d", "answer"),
}


@pytest.mark.parametrize(
    ("prepare", "offered", "digest", "expected"), CASES.values(), ids=CASES
)
def test_offer(
    prepare: Callable[[Bench], None],
    offered: RequestKey,
    digest: bytes,
    expected: str,
) -> None:
    bench = Bench()
    prepare(bench)
    assert bench.offer(offered, digest) == expected


def test_successor_answers_moved_keys_and_runs_no_other() -> None:
    first, second = Bench(), Bench()
    first.run(key(NOW, 1), b"moved")
    first.offer(key(NOW, 2))
    first.owner.stop_accepting()
    second.owner = KeyOwner("m", 1, second.clock, SMALL, answer_size=len)
    second.owner.set_table(
        "s", 6, table(SlotInterval("m", 1, NOW + 1, NOW * 2))
    )
    moved = first.owner.export_records("s", 0)
    assert second.owner.import_records("s", 0, moved) == 2
    assert second.owner.import_records("s", 0, moved) == 0
    assert second.offer(key(NOW, 1)) == "moved"
    assert second.offer(key(NOW, 2)) == RefusalReason.KEY_UNKNOWN.value
    assert second.offer(key(NOW, 3)) == RefusalReason.KEY_NOT_OWNED.value
    assert first.owner.highest_accepted("s", 0) == NOW


def test_one_key_in_two_services_runs_in_one() -> None:
    bench = Bench()
    bench.owner.set_table("t", 1, table(SlotInterval("n", 1, 0, NOW * 2)))
    assert bench.offer(key(NOW)) == "run"
    decision = bench.owner.offer("t", key(NOW), b"d")
    assert decision.reason is RefusalReason.KEY_REUSED
