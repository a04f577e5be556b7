"""Measures key owners: time per offer, bytes per record, size of a table.

python -m radishtray_testing.key_slopes > docs/measurements/key_slopes.md
"""

import argparse
import logging
import platform
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Final

from twisted.internet.defer import succeed

from radishtray_coordination import SlotDriver
from radishtray_protocol import decode_slot_table, encode_slot_table
from radishtray_state import (
    KeyBounds,
    KeyOwner,
    KeyRouter,
    ManualClock,
    RequestKey,
    SlotOwner,
    SlotTable,
    SystemClock,
    claim_free,
    hand_over,
    rebalance,
)
from radishtray_testing.key_simulation import NodeClock, SimulatedReactor
from radishtray_testing.memory_platform import (
    MemoryClient,
    MemoryPlatform,
    is_missing,
)

_OFFERS: Final = 50_000
_COUNTS: Final = (1_000, 10_000, 50_000)
_ROUNDS: Final = 5
_SERVICE_OWNERS: Final = 33
_SERVICES: Final = 130
_ANSWER_BYTES: Final = 300
_NO_BOUND: Final = KeyBounds(max_records=1 << 30, max_bytes=1 << 40)


def main(arguments: list[str]) -> int:
    """Prints the measurements as Markdown."""
    parser = argparse.ArgumentParser(prog="radishtray_testing.key_slopes")
    parser.add_argument("--seed", type=int, default=1, help="of the keys")
    seed = parser.parse_args(arguments).seed
    logging.disable(logging.CRITICAL)
    print("# Key owners: time, memory and table size\n")
    print(f"Command: `python -m radishtray_testing.key_slopes --seed {seed}`")
    print(f"Commit: {_commit()}; Python {platform.python_version()}, ")
    print("processor time of one process on a shared machine.\n")
    _print_offers(seed)
    _print_memory(seed)
    _print_tables(seed)
    _print_calls(seed)
    return 0


def _print_offers(seed: int) -> None:
    print("## Processor time per call, in microseconds\n")
    print(f"Least and greatest mean of {_ROUNDS} rounds.\n")
    print("| records held | new key: offer and finish | resend | not owned |")
    print("|---|---|---|---|")
    for count in _COUNTS:
        rounds = [_offer_times(Random(seed + r), count) for r in range(_ROUNDS)]
        cells = [
            f"{min(column):.1f}-{max(column):.1f}"
            for column in zip(*rounds, strict=True)
        ]
        print(f"| {count} | {' | '.join(cells)} |")
    print()


def _offer_times(rng: Random, count: int) -> tuple[float, float, float]:
    """Returns the mean times of a new key, a resend and a foreign key."""
    clock = SystemClock()
    owner = _owner(clock.wall_ms())
    keys = [RequestKey.generate(clock, rng) for _ in range(count)]
    answer = b"x" * _ANSWER_BYTES

    def run(key: RequestKey) -> None:
        owner.offer("s", key, b"d" * 32)
        owner.finish(key, answer)

    new = _mean_us(run, keys)
    resend = _mean_us(lambda key: owner.offer("s", key, b"d" * 32), keys)
    stranger = KeyOwner[bytes]("other", 1, clock)
    stranger.set_table("s", 1, _table(clock.wall_ms()))
    foreign = _mean_us(lambda key: stranger.offer("s", key, b"d"), keys)
    return new, resend, foreign


def _mean_us(
    call: Callable[[RequestKey], object], keys: list[RequestKey]
) -> float:
    started = time.process_time_ns()
    for key in keys:
        call(key)
    return (time.process_time_ns() - started) / 1000 / len(keys)


def _print_memory(seed: int) -> None:
    print("## Memory per record\n")
    print(f"`tracemalloc`, answers of {_ANSWER_BYTES} bytes not included.\n")
    print("| records | bytes per record | charged per record |")
    print("|---|---|---|")
    for count in _COUNTS:
        measured, charged = _record_bytes(Random(seed), count)
        print(f"| {count} | {measured:.0f} | {charged:.0f} |")
    print()


def _record_bytes(rng: Random, count: int) -> tuple[float, float]:
    clock = ManualClock()
    owner = _owner(clock.wall_ms())
    answer = b"x" * _ANSWER_BYTES
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(count):
        key = RequestKey.generate(clock, rng)
        owner.offer("s", key, rng.randbytes(32))
        owner.finish(key, answer)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    charged = owner.record_bytes / count - _ANSWER_BYTES
    return (after - before) / count, charged


def _print_tables(seed: int) -> None:
    print(f"## Table of 64 slots and {_SERVICE_OWNERS} owners\n")
    print("| table | intervals | bytes | encode, us | decode, us |")
    print("|---|---|---|---|---|")
    now_ms = SystemClock().wall_ms()
    balanced = _balanced(now_ms)
    _print_table("balanced", balanced)
    _print_table("every owner replaced once", _replaced(balanced, 1))
    _print_table("every owner replaced three times", _replaced(balanced, 3))
    clock, rng = SystemClock(), Random(seed)
    router = KeyRouter(clock, rng, lambda _: True)
    router.set_table("s", 1, balanced)
    keys = [RequestKey.generate(clock, rng) for _ in range(_OFFERS)]
    routed = _mean_us(lambda key: router.route("s", key, True), keys)
    print(f"\nRouting a key at the entry node takes {routed:.1f} us.")


def _print_table(name: str, table: SlotTable) -> None:
    data = encode_slot_table(table)
    intervals = sum(len(slot) for slot in table.slots)
    encode = _repeated_us(lambda: encode_slot_table(table))
    decode = _repeated_us(lambda: decode_slot_table(data))
    print(
        f"| {name} | {intervals} | {len(data)} | {encode:.0f} | {decode:.0f} |"
    )


def _repeated_us(call: Callable[[], object]) -> float:
    started = time.process_time_ns()
    for _ in range(200):
        call()
    return (time.process_time_ns() - started) / 1000 / 200


def _print_calls(seed: int) -> None:
    print(f"\n## Platform calls of {_SERVICE_OWNERS} owners of one service\n")
    print(f"Simulated time. The last column is scaled to {_SERVICES} services")
    print(
        "that do the same in the same second; the peak is the busiest second."
    )
    print("\n| phase | reads | writes | peak calls/s | all services, calls/s |")
    print("|---|---|---|---|---|")
    service = _Service(seed)
    service.print_phase("all owners start, 60 s", 60)
    service.print_phase("next 2 h", 7_200)
    service.restart()
    service.print_phase("one owner leaves and comes back, 15 min", 900)
    service.platform.down = True
    service.print_phase("platform down, 30 min", 1_800)
    service.platform.down = False
    service.print_phase("platform back, 60 s", 60)


class _Service:
    """All owners of one service on simulated time."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._reactor = SimulatedReactor()
        self._clock = NodeClock(self._reactor, 0)
        self.platform = MemoryPlatform(self._reactor, self._rng)
        self._drivers: dict[SlotOwner, SlotDriver] = {}
        for number in range(_SERVICE_OWNERS):
            self._drivers[SlotOwner(f"vm-{number:04}", 1)] = self._driver(
                SlotOwner(f"vm-{number:04}", 1)
            )
        for driver in self._drivers.values():
            driver.start()

    def print_phase(self, name: str, seconds: int) -> None:
        """Lets time pass and prints the calls of this phase."""
        platform, peak = self.platform, 0
        reads, writes = platform.reads, platform.writes
        for _ in range(seconds):
            before = platform.reads + platform.writes
            self._reactor.run_until(self._reactor.seconds() + 1)
            peak = max(peak, platform.reads + platform.writes - before)
        reads, writes = platform.reads - reads, platform.writes - writes
        mean = (reads + writes) / seconds * _SERVICES
        print(
            f"| {name} | {reads} | {writes} | {peak} | mean {mean:.0f}, "
            f"peak {peak * _SERVICES} |"
        )

    def restart(self) -> None:
        """Stops one owner gracefully and starts it again 20 s later."""
        leaving = min(self._drivers)
        driver = self._drivers.pop(leaving)
        driver.leave(succeed(None))
        newer = SlotOwner(leaving.node_id, leaving.incarnation + 1)
        self._reactor.callLater(20, self._join, newer)

    def _join(self, newer: SlotOwner) -> None:
        self._drivers[newer] = self._driver(newer)
        self._drivers[newer].start()
        for driver in self._drivers.values():
            driver.members_changed()

    def _driver(self, me: SlotOwner) -> SlotDriver:
        return SlotDriver(
            MemoryClient(self.platform),
            self._clock,
            self._rng,
            reactor=self._reactor,
            service="s",
            owner=KeyOwner(me.node_id, me.incarnation, self._clock),
            members=lambda: list(self._drivers),
            is_missing=is_missing,
            send_records=lambda *_: succeed(None),
            push_table=self._push,
            on_table=lambda *_: None,
        )

    def _push(self, to: SlotOwner, version: int, table: SlotTable) -> None:
        if to in self._drivers:
            self._drivers[to].receive_table(version, table)


def _balanced(now_ms: int) -> SlotTable:
    """Returns the table after 33 owners joined one by one."""
    members: list[SlotOwner] = []
    table = SlotTable()
    for number in range(_SERVICE_OWNERS):
        members.append(SlotOwner(f"region-1-vm-{number:04}", 1_700_000_000))
        table = claim_free(table, members[-1], len(members), now_ms)
        for giver in members:
            table = rebalance(table, giver, members, now_ms, lambda _: -1)
    return table


def _replaced(table: SlotTable, times: int) -> SlotTable:
    """Returns the table after each owner left and came back."""
    members = sorted({i.owner for slot in table.slots for i in slot})
    start_ms = max(i.from_ms for slot in table.slots for i in slot)
    for turn in range(times):
        for number, leaving in enumerate(members):
            boundary = start_ms + (turn * len(members) + number) * 10_000
            newer = SlotOwner(leaving.node_id, leaving.incarnation + 1)
            members[number] = newer
            accepted = [boundary] * len(table.slots)
            table = hand_over(table, leaving, members, accepted.__getitem__)
    return table


def _owner(now_ms: int) -> KeyOwner[bytes]:
    owner: KeyOwner[bytes] = KeyOwner(
        "n", 1, SystemClock(), _NO_BOUND, answer_size=len
    )
    owner.set_table("s", 1, _table(now_ms))
    return owner


def _table(now_ms: int) -> SlotTable:
    table = claim_free(SlotTable(), SlotOwner("n", 1), 1, now_ms)
    probe = RequestKey.generate(ManualClock(now_ms), Random(0))
    assert table.interval_of(probe.slot, probe.issued_ms) is not None
    return table


def _commit() -> str:
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or "unknown"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
