"""Guards against an entry node that calls a forwarded key not run."""

from random import Random

import pytest

from radishtray_state import (
    KeyForward,
    KeyRefresh,
    KeyRefusal,
    KeyRoute,
    KeyRouter,
    ManualClock,
    RefusalReason,
    RequestKey,
    SlotInterval,
    SlotOwner,
    SlotTable,
)

NOW = 1_700_000_000_000
OLD, NEW = SlotOwner("a", 1), SlotOwner("b", 1)
TABLE = SlotTable(
    [
        (
            SlotInterval("a", 1, NOW, NOW + 100_000),
            SlotInterval("b", 1, NOW + 100_000, NOW + 900_000),
        )
    ]
    * 64
)


class Bench:
    """A router whose process started 90 s ago; `a` may be dead."""

    def __init__(self, *alive: SlotOwner, max_forwarded: int = 2) -> None:
        """Builds the router with memory for two keys."""
        self.clock, self.rng = ManualClock(NOW), Random(3)
        self.router = KeyRouter(
            self.clock, self.rng, alive.__contains__, max_forwarded
        )
        self.router.set_table("s", 1, TABLE)
        self.clock.advance(90)

    def key(self) -> RequestKey:
        return RequestKey.generate(self.clock, self.rng)

    def settle(self, key: RequestKey, first: bool = True) -> KeyRoute:
        """Lets every owner refuse the key as not owned."""
        route = self.router.route("s", key, first)
        if isinstance(route, KeyForward):
            route = self.router.not_taken("s", key, route)
        assert isinstance(route, KeyRefresh)
        route = self.router.route_again("s", key, route.pristine)
        if isinstance(route, KeyForward):
            route = self.router.not_taken("s", key, route)
        return route


def reason(route: KeyRoute) -> tuple[RefusalReason, bool]:
    assert isinstance(route, KeyRefusal)
    return route.reason, route.retry_key is not None


SILENT = RefusalReason.KEY_OWNER_SILENT
GONE = RefusalReason.KEY_OWNER_GONE

CASES = {
    # Name: live owners, age of the key, declared first, sends before, result.
    "first send": ((NEW,), 0, True, 0, (SILENT, False)),
    "declared resend": ((NEW,), 0, False, 0, (GONE, False)),
    "sent before": ((NEW,), 0, True, 1, (GONE, False)),
    "evicted from memory": ((NEW,), 1, True, 3, (GONE, False)),
    "older than this process": ((NEW,), 26_000, True, 0, (GONE, False)),
    "below the first interval": (
        (NEW,), 91_000, False, 0, (RefusalReason.KEY_EXPIRED, False),
    ),
    "owner refuses": ((OLD, NEW), 0, True, 0, (SILENT, True)),
}  # fmt: skip


@pytest.mark.parametrize(
    ("alive", "age_ms", "first", "sends", "expected"), CASES.values(), ids=CASES
)
def test_refusal(
    alive: tuple[SlotOwner, ...],
    age_ms: int,
    first: bool,
    sends: int,
    expected: tuple[RefusalReason, bool],
) -> None:
    bench = Bench(*alive)
    bench.clock.shift_wall_clock(-age_ms)
    key = bench.key()
    bench.clock.shift_wall_clock(age_ms)
    for _ in range(min(sends, 1)):
        bench.router.route("s", key, True)
    for _ in range(sends - 1):
        bench.router.route("s", bench.key(), True)
    assert reason(bench.settle(key, first)) == expected


def test_dead_owners_records_are_sought_at_the_heir() -> None:
    bench = Bench(NEW)
    route = bench.router.route("s", bench.key(), False)
    assert isinstance(route, KeyForward) and route.owner == NEW


def test_send_that_joined_a_pristine_one_spoils_its_refusal() -> None:
    bench = Bench(NEW)
    key = bench.key()
    route = bench.router.route("s", key, True)
    bench.router.route("s", key, True)
    assert isinstance(route, KeyForward)
    route = bench.router.not_taken("s", key, route)
    assert isinstance(route, KeyRefresh)
    again = bench.router.route_again("s", key, route.pristine)
    assert isinstance(again, KeyForward)
    assert reason(bench.router.not_taken("s", key, again)) == (GONE, False)


def test_retry_key_belongs_to_a_live_owner() -> None:
    bench = Bench(NEW)
    assert bench.router.retry_key("s") is None
    bench.clock.advance(10)
    fresh = bench.router.retry_key("s")
    assert fresh is not None and fresh.issued_ms == NEW_START_MS
    assert bench.router.retry_key("t") is None


NEW_START_MS = NOW + 100_000


def test_older_table_is_ignored() -> None:
    bench = Bench()
    assert not bench.router.set_table("s", 1, SlotTable())
    assert bench.router.set_table("s", 2, SlotTable())
    assert isinstance(bench.router.route("s", bench.key(), True), KeyRefresh)
