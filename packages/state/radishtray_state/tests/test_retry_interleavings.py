"""Retry budget of a call chain under random interleavings of its ledgers.

Guards against units that are spent twice, because an answer arrives late, more
than once, with a false count or at the wrong ledger.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

from radishtray_state import AttemptGrant, RetryLedger

_BUDGET = 7
_Running = tuple[RetryLedger, AttemptGrant, RetryLedger]


class LedgerTree(RuleBasedStateMachine):
    """A tree of ledgers; answers may be lost, late, duplicated or false."""

    ledgers = Bundle("ledgers")
    running = Bundle("running")

    def __init__(self) -> None:
        """Starts with the root's ledger."""
        super().__init__()
        self.root = RetryLedger(_BUDGET)
        self.all_ledgers = [self.root]
        self.retries = 0

    @rule(target=ledgers)
    def provide_root(self) -> RetryLedger:
        return self.root

    @rule(target=running, ledger=ledgers, is_retry=st.booleans())
    def begin_attempt(self, ledger: RetryLedger, is_retry: bool) -> object:
        grant = ledger.begin(is_retry)
        if grant is None:
            return multiple()
        self.retries += is_retry
        child = RetryLedger(grant.share)
        self.all_ledgers.append(child)
        return (ledger, grant, child)

    @rule(target=ledgers, run=running)
    def start_run(self, run: _Running) -> RetryLedger:
        return run[2]

    @rule(run=running)
    def answer(self, run: _Running) -> None:
        parent, grant, child = run
        parent.settle(grant, child.close())

    @rule(run=running)
    def lose_answer(self, run: _Running) -> None:
        run[0].forfeit(run[1])

    @rule(
        run=running,
        used=st.sampled_from([-1, _BUDGET + 1, 2**15]),
    )
    def answer_with_false_count(self, run: _Running, used: int) -> None:
        assert run[0].settle(run[1], used) == 0

    @rule(run=running, other=ledgers)
    def settle_at_wrong_ledger(self, run: _Running, other: RetryLedger) -> None:
        if other is not run[0]:
            assert other.settle(run[1], 0) == 0

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        assert self.retries <= _BUDGET
        assert all(ledger.remaining >= 0 for ledger in self.all_ledgers)


TestChain = LedgerTree.TestCase
TestChain.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
