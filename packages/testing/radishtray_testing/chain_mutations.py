"""Mutation tests of the chain model and the crash model.

Each mutation disables one mechanism by patching at run time. The models then
run with several seeds, and at least one run must break an invariant.

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
    AttemptSequence,
    AttemptState,
    AttemptVerdict,
    CrashSuspects,
    OutstandingAttempts,
    RefusalReason,
    RetryLedger,
    RetryPolicy,
    SuspectVerdict,
    _attempt_records,
    _attempts,
    _crash_suspects,
    _outstanding_attempts,
)
from radishtray_testing import chain_model, crash_model
from radishtray_testing.chain_faults import Fault
from radishtray_testing.chain_model import ChainSettings, run_chain
from radishtray_testing.crash_model import CrashSettings, run_crashes

_RETRY_BUDGETS = (5, 9, 3)
_REFUSAL_PROBABILITIES = (0.3, 0.6)

PatchFactory = Callable[[], Any]

_ANY_ID_WITH_FENCE = "ids need not increase (fence kept)"
_EPOCHS_OF_LINK = "each link numbers its own connections"
_REDUNDANT_MUTATIONS = {
    # Not needed for the guarantees in this model: the fence alone rejects
    # calls from older connections, and connections do not duplicate calls.
    # Unit tests cover it.
    _ANY_ID_WITH_FENCE,
    # Receivers reject the connections of a reopened link until their epochs
    # exceed those of the earlier link. Unit tests cover the numbering.
    _EPOCHS_OF_LINK,
}

CHAIN_MUTATIONS: dict[str, tuple[PatchFactory, ...]] = {}
CRASH_MUTATIONS: dict[str, tuple[PatchFactory, ...]] = {}


def _patch_of(
    target: object, attribute: str, replacement: object
) -> PatchFactory:
    return lambda: mock.patch.object(target, attribute, replacement)


def _add_mutation(
    name: str,
    *patches: PatchFactory,
    mutations: dict[str, tuple[PatchFactory, ...]] | None = None,
) -> None:
    (CHAIN_MUTATIONS if mutations is None else mutations)[name] = patches


# The functions below replace methods of `radishtray_state` and of the model's
# client, each without one mechanism. They are typed as `Any` because they use
# private attributes.

_original_begin = RetryLedger.begin
_original_settle = RetryLedger.settle
_original_decide = RetryPolicy.decide
_original_opened = OutstandingAttempts.opened
_original_init = AttemptSequence.__init__
_original_outstanding_settle = OutstandingAttempts.settle
_original_attempts_init = OutstandingAttempts.__init__
_original_close = chain_model._Client.close


def _begin_without_cost(self: Any, is_retry: bool) -> Any:
    return _original_begin(self, is_retry=is_retry and self.remaining == 0)


def _begin_with_copied_budget(self: Any, is_retry: bool) -> Any:
    remaining = self._remaining
    grant = _original_begin(self, is_retry)
    if grant is not None:
        grant._share = self._remaining = remaining - is_retry
        self._outstanding = 0
    return grant


def _settle_repeatedly(self: Any, grant: Any, used: int) -> int:
    grant._is_open = True
    return _original_settle(self, grant, used)


def _forfeit_nothing(self: Any, grant: Any) -> None:
    _original_settle(self, grant, 0)


def _close_but_stay_open(self: Any) -> int:
    return int(self._budget - self._remaining)


def _close_without_unsettled_shares(self: Any) -> int:
    spent = self.spent
    self._is_closed = True
    self._remaining = 0
    return int(spent)


def _end_connection_without_fence(self: Any) -> Any:
    token = self.token
    self.token = None
    if token is not None and token._first:
        self.past_ranges.append((token._first, token._last))
    return token


def _accept_any_id(self: Any, token: Any, attempt_id: int) -> bool:
    sender = token._sender
    if token._is_fenced or sender.is_running(attempt_id):
        return False
    token._last = max(attempt_id, token._last)
    token._first = token._first or attempt_id
    sender.attempts[attempt_id] = None
    self._running += 1
    return True


def _opened_ignoring_incarnation(self: Any, epoch: int, _: int) -> Any:
    return _original_opened(self, epoch, 1)


def _answered_without_id_match(self: Any, epoch: int, attempt_id: int) -> Any:
    attempts = {**self._earlier, **self._current}
    return attempts.get(attempt_id, next(iter(attempts.values()), None))


def _init_without_salt(self: Any, salt: int) -> None:
    del salt
    _original_init(self, 0)


class _LinkSequence(AttemptSequence):
    """Numbers the attempts and the connections of one link from 1."""

    def __init__(self, process_sequence: Any) -> None:
        first_id = process_sequence._first_id
        super().__init__(first_id >> _outstanding_attempts._COUNTER_BITS)
        self._process_sequence = process_sequence


class _LinkSequenceOfIds(_LinkSequence):
    """Numbers only the attempts of one link from 1."""

    def next_epoch(self) -> int:
        return int(self._process_sequence.next_epoch())


class _LinkSequenceOfEpochs(_LinkSequence):
    """Numbers only the connections of one link from 1."""

    def next_id(self) -> int:
        return int(self._process_sequence.next_id())


def _patch_of_sequence(link_sequence: Callable[[Any], Any]) -> PatchFactory:
    def init(self: Any, sequence: Any) -> None:
        _original_attempts_init(self, link_sequence(sequence))

    return _patch_of(OutstandingAttempts, "__init__", init)


def _close_as_not_run(self: Any) -> None:
    for lost in self.outstanding.receiver_lost():
        lost.context.call.handle_not_run(
            lost.context, RefusalReason.NEVER_ARRIVED
        )
    _original_close(self)


def _send_cancel_of_another(self: Any, attempt: Any) -> None:
    for attempt_id in list(self.outstanding._current)[:1]:
        link = self._open_link
        if link is not None:
            link.send_to_server(
                chain_model._Cancel(attempt_id, attempt.payload.attempt_number)
            )


def _settle_without_id_match(self: Any, epoch: int, states: Any) -> Any:
    attempt_ids = reversed(self._earlier)
    return _original_outstanding_settle(
        self,
        epoch,
        [
            AttemptState(attempt_id, state.phase, state.answer)
            for attempt_id, state in zip(attempt_ids, states, strict=False)
        ],
    )


def _decide_as_idempotent(self: Any, outcome: Any, **request: Any) -> Any:
    request.update(is_idempotent=True, is_at_most_once=False)
    return _original_decide(self, outcome, **request)


_NO_FENCE = _patch_of(
    _attempt_records.SenderRecord,
    "end_connection",
    _end_connection_without_fence,
)
_ACCEPT_ANY_ID = _patch_of(_attempts.AttemptTable, "accept", _accept_any_id)


def _patch_of_verdicts(**verdict_by_phase: AttemptVerdict) -> PatchFactory:
    verdicts = {
        phase: verdict_by_phase.get(phase.value, verdict)
        for phase, verdict in _outstanding_attempts._VERDICTS.items()
    }
    return _patch_of(_outstanding_attempts, "_VERDICTS", verdicts)


_add_mutation(
    "a retry costs nothing",
    _patch_of(RetryLedger, "begin", _begin_without_cost),
)
_add_mutation(
    "the budget is copied, not split",
    _patch_of(RetryLedger, "begin", _begin_with_copied_budget),
)
_add_mutation(
    "a share is returned more than once",
    _patch_of(RetryLedger, "settle", _settle_repeatedly),
)
_add_mutation(
    "a lost answer returns its share",
    _patch_of(RetryLedger, "forfeit", _forfeit_nothing),
)
_add_mutation(
    "a ledger stays open after the answer",
    _patch_of(RetryLedger, "close", _close_but_stay_open),
)
_add_mutation(
    "an answer leaves out unsettled shares",
    _patch_of(RetryLedger, "close", _close_without_unsettled_shares),
)
_add_mutation(
    "older connections are not fenced (ids still increase)", _NO_FENCE
)
_add_mutation(_ANY_ID_WITH_FENCE, _ACCEPT_ANY_ID)
_add_mutation("no fence and ids need not increase", _NO_FENCE, _ACCEPT_ANY_ID)
_add_mutation(
    "dropped attempts are reported as never seen",
    _patch_of(
        _attempt_records.SenderRecord, "may_have_dropped", lambda *_: False
    ),
)
_add_mutation(
    "forgotten attempts are taken for not run",
    _patch_of_verdicts(forgotten=AttemptVerdict.NOT_RUN),
)
_add_mutation(
    "running attempts are taken for not run",
    _patch_of_verdicts(running=AttemptVerdict.NOT_RUN),
)
_add_mutation(
    "a new receiver process is not noticed",
    _patch_of(OutstandingAttempts, "opened", _opened_ignoring_incarnation),
)
_add_mutation(
    "answers are not matched by id",
    _patch_of(OutstandingAttempts, "answered", _answered_without_id_match),
)
_add_mutation(
    "all senders use the same ids",
    _patch_of(AttemptSequence, "__init__", _init_without_salt),
)
_add_mutation(
    "each link numbers its own attempts and connections",
    _patch_of_sequence(_LinkSequence),
)
_add_mutation(
    "each link numbers its own attempts",
    _patch_of_sequence(_LinkSequenceOfIds),
)
_add_mutation(_EPOCHS_OF_LINK, _patch_of_sequence(_LinkSequenceOfEpochs))
_add_mutation(
    "attempts of a closed link are taken for not run",
    _patch_of(chain_model._Client, "close", _close_as_not_run),
)
_add_mutation(
    "cancellations are not matched by id",
    _patch_of(chain_model._Client, "send_cancel", _send_cancel_of_another),
)
_add_mutation(
    "states in the answer to a query are not matched by id",
    _patch_of(OutstandingAttempts, "settle", _settle_without_id_match),
)
_add_mutation(
    "at-most-once kinds are retried after a loss",
    _patch_of(RetryPolicy, "decide", _decide_as_idempotent),
)


_original_check = CrashSuspects.check
_original_upstream_crashed = CrashSuspects.upstream_crashed


def _check_without_wait(self: Any, *arguments: Any) -> SuspectVerdict:
    verdict = _original_check(self, *arguments)
    return SuspectVerdict.RUN if verdict is SuspectVerdict.WAIT else verdict


def _crash_blocks_all_suspects(self: Any) -> Any:
    suspects = [f for f in self._in_flight if self.crashes(f)]
    changed_entries = _original_upstream_crashed(self)
    for fingerprint in suspects:
        self._entries[fingerprint].crashes = 2
    return changed_entries


def _crash_blocks_nothing(self: Any) -> Any:
    changed_entries = _original_upstream_crashed(self)
    for entry in changed_entries:
        self._entries[entry.fingerprint].crashes = 1
    return changed_entries


def _crash_blocks_no_concurrent_suspect(self: Any) -> Any:
    if sum(self.crashes(f) == 1 for f in self._in_flight) > 1:
        self._only_suspect = None
    return _original_upstream_crashed(self)


def _crash_blocks_all_in_flight(self: Any) -> Any:
    changed_entries = _original_upstream_crashed(self)
    for entry in changed_entries:
        self._entries[entry.fingerprint].crashes = 2
    return changed_entries


def _rotated_order(_: int, node_ids: list[str]) -> list[str]:
    start = next(_rotation_offsets) % len(node_ids)
    return node_ids[start:] + node_ids[:start]


_rotation_offsets = itertools.count()


def _add_crash_mutation(
    name: str, target: object, attribute: str, replacement: Any
) -> None:
    _add_mutation(
        name,
        _patch_of(target, attribute, replacement),
        mutations=CRASH_MUTATIONS,
    )


_add_crash_mutation(
    "a second crash blocks nothing",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_nothing,
)
_add_crash_mutation(
    "a first crash blocks",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_all_in_flight,
)
_add_crash_mutation(
    "a second crash blocks all suspects in flight",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_all_suspects,
)
_add_crash_mutation(
    "suspects run beside each other",
    CrashSuspects,
    "check",
    _check_without_wait,
)
_add_crash_mutation(
    "gossip is ignored", CrashSuspects, "merge", lambda *_: None
)
_add_crash_mutation(
    "every sender chooses its own host for a suspect",
    crash_model,
    "suspect_hosts",
    _rotated_order,
)
_add_crash_mutation(
    "news during a run protects the crashing request",
    CrashSuspects,
    "upstream_crashed",
    _crash_blocks_no_concurrent_suspect,
)
_add_crash_mutation(
    "crashes are remembered for 6 s", _crash_suspects, "LIMIT_S", 6
)
_add_crash_mutation("suspects are not cleared", _crash_suspects, "_CLEARED", 1)


@contextmanager
def applied(patches: tuple[PatchFactory, ...]) -> Iterator[None]:
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


def find_chain_violation(seeds: int) -> str:
    """Runs the chain model without faults and with every pair of faults.

    Args:
        seeds: Number of seeds per set of faults.

    Returns:
        The first violation with its seed and faults, or an empty string.
    """
    for seed in range(seeds):
        for faults in _fault_sets():
            checks = run_chain(
                ChainSettings(
                    seed,
                    faults,
                    retry_budget=_RETRY_BUDGETS[seed % len(_RETRY_BUDGETS)],
                    refusal_probability=_REFUSAL_PROBABILITIES[
                        seed % len(_REFUSAL_PROBABILITIES)
                    ],
                    depth=3,
                )
            )
            if checks.violations:
                names = "+".join(sorted(fault.value for fault in faults))
                return f"{checks.violations[0]} (seed {seed}, {names})"
    return ""


def find_crash_violation(seeds: int) -> str:
    """Runs the crash model; see `find_chain_violation`."""
    for seed in range(seeds):
        is_frequent = seed % 3 == 2
        checks = run_crashes(
            CrashSettings(
                seed,
                harmless_contents=6 if is_frequent else 40,
                harmless_interval_s=0.12 if is_frequent else 1.0,
                retries_before_gossip=seed % 2 == 1,
            )
        )
        if checks.violations:
            return f"{checks.violations[0]} (seed {seed})"
    return ""


def main(arguments: list[str] | None = None) -> int:
    """Runs all mutations and prints whether the checks catch them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    seeds: int = parser.parse_args(arguments).seeds
    failures = 0
    for mutations, find_violation in (
        (CHAIN_MUTATIONS, find_chain_violation),
        (CRASH_MUTATIONS, find_crash_violation),
    ):
        violation = find_violation(seeds)
        failures += bool(violation)
        print(f"{'VIOLATION' if violation else 'clean':10} none  {violation}")
        for name, patches in mutations.items():
            with applied(patches):
                violation = find_violation(seeds)
            result = "caught" if violation else "NOT CAUGHT"
            if not violation and name in _REDUNDANT_MUTATIONS:
                result = "redundant"
            failures += result == "NOT CAUGHT"
            print(f"{result:10} {name}  {violation}", flush=True)
    return min(failures, 1)


if __name__ == "__main__":
    sys.exit(main())
