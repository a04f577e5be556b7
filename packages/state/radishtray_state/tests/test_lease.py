"""Guards leases against two holders and against roles that stay empty."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from radishtray_state import (
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
    ManualClock,
)

LEASE_S = 9.0
NODES = 3
INDEXES = st.integers(0, NODES - 1)


class LeaseMachine(RuleBasedStateMachine):
    """Observers against one object with pauses and lost answers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.observers = [
            LeaseObserver(self.clock, f"n{i}", i, LEASE_S) for i in range(NODES)
        ]
        self.record: LeaseRecord | None = None
        self.version: int | None = None
        self.pending: dict[int, LeaseDecision] = {}
        self.late: list[LeaseDecision] = []

    @rule(seconds=st.sampled_from([0.5, 3.0, 8.9, 20.0]))
    def time_passes(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(index=INDEXES)
    def step(self, index: int) -> None:
        """One decision; a write stays on its way until `arrive`."""
        if index in self.pending:
            return
        observer = self.observers[index]
        decision = observer.decide()
        if decision.action is LeaseAction.READ:
            observer.observed(self.record, self.version)
        elif decision.action is not LeaseAction.WAIT:
            assert decision.record is not None
            observer.write_started(decision.record)
            self.pending[index] = decision

    @rule(index=INDEXES, answer_lost=st.booleans())
    def arrive(self, index: int, answer_lost: bool) -> None:
        decision = self.pending.pop(index, None)
        if decision is None:
            return
        observer = self.observers[index]
        applied = self.apply(decision)
        if answer_lost:
            observer.write_unknown()
        elif applied:
            assert self.version is not None
            observer.write_succeeded(self.version)
        else:
            observer.write_rejected()

    @rule(index=INDEXES)
    def give_up(self, index: int) -> None:
        """The caller stops waiting; the write may arrive much later."""
        decision = self.pending.pop(index, None)
        if decision is not None:
            self.observers[index].write_unknown()
            self.late.append(decision)

    @rule()
    def late_write_arrives(self) -> None:
        if self.late:
            self.apply(self.late.pop(0))

    def apply(self, decision: LeaseDecision) -> bool:
        if decision.version != self.version:
            return False
        self.record = decision.record
        self.version = (self.version or 0) + 1
        return True

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.pending.pop(index, None)
        self.observers[index] = LeaseObserver(
            self.clock, f"n{index}", index + NODES, LEASE_S
        )

    @invariant()
    def at_most_one_holder(self) -> None:
        assert sum(observer.holds for observer in self.observers) <= 1

    def teardown(self) -> None:
        """A lease that nobody keeps must be taken by whoever stays."""
        self.pending.clear()
        observer = self.observers[0]
        observer.write_unknown()
        for _ in range(8):
            self.step(0)
            self.arrive(0, False)
            if observer.holds:
                return
            self.clock.advance(LEASE_S / 2 + 0.1)
        raise AssertionError("the lease was not taken over")


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    deadline=None, derandomize=True, max_examples=150, stateful_step_count=40
)


def holder(clock: ManualClock) -> LeaseObserver:
    observer = LeaseObserver(clock, "a", 1, LEASE_S)
    observer.observed(None, None)
    decision = observer.decide()
    assert decision.action is LeaseAction.TAKE_OVER
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_succeeded(1)
    return observer


def test_lease_counts_from_before_the_write() -> None:
    """A slow answer must not lengthen the lease beyond what others see."""
    clock = ManualClock()
    observer = LeaseObserver(clock, "a", 1, LEASE_S)
    observer.observed(None, None)
    observer.write_started(LeaseRecord("a", 1, 1))
    clock.advance(LEASE_S - 1)
    observer.write_succeeded(1)
    assert observer.holds
    clock.advance(1)
    assert not observer.holds


def test_conflict_fences_a_holder() -> None:
    """A holder paused past its lease learns it by its conditional write."""
    clock = ManualClock()
    observer = holder(clock)
    clock.advance(3.1)
    assert observer.decide().action is LeaseAction.RENEW
    observer.write_started(LeaseRecord("a", 1, 1))
    observer.write_rejected()
    assert not observer.holds
    assert observer.decide().action is LeaseAction.READ


def test_released_lease_is_taken_at_once_with_a_new_term() -> None:
    observer = LeaseObserver(ManualClock(), "b", 1, LEASE_S)
    observer.observed(LeaseRecord("", 0, 7), 12)
    decision = observer.decide()
    assert decision.action is LeaseAction.TAKE_OVER
    assert decision.version == 12
    assert decision.record == LeaseRecord("b", 1, 8)


def test_renewed_foreign_lease_costs_a_read_and_no_write() -> None:
    """Candidates that write blindly would use up the platform's writes."""
    clock = ManualClock()
    observer = LeaseObserver(clock, "b", 1, LEASE_S)
    observer.observed(LeaseRecord("a", 1, 1), 4)
    clock.advance(LEASE_S)
    assert observer.decide().action is LeaseAction.READ
    observer.observed(LeaseRecord("a", 1, 1), 5)
    assert observer.decide().action is LeaseAction.WAIT


def test_earlier_incarnation_of_a_node_is_a_foreign_holder() -> None:
    """A restarted node must not act on the lease of its predecessor."""
    observer = LeaseObserver(ManualClock(), "a", 2, LEASE_S)
    observer.observed(LeaseRecord("a", 1, 1), 4)
    assert observer.decide().action is LeaseAction.WAIT


def test_lost_renewal_that_had_no_effect_does_not_lengthen_the_lease() -> None:
    """Others saw no new version and take over when the old lease ends."""
    clock = ManualClock()
    observer = holder(clock)
    clock.advance(4)
    decision = observer.decide()
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_unknown()
    observer.observed(decision.record, 1)
    clock.advance(LEASE_S - 4)
    assert not observer.holds


def test_lost_renewal_that_took_effect_counts_from_its_start() -> None:
    clock = ManualClock()
    observer = holder(clock)
    clock.advance(4)
    decision = observer.decide()
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_unknown()
    observer.observed(decision.record, 2)
    clock.advance(LEASE_S - 1)
    assert observer.holds
    clock.advance(1)
    assert not observer.holds
