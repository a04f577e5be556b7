"""Removes one mechanism at a time and shows whether the checks notice.

`python -m radishtray_testing.chain_mutations [--seeds N]` prints one line per
mutation and exits with 1 if a mutation is not caught or a run without a
mutation has a violation.
"""

import argparse
import itertools
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from radishtray_state import (
    AttemptVerdict,
    CrashSuspects,
    OutstandingAttempts,
    RetryLedger,
    RetryPolicy,
    SuspectVerdict,
    _attempt_records,
    _attempts,
    _crash_suspects,
    _outstanding_attempts,
)
from radishtray_testing import crash_model
from radishtray_testing.chain_model import ChainSettings, Fault, run_chain
from radishtray_testing.crash_model import CrashSettings, run_crashes

_BUDGETS = (5, 9, 3)
_REFUSALS = (0.3, 0.6)

Patch = Callable[[], Any]

_IDS_ONLY = "ids need not increase (fence kept)"
_REDUNDANT = {
    # A second line of defence: the fence alone keeps old calls out, and the
    # model's connections do not duplicate calls. Unit tests cover it.
    _IDS_ONLY,
}

CHAIN_MUTATIONS: dict[str, tuple[Patch, ...]] = {}
CRASH_MUTATIONS: dict[str, tuple[Patch, ...]] = {}


def _patched(target: object, name: str, value: object) -> Patch:
    return lambda: mock.patch.object(target, name, value)


def _mutation(
    name: str, *patches: Patch, of: dict[str, tuple[Patch, ...]] | None = None
) -> None:
    (CHAIN_MUTATIONS if of is None else of)[name] = patches


_begin = RetryLedger.begin
_settle = RetryLedger.settle
_decide = RetryPolicy.decide
_opened = OutstandingAttempts.opened
_new_outstanding = OutstandingAttempts.__init__


def _begin_without_cost(self: Any, is_retry: bool) -> Any:
    return _begin(self, is_retry=is_retry and self.remaining == 0)


def _begin_with_a_copy(self: Any, is_retry: bool) -> Any:
    remaining = self._remaining
    grant = _begin(self, is_retry)
    if grant is not None:
        grant._share = self._remaining = remaining - is_retry
        self._outstanding = 0
    return grant


def _settle_again(self: Any, grant: Any, used: int) -> int:
    grant._is_open = True
    return _settle(self, grant, used)


def _forfeit_nothing(self: Any, grant: Any) -> None:
    _settle(self, grant, 0)


def _close_without_end(self: Any) -> int:
    return int(self._budget - self._remaining)


def _close_without_shares(self: Any) -> int:
    spent = self.spent
    self._is_closed = True
    self._remaining = 0
    return int(spent)


def _end_without_fence(self: Any) -> Any:
    token = self.token
    self.token = None
    if token is not None and token._first:
        self.past_ranges.append((token._first, token._last))
    return token


def _accept_any(self: Any, token: Any, attempt_id: int) -> bool:
    sender = token._sender
    if token._is_fenced or sender.is_running(attempt_id):
        return False
    token._last = max(attempt_id, token._last)
    token._first = token._first or attempt_id
    sender.attempts[attempt_id] = None
    self._running += 1
    return True


def _opened_by_any_receiver(self: Any, epoch: int, _: int) -> Any:
    return _opened(self, epoch, 1)


def _answered_without_match(self: Any, epoch: int, attempt_id: int) -> Any:
    attempts = {**self._earlier, **self._current}
    return attempts.get(attempt_id, next(iter(attempts.values()), None))


def _without_salt(self: Any, salt: int = 0) -> None:
    _new_outstanding(self)


def _decide_as_idempotent(self: Any, outcome: Any, **request: Any) -> Any:
    request.update(is_idempotent=True, is_at_most_once=False)
    return _decide(self, outcome, **request)


_NO_FENCE = _patched(
    _attempt_records.SenderRecord, "end_connection", _end_without_fence
)
_ANY_ID = _patched(_attempts.AttemptTable, "accept", _accept_any)


def _verdicts(**changes: AttemptVerdict) -> Patch:
    verdicts = {
        phase: changes.get(phase.value, verdict)
        for phase, verdict in _outstanding_attempts._VERDICTS.items()
    }
    return _patched(_outstanding_attempts, "_VERDICTS", verdicts)


_mutation(
    "a retry costs nothing", _patched(RetryLedger, "begin", _begin_without_cost)
)
_mutation(
    "the budget is copied, not split",
    _patched(RetryLedger, "begin", _begin_with_a_copy),
)
_mutation(
    "a share is returned more than once",
    _patched(RetryLedger, "settle", _settle_again),
)
_mutation(
    "a lost answer returns its share",
    _patched(RetryLedger, "forfeit", _forfeit_nothing),
)
_mutation(
    "a ledger stays open after the answer",
    _patched(RetryLedger, "close", _close_without_end),
)
_mutation(
    "an answer leaves out unsettled shares",
    _patched(RetryLedger, "close", _close_without_shares),
)
_mutation("older connections are not fenced (ids still increase)", _NO_FENCE)
_mutation(_IDS_ONLY, _ANY_ID)
_mutation("no fence and ids need not increase", _NO_FENCE, _ANY_ID)
_mutation(
    "dropped attempts are reported as never seen",
    _patched(
        _attempt_records.SenderRecord, "may_have_dropped", lambda *_: False
    ),
)
_mutation(
    "forgotten attempts are taken for not run",
    _verdicts(forgotten=AttemptVerdict.NOT_RUN),
)
_mutation(
    "running attempts are taken for not run",
    _verdicts(running=AttemptVerdict.NOT_RUN),
)
_mutation(
    "a new receiver process is not noticed",
    _patched(OutstandingAttempts, "opened", _opened_by_any_receiver),
)
_mutation(
    "answers are not matched by id",
    _patched(OutstandingAttempts, "answered", _answered_without_match),
)
_mutation(
    "all receivers get the same ids",
    _patched(OutstandingAttempts, "__init__", _without_salt),
)
_mutation(
    "at-most-once kinds are retried after a loss",
    _patched(RetryPolicy, "decide", _decide_as_idempotent),
)


_check = CrashSuspects.check
_crashed = CrashSuspects.upstream_crashed


def _check_without_wait(self: Any, *arguments: Any) -> SuspectVerdict:
    verdict = _check(self, *arguments)
    return SuspectVerdict.RUN if verdict is SuspectVerdict.WAIT else verdict


def _crash_blocks_all_suspects(self: Any) -> Any:
    accused = [f for f in self._in_flight if self.crashes(f)]
    changed = _crashed(self)
    for fingerprint in accused:
        self._entries[fingerprint].crashes = 2
    return changed


def _crash_blocks_nothing(self: Any) -> Any:
    changed = _crashed(self)
    for entry in changed:
        self._entries[entry.fingerprint].crashes = 1
    return changed


def _crash_spares_among_suspects(self: Any) -> Any:
    if sum(self.crashes(f) == 1 for f in self._in_flight) > 1:
        self._only_suspect = None
    return _crashed(self)


def _crash_blocks_at_once(self: Any) -> Any:
    changed = _crashed(self)
    for entry in changed:
        self._entries[entry.fingerprint].crashes = 2
    return changed


def _any_order(_: int, node_ids: list[str]) -> list[str]:
    start = next(_turns) % len(node_ids)
    return node_ids[start:] + node_ids[:start]


_turns = itertools.count()


def _crash_mutation(name: str, target: object, member: str, to: Any) -> None:
    _mutation(name, _patched(target, member, to), of=CRASH_MUTATIONS)


_crash_mutation(
    "a second crash blocks nothing",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_nothing,
)
_crash_mutation(
    "a first crash blocks",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_at_once,
)
_crash_mutation(
    "a second crash blocks all suspects in flight",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_all_suspects,
)
_crash_mutation(
    "suspects run beside each other",
    CrashSuspects,
    "check",
    _check_without_wait,
)
_crash_mutation("gossip is ignored", CrashSuspects, "merge", lambda *_: None)
_crash_mutation(
    "every sender chooses its own host for a suspect",
    crash_model,
    "suspect_hosts",
    _any_order,
)
_crash_mutation(
    "news during a run protects the crashing request",
    CrashSuspects,
    "upstream_crashed",
    _crash_spares_among_suspects,
)
_crash_mutation("crashes are remembered for 6 s", _crash_suspects, "LIMIT_S", 6)
_crash_mutation("suspects are not cleared", _crash_suspects, "_CLEARED", 1)


@contextmanager
def applied(patches: tuple[Patch, ...]) -> Iterator[None]:
    """Applies the patches of one mutation for the duration of a block."""
    active = [patch() for patch in patches]
    for patch in active:
        patch.start()
    try:
        yield
    finally:
        for patch in reversed(active):
            patch.stop()


def _fault_sets() -> list[frozenset[Fault]]:
    pairs = itertools.combinations(Fault, 2)
    return [frozenset(), *map(frozenset, pairs)]


def chain_violation(seeds: int) -> str:
    """Runs the chain with every pair of faults.

    Args:
        seeds: Seeds per pair of faults.

    Returns:
        The first violation and its run, or an empty string.
    """
    for seed in range(seeds):
        for faults in _fault_sets():
            checks = run_chain(
                ChainSettings(
                    seed,
                    faults,
                    budget=_BUDGETS[seed % len(_BUDGETS)],
                    refusals=_REFUSALS[seed % len(_REFUSALS)],
                    depth=3,
                )
            )
            if checks.violations:
                names = "+".join(sorted(fault.value for fault in faults))
                return f"{checks.violations[0]} (seed {seed}, {names})"
    return ""


def crash_violation(seeds: int) -> str:
    """Runs the model of crashing requests; see `chain_violation`."""
    for seed in range(seeds):
        is_popular = seed % 3 == 2
        checks = run_crashes(
            CrashSettings(
                seed,
                innocents=6 if is_popular else 40,
                innocent_interval_s=0.12 if is_popular else 1.0,
                chain_retry=seed % 2 == 1,
            )
        )
        if checks.violations:
            return f"{checks.violations[0]} (seed {seed})"
    return ""


def main(arguments: list[str] | None = None) -> int:
    """Runs all mutations and prints whether they are caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    seeds: int = parser.parse_args(arguments).seeds
    failures = 0
    for mutations, run in (
        (CHAIN_MUTATIONS, chain_violation),
        (CRASH_MUTATIONS, crash_violation),
    ):
        violation = run(seeds)
        failures += bool(violation)
        print(f"{'VIOLATION' if violation else 'clean':10} none  {violation}")
        for name, patches in mutations.items():
            with applied(patches):
                violation = run(seeds)
            result = "caught" if violation else "NOT CAUGHT"
            if not violation and name in _REDUNDANT:
                result = "redundant"
            failures += result == "NOT CAUGHT"
            print(f"{result:10} {name}  {violation}", flush=True)
    return min(failures, 1)


if __name__ == "__main__":
    sys.exit(main())
