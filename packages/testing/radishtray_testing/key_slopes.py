"""Measures key owners: time per offer, bytes per record, size of a table.

python -m radishtray_testing.key_slopes > docs/measurements/key_slopes.md
"""

import argparse
import platform
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Final

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

_OFFERS: Final = 50_000
_COUNTS: Final = (1_000, 10_000, 50_000)
_ROUNDS: Final = 5
_SERVICE_OWNERS: Final = 33
_ANSWER_BYTES: Final = 300
_NO_BOUND: Final = KeyBounds(max_records=1 << 30, max_bytes=1 << 40)


def main(arguments: list[str]) -> int:
    """Prints the measurements as Markdown."""
    parser = argparse.ArgumentParser(prog="radishtray_testing.key_slopes")
    parser.add_argument("--seed", type=int, default=1, help="of the keys")
    seed = parser.parse_args(arguments).seed
    print("# Key owners: time, memory and table size\n")
    print(f"Command: `python -m radishtray_testing.key_slopes --seed {seed}`")
    print(f"Commit: {_commit()}; Python {platform.python_version()}, ")
    print("processor time of one process on a shared machine.\n")
    _print_offers(seed)
    _print_memory(seed)
    _print_tables(seed)
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
