"""Tests that a lease has at most one holder and is taken over when it ends."""

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
NODE_INDEXES = st.integers(0, NODES - 1)


class LeaseMachine(RuleBasedStateMachine):
    """Observers of one object, with delayed writes, lost answers and restarts.

    Two nodes could hold the lease at once, or none could take it over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.observers = [
            LeaseObserver(self.clock, f"n{i}", i, LEASE_S) for i in range(NODES)
        ]
        self.record: LeaseRecord | None = None
        self.version: int | None = None
        self.pending_writes: dict[int, LeaseDecision] = {}
        self.late_writes: list[LeaseDecision] = []

    @rule(seconds=st.sampled_from([0.5, 3.0, 8.9, 20.0]))
    def advance_clock(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(index=NODE_INDEXES)
    def decide(self, index: int) -> None:
        """Executes one decision; a write is pending until `answer_write`."""
        if index in self.pending_writes:
            return
        observer = self.observers[index]
        decision = observer.decide()
        if decision.action is LeaseAction.READ:
            observer.read_succeeded(self.record, self.version)
        elif decision.action is not LeaseAction.WAIT:
            assert decision.record is not None
            observer.write_started(decision.record)
            self.pending_writes[index] = decision

    @rule(index=NODE_INDEXES, answer_lost=st.booleans())
    def answer_write(self, index: int, answer_lost: bool) -> None:
        decision = self.pending_writes.pop(index, None)
        if decision is None:
            return
        observer = self.observers[index]
        applied = self.apply_write(decision)
        if answer_lost:
            observer.write_outcome_unknown()
        elif applied:
            assert self.version is not None
            observer.write_succeeded(self.version)
        else:
            observer.write_rejected()

    @rule(index=NODE_INDEXES)
    def abandon_write(self, index: int) -> None:
        """The caller stops waiting, but the write may be applied later."""
        decision = self.pending_writes.pop(index, None)
        if decision is not None:
            self.observers[index].write_outcome_unknown()
            self.late_writes.append(decision)

    @rule()
    def apply_late_write(self) -> None:
        if self.late_writes:
            self.apply_write(self.late_writes.pop(0))

    def apply_write(self, decision: LeaseDecision) -> bool:
        if decision.version != self.version:
            return False
        self.record = decision.record
        self.version = (self.version or 0) + 1
        return True

    @rule(index=NODE_INDEXES)
    def restart(self, index: int) -> None:
        self.pending_writes.pop(index, None)
        self.observers[index] = LeaseObserver(
            self.clock, f"n{index}", index + NODES, LEASE_S
        )

    @invariant()
    def at_most_one_holder(self) -> None:
        assert sum(observer.holds for observer in self.observers) <= 1

    def teardown(self) -> None:
        """Checks that a remaining node takes over a lease that expired."""
        self.pending_writes.clear()
        observer = self.observers[0]
        observer.write_outcome_unknown()
        for _ in range(8):
            self.decide(0)
            self.answer_write(0, False)
            if observer.holds:
                return
            self.clock.advance(LEASE_S / 2 + 0.1)
        raise AssertionError("the lease was not taken over")


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    deadline=None, derandomize=True, max_examples=150, stateful_step_count=40
)


def holding_observer(clock: ManualClock) -> LeaseObserver:
    observer = LeaseObserver(clock, "a", 1, LEASE_S)
    observer.read_succeeded(None, None)
    decision = observer.decide()
    assert decision.action is LeaseAction.TAKE_OVER
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_succeeded(1)
    return observer


def test_lease_time_starts_before_the_write() -> None:
    """A slow answer must not extend the lease after others see it expire."""
    clock = ManualClock()
    observer = LeaseObserver(clock, "a", 1, LEASE_S)
    observer.read_succeeded(None, None)
    observer.write_started(LeaseRecord("a", 1, 1))
    clock.advance(LEASE_S - 1)
    observer.write_succeeded(1)
    assert observer.holds
    clock.advance(1)
    assert not observer.holds


def test_conflict_fences_a_holder() -> None:
    """A holder paused past its expiry must stop when its write is rejected."""
    clock = ManualClock()
    observer = holding_observer(clock)
    clock.advance(3.1)
    assert observer.decide().action is LeaseAction.RENEW
    observer.write_started(LeaseRecord("a", 1, 1))
    observer.write_rejected()
    assert not observer.holds
    assert observer.decide().action is LeaseAction.READ


def test_released_lease_is_taken_at_once_with_a_new_term() -> None:
    observer = LeaseObserver(ManualClock(), "b", 1, LEASE_S)
    observer.read_succeeded(LeaseRecord("", 0, 7), 12)
    decision = observer.decide()
    assert decision.action is LeaseAction.TAKE_OVER
    assert decision.version == 12
    assert decision.record == LeaseRecord("b", 1, 8)


def test_renewed_lease_of_another_node_causes_a_read_and_no_write() -> None:
    """Writes by each candidate would use up the platform's write capacity."""
    clock = ManualClock()
    observer = LeaseObserver(clock, "b", 1, LEASE_S)
    observer.read_succeeded(LeaseRecord("a", 1, 1), 4)
    clock.advance(LEASE_S)
    assert observer.decide().action is LeaseAction.READ
    observer.read_succeeded(LeaseRecord("a", 1, 1), 5)
    assert observer.decide().action is LeaseAction.WAIT


def test_earlier_incarnation_of_a_node_is_another_holder() -> None:
    """A restarted node must not use the lease of its earlier process."""
    observer = LeaseObserver(ManualClock(), "a", 2, LEASE_S)
    observer.read_succeeded(LeaseRecord("a", 1, 1), 4)
    assert observer.decide().action is LeaseAction.WAIT


def test_lost_renewal_without_effect_does_not_extend_the_lease() -> None:
    """Others saw no new version, so they take over when the old lease ends."""
    clock = ManualClock()
    observer = holding_observer(clock)
    clock.advance(4)
    decision = observer.decide()
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_outcome_unknown()
    observer.read_succeeded(decision.record, 1)
    clock.advance(LEASE_S - 4)
    assert not observer.holds


def test_lost_renewal_that_took_effect_extends_the_lease_from_its_start() -> (
    None
):
    clock = ManualClock()
    observer = holding_observer(clock)
    clock.advance(4)
    decision = observer.decide()
    assert decision.record is not None
    observer.write_started(decision.record)
    observer.write_outcome_unknown()
    observer.read_succeeded(decision.record, 2)
    clock.advance(LEASE_S - 1)
    assert observer.holds
    clock.advance(1)
    assert not observer.holds
