"""Upstream selection: the share of choices that each node gets.

Guards against nodes that are still chosen although they are overloaded, do not
answer, refuse the rank or have just joined.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from radishtray_state import (
    Candidate,
    ManualClock,
    RefusalReason,
    UpstreamSelector,
)

CHOICES = 2_000
NODES = [
    Candidate("a1", "a", 40),
    Candidate("a2", "a", 40),
    Candidate("b1", "b", 40),
    Candidate("b2", "b", 40),
]
IDS = [node.node_id for node in NODES]


class Bench:
    """A selector in failure domain `a` whose four nodes have answered once."""

    def __init__(self, policy: str = "adaptive", seed: int = 1) -> None:
        """Creates the selector and records an answer of each node."""
        self.clock = ManualClock()
        rng = random.Random(seed)
        self.selector = UpstreamSelector(self.clock, rng, "a", policy)
        self.selector.set_candidates("s", NODES)
        self.record_answers(*IDS)

    def record_answers(
        self,
        *nodes: str,
        latency_s: float = 0.02,
        threshold: int = 0,
        in_flight: int = 4,
        queue_ms: float = 0.0,
        **outcome: Any,
    ) -> None:
        for node in nodes:
            self.selector.record_sent(node)
            self.selector.record_answer(
                node,
                latency_s,
                threshold,
                in_flight,
                queue_ms,
                **({"reason": None} | outcome),
            )

    def choice_shares(
        self, rank: int = 100, exclude: tuple[str, ...] = ()
    ) -> Counter:
        picks = [
            self.selector.choose("s", rank, exclude) for _ in range(CHOICES)
        ]
        count = Counter(p if isinstance(p, str) else p.value for p in picks)
        return Counter({node: n / CHOICES for node, n in count.items()})


Setup = Callable[[Bench], object]


def answers(*nodes: str, **state: Any) -> Setup:
    return lambda bench: bench.record_answers(*nodes, **state)


def leave_unanswered(bench: Bench) -> None:
    for _ in range(40):
        bench.selector.record_sent("a1")


def lose_attempt(bench: Bench) -> None:
    bench.selector.record_loss("a1")


def add_node(bench: Bench) -> None:
    bench.selector.set_candidates("s", [*NODES, Candidate("a3", "a", 40)])


def announce_failures(percent: int, *node_ids: str) -> Setup:
    def run(bench: Bench) -> None:
        bench.selector.set_candidates(
            "s",
            [
                replace(node, failure_percent=percent)
                if node.node_id in node_ids
                else node
                for node in NODES
            ],
        )

    return run


def then_wait(step: Setup, seconds: float) -> Setup:
    def run(bench: Bench) -> None:
        step(bench)
        bench.clock.advance(seconds)

    return run


slow = answers(*["a1"] * 20, latency_s=0.2)
full = answers("a1", "a2", in_flight=40, queue_ms=50)
busy = answers("a1", "a2", in_flight=22)
fast_errors = answers(*["a1"] * 20, latency_s=1e-4, is_server_error=True)
draining = answers("a1", reason=RefusalReason.DRAINING)
shed = answers("a1", latency_s=0, reason=RefusalReason.SHED)
all_refuse = answers(*IDS, threshold=200)

# Name, what happens before, node or reason, least and greatest share of the
# choices.
SHARES: list[tuple[str, Setup, str, float, float]] = [
    ("own_domain_is_preferred", answers(), "b1", 0, 0.01),
    ("equal_nodes_share", answers(), "a1", 0.45, 0.55),
    ("full_domain_is_left", full, "b1", 0.4, 0.6),
    ("busy_domain_is_left_gradually", busy, "b1", 0.05, 0.3),
    ("busy_node_gets_less", answers("a1", in_flight=36), "a1", 0, 0.1),
    ("busier_node_gets_its_part", answers("a1", in_flight=8), "a1", 0.25, 0.48),
    ("silent_node_is_avoided", leave_unanswered, "a1", 0, 0.1),
    ("lost_node_is_avoided", lose_attempt, "a1", 0, 0.01),
    ("lost_node_returns", then_wait(lose_attempt, 2.1), "a1", 0.4, 0.6),
    ("refusing_node_gets_less", shed, "a1", 0.01, 0.2),
    ("draining_node_gets_nothing", draining, "a1", 0, 0),
    ("draining_node_is_asked_again", then_wait(draining, 2), "a1", 0.2, 0.6),
    ("fast_errors_attract_nothing", fast_errors, "a1", 0.45, 0.55),
    ("failing_node_is_avoided", announce_failures(20, "a1"), "a1", 0, 0.01),
    ("worse_node_is_avoided", announce_failures(60, "a1"), "a1", 0, 0.01),
    (
        "failing_domain_is_left",
        announce_failures(40, "a1", "a2"),
        "b1",
        0.4,
        0.6,
    ),
    ("all_fail_alike", announce_failures(80, *IDS), "a1", 0.45, 0.55),
    ("cold_node_gets_little", add_node, "a3", 0, 0.02),
    ("cold_node_warms_up", then_wait(add_node, 2.1), "a3", 0.25, 0.5),
    ("threshold_is_avoided", answers("a1", threshold=101), "a1", 0, 0),
    ("threshold_admits_its_rank", answers("a1", threshold=100), "a1", 0.4, 0.6),
    ("refused_everywhere", all_refuse, "shed", 0.97, 0.999),
    ("old_threshold_is_forgotten", then_wait(all_refuse, 1.1), "shed", 0, 0),
    ("young_threshold_is_kept", then_wait(all_refuse, 0.9), "shed", 0.9, 1),
    ("slow_node_gets_less", slow, "a1", 0, 0.1),
]


@pytest.mark.parametrize(
    ("before", "name", "least", "greatest"),
    [case[1:] for case in SHARES],
    ids=[case[0] for case in SHARES],
)
def test_share_of_choices(
    before: Setup, name: str, least: float, greatest: float
) -> None:
    bench = Bench()
    before(bench)
    assert least <= bench.choice_shares()[name] <= greatest


@pytest.mark.parametrize(
    ("before", "service", "least", "greatest"),
    [
        (all_refuse, "s", 0.97, 0.999),
        (answers(*IDS[1:], threshold=200), "s", 0, 0),
        (then_wait(all_refuse, 1.1), "s", 0, 0),
        (all_refuse, "unknown", 0, 0),
    ],
    ids=["all_thresholds", "one_admits", "old_thresholds", "unknown_service"],
)
def test_share_of_ranks_known_to_be_refused(
    before: Setup, service: str, least: float, greatest: float
) -> None:
    bench = Bench()
    before(bench)
    refused = [bench.selector.all_refuse(service, 100) for _ in range(CHOICES)]
    assert least <= sum(refused) / CHOICES <= greatest
    assert not bench.selector.all_refuse(service, 200)


@pytest.mark.parametrize("policy", ["adaptive", "random"])
@pytest.mark.parametrize(
    ("service", "exclude", "expected"),
    [
        ("unknown", (), {RefusalReason.NO_UPSTREAM}),
        ("s", tuple(IDS), {RefusalReason.NO_UPSTREAM}),
        ("s", ("a1", "a2"), {"b1", "b2"}),
        ("s", ("a1", "b1", "b2"), {"a2"}),
    ],
    ids=["unknown_service", "all_excluded", "own_excluded", "one_left"],
)
def test_candidates(
    policy: str,
    service: str,
    exclude: tuple[str, ...],
    expected: set[object],
) -> None:
    selector = Bench(policy).selector
    picks = {selector.choose(service, 0, exclude) for _ in range(200)}
    assert picks == expected


def test_random_policy_ignores_domains_and_thresholds() -> None:
    bench = Bench("random")
    all_refuse(bench)
    assert all(0.2 <= bench.choice_shares()[node] <= 0.3 for node in IDS)


def test_removed_node_is_not_chosen_and_its_late_answer_is_harmless() -> None:
    bench = Bench()
    bench.selector.set_candidates("s", NODES[1:])
    bench.record_answers("a1")
    assert bench.choice_shares()["a1"] == 0


@pytest.mark.parametrize(
    ("attempt", "message"),
    [
        (lambda: Bench("best"), "'best'; expected one of adaptive, random"),
        (lambda: Candidate("n", "a", 0), "at least 1 slot"),
    ],
    ids=["policy", "slots"],
)
def test_invalid_arguments(attempt: Callable[[], object], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        attempt()


# Name: bytes of the body, latency in the sender's domain relative to the other
# domain, least and greatest share of choices in the sender's domain.
BODIES = {
    "short_at_equal_cost": (400, 1.0, 1.0, 1.0),
    "short_at_double_cost": (400, 2.0, 0.1, 0.4),
    "long_at_double_cost": (60_000, 2.0, 1.0, 1.0),
    "long_at_eight_times_the_cost": (60_000, 8.0, 0.0, 0.0),
}


@pytest.mark.parametrize("name", BODIES)
def test_long_bodies_leave_the_failure_domain_later(name: str) -> None:
    body_bytes, ratio, least, greatest = BODIES[name]
    bench = Bench()
    for _ in range(60):
        bench.clock.advance(0.1)
        bench.record_answers("a1", "a2", latency_s=0.02 * ratio)
        bench.record_answers("b1", "b2", latency_s=0.02)
    picks = [
        bench.selector.choose("s", 100, (), body_bytes) for _ in range(CHOICES)
    ]
    stayed = sum(pick in ("a1", "a2") for pick in picks) / CHOICES
    assert least <= stayed <= greatest


def test_a_measured_latency_of_zero_is_no_division_by_zero() -> None:
    """A clock that is read once per iteration of the event loop measures 0."""
    bench = Bench()
    nodes = [Candidate("c1", "a", 40), Candidate("c2", "a", 40)]
    bench.selector.set_candidates("t", nodes)
    bench.record_answers("c1", "c2", latency_s=0.0)
    picks = {bench.selector.choose("t", 100) for _ in range(100)}
    assert picks == {"c1", "c2"}


# Name: service, excluded nodes, and whether another node is left.
OTHER_CANDIDATES: dict[str, tuple[str, tuple[str, ...], bool]] = {
    "none excluded": ("s", (), True),
    "all but one excluded": ("s", ("a1", "a2", "b1"), True),
    "all excluded": ("s", ("a1", "a2", "b1", "b2"), False),
    "unknown service": ("t", (), False),
}


@pytest.mark.parametrize("name", OTHER_CANDIDATES)
def test_has_candidate(name: str) -> None:
    service, excluded, expected = OTHER_CANDIDATES[name]
    assert Bench().selector.has_candidate(service, excluded) is expected
