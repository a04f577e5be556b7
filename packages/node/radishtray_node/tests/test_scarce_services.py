"""Use of scarce services, from the node beside the upstream to the entry node.

Guards against costs that are lost on the way through a call tree, and against
answers and levels that change although the feature is off.
"""

from typing import Any

import pytest

from radishtray_node import Feature
from radishtray_node._service_uses import uses_from_wire, uses_to_wire
from radishtray_overload import MAX_SERVICES, ServiceUse
from radishtray_protocol import wire
from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    GatewayFleet,
    build_route,
    build_route_table,
)
from radishtray_transport import HttpRequest

_CALLS_OF_A_TREE = 2
_CALL_S = 0.1


def build_tree(*features: Feature, **route: Any) -> GatewayFleet:
    """Starts entry `e`, `n0` (service `s`) and `callee` (service `t`).

    A request to `/tree/` is run by `n0`, whose upstream makes two calls to the
    only slot of `callee`, one after the other. A request to `/direct/` is run
    by `callee`.
    """
    table = build_route_table(
        build_route("tree", "s", **route),
        build_route("called", "t"),
        build_route("direct", "t"),
    )
    fleet = GatewayFleet(table)
    settings: dict[str, Any] = {"features": frozenset(features)}
    fleet.add("e", "x", **settings)
    upstream = fleet.add("n0", "s", slots=64, **settings)
    callee = fleet.add("callee", "t", slots=1, **settings)
    callee.on_run = lambda http: callee.reactor.callLater(
        _CALL_S, callee.answer, http
    )

    def make_calls(http: HttpRequest) -> None:
        request_id = http.header(HEADER_NAMES.request_id.encode()) or b"?"
        left = [f"{request_id.decode()}.{n}" for n in range(_CALLS_OF_A_TREE)]

        def make_next() -> None:
            if not left:
                upstream.answer(http)
                return
            call = fleet.send("n0", "/called/", left.pop())
            call.on_end = make_next

        make_next()

    upstream.on_run = make_calls
    fleet.run(1)
    return fleet


def load(fleet: GatewayFleet, count: int = 20) -> list[int]:
    """Sends requests, of which each second one is direct.

    They take 0.3 s of 0.4 s of the slot, so that no call is refused.
    """
    results = []
    for number in range(count):
        path = "/tree/" if number % 2 else "/direct/"
        results.append(fleet.send("e", path, f"r{number}"))
        fleet.run(2 * _CALL_S)
    fleet.run(2)
    return [result.status for result in results]


def test_the_use_of_a_tree_reaches_its_entry_node() -> None:
    fleet = build_tree(Feature.ENTRY_ORDER)
    load(fleet)
    costs = fleet.gateways["e"].entry.decisions.costs.costs()
    # The middle service `s` is idle, although a slot is held for the calls.
    assert set(costs["tree"]) == set(costs["direct"]) == {"t"}
    direct_s = costs["direct"]["t"].mean_s
    assert direct_s == pytest.approx(_CALL_S, rel=0.3)
    assert costs["tree"]["t"].mean_s == pytest.approx(2 * _CALL_S, rel=0.3)


def test_answers_state_nothing_without_the_feature() -> None:
    fleet = build_tree()
    statuses = load(fleet)
    decisions = fleet.gateways["e"].entry.decisions
    assert 200 in statuses
    assert (decisions.costs.costs(), decisions.costs.fills()) == ({}, {})


def test_a_changed_route_is_learned_anew() -> None:
    fleet = build_tree(Feature.ENTRY_ORDER)
    load(fleet)
    costs = fleet.gateways["e"].entry.decisions.costs
    assert set(costs.costs()) == {"tree", "direct"}
    fleet.store.publish(
        build_route_table(
            build_route("tree", "s", timeout_s=0.7),
            build_route("called", "t"),
            build_route("direct", "t"),
            version=2,
        )
    )
    fleet.run(1)
    assert set(costs.costs()) == {"direct"}


def test_statements_of_a_peer_are_bounded() -> None:
    """Guards against tables that grow with what one answer states."""
    use = ServiceUse("t", 1000, 60)
    stated = uses_to_wire([use])
    assert stated is not None
    assert uses_from_wire(stated) == (use,)
    assert len(uses_from_wire(stated * 100)) == MAX_SERVICES
    assert uses_to_wire([]) is None
    assert uses_from_wire(wire.Answer().service_uses) == ()


def test_operators_see_fill_costs_and_outcomes() -> None:
    fleet = build_tree(Feature.ENTRY_ORDER, Feature.RETURN_SCHEDULE)
    load(fleet)
    text = fleet.gateways["e"].metrics.exposition().decode()
    assert 'radishtray_route_slot_seconds{route="tree",service="t"} 0.' in text
    assert 'radishtray_entry_requests{outcome="answered",route="tree"}' in text


def retry_after_s(fleet: GatewayFleet, deadline_ms: int) -> float:
    """Returns the Retry-After of a request for which there is no capacity."""
    chains = fleet.gateways["e"].entry.chains
    chains.record_thresholds("tree", 0, 500)
    result = fleet.send("e", "/tree/", "r", deadline_ms=deadline_ms)
    fleet.run(0.1)
    assert result.status == 503
    assert result.answer is not None
    headers = result.answer.headers
    return float(headers[headers.index("Retry-After") + 1])


@pytest.mark.parametrize("features", [(), (Feature.RETURN_SCHEDULE,)])
def test_retry_after_is_within_a_third_of_the_time_left(
    features: tuple[Feature, ...],
) -> None:
    """Guards against delays for which the caller does not wait."""
    fleet = build_tree(*features)
    fleet.gateways["e"].entry._rng.seed(1)
    for _ in range(20):
        assert 0.3 <= retry_after_s(fleet, 5000) <= 5 / 3
        assert 0.1 <= retry_after_s(fleet, 600) <= 0.2


def build_waiting_fleet() -> GatewayFleet:
    """Builds a fleet whose entry node knows the usual latency of its routes."""
    fleet = build_tree(Feature.ENTRY_WAIT, target_latency_s=2.0)
    load(fleet, 8)
    return fleet


def test_a_request_waits_for_the_threshold_to_fall() -> None:
    fleet = build_waiting_fleet()
    entry = fleet.gateways["e"].entry
    entry.chains.record_thresholds("tree", 0, 500)
    runs = len(fleet.upstreams["n0"].runs)
    result = fleet.send("e", "/tree/", "r1", deadline_ms=5000)
    fleet.run(0.2)
    assert (result.status, len(entry.decisions.queue.wait)) == (0, 1)
    assert len(fleet.upstreams["n0"].runs) == runs
    entry.chains.record_thresholds("tree", 0, 0)
    fleet.run(1)
    assert (result.status, len(entry.decisions.queue.wait)) == (200, 0)


def test_a_request_that_waited_in_vain_has_not_run() -> None:
    fleet = build_waiting_fleet()
    entry = fleet.gateways["e"].entry
    entry.chains.record_thresholds("tree", 0, 500)
    runs = len(fleet.upstreams["n0"].runs)
    result = fleet.send("e", "/tree/", "r1", deadline_ms=5000)
    fleet.run(0.6)
    assert (result.status, len(entry.decisions.queue.wait)) == (503, 0)
    assert result.answer is not None
    assert "Retry-After" in result.answer.headers
    fleet.run(2)
    assert len(fleet.upstreams["n0"].runs) == runs
    assert entry.active == 0


def test_a_waiting_request_whose_caller_leaves_is_dropped() -> None:
    """Guards against requests that run without a caller after they waited."""
    fleet = build_waiting_fleet()
    entry = fleet.gateways["e"].entry
    entry.chains.record_thresholds("tree", 0, 500)
    runs = len(fleet.upstreams["n0"].runs)
    result = fleet.send("e", "/tree/", "r1", deadline_ms=5000)
    fleet.run(0.1)
    assert result.pending is not None
    result.pending.cancel()
    fleet.run(0.1)
    assert (len(entry.decisions.queue.wait), entry.active) == (0, 0)
    entry.chains.record_thresholds("tree", 0, 0)
    fleet.run(1)
    assert len(fleet.upstreams["n0"].runs) == runs
