"""Mutation tests of the mechanisms behind at-most-once requests.

    python -m radishtray_testing.mutations [--seeds N] [--first SEED]

Each mutation removes or weakens one mechanism by patching it at run time, and
the key simulation must then break a rule of the history checker. The unchanged
code runs all seeds and must break none; a mutation runs until a seed breaks a
rule.
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
"""Objects, names of their attributes, and the replacement values."""


@dataclass(frozen=True, slots=True)
class Mutation:
    """One removed or weakened mechanism."""

    name: str
    """What is removed or weakened; printed, and used as a test id."""

    patches: Callable[[], Patches]
    """Returns the attributes to replace."""

    fault_kinds: tuple[str, ...] = ()
    """Kinds of faults that need the mechanism; drawn by the seed if empty."""

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Applies the mutation within the `with` block."""
        patchers = [
            mock.patch.object(target, name, value)
            for target, name, value in self.patches()
        ]
        for patcher in patchers:
            patcher.start()
        try:
            yield
        finally:
            for patcher in reversed(patchers):
                patcher.stop()


MUTATIONS: Final[list[Mutation]] = []


def _register_mutation(
    name: str, *fault_kinds: str
) -> Callable[[Callable[[], Patches]], None]:
    def register(patches: Callable[[], Patches]) -> None:
        MUTATIONS.append(Mutation(name, patches, fault_kinds))

    return register


@_register_mutation("interval check removed")
def _no_interval_check() -> Patches:
    return [(KeyOwner, "_owns", lambda *_: True)]


@_register_mutation("incarnation ignored in intervals")
def _any_incarnation() -> Patches:
    original_set_table = KeyOwner.set_table

    def set_table_with_own_incarnation(
        owner: KeyOwner[Any], service: str, version: int, table: SlotTable
    ) -> bool:
        own_table = SlotTable(
            [
                replace(i, incarnation=owner.identity.incarnation)
                if i.owner_id == owner.identity.node_id
                else i
                for i in slot
            ]
            for slot in table.slots
        )
        return original_set_table(owner, service, version, own_table)

    return [(KeyOwner, "set_table", set_table_with_own_incarnation)]


@_register_mutation("max_ahead removed", "kill")
def _no_max_ahead() -> Patches:
    return [(KeyOwner, "_too_new", lambda *_: False)]


@_register_mutation(
    "hand-over boundary ignores accepted keys", "planned_stop", "cut"
)
def _boundary_ignores_accepted_keys() -> Patches:
    return [
        (KeyOwner, "highest_accepted", lambda *_: -1),
        (KeyOwner, "promise", lambda *_: True),
    ]


@_register_mutation(
    "hand-over does not stop accepting first", "planned_stop", "platform_cut"
)
def _accepts_while_leaving() -> Patches:
    return [
        (KeyOwner, "stop_accepting", lambda *_: None),
        (KeyOwner, "promise", lambda *_: True),
    ]


@_register_mutation(
    "promise before a boundary removed", "planned_stop", "platform_cut"
)
def _no_promise() -> Patches:
    return [(KeyOwner, "promise", lambda *_: True)]


@_register_mutation("early replacement margin is zero", "kill")
def _no_replacement_margin() -> Patches:
    return [(_key_slots, "REPLACEMENT_MARGIN_MS", 0)]


@_register_mutation("early replacement margin without clock error", "kill")
def _margin_without_clock_error() -> Patches:
    return [(_key_slots, "REPLACEMENT_MARGIN_MS", _key_slots.MAX_AHEAD_MS)]


@_register_mutation("silence taken as proof of death", "freeze")
def _silence_proves_death() -> Patches:
    def announce_frozen_node(simulation: Simulation, node: Node) -> None:
        if node.reactor.frozen_at_s is not None:
            simulation.announce_death(
                simulation.running_nodes()[0], node.identity
            )

    return [(Simulation, "found_silent", announce_frozen_node)]


@_register_mutation("digest check removed")
def _no_digest_check() -> Patches:
    original_recorded = KeyOwner._recorded

    def ignore_digest(
        owner: KeyOwner[Any],
        record: "_key_records.OwnedRecord[Any]",
        _digest: bytes,
    ) -> KeyDecision[Any]:
        return original_recorded(owner, record, record.digest)

    return [(KeyOwner, "_recorded", ignore_digest)]


@_register_mutation("low-water mark removed")
def _no_low_water_mark() -> Patches:
    return [(KeyOwner, "_raise_low_water", lambda *_: None)]


@_register_mutation("resend during the run is not joined")
def _no_join() -> Patches:
    original_recorded = KeyOwner._recorded

    def run_again(
        owner: KeyOwner[Any],
        record: "_key_records.OwnedRecord[Any]",
        digest: bytes,
    ) -> KeyDecision[Any]:
        decision = original_recorded(owner, record, digest)
        is_join = decision.verdict is KeyVerdict.JOIN
        return KeyDecision(KeyVerdict.RUN) if is_join else decision

    return [(KeyOwner, "_recorded", run_again)]


@_register_mutation("unknown outcome is forgotten")
def _no_unknown_outcome() -> Patches:
    return [(KeyOwner, "unknown", KeyOwner.not_run)]


@_register_mutation("lost forward is called not_run")
def _lost_is_not_run() -> Patches:
    refusal = KeyRefusal(RefusalReason.KEY_OWNER_SILENT)
    return [(KeyRouter, "lost", lambda _: refusal)]


@_register_mutation("resend gets a retry key")
def _resend_gets_retry_key() -> Patches:
    def refuse(
        router: KeyRouter, service: str, _key: Any, _is_first_send: bool
    ) -> KeyRefusal:
        retry_key = router.retry_key(service)
        return KeyRefusal(RefusalReason.KEY_OWNER_SILENT, retry_key)

    return [(KeyRouter, "_refuse", refuse)]


def find_first_violation(
    mutation: Mutation, seeds: range
) -> tuple[int, str] | None:
    """Returns the first seed that breaks a rule and the text of the rule."""
    for seed in seeds:
        with mutation.applied():
            violations = find_violations(seed, mutation.fault_kinds)
        if violations:
            return seed, violations[0].rule.value
    return None


def main(arguments: list[str]) -> int:
    """Runs all mutations and prints one line for each.

    Args:
        arguments: Command line without the program name.

    Returns:
        0 if the unchanged code breaks no rule and every mutation breaks one.
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
