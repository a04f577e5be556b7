"""Use of a learned limit by admission control and by senders.

Guards against a learned limit that is not kept, that outlives its upstream or
its report, and against any difference without one.
"""

import random

import pytest

from radishtray_state import (
    AdmissionController,
    Candidate,
    ManualClock,
    ObservedRun,
    ParentRequest,
    Ticket,
    UpstreamSelector,
)

SLOTS = 10


class ScriptedLearner:
    """A learner that states a given limit after each run.

    Attributes:
        limit: Limit that it states.
        slots: Slots of the last reset.
        finished: Concurrency and waiting time of the runs that have ended.
        abandoned: Runs that ended without a service time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.slots = 0
        self.finished: list[tuple[int, float]] = []
        self.abandoned = 0

    def reset(self, slots: int) -> None:
        self.slots = slots

    def begin(self, kind: str, concurrency: int, now_s: float) -> ObservedRun:
        return ObservedRun(kind, concurrency, now_s, 0)

    def finish(self, run: ObservedRun, now_s: float, waited_s: float) -> int:
        del now_s
        self.finished.append((run.concurrency, waited_s))
        return self.limit

    def abandon(self, run: ObservedRun) -> None:
        del run
        self.abandoned += 1


class Bench:
    """An admission controller with a scripted learner and a full queue."""

    def __init__(self, limit: int) -> None:
        self.clock = ManualClock()
        self.learner = ScriptedLearner(limit)
        self.admission = AdmissionController(
            self.clock, random.Random(1), SLOTS, learner=self.learner
        )
        self.running: list[Ticket] = []

    def submit(self, count: int) -> None:
        for _ in range(count):
            self._submit_one()

    def _submit_one(self) -> None:
        ticket = Ticket(
            500,
            self.clock.monotonic() + 100.0,
            lambda: self.running.append(ticket),
            lambda _reason: None,
        )
        self.admission.submit(ticket)

    def finish(self, service_s: float | None = 0.1) -> None:
        self.admission.finish(self.running.pop(0), service_s, 0.05)


def test_lowered_limit_is_kept_and_running_requests_continue() -> None:
    bench = Bench(limit=4)
    bench.submit(20)
    assert bench.admission.in_flight == SLOTS
    for in_flight in (9, 8, 7, 6, 5, 4, 4, 4):
        bench.finish()
        assert bench.admission.in_flight == in_flight
    assert bench.learner.finished[0] == (1, 0.05)
    assert bench.learner.finished[SLOTS - 1 - 2] == (8, 0.05)


@pytest.mark.parametrize("limit", [SLOTS, 1000])
def test_limit_is_never_above_the_slots(limit: int) -> None:
    bench = Bench(limit)
    bench.submit(20)
    for _ in range(5):
        bench.finish()
        assert bench.admission.in_flight == SLOTS


def test_new_slots_discard_the_learned_limit() -> None:
    bench = Bench(limit=2)
    bench.submit(30)
    while bench.admission.in_flight > 2:
        bench.finish()
    bench.admission.set_slots(8)
    assert bench.learner.slots == 8
    assert bench.admission.in_flight == 8


def test_run_without_a_service_time_teaches_nothing() -> None:
    bench = Bench(limit=2)
    bench.submit(20)
    bench.finish(service_s=None)
    assert (bench.learner.finished, bench.learner.abandoned) == ([], 1)
    assert bench.admission.in_flight == SLOTS


def test_cold_start_is_not_above_the_learned_limit() -> None:
    bench = Bench(limit=3)
    bench.admission.begin_cold_start(10.0)
    bench.submit(30)
    bench.finish()
    bench.clock.advance(9.0)
    bench.admission.expire()
    assert bench.admission.in_flight == 3


# Name: learned slots that `a1` states, seconds since then, least and greatest
# share of the choices that it gets. Both nodes state the same load.
REPORTS: dict[str, tuple[int | None, float, float, float]] = {
    "none": (None, 0.0, 0.45, 0.55),
    "half of the stated slots": (20, 0.0, 0.0, 0.25),
    "more than the stated slots": (400, 0.0, 0.45, 0.55),
    "out of range": (0, 0.0, 0.45, 0.55),
    "stale": (20, 10.1, 0.45, 0.55),
}


@pytest.mark.parametrize("name", REPORTS)
def test_senders_use_learned_slots_until_they_are_stale(name: str) -> None:
    learned_slots, age_s, least, greatest = REPORTS[name]
    clock = ManualClock()
    selector = UpstreamSelector(clock, random.Random(1), "a")
    selector.set_candidates("s", [Candidate(n, "a", 40) for n in ("a1", "a2")])

    def answer(node: str, learned: int | None) -> None:
        selector.record_sent(node)
        selector.record_answer(
            node, 0.02, 0, 30, 0.0, reason=None, learned_slots=learned
        )

    answer("a1", learned_slots)
    clock.advance(age_s)
    if age_s:
        # Load is as fresh as at the other node, but the slots are old.
        peer = selector._peers["a1"]
        peer._load_reported_at = clock.monotonic()
    answer("a2", None)
    picks = [selector.choose("s", 100) for _ in range(2000)]
    assert least <= picks.count("a1") / len(picks) <= greatest


def test_answer_without_learned_slots_ends_an_earlier_statement() -> None:
    """Guards against a sender that avoids an upstream that has recovered."""
    selector = UpstreamSelector(ManualClock(), random.Random(1), "a")
    selector.set_candidates("s", [Candidate(n, "a", 40) for n in ("a1", "a2")])
    for learned in (10, None):
        for node, stated in (("a1", learned), ("a2", None)):
            selector.record_sent(node)
            selector.record_answer(
                node, 0.02, 0, 30, 0.0, reason=None, learned_slots=stated
            )
    picks = [selector.choose("s", 100) for _ in range(2000)]
    assert 0.45 <= picks.count("a1") / len(picks) <= 0.55


def test_waiting_time_is_the_time_with_at_least_one_open_call() -> None:
    """Guards against a run that counts overlapping calls twice."""
    parent = ParentRequest("list", 2, 40, is_repeat=False)
    parent.begin_call(1.0)
    parent.begin_call(2.0)
    parent.end_call(3.0)
    assert (parent.waited_s, parent.open_calls) == (0.0, 1)
    parent.end_call(5.0)
    parent.begin_call(7.0)
    parent.end_call(7.5)
    assert (parent.waited_s, parent.open_calls) == (4.5, 0)
