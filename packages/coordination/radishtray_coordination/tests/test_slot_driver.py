"""Guards against lost slots and against writes that nothing calls for."""

from collections.abc import Callable
from random import Random

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as Reactor

from radishtray_coordination import SlotDriver
from radishtray_state import (
    KeyOwner,
    KeyRecords,
    KeyVerdict,
    ManualClock,
    RequestKey,
    SlotOwner,
)
from radishtray_testing.memory_platform import (
    MemoryPlatform,
    MemoryPlatformClient,
    is_missing,
)


class Bench:
    """Three members of one service; time moves in steps of 0.1 s."""

    def __init__(self) -> None:
        """Starts the drivers of the first two members."""
        self.reactor, self.clock, self.rng = Reactor(), ManualClock(), Random(5)
        self.platform = MemoryPlatform(self.reactor, self.rng)
        self.present: list[SlotOwner] = []
        self.owners: dict[SlotOwner, KeyOwner[bytes]] = {}
        self.drivers: dict[SlotOwner, SlotDriver] = {}
        self.clients: dict[SlotOwner, MemoryPlatformClient] = {}
        self.sent: list[tuple[SlotOwner, KeyRecords[bytes]]] = []
        self.first, self.second = self.add("a"), self.add("b")
        self.run(20)

    def add(self, node_id: str, incarnation: int = 1) -> SlotOwner:
        me = SlotOwner(node_id, incarnation)
        owner: KeyOwner[bytes] = KeyOwner(node_id, incarnation, self.clock)
        self.owners[me], self.clients[me] = (
            owner,
            MemoryPlatformClient(self.platform),
        )
        self.drivers[me] = SlotDriver(
            self.clients[me],
            self.clock,
            self.rng,
            reactor=self.reactor,
            service="s",
            owner=owner,
            members=lambda: self.present,
            is_missing=is_missing,
            send_records=self.take_records,
            push_table=lambda to, *table: self.drivers[to].receive_table(
                *table
            ),
            on_table=lambda *_table: None,
        )
        self.present.append(me)
        self.drivers[me].start()
        return me

    def take_records(
        self, heir: SlotOwner, records: KeyRecords[bytes]
    ) -> Deferred[None]:
        self.sent.append((heir, records))
        return succeed(None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)

    def shares(self) -> list[int]:
        table = max(self.drivers.values(), key=lambda d: d.version).table
        return [table.owned_count(member) for member in self.owners]

    def accepted(self) -> int:
        """Returns how many of 64 fresh keys some owner runs."""
        keys = [RequestKey.generate(self.clock, self.rng) for _ in range(64)]
        return sum(
            owner.offer("s", key, b"").verdict is KeyVerdict.RUN
            for owner in self.owners.values()
            for key in keys
        )


def nothing(_bench: Bench) -> None:
    pass


def outage(bench: Bench) -> None:
    bench.platform.down = True
    bench.run(2_400)


def long_outage(bench: Bench) -> None:
    outage(bench)
    bench.run(1_300)


def outage_ends(bench: Bench) -> None:
    long_outage(bench)
    bench.platform.down = False
    bench.run(60)


def deleted(bench: Bench) -> None:
    bench.platform.objects.clear()
    bench.run(1_200)
    assert bench.platform.objects
    assert bench.drivers[bench.first].table.slots[0][0].from_ms < START_MS


def lost_answers(bench: Bench) -> None:
    bench.platform.loss = 0.3
    bench.run(7_200)


def third_member(bench: Bench) -> None:
    bench.add("c")
    bench.drivers[bench.first].members_changed()
    bench.drivers[bench.second].members_changed()
    bench.run(200)


def planned_stop(bench: Bench) -> None:
    bench.present.remove(bench.first)
    bench.drivers[bench.first].leave(succeed(None))
    bench.run(5)
    bench.drivers[bench.second].receive_table(
        bench.drivers[bench.first].version, bench.drivers[bench.first].table
    )


def proven_dead(bench: Bench) -> None:
    bench.present.remove(bench.first)
    bench.drivers[bench.first].close()
    bench.owners[bench.first].stop_accepting()
    bench.drivers[bench.second].proven_dead(bench.first)
    bench.run(70)


def restarted_alone(bench: Bench) -> None:
    for member in (bench.first, bench.second):
        bench.drivers[member].close()
        bench.owners[member].stop_accepting()
    bench.present.clear()
    for node_id in ("a", "b"):
        newer = bench.add(node_id, 2)
        bench.drivers[newer].address_bound()
    bench.run(70)


START_MS = ManualClock().wall_ms() + 20_000

CASES = {
    "object deleted": (deleted, [32, 32], 64),
    "start": (nothing, [32, 32], 64),
    "outage within the horizon": (outage, [32, 32], 64),
    "outage past the horizon": (long_outage, [32, 32], 0),
    "after the outage": (outage_ends, [32, 32], 64),
    "three of ten messages lost": (lost_answers, [32, 32], 64),
    "third member": (third_member, [22, 21, 21], 64),
    "planned stop": (planned_stop, [0, 64], 64),
    "all restarted": (restarted_alone, [0, 0, 32, 32], 64),
    "proven dead": (proven_dead, [0, 64], 64),
}


@pytest.mark.parametrize(
    ("fault", "shares", "accepted"), CASES.values(), ids=CASES
)
def test_slots_stay_owned(
    fault: Callable[[Bench], None], shares: list[int], accepted: int
) -> None:
    bench = Bench()
    fault(bench)
    assert sorted(bench.shares()) == sorted(shares)
    assert bench.accepted() == accepted


def test_platform_calls_of_an_idle_owner() -> None:
    bench = Bench()
    reads, writes = bench.platform.reads, bench.platform.writes
    bench.run(7_200)
    # Two owners and two hours: 8 renewals an hour, 60 polls an hour.
    assert bench.platform.writes - writes <= 2 * 2 * 5
    assert bench.platform.reads - reads <= 2 * 2 * (75 + 5)


def test_lost_write_of_a_boundary_binds_its_owner() -> None:
    bench = Bench()
    third = bench.add("c")
    bench.clients[bench.first].should_cut_after_put = lambda *_: True
    bench.drivers[bench.first].members_changed()
    bench.run(300)
    assert bench.clients[bench.first].cut
    assert bench.drivers[bench.first].table.owned_count(third) == 0
    assert bench.drivers[third].table.owned_count(third) > 0
    assert bench.accepted() == 64


def test_records_go_to_the_owner_that_entry_nodes_ask() -> None:
    bench = Bench()
    owner = bench.owners[bench.first]
    keys = [RequestKey.generate(bench.clock, bench.rng) for _ in range(640)]
    ran = [
        k for k in keys if owner.offer("s", k, b"").verdict is KeyVerdict.RUN
    ]
    for key in ran:
        owner.finish(key, b"answer")
    drained: Deferred[None] = Deferred()
    left = bench.drivers[bench.first].leave(drained)
    bench.run(5)
    assert not bench.sent and not left.called
    drained.callback(None)
    assert left.result is True
    moved = {r.key for heir, sent in bench.sent for r in sent.records}
    assert moved == set(ran)
    assert {heir for heir, _ in bench.sent} == {bench.second}


def test_planned_stop_ends_while_the_platform_is_down() -> None:
    bench = Bench()
    bench.platform.down = True
    left = bench.drivers[bench.first].leave(succeed(None))
    bench.run(60)
    assert left.result is False
    assert 0 < bench.accepted() < 64
