"""Guards against an owner that runs a key twice or refuses it wrongly."""

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
SMALL_BOUNDS = KeyBounds(max_records=3, max_bytes=2_000)


def make_key(issued_ms: int, number: int = 0) -> RequestKey:
    """Returns the key of slot 0 with an issue time and a number."""
    for low in range(number << 12, (number + 1) << 12):
        raw = bytearray(issued_ms.to_bytes(6, "big") + low.to_bytes(10, "big"))
        raw[6], raw[8] = 0x70, 0x80
        found = RequestKey(bytes(raw))
        if found.slot == 0:
            return found
    raise AssertionError("no key of slot 0")


def make_table(*intervals: SlotInterval) -> SlotTable:
    return SlotTable([intervals, *([()] * 63)])


class Bench:
    """An owner of [NOW - 1000 s, NOW + 1 h) in slot 0, from table version 5."""

    def __init__(self) -> None:
        """Builds the owner and sets its table."""
        self.clock = ManualClock(NOW)
        self.owner: KeyOwner[bytes] = KeyOwner(
            "n", 1, self.clock, SMALL_BOUNDS, answer_size=len
        )
        mine = SlotInterval("n", 1, NOW - 1_000_000, NOW + 3_600_000)
        self.owner.set_table("s", 5, make_table(mine))

    def offer(self, offered: RequestKey, digest: bytes = b"d") -> str:
        decision = self.owner.offer("s", offered, digest)
        if decision.reason is not None:
            return decision.reason.value
        if decision.answer is not None:
            return decision.answer.decode()
        return decision.verdict.value

    def run_to_answer(self, ran: RequestKey, answer: bytes = b"answer") -> None:
        assert self.offer(ran) == "run"
        assert self.owner.finish(ran, answer)

    def fill_records(self) -> None:
        for number in range(3):
            self.run_to_answer(make_key(NOW, number))


def with_finished_run(bench: Bench) -> None:
    bench.run_to_answer(make_key(NOW))


def with_running_key(bench: Bench) -> None:
    bench.offer(make_key(NOW))


def with_unknown_outcome(bench: Bench) -> None:
    with_running_key(bench)
    bench.owner.unknown(make_key(NOW))
    assert not bench.owner.finish(make_key(NOW), b"late")


def with_key_not_run(bench: Bench) -> None:
    with_running_key(bench)
    bench.owner.not_run(make_key(NOW))


def with_accepting_stopped(bench: Bench) -> None:
    bench.owner.stop_accepting()


def with_finished_run_then_stopped(bench: Bench) -> None:
    with_finished_run(bench)
    with_accepting_stopped(bench)


def with_promise(bench: Bench) -> None:
    assert bench.owner.promise("s", 5, {0: NOW})


def with_promise_and_older_table(bench: Bench) -> None:
    with_promise(bench)
    bench.owner.set_table("s", 4, make_table(SlotInterval("n", 1, 0, NOW * 2)))


def with_promise_and_newer_table(bench: Bench) -> None:
    with_promise(bench)
    bench.owner.set_table("s", 6, make_table(SlotInterval("n", 1, 0, NOW * 2)))


def with_promises_around_accepted_key(bench: Bench) -> None:
    with_running_key(bench)
    assert not bench.owner.promise("s", 5, {0: NOW})
    assert bench.owner.promise("s", 5, {0: NOW + 1})


def with_newer_incarnation(bench: Bench) -> None:
    bench.owner.set_table("s", 6, make_table(SlotInterval("n", 2, 0, NOW * 2)))


def with_full_records(bench: Bench) -> None:
    bench.fill_records()


def with_evictable_records(bench: Bench) -> None:
    bench.fill_records()
    bench.clock.advance(601)


def with_full_bytes(bench: Bench) -> None:
    bench.run_to_answer(make_key(NOW, 1), b"x" * 1_500)


def with_evicted_record(bench: Bench) -> None:
    bench.fill_records()
    bench.clock.advance(601)
    bench.run_to_answer(make_key(NOW + 600_000, 9))


def with_expired_record(bench: Bench) -> None:
    with_finished_run(bench)
    bench.clock.advance(3_601)
    bench.owner.expire()


def with_clock_set_back(bench: Bench) -> None:
    with_finished_run(bench)
    bench.clock.shift_wall_clock(-60_000)


def unchanged(_bench: Bench) -> None:
    pass


CASES: dict[str, tuple[Callable[[Bench], None], RequestKey, bytes, str]] = {
    "new key": (unchanged, make_key(NOW), b"d", "run"),
    "joins the running request": (
        with_running_key,
        make_key(NOW),
        b"d",
        "join",
    ),
    "recorded answer": (with_finished_run, make_key(NOW), b"d", "answer"),
    "outcome unknown": (
        with_unknown_outcome,
        make_key(NOW),
        b"d",
        "key_unknown",
    ),
    "runs after not_run": (with_key_not_run, make_key(NOW), b"d", "run"),
    "other body while running": (
        with_running_key,
        make_key(NOW),
        b"e",
        "key_reused",
    ),
    "other body when done": (
        with_finished_run,
        make_key(NOW),
        b"e",
        "key_reused",
    ),
    "other body when unknown": (
        with_unknown_outcome,
        make_key(NOW),
        b"e",
        "key_reused",
    ),
    "before the interval": (
        unchanged,
        make_key(NOW - 1_000_001),
        b"d",
        "key_not_owned",
    ),
    "start of the interval": (
        unchanged,
        make_key(NOW - 1_000_000),
        b"d",
        "run",
    ),
    "end of the interval": (
        unchanged,
        make_key(NOW + 3_600_000),
        b"d",
        "key_not_owned",
    ),
    "at max_ahead": (unchanged, make_key(NOW + 5_000), b"d", "run"),
    "past max_ahead": (unchanged, make_key(NOW + 5_001), b"d", "key_too_new"),
    "stopped": (with_accepting_stopped, make_key(NOW), b"d", "draining"),
    "resend after stop": (
        with_finished_run_then_stopped,
        make_key(NOW),
        b"d",
        "answer",
    ),
    "at the promised boundary": (
        with_promise,
        make_key(NOW),
        b"d",
        "key_not_owned",
    ),
    "before the promised boundary": (
        with_promise,
        make_key(NOW - 1),
        b"d",
        "run",
    ),
    "promise survives an older table": (
        with_promise_and_older_table,
        make_key(NOW),
        b"d",
        "key_not_owned",
    ),
    "newer table ends the promise": (
        with_promise_and_newer_table,
        make_key(NOW, 2),
        b"d",
        "run",
    ),
    "rejected promise has no effect": (
        with_promises_around_accepted_key,
        make_key(NOW, 2),
        b"d",
        "run",
    ),
    "promise above an accepted key": (
        with_promises_around_accepted_key,
        make_key(NOW + 1),
        b"d",
        "key_not_owned",
    ),
    "other incarnation": (
        with_newer_incarnation,
        make_key(NOW),
        b"d",
        "key_not_owned",
    ),
    "full by count": (
        with_full_records,
        make_key(NOW, 8),
        b"d",
        "key_store_full",
    ),
    "full by bytes": (
        with_full_bytes,
        make_key(NOW, 8),
        b"d",
        "key_store_full",
    ),
    "resend when full": (with_full_records, make_key(NOW), b"d", "answer"),
    "evicts past the minimum retention": (
        with_evictable_records,
        make_key(NOW + 1, 8),
        b"d",
        "run",
    ),
    "eviction raises the low-water mark past the key": (
        with_evictable_records,
        make_key(NOW, 8),
        b"d",
        "key_expired",
    ),
    "evicted": (with_evicted_record, make_key(NOW), b"d", "key_expired"),
    "record above the low-water mark": (
        with_evicted_record,
        make_key(NOW, 1),
        b"d",
        "answer",
    ),
    "past retention": (
        with_expired_record,
        make_key(NOW),
        b"d",
        "key_expired",
    ),
    "clock set back": (with_clock_set_back, make_key(NOW), b"d", "answer"),
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


def test_successor_answers_imported_keys_and_refuses_other_old_ones() -> None:
    first, second = Bench(), Bench()
    first.run_to_answer(make_key(NOW, 1), b"moved")
    first.offer(make_key(NOW, 2))
    first.owner.stop_accepting()
    second.owner = KeyOwner("m", 1, second.clock, SMALL_BOUNDS, answer_size=len)
    second.owner.set_table(
        "s", 6, make_table(SlotInterval("m", 1, NOW + 1, NOW * 2))
    )
    moved = first.owner.export_records("s", 0)
    assert second.owner.import_records("s", 0, moved) == 2
    assert second.owner.import_records("s", 0, moved) == 0
    assert second.offer(make_key(NOW, 1)) == "moved"
    assert second.offer(make_key(NOW, 2)) == RefusalReason.KEY_UNKNOWN.value
    assert second.offer(make_key(NOW, 3)) == RefusalReason.KEY_NOT_OWNED.value
    assert first.owner.highest_accepted("s", 0) == NOW


def test_key_running_in_one_service_is_refused_in_another() -> None:
    bench = Bench()
    bench.owner.set_table("t", 1, make_table(SlotInterval("n", 1, 0, NOW * 2)))
    assert bench.offer(make_key(NOW)) == "run"
    decision = bench.owner.offer("t", make_key(NOW), b"d")
    assert decision.reason is RefusalReason.KEY_REUSED
