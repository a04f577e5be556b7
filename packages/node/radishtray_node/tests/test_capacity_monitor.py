"""Learned capacity at a node: the setting, metrics, log and answers.

Guards against a feature that is on without its setting, that fills the log, or
whose value senders can't compare with the stated slots of other nodes.
"""

import logging
from typing import Any

import pytest

from radishtray_node import Feature
from radishtray_node._capacity_monitor import CapacityMonitor
from radishtray_node._metrics import Metrics
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)

STATED = 41
USABLE = 38


def set_learned(monitor: CapacityMonitor, limit: int, now_s: float) -> None:
    """Lets the monitor see a learned limit with the end of a run."""
    capacity: Any = monitor._capacity
    capacity._learned = limit
    run = monitor.begin("k", 1, now_s)
    monitor.finish(run, now_s, 0.0)


def build_monitor(metrics: Metrics) -> CapacityMonitor:
    monitor = CapacityMonitor(metrics, lambda: STATED)
    monitor.reset(USABLE)
    return monitor


def test_answers_state_nothing_without_evidence() -> None:
    assert build_monitor(Metrics()).answer_slots() is None


def test_answers_state_the_learned_share_of_the_stated_slots() -> None:
    monitor = build_monitor(Metrics())
    set_learned(monitor, USABLE // 2, 0.0)
    assert monitor.answer_slots() == round(STATED / 2)
    monitor.reset(USABLE)
    assert monitor.answer_slots() is None


def test_metrics_show_the_learned_limit_beside_the_stated_slots() -> None:
    metrics = Metrics()
    monitor = build_monitor(metrics)
    set_learned(monitor, 20, 0.0)
    text = metrics.exposition().decode()
    assert "radishtray_upstream_learned_limit 20.0" in text
    assert f"radishtray_upstream_stated_slots {STATED}.0" in text


def test_log_has_changes_of_more_than_a_tenth_at_most_once_a_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    monitor = build_monitor(Metrics())
    logged = []
    for limit, now_s in (
        (36, 10.0),
        (20, 10.1),
        (38, 10.5),
        (22, 11.0),
        (38, 11.2),
    ):
        set_learned(monitor, limit, now_s)
        logged.append(len(caplog.records))
    assert logged == [0, 1, 1, 1, 2]


@pytest.mark.parametrize(
    "features", [frozenset(), frozenset({Feature.LEARNED_CAPACITY})]
)
def test_senders_learn_of_it_only_with_the_setting(
    features: frozenset[Feature],
) -> None:
    is_on = Feature.LEARNED_CAPACITY in features
    fleet = GatewayFleet(build_route_table(build_route("one", "s")))
    fleet.add("e", "x", features=features)
    fleet.add("n", "s", slots=STATED, features=features)
    fleet.run(3)
    gateway = fleet.gateways["n"]
    learner: Any = gateway.upstream.admission._learner
    assert (learner is not None) is is_on
    metrics = gateway.metrics.exposition()
    assert (b"radishtray_upstream_learned_limit" in metrics) is is_on
    if is_on:
        learner._capacity._learned = USABLE // 2
    result = fleet.send("e", "/one/x", "r1")
    fleet.run(1)
    assert result.status == 200
    peer = fleet.gateways["e"]._router.selector._peers["n"]
    now_s = fleet.gateways["e"].clock.monotonic()
    assert peer._slots(now_s) == (round(STATED / 2) if is_on else STATED)
