"""Admission control: queue order, refusals, deadlines and slot accounting.

Guards against requests that run in the wrong order, that are refused although
they could be served, and against slots that are not freed.
"""

import random
from collections.abc import Callable

import pytest

from radishtray_state import (
    ADMISSION_POLICIES,
    AdmissionController,
    ManualClock,
    RefusalReason,
    Ticket,
    admission_policy,
)


def short_reason(reason: RefusalReason) -> str:
    assert reason.is_not_run
    return reason.value.removeprefix("deadline_")


class Bench:
    """An admission controller that is driven by a script of steps.

    Steps:
        `r<rank>`: submits a ticket with a deadline in 1 s.
        `r<rank>/<s>`: submits a ticket with a deadline in s seconds.
        `f<n>`: finishes ticket n with a service time of 0.2 s.
        `c<n>`: cancels ticket n.
        `+<s>`: advances the clock by s seconds.
        `e`: expires queued tickets.
        `slots<n>`: sets the number of slots.
        `cold<s>`: begins a cold start of s seconds.

    The log has an entry for each event: `run<n>`, `drop<n>:<reason>` (dropped
    from the queue), `no<n>:<reason>` (refused) and `c<n>:<was queued>`.
    """

    def __init__(self, policy: str, slots: int) -> None:
        """Creates a controller without tickets."""
        self.clock = ManualClock()
        self.controller = AdmissionController(
            self.clock, random.Random(1), slots, policy
        )
        self.tickets: list[Ticket] = []
        self.log: list[str] = []

    def run_script(self, script: str) -> str:
        for step in script.split():
            self._run_step(step)
        return " ".join(self.log)

    def _run_step(self, step: str) -> None:
        actions: dict[str, Callable[[str], object]] = {
            "slots": lambda n: self.controller.set_slots(int(n)),
            "cold": lambda s: self.controller.begin_cold_start(float(s)),
            "r": self._submit,
            "f": lambda n: self.controller.finish(self.tickets[int(n)], 0.2),
            "c": self._cancel,
            "+": lambda s: self.clock.advance(float(s)),
            "e": lambda _: self.controller.expire(),
        }
        prefix = next(p for p in actions if step.startswith(p))
        actions[prefix](step.removeprefix(prefix))

    def _submit(self, text: str) -> None:
        rank, _, seconds = text.partition("/")
        number = len(self.tickets)
        ticket = Ticket(
            int(rank),
            self.clock.monotonic() + float(seconds or 1),
            lambda: self.log.append(f"run{number}"),
            lambda reason: self.log.append(
                f"drop{number}:{short_reason(reason)}"
            ),
        )
        self.tickets.append(ticket)
        reason = self.controller.submit(ticket)
        if reason is not None:
            self.log.append(f"no{number}:{short_reason(reason)}")

    def _cancel(self, text: str) -> None:
        queued = self.controller.cancel(self.tickets[int(text)])
        self.log.append(f"c{text}:{queued}")


# Name, policy, slots, steps, expected log.
SCRIPTS = [
    ("runs_up_to_the_slots", "adaptive", 2, "r1 r2 r3", "run0 run1"),
    ("rank_before_arrival", "adaptive", 1, "r9 r1 r7 f0 f2", "run0 run2 run1"),
    ("arrival_in_rank", "adaptive", 1, "r9 r5 r5 f0 f1", "run0 run1 run2"),
    ("fifo_ignores_rank", "fifo", 1, "r9 r1 r7 f0 f1", "run0 run1 run2"),
    ("none_ignores_rank", "none", 1, "r9 r1 r7 f0 f1", "run0 run1 run2"),
    ("finish_twice", "adaptive", 1, "r1 r2 r2 f0 f0", "run0 run1"),
    ("finish_queued", "adaptive", 1, "r1 r2 f1 f0", "run0 run1"),
    ("cancel_queued", "adaptive", 1, "r1 r2 c1 f0", "run0 c1:True"),
    ("cancel_twice", "none", 1, "r1 r2 c1 c1", "run0 c1:True c1:False"),
    ("cancel_running", "adaptive", 1, "r1 c0", "run0 c0:False"),
    ("past_deadline", "adaptive", 1, "r1/0", "no0:expected"),
    ("no_time_left", "adaptive", 2, "r1 r1 f0 r1/.1", "run0 run1 no2:expected"),
    ("idle_slots_probe", "adaptive", 2, "r1 f0 r1/.1", "run0 run1"),
    ("late_in_queue", "adaptive", 1, "r1 r1/.5 +.5 e", "run0 drop1:queued"),
    ("miss_expected_in_queue", "adaptive", 1,
     "r1 r1 f0 r1/.5 +.4 e", "run0 run1 drop2:expected"),
    ("miss_expected_at_slot", "adaptive", 2,
     "r1 r1 r9 r1/.5 f0 +.4 f1", "run0 run1 run2 drop3:expected"),
    ("keeps_running", "adaptive", 1, "r1/.1 +1 e", "run0"),
    ("baseline_runs_late", "none", 1, "r1 r1/.5 +9 e f0", "run0 run1"),
    ("no_deadline", "no_deadline", 1, "r1 r1/.5 +9 e f0", "run0 run1"),
    ("more_slots", "adaptive", 1, "r1 r2 slots2", "run0 run1"),
    ("fewer_slots", "adaptive", 2, "r1 r1 r1 slots1 f0", "run0 run1"),
    ("cold_limit", "adaptive", 20, "cold10 r1/9 r1/9 r1/9 +.5 e", "run0 run1"),
    ("cold_ramp", "adaptive", 20,
     "cold1 r1/9 r1/9 r1/9 +.5 e", "run0 run1 run2"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("policy", "slots", "steps", "log"),
    [case[1:] for case in SCRIPTS],
    ids=[case[0] for case in SCRIPTS],
)
def test_events_of_a_script(
    policy: str, slots: int, steps: str, log: str
) -> None:
    assert Bench(policy, slots).run_script(steps) == log


def test_full_queue_drops_the_lowest_rank() -> None:
    bench = Bench("adaptive", 1)
    waiting = ADMISSION_POLICIES["adaptive"].max_queued_per_slot
    bench.run_script("r9 " + "r5 " * waiting)
    assert bench.run_script("r4 r6").endswith(
        f"no{waiting + 1}:queue_full drop{waiting}:queue_full"
    )
    assert (bench.controller.queued, bench.controller.in_flight) == (waiting, 1)


def test_threshold_returns_to_zero_when_the_slots_are_free() -> None:
    """A threshold that stays after an overload would refuse low ranks."""
    bench = Bench("adaptive", 10)
    bench.run_script(" ".join(["r400"] * 200 + ["+.1"]) + " r400 +.1 r400 r1")
    assert bench.log[-1] == f"no{len(bench.tickets) - 1}:shed"
    assert bench.controller.threshold > 1
    finish = [f"f{n}" for n in range(len(bench.tickets) - 1)]
    bench.run_script(" ".join(finish))
    assert bench.controller.threshold == 0
    assert bench.run_script("r1").endswith(f"run{len(bench.tickets) - 1}")


def test_next_expiry_skips_tickets_that_left_the_queue() -> None:
    """Their entries stay in the heap of expiries."""
    bench = Bench("adaptive", 1)
    bench.run_script("r9 r5/.5 r5/.7")
    assert bench.controller.next_expiry() == pytest.approx(0.5)
    bench.run_script("c1")
    assert bench.controller.next_expiry() == pytest.approx(0.7)
    bench.run_script("f0")
    assert bench.controller.next_expiry() is None


def test_callbacks_that_finish_at_once_do_not_recurse() -> None:
    """Each callback frees the slot of the next ticket of a long queue."""
    control = AdmissionController(ManualClock(), random.Random(1), 1, "none")
    tickets: list[Ticket] = []
    ran: list[Ticket] = []

    def run() -> None:
        ran.append(tickets[len(ran)])
        if len(ran) > 1:
            control.finish(ran[-1], 0.0)

    for _ in range(5_000):
        tickets.append(Ticket(0, 9.0, run, lambda _: None))
        assert control.submit(tickets[-1]) is None
    control.finish(tickets[0], 0.0)
    assert (len(ran), control.in_flight, control.queued) == (5_000, 0, 0)


@pytest.mark.parametrize(
    ("attempt", "message"),
    [
        (lambda: Bench("best", 1), "'best'; expected one of adaptive"),
        (lambda: Bench("none", 0), "at least 1 slot, not 0"),
        (lambda: Bench("none", 1).run_script("r512"), "rank 512"),
        (lambda: admission_policy("none")(lambda: None), "twice"),  # type: ignore[arg-type, return-value]
    ],
    ids=["policy", "slots", "rank", "second_registration"],
)
def test_invalid_arguments(attempt: Callable[[], object], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        attempt()


# Name: slots, used share, requests that run concurrently.
USED_SHARES = {
    "all": (16, 1.0, 16),
    "below_full": (16, 0.94, 15),
    "many": (202, 0.94, 189),
    "one": (1, 0.94, 1),
}


@pytest.mark.parametrize("name", USED_SHARES)
def test_only_the_used_share_of_the_slots_is_granted(name: str) -> None:
    slots, share, running = USED_SHARES[name]
    controller = AdmissionController(
        ManualClock(), random.Random(1), slots, "no_threshold", share
    )
    started: list[int] = []
    for number in range(slots + 5):
        ticket = Ticket(
            200, 1e9, lambda n=number: started.append(n), lambda reason: None
        )
        controller.submit(ticket)
    assert len(started) == running


@pytest.mark.parametrize("share", [0.0, -0.5, 1.01])
def test_a_share_out_of_range_is_rejected(share: float) -> None:
    with pytest.raises(ValueError, match="used share"):
        AdmissionController(
            ManualClock(), random.Random(1), 4, used_share=share
        )
