"""Guards against a `not_run` refusal of a key that has been forwarded.

The owner may have run the key, so a caller that trusts the refusal and sends
the request with a fresh key would run it twice.
"""

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
OLD_OWNER, NEW_OWNER = SlotOwner("a", 1), SlotOwner("b", 1)
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
    """A router started 90 s ago; owners not given as alive are dead."""

    def __init__(self, *alive: SlotOwner, max_forwarded: int = 2) -> None:
        """Builds a router that by default keeps two forwarded keys."""
        self.clock, self.rng = ManualClock(NOW), Random(3)
        self.router = KeyRouter(
            self.clock, self.rng, alive.__contains__, max_forwarded
        )
        self.router.set_table("s", 1, TABLE)
        self.clock.advance(90)

    def key(self) -> RequestKey:
        return RequestKey.generate(self.clock, self.rng)

    def route_until_refused(
        self, key: RequestKey, first: bool = True
    ) -> KeyRoute:
        """Routes the key while every owner refuses it as not owned."""
        route = self.router.route("s", key, first)
        if isinstance(route, KeyForward):
            route = self.router.route_after_not_run("s", key, route)
        assert isinstance(route, KeyRefresh)
        route = self.router.route_after_refresh("s", key, route.is_first_send)
        if isinstance(route, KeyForward):
            route = self.router.route_after_not_run("s", key, route)
        return route


def refusal_in(route: KeyRoute) -> tuple[RefusalReason, bool]:
    assert isinstance(route, KeyRefusal)
    return route.reason, route.retry_key is not None


KEY_OWNER_SILENT = RefusalReason.KEY_OWNER_SILENT
KEY_OWNER_GONE = RefusalReason.KEY_OWNER_GONE

CASES = {
    # Name: live owners, age of the key in ms, declared first, requests routed
    # before, result.
    "first send": ((NEW_OWNER,), 0, True, 0, (KEY_OWNER_SILENT, False)),
    "declared resend": ((NEW_OWNER,), 0, False, 0, (KEY_OWNER_GONE, False)),
    "forwarded before": ((NEW_OWNER,), 0, True, 1, (KEY_OWNER_GONE, False)),
    "evicted from the forwarded keys": (
        (NEW_OWNER,), 1, True, 3, (KEY_OWNER_GONE, False),
    ),
    "possibly forwarded by an earlier process": (
        (NEW_OWNER,), 26_000, True, 0, (KEY_OWNER_GONE, False),
    ),
    "before the first interval": (
        (NEW_OWNER,), 91_000, False, 0, (RefusalReason.KEY_EXPIRED, False),
    ),
    "refused by a live owner": (
        (OLD_OWNER, NEW_OWNER), 0, True, 0, (KEY_OWNER_SILENT, True),
    ),
}  # fmt: skip


@pytest.mark.parametrize(
    ("alive", "age_ms", "first", "sends", "expected"), CASES.values(), ids=CASES
)
def test_refusal_reason_when_no_owner_runs_the_key(
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
    assert refusal_in(bench.route_until_refused(key, first)) == expected


def test_key_of_a_dead_owner_is_forwarded_to_the_live_successor() -> None:
    bench = Bench(NEW_OWNER)
    route = bench.router.route("s", bench.key(), False)
    assert isinstance(route, KeyForward) and route.owner == NEW_OWNER


def test_second_request_with_the_key_rules_out_not_run_for_the_first() -> None:
    bench = Bench(NEW_OWNER)
    key = bench.key()
    route = bench.router.route("s", key, True)
    bench.router.route("s", key, True)
    assert isinstance(route, KeyForward)
    route = bench.router.route_after_not_run("s", key, route)
    assert isinstance(route, KeyRefresh)
    again = bench.router.route_after_refresh("s", key, route.is_first_send)
    assert isinstance(again, KeyForward)
    assert refusal_in(bench.router.route_after_not_run("s", key, again)) == (
        KEY_OWNER_GONE,
        False,
    )


def test_retry_key_belongs_to_a_live_owner() -> None:
    bench = Bench(NEW_OWNER)
    assert bench.router.retry_key("s") is None
    bench.clock.advance(10)
    fresh = bench.router.retry_key("s")
    assert fresh is not None and fresh.issued_ms == NEW_OWNER_START_MS
    assert bench.router.retry_key("t") is None


NEW_OWNER_START_MS = NOW + 100_000


def test_older_table_is_ignored() -> None:
    bench = Bench()
    assert not bench.router.set_table("s", 1, SlotTable())
    assert bench.router.set_table("s", 2, SlotTable())
    assert isinstance(bench.router.route("s", bench.key(), True), KeyRefresh)
