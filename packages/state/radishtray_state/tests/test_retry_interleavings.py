"""Guards the budget of a chain under every interleaving of its ledgers."""

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


class Chain(RuleBasedStateMachine):
    """A tree of ledgers; answers may be lost, late, repeated or false."""

    ledgers = Bundle("ledgers")
    running = Bundle("running")

    def __init__(self) -> None:
        """Starts with the root's ledger."""
        super().__init__()
        self.root = RetryLedger(_BUDGET)
        self.all = [self.root]
        self.retries = 0

    @rule(target=ledgers)
    def request(self) -> RetryLedger:
        return self.root

    @rule(target=running, ledger=ledgers, is_retry=st.booleans())
    def attempt(self, ledger: RetryLedger, is_retry: bool) -> object:
        grant = ledger.begin(is_retry)
        if grant is None:
            return multiple()
        self.retries += is_retry
        child = RetryLedger(grant.share)
        self.all.append(child)
        return (ledger, grant, child)

    @rule(target=ledgers, run=running)
    def runs(self, run: _Running) -> RetryLedger:
        return run[2]

    @rule(run=running)
    def answers(self, run: _Running) -> None:
        parent, grant, child = run
        parent.settle(grant, child.close())

    @rule(run=running)
    def loses(self, run: _Running) -> None:
        run[0].forfeit(run[1])

    @rule(
        run=running,
        used=st.sampled_from([-1, _BUDGET + 1, 2**15]),
    )
    def answers_falsely(self, run: _Running, used: int) -> None:
        assert run[0].settle(run[1], used) == 0

    @rule(run=running, other=ledgers)
    def settles_elsewhere(self, run: _Running, other: RetryLedger) -> None:
        if other is not run[0]:
            assert other.settle(run[1], 0) == 0

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        assert self.retries <= _BUDGET
        assert all(ledger.remaining >= 0 for ledger in self.all)


TestChain = Chain.TestCase
TestChain.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
