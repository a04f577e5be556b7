"""Guards against more requests than an upstream says that it takes.

The model has one upstream, whose node restarts, and senders that have more
requests than it takes, except for a pause. Its bounds are those of the promise:
from the settle time on after the upstream first stated a rate, at most one and
a half times the rate and five requests in any four seconds.
"""

import random
from collections.abc import Callable
from math import inf

import pytest

from radishtray_state import ManualClock, StatedLimit, _stated_limit

WINDOW_S = 4.0
SETTLE_S = 3.0
STEP_S = 0.01


class LimitedUpstream:
    """An upstream that states a rate during a part of the run.

    Attributes:
        arrivals: Times at which it got a request.
    """

    def __init__(self, seed: int) -> None:
        """Draws the rate, the answer times and the restarts of the node."""
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self.rate_per_s = self._rng.choice((0.5, 3.0, 15.0, 40.0, 200.0))
        self.stated_from_s = self._rng.uniform(0.5, 3.0)
        self.stated_until_s = self.stated_from_s + self._rng.uniform(10.0, 15.0)
        self.arrivals: list[float] = []
        self._answers: list[tuple[float, float, float | None]] = []
        self._restarts = sorted(
            self._rng.uniform(1.0, 15.0) for _ in range(self._rng.randrange(4))
        )
        self._down_until_s = 0.0
        pause_s = self._rng.uniform(4.0, 7.0)
        self._pause_s = (pause_s, pause_s + self._rng.choice((0.0, 1.0, 5.0)))
        self._limit = StatedLimit(self._clock)

    def run(self, seconds: float) -> None:
        """Sends as much as the limit allows, up to 400 requests a second."""
        while self._clock.monotonic() < seconds:
            self._clock.advance(STEP_S)
            now = self._clock.monotonic()
            if self._restarts and now >= self._restarts[0]:
                self._restarts.pop(0)
                self._down_until_s = now + self._rng.uniform(0.2, 2.0)
                self._answers.clear()
                self._limit = StatedLimit(self._clock, is_restart=True)
            if now < self._down_until_s:
                continue
            self._deliver_answers(now)
            if self._pause_s[0] <= now < self._pause_s[1]:
                continue
            for _ in range(4):
                if self._limit.try_take():
                    self._send(now)

    def _send(self, now: float) -> None:
        self.arrivals.append(now)
        is_stated = self.stated_from_s <= now < self.stated_until_s
        answered_s = now + self._rng.uniform(0.02, 0.8)
        self._answers.append(
            (answered_s, now, self.rate_per_s if is_stated else None)
        )

    def _deliver_answers(self, now: float) -> None:
        due = sorted(a for a in self._answers if a[0] <= now)
        self._answers = [a for a in self._answers if a[0] > now]
        for _, sent_s, stated in due:
            self._limit.record_answer(stated, sent_s)

    @property
    def worst_excess(self) -> float:
        """Most requests in a window beyond what the promise allows."""
        allowed = 1.5 * self.rate_per_s * WINDOW_S + 5
        first_s = self.stated_from_s + SETTLE_S
        times = [t for t in self.arrivals if first_s <= t < self.stated_until_s]
        worst, start = -inf, 0
        for end, at in enumerate(times):
            while times[start] <= at - WINDOW_S:
                start += 1
            worst = max(worst, end - start + 1 - allowed)
        return worst

    def sent_between(self, first_s: float, last_s: float) -> int:
        """Returns the number of requests in a span."""
        return sum(first_s <= t < last_s for t in self.arrivals)


@pytest.mark.parametrize("seed", range(60))
def test_an_upstream_gets_no_more_than_it_has_stated(seed: int) -> None:
    upstream = LimitedUpstream(seed)
    upstream.run(18.0)
    assert upstream.worst_excess <= 0


def test_the_stated_rate_is_used_up() -> None:
    upstream = LimitedUpstream(2)
    upstream._restarts.clear()
    upstream._pause_s = (0.0, 0.0)
    upstream.rate_per_s = 40.0
    upstream.run(12.0)
    assert upstream.sent_between(6.0, 10.0) >= 0.95 * 40.0 * 4


def test_the_limit_ends_when_it_is_no_longer_stated() -> None:
    upstream = LimitedUpstream(2)
    upstream._restarts.clear()
    upstream.run(20.0)
    ended_s = upstream.stated_until_s + 3.0
    assert upstream.sent_between(ended_s, ended_s + 1.0) >= 300


def test_an_answer_to_an_earlier_request_does_not_end_the_limit() -> None:
    clock = ManualClock()
    limit = StatedLimit(clock)
    clock.advance(1.0)
    limit.record_answer(15.0, 0.5)
    assert not limit.record_answer(None, 0.9)
    assert limit.rate_per_s == 15.0
    clock.advance(1.0)
    assert limit.record_answer(None, 1.5)
    assert not limit.is_limited


def test_another_process_of_the_upstream_is_not_limited() -> None:
    limit = StatedLimit(ManualClock())
    limit.record_answer(15.0, 0.0)
    limit.reset()
    assert not limit.is_limited


@pytest.mark.parametrize("rate", [-1.0, inf, float("nan")])
def test_an_invalid_rate_is_rejected(rate: float) -> None:
    with pytest.raises(ValueError, match="not a number of requests"):
        StatedLimit(ManualClock()).record_answer(rate, 0.0)


def _never_limited(_limit: StatedLimit) -> bool:
    return True


def _forget_on_restart(
    limit: StatedLimit, clock: ManualClock, *, is_restart: bool = False
) -> None:
    del is_restart
    _ORIGINAL_INIT(limit, clock)


_ORIGINAL_INIT = StatedLimit.__init__

# Name: object, attribute and replacement.
MUTATIONS: dict[str, tuple[object, str, Callable[..., object] | float]] = {
    "no limit": (StatedLimit, "try_take", _never_limited),
    "a restart forgets the limit": (
        StatedLimit,
        "__init__",
        _forget_on_restart,
    ),
    "a pause allows a burst of seconds": (_stated_limit, "_BURST_S", 20.0),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_model_notices_a_mutation(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(*MUTATIONS[name])

    def excess(seed: int) -> float:
        upstream = LimitedUpstream(seed)
        upstream.run(18.0)
        return upstream.worst_excess

    assert any(excess(seed) > 0 for seed in range(60))
