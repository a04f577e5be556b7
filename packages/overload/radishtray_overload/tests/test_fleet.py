"""Four upstreams, two of them slow, one lost: learned limits and selection.

Guards against senders that fill upstreams above their knee once one is lost.
Compared with constant limits and stated slots, and with an ideal whose nodes
know the concurrency that each upstream handles best.
"""

import pytest

from radishtray_overload.tests.fleet_model import FleetRun
from radishtray_overload.tests.upstream_model import (
    SLOTS,
    USABLE_SLOTS,
    Upstream,
)

LOST = 3
LOST_AT_S = 6.0
END_S = 20.0
# Callers need 0.95 of the best throughput 5 s after a change.
LEARNED_AT_S = LOST_AT_S + 5.0
MIN_SHARE = 0.95
KNEE = Upstream(0.6, 3.0)
FAST = Upstream()


def always(factor: float) -> Upstream:
    return Upstream(speed=lambda _now_s: factor)


def best_slots(upstream: Upstream) -> int:
    best = max(
        range(1, USABLE_SLOTS + 1), key=lambda c: c / upstream.factor(c, 0.0)
    )
    return round(best * SLOTS / USABLE_SLOTS)


def run(
    upstreams: tuple[Upstream, ...],
    demand: float,
    slots: tuple[int, ...] = (SLOTS,) * 4,
    *,
    is_learning: bool = False,
) -> FleetRun:
    return FleetRun(
        upstreams,
        lambda _now_s: demand,
        slots,
        is_learning,
        lost=LOST,
        lost_at_s=LOST_AT_S,
    ).run(END_S)


CASES: dict[str, tuple[Upstream, ...]] = {
    "two with a knee": (FAST, KNEE, KNEE, FAST),
    "two always slow": (FAST, always(2.7), always(2.0), FAST),
    "none slow": (FAST, FAST, FAST, FAST),
}


@pytest.mark.parametrize("load", [0.8, 1.2])
@pytest.mark.parametrize("name", CASES)
def test_learned_limits_serve_nearly_as_much_as_known_ones(
    name: str, load: float
) -> None:
    upstreams = CASES[name]
    left = [u for i, u in enumerate(upstreams) if i != LOST]
    demand = load * sum(u.best_throughput() for u in left)
    slots = tuple(map(best_slots, upstreams))
    constant = run(upstreams, demand)
    learned = run(upstreams, demand, is_learning=True)
    ideal = run(upstreams, demand, slots)
    served = learned.throughput(LEARNED_AT_S, END_S)
    assert served >= MIN_SHARE * ideal.throughput(LEARNED_AT_S, END_S)
    assert served >= 0.98 * constant.throughput(LEARNED_AT_S, END_S)
    if KNEE in left:
        assert learned.latency_s(LEARNED_AT_S, END_S) < constant.latency_s(
            LEARNED_AT_S, END_S
        )
