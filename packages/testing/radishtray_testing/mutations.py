"""Removes one mechanism at a time and shows whether the checker notices.

    python -m radishtray_testing.mutations [--seeds N] [--first SEED]

Each mutation is applied by patching at run time. The unchanged code runs all
seeds; a mutation runs until a seed breaks a rule.
"""

import argparse
import logging
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any, Final
from unittest import mock

from radishtray_state import (
    KeyDecision,
    KeyOwner,
    KeyRefusal,
    KeyRouter,
    KeyVerdict,
    RefusalReason,
    SlotTable,
    _key_records,
    _key_slots,
)
from radishtray_testing.key_simulation import Node, Simulation, find_violations

Patches = list[tuple[object, str, Any]]


@dataclass(frozen=True, slots=True)
class Mutation:
    """One removed or weakened mechanism."""

    name: str
    """What is removed."""

    patches: Callable[[], Patches]
    """Returns the replaced attributes."""

    faults: tuple[str, ...] = ()
    """Kinds of faults that need the mechanism; chosen by the seed if empty."""

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Applies the mutation for the time of the block."""
        active = [
            mock.patch.object(target, name, value)
            for target, name, value in self.patches()
        ]
        for patch in active:
            patch.start()
        try:
            yield
        finally:
            for patch in reversed(active):
                patch.stop()


MUTATIONS: Final[list[Mutation]] = []


def _mutation(
    name: str, *faults: str
) -> Callable[[Callable[[], Patches]], None]:
    def add(patches: Callable[[], Patches]) -> None:
        MUTATIONS.append(Mutation(name, patches, faults))

    return add


@_mutation("interval check removed")
def _no_interval_check() -> Patches:
    return [(KeyOwner, "_owns", lambda *_: True)]


@_mutation("incarnation ignored in intervals")
def _any_incarnation() -> Patches:
    set_table = KeyOwner.set_table

    def set_any(
        owner: KeyOwner[Any], service: str, version: int, table: SlotTable
    ) -> bool:
        mine = SlotTable(
            [
                replace(i, incarnation=owner.me.incarnation)
                if i.owner_id == owner.me.node_id
                else i
                for i in slot
            ]
            for slot in table.slots
        )
        return set_table(owner, service, version, mine)

    return [(KeyOwner, "set_table", set_any)]


@_mutation("max_ahead removed", "kill")
def _no_max_ahead() -> Patches:
    return [(KeyOwner, "_too_new", lambda *_: False)]


@_mutation("hand-over boundary ignores accepted keys", "planned_stop", "cut")
def _low_boundary() -> Patches:
    return [
        (KeyOwner, "highest_accepted", lambda *_: -1),
        (KeyOwner, "promise", lambda *_: True),
    ]


@_mutation(
    "hand-over does not stop accepting first", "planned_stop", "platform_cut"
)
def _accepts_while_leaving() -> Patches:
    return [
        (KeyOwner, "stop_accepting", lambda *_: None),
        (KeyOwner, "promise", lambda *_: True),
    ]


@_mutation("promise before a boundary removed", "planned_stop", "platform_cut")
def _no_promise() -> Patches:
    return [(KeyOwner, "promise", lambda *_: True)]


@_mutation("early replacement margin is zero", "kill")
def _no_margin() -> Patches:
    return [(_key_slots, "REPLACEMENT_MARGIN_MS", 0)]


@_mutation("early replacement margin without clock error", "kill")
def _small_margin() -> Patches:
    return [(_key_slots, "REPLACEMENT_MARGIN_MS", _key_slots.MAX_AHEAD_MS)]


@_mutation("silence taken as proof of death", "freeze")
def _silence_is_death() -> Patches:
    def tell(world: Simulation, node: Node) -> None:
        if node.reactor.frozen_at_s is not None:
            world.announce_death(world.running_nodes()[0], node.identity)

    return [(Simulation, "found_silent", tell)]


@_mutation("digest check removed")
def _no_digest() -> Patches:
    recorded = KeyOwner._recorded

    def any_digest(
        owner: KeyOwner[Any],
        record: "_key_records.OwnedRecord[Any]",
        _digest: bytes,
    ) -> KeyDecision[Any]:
        return recorded(owner, record, record.digest)

    return [(KeyOwner, "_recorded", any_digest)]


@_mutation("low-water mark removed")
def _no_low_water() -> Patches:
    return [(KeyOwner, "_raise_low_water", lambda *_: None)]


@_mutation("resend during the run is not joined")
def _no_join() -> Patches:
    recorded = KeyOwner._recorded

    def run_again(
        owner: KeyOwner[Any],
        record: "_key_records.OwnedRecord[Any]",
        digest: bytes,
    ) -> KeyDecision[Any]:
        decision = recorded(owner, record, digest)
        joined = decision.verdict is KeyVerdict.JOIN
        return KeyDecision(KeyVerdict.RUN) if joined else decision

    return [(KeyOwner, "_recorded", run_again)]


@_mutation("unknown outcome is forgotten")
def _no_unknown() -> Patches:
    return [(KeyOwner, "unknown", KeyOwner.not_run)]


@_mutation("lost forward is called not_run")
def _lost_is_not_run() -> Patches:
    refusal = KeyRefusal(RefusalReason.KEY_OWNER_SILENT)
    return [(KeyRouter, "lost", lambda _: refusal)]


@_mutation("resend gets a retry key")
def _resend_gets_retry_key() -> Patches:
    def refuse(
        router: KeyRouter, service: str, _key: Any, _pristine: bool
    ) -> KeyRefusal:
        retry_key = router.retry_key(service)
        return KeyRefusal(RefusalReason.KEY_OWNER_SILENT, retry_key)

    return [(KeyRouter, "_refuse", refuse)]


def find_first_violation(
    mutation: Mutation, seeds: range
) -> tuple[int, str] | None:
    """Returns the first seed that breaks a rule, and the rule."""
    for seed in seeds:
        with mutation.applied():
            found = find_violations(seed, mutation.faults)
        if found:
            return seed, found[0].rule.value
    return None


def main(arguments: list[str]) -> int:
    """Prints one line per mutation.

    Args:
        arguments: Command line without the program name.

    Returns:
        0 if the unchanged code is clean and every mutation is caught.
    """
    parser = argparse.ArgumentParser(prog="radishtray_testing.mutations")
    parser.add_argument("--seeds", type=int, default=60, help="seeds to run")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    options = parser.parse_args(arguments)
    logging.disable(logging.CRITICAL)
    seeds = range(options.first, options.first + options.seeds)
    unchanged = find_first_violation(Mutation("unchanged", list), seeds)
    print(f"unchanged: {unchanged or f'no violation in {len(seeds)} seeds'}")
    failed = unchanged is not None
    for mutation in MUTATIONS:
        caught = find_first_violation(mutation, seeds)
        if caught is None:
            failed = True
            print(f"{mutation.name}: NOT CAUGHT in {len(seeds)} seeds")
        else:
            print(f"{mutation.name}: caught, seed {caught[0]}: {caught[1]}")
        sys.stdout.flush()
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
