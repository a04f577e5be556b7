"""Measures key owners: time per offer, bytes per record, size of a table.

An offer asks an owner to decide about one send of a key. The platform calls of
all owners of a service are counted on simulated time.

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
    claim_free_slots,
    hand_over,
    rebalance,
)
from radishtray_testing.key_simulation import NodeClock, SimulatedReactor
from radishtray_testing.memory_platform import (
    MemoryPlatform,
    MemoryPlatformClient,
    is_missing,
)

_ROUTED_KEY_COUNT: Final = 50_000
_RECORD_COUNTS: Final = (1_000, 10_000, 50_000)
_ROUND_COUNT: Final = 5
# The target size has 4,300 owners in 130 services.
_OWNERS_PER_SERVICE: Final = 33
_SERVICE_COUNT: Final = 130
_ANSWER_BYTES: Final = 300
_UNBOUNDED: Final = KeyBounds(max_records=1 << 30, max_bytes=1 << 40)


def main(arguments: list[str]) -> int:
    """Prints the measurements as Markdown."""
    parser = argparse.ArgumentParser(prog="radishtray_testing.key_slopes")
    parser.add_argument("--seed", type=int, default=1, help="of the keys")
    seed = parser.parse_args(arguments).seed
    logging.disable(logging.CRITICAL)
    print("# Key owners: time, memory and table size\n")
    print(f"Command: `python -m radishtray_testing.key_slopes --seed {seed}`")
    print(f"Commit: {_git_commit()}; Python {platform.python_version()}, ")
    print("processor time of one process on a shared machine.\n")
    _print_offer_times(seed)
    _print_memory(seed)
    _print_tables(seed)
    _print_platform_calls(seed)
    return 0


def _print_offer_times(seed: int) -> None:
    print("## Processor time per call, in microseconds\n")
    print(f"Least and greatest mean of {_ROUND_COUNT} rounds.\n")
    print("| records held | new key: offer and finish | resend | not owned |")
    print("|---|---|---|---|")
    for count in _RECORD_COUNTS:
        rounds = [
            _measure_offer_times_us(Random(seed + r), count)
            for r in range(_ROUND_COUNT)
        ]
        cells = [
            f"{min(column):.1f}-{max(column):.1f}"
            for column in zip(*rounds, strict=True)
        ]
        print(f"| {count} | {' | '.join(cells)} |")
    print()


def _measure_offer_times_us(
    rng: Random, record_count: int
) -> tuple[float, float, float]:
    """Returns mean times for a new key, a resend and a key not owned."""
    clock = SystemClock()
    owner = _build_owner(clock.wall_ms())
    keys = [RequestKey.generate(clock, rng) for _ in range(record_count)]
    answer = b"x" * _ANSWER_BYTES

    def offer_and_finish(key: RequestKey) -> None:
        owner.offer("s", key, b"d" * 32)
        owner.finish(key, answer)

    new_us = _mean_call_us(offer_and_finish, keys)
    resend_us = _mean_call_us(
        lambda key: owner.offer("s", key, b"d" * 32), keys
    )
    other_owner = KeyOwner[bytes]("other", 1, clock)
    other_owner.set_table("s", 1, _build_table(clock.wall_ms()))
    not_owned_us = _mean_call_us(
        lambda key: other_owner.offer("s", key, b"d"), keys
    )
    return new_us, resend_us, not_owned_us


def _mean_call_us(
    call: Callable[[RequestKey], object], keys: list[RequestKey]
) -> float:
    started_ns = time.process_time_ns()
    for key in keys:
        call(key)
    return (time.process_time_ns() - started_ns) / 1000 / len(keys)


def _print_memory(seed: int) -> None:
    print("## Memory per record\n")
    print(f"`tracemalloc`, answers of {_ANSWER_BYTES} bytes not included.\n")
    print("| records | bytes per record | charged per record |")
    print("|---|---|---|")
    for count in _RECORD_COUNTS:
        measured_bytes, charged_bytes = _measure_record_bytes(
            Random(seed), count
        )
        print(f"| {count} | {measured_bytes:.0f} | {charged_bytes:.0f} |")
    print()


def _measure_record_bytes(
    rng: Random, record_count: int
) -> tuple[float, float]:
    clock = ManualClock()
    owner = _build_owner(clock.wall_ms())
    answer = b"x" * _ANSWER_BYTES
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    for _ in range(record_count):
        key = RequestKey.generate(clock, rng)
        owner.offer("s", key, rng.randbytes(32))
        owner.finish(key, answer)
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    charged_per_record = owner.record_bytes / record_count - _ANSWER_BYTES
    return (bytes_after - bytes_before) / record_count, charged_per_record


def _print_tables(seed: int) -> None:
    print(f"## Table of 64 slots and {_OWNERS_PER_SERVICE} owners\n")
    print("| table | intervals | bytes | encode, us | decode, us |")
    print("|---|---|---|---|---|")
    now_ms = SystemClock().wall_ms()
    balanced = _build_balanced_table(now_ms)
    _print_table("balanced", balanced)
    _print_table("every owner replaced once", _replace_owners(balanced, 1))
    _print_table(
        "every owner replaced three times", _replace_owners(balanced, 3)
    )
    clock, rng = SystemClock(), Random(seed)
    router = KeyRouter(clock, rng, lambda _: True)
    router.set_table("s", 1, balanced)
    keys = [RequestKey.generate(clock, rng) for _ in range(_ROUTED_KEY_COUNT)]
    route_us = _mean_call_us(lambda key: router.route("s", key, True), keys)
    print(f"\nRouting a key at the entry node takes {route_us:.1f} us.")


def _print_table(name: str, table: SlotTable) -> None:
    data = encode_slot_table(table)
    intervals = sum(len(slot) for slot in table.slots)
    encode_us = _mean_repeated_us(lambda: encode_slot_table(table))
    decode_us = _mean_repeated_us(lambda: decode_slot_table(data))
    print(
        f"| {name} | {intervals} | {len(data)} "
        f"| {encode_us:.0f} | {decode_us:.0f} |"
    )


def _mean_repeated_us(call: Callable[[], object]) -> float:
    started_ns = time.process_time_ns()
    for _ in range(200):
        call()
    return (time.process_time_ns() - started_ns) / 1000 / 200


def _print_platform_calls(seed: int) -> None:
    print(
        f"\n## Platform calls of {_OWNERS_PER_SERVICE} owners of one service\n"
    )
    print(
        "Simulated time. The last column is scaled to "
        f"{_SERVICE_COUNT} services"
    )
    print(
        "that do the same in the same second; the peak is the busiest second."
    )
    print("\n| phase | reads | writes | peak calls/s | all services, calls/s |")
    print("|---|---|---|---|---|")
    service = _SimulatedService(seed)
    service.print_phase("all owners start, 60 s", 60)
    service.print_phase("next 2 h", 7_200)
    service.restart_one_owner()
    service.print_phase("one owner leaves and comes back, 15 min", 900)
    service.platform.down = True
    service.print_phase("platform down, 30 min", 1_800)
    service.platform.down = False
    service.print_phase("platform back, 60 s", 60)


class _SimulatedService:
    """All owners of one service on simulated time."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._reactor = SimulatedReactor()
        self._clock = NodeClock(self._reactor, 0)
        self.platform = MemoryPlatform(self._reactor, self._rng)
        self._drivers: dict[SlotOwner, SlotDriver] = {}
        for number in range(_OWNERS_PER_SERVICE):
            self._drivers[SlotOwner(f"vm-{number:04}", 1)] = self._build_driver(
                SlotOwner(f"vm-{number:04}", 1)
            )
        for driver in self._drivers.values():
            driver.start()

    def print_phase(self, name: str, duration_s: int) -> None:
        """Advances simulated time and prints the calls made meanwhile."""
        platform, peak_per_s = self.platform, 0
        reads, writes = platform.reads, platform.writes
        for _ in range(duration_s):
            before = platform.reads + platform.writes
            self._reactor.run_until(self._reactor.seconds() + 1)
            peak_per_s = max(
                peak_per_s, platform.reads + platform.writes - before
            )
        reads, writes = platform.reads - reads, platform.writes - writes
        mean_per_s = (reads + writes) / duration_s * _SERVICE_COUNT
        print(
            f"| {name} | {reads} | {writes} | {peak_per_s} "
            f"| mean {mean_per_s:.0f}, peak {peak_per_s * _SERVICE_COUNT} |"
        )

    def restart_one_owner(self) -> None:
        """Stops one owner as planned and starts it again 20 s later."""
        leaving = min(self._drivers)
        driver = self._drivers.pop(leaving)
        driver.leave(succeed(None))
        new_identity = SlotOwner(leaving.node_id, leaving.incarnation + 1)
        self._reactor.callLater(20, self._start_owner, new_identity)

    def _start_owner(self, identity: SlotOwner) -> None:
        self._drivers[identity] = self._build_driver(identity)
        self._drivers[identity].start()
        for driver in self._drivers.values():
            driver.members_changed()

    def _build_driver(self, identity: SlotOwner) -> SlotDriver:
        return SlotDriver(
            MemoryPlatformClient(self.platform),
            self._clock,
            self._rng,
            reactor=self._reactor,
            service="s",
            owner=KeyOwner(identity.node_id, identity.incarnation, self._clock),
            members=lambda: list(self._drivers),
            is_missing=is_missing,
            send_records=lambda *_: succeed(None),
            push_table=self._push_table,
            on_table=lambda *_: None,
        )

    def _push_table(
        self, member: SlotOwner, version: int, table: SlotTable
    ) -> None:
        if member in self._drivers:
            self._drivers[member].receive_table(version, table)


def _build_balanced_table(now_ms: int) -> SlotTable:
    """Returns the table after all owners of a service joined one by one."""
    members: list[SlotOwner] = []
    table = SlotTable()
    for number in range(_OWNERS_PER_SERVICE):
        members.append(SlotOwner(f"region-1-vm-{number:04}", 1_700_000_000))
        table = claim_free_slots(table, members[-1], len(members), now_ms)
        for member in members:
            table = rebalance(table, member, members, now_ms, lambda _: -1)
    return table


def _replace_owners(table: SlotTable, times: int) -> SlotTable:
    """Returns the table after replacing each owner the given number of times.

    An owner hands over its slots, and its next incarnation joins.
    """
    members = sorted({i.owner for slot in table.slots for i in slot})
    start_ms = max(i.from_ms for slot in table.slots for i in slot)
    for round_index in range(times):
        for number, leaving in enumerate(members):
            accepted_ms = (
                start_ms + (round_index * len(members) + number) * 10_000
            )
            new_identity = SlotOwner(leaving.node_id, leaving.incarnation + 1)
            members[number] = new_identity
            highest_accepted_ms = [accepted_ms] * len(table.slots)
            table = hand_over(
                table, leaving, members, highest_accepted_ms.__getitem__
            )
    return table


def _build_owner(now_ms: int) -> KeyOwner[bytes]:
    owner: KeyOwner[bytes] = KeyOwner(
        "n", 1, SystemClock(), _UNBOUNDED, answer_size=len
    )
    owner.set_table("s", 1, _build_table(now_ms))
    return owner


def _build_table(now_ms: int) -> SlotTable:
    table = claim_free_slots(SlotTable(), SlotOwner("n", 1), 1, now_ms)
    key = RequestKey.generate(ManualClock(now_ms), Random(0))
    assert table.interval_of(key.slot, key.issued_ms) is not None
    return table


def _git_commit() -> str:
    result = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or "unknown"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
