"""Guards against slots without an owner and against needless writes."""

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
    """Runs the slot drivers of one service on simulated time.

    Time advances in steps of 0.1 s. Two members exist at the beginning.
    """

    def __init__(self) -> None:
        """Starts two members and lets them claim all slots."""
        self.reactor, self.clock, self.rng = Reactor(), ManualClock(), Random(5)
        self.platform = MemoryPlatform(self.reactor, self.rng)
        self.members: list[SlotOwner] = []
        self.owners: dict[SlotOwner, KeyOwner[bytes]] = {}
        self.drivers: dict[SlotOwner, SlotDriver] = {}
        self.clients: dict[SlotOwner, MemoryPlatformClient] = {}
        self.sent_records: list[tuple[SlotOwner, KeyRecords[bytes]]] = []
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
            members=lambda: self.members,
            is_missing=is_missing,
            send_records=self.take_records,
            push_table=lambda to, *table: self.drivers[to].receive_table(
                *table
            ),
            on_table=lambda *_table: None,
        )
        self.members.append(me)
        self.drivers[me].start()
        return me

    def take_records(
        self, successor: SlotOwner, records: KeyRecords[bytes]
    ) -> Deferred[None]:
        self.sent_records.append((successor, records))
        return succeed(None)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)

    def owned_counts(self) -> list[int]:
        table = max(self.drivers.values(), key=lambda d: d.version).table
        return [table.owned_count(member) for member in self.owners]

    def accepted_key_count(self) -> int:
        """Offers 64 new keys to all owners; returns how often one accepts."""
        keys = [RequestKey.generate(self.clock, self.rng) for _ in range(64)]
        return sum(
            owner.offer("s", key, b"").verdict is KeyVerdict.RUN
            for owner in self.owners.values()
            for key in keys
        )


def no_fault(_bench: Bench) -> None:
    pass


def platform_outage(bench: Bench) -> None:
    bench.platform.down = True
    bench.run(2_400)


def outage_past_horizon(bench: Bench) -> None:
    platform_outage(bench)
    bench.run(1_300)


def outage_past_horizon_ends(bench: Bench) -> None:
    outage_past_horizon(bench)
    bench.platform.down = False
    bench.run(60)


def delete_object(bench: Bench) -> None:
    bench.platform.objects.clear()
    bench.run(1_200)
    assert bench.platform.objects
    assert bench.drivers[bench.first].table.slots[0][0].from_ms < START_MS


def lose_messages(bench: Bench) -> None:
    bench.platform.loss = 0.3
    bench.run(7_200)


def add_third_member(bench: Bench) -> None:
    bench.add("c")
    bench.drivers[bench.first].members_changed()
    bench.drivers[bench.second].members_changed()
    bench.run(200)


def stop_first_member(bench: Bench) -> None:
    bench.members.remove(bench.first)
    bench.drivers[bench.first].leave(succeed(None))
    bench.run(5)
    bench.drivers[bench.second].receive_table(
        bench.drivers[bench.first].version, bench.drivers[bench.first].table
    )


def prove_first_member_dead(bench: Bench) -> None:
    bench.members.remove(bench.first)
    bench.drivers[bench.first].close()
    bench.owners[bench.first].stop_accepting()
    bench.drivers[bench.second].replace_dead_owner(bench.first)
    bench.run(70)


def restart_all_members(bench: Bench) -> None:
    for member in (bench.first, bench.second):
        bench.drivers[member].close()
        bench.owners[member].stop_accepting()
    bench.members.clear()
    for node_id in ("a", "b"):
        newer = bench.add(node_id, 2)
        bench.drivers[newer].confirm_address_bound()
    bench.run(70)


START_MS = ManualClock().wall_ms() + 20_000

CASES = {
    "object deleted": (delete_object, [32, 32], 64),
    "start": (no_fault, [32, 32], 64),
    "outage within the horizon": (platform_outage, [32, 32], 64),
    "outage past the horizon": (outage_past_horizon, [32, 32], 0),
    "after the outage": (outage_past_horizon_ends, [32, 32], 64),
    "three of ten messages lost": (lose_messages, [32, 32], 64),
    "third member": (add_third_member, [22, 21, 21], 64),
    "planned stop": (stop_first_member, [0, 64], 64),
    "all restarted": (restart_all_members, [0, 0, 32, 32], 64),
    "proven dead": (prove_first_member_dead, [0, 64], 64),
}


@pytest.mark.parametrize(
    ("fault", "shares", "accepted"), CASES.values(), ids=CASES
)
def test_slots_stay_owned(
    fault: Callable[[Bench], None], shares: list[int], accepted: int
) -> None:
    """No fault may leave slots without an owner or with a wrong one.

    `shares` has the number of slots of each process after the fault, and
    `accepted` the number of 64 new keys that are accepted then.
    """
    bench = Bench()
    fault(bench)
    assert sorted(bench.owned_counts()) == sorted(shares)
    assert bench.accepted_key_count() == accepted


def test_platform_calls_of_an_idle_owner() -> None:
    """Owners must not read or write more than polls and renewals require."""
    bench = Bench()
    reads, writes = bench.platform.reads, bench.platform.writes
    bench.run(7_200)
    # Two owners for two hours: 8 renewals per hour in all, and 60 polls per
    # hour and owner. The bounds allow for some more.
    assert bench.platform.writes - writes <= 2 * 2 * 5
    assert bench.platform.reads - reads <= 2 * 2 * (75 + 5)


def test_owner_keeps_its_promise_if_the_write_answer_is_lost() -> None:
    """An owner must keep its promise although the answer to its write is lost.

    The first owner writes a table that gives slots to a third member and is
    then cut off. If it accepted keys of these slots, two owners would.
    """
    bench = Bench()
    third = bench.add("c")
    bench.clients[bench.first].should_cut_after_put = lambda *_: True
    bench.drivers[bench.first].members_changed()
    bench.run(300)
    assert bench.clients[bench.first].cut
    assert bench.drivers[bench.first].table.owned_count(third) == 0
    assert bench.drivers[third].table.owned_count(third) > 0
    assert bench.accepted_key_count() == 64


def test_records_go_to_the_owner_that_entry_nodes_ask() -> None:
    """A resent key must find its record at the successor after a stop.

    The records may be sent only after the last running key has ended.
    """
    bench = Bench()
    owner = bench.owners[bench.first]
    keys = [RequestKey.generate(bench.clock, bench.rng) for _ in range(640)]
    accepted = [
        request_key
        for request_key in keys
        if owner.offer("s", request_key, b"").verdict is KeyVerdict.RUN
    ]
    for key in accepted:
        owner.finish(key, b"answer")
    drained: Deferred[None] = Deferred()
    left = bench.drivers[bench.first].leave(drained)
    bench.run(5)
    assert not bench.sent_records and not left.called
    drained.callback(None)
    assert left.result is True
    moved = {
        record.key
        for successor, message in bench.sent_records
        for record in message.records
    }
    assert moved == set(accepted)
    assert {successor for successor, _ in bench.sent_records} == {bench.second}


def test_planned_stop_ends_while_the_platform_is_down() -> None:
    """A stop must not wait for the platform without a time limit."""
    bench = Bench()
    bench.platform.down = True
    left = bench.drivers[bench.first].leave(succeed(None))
    bench.run(60)
    assert left.result is False
    assert 0 < bench.accepted_key_count() < 64
