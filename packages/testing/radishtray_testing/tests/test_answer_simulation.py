"""Simulates callers and gateways under faults, with fixed seeds."""

from collections import Counter
from typing import Any
from unittest import mock

import pytest

from radishtray_node import _gateway
from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._peer_link import PeerLink
from radishtray_node._routed_call import RoutedCall
from radishtray_protocol import wire
from radishtray_state import AttemptSequence
from radishtray_testing.answer_simulation import (
    FAULT_KINDS,
    Simulation,
    Violation,
    main,
    simulate,
)

_SEEDS = range(8)
_SEEDS_TO_FIND_A_FAULT = range(10)


@pytest.fixture(scope="module")
def runs() -> list[tuple[Simulation, list[Violation]]]:
    """Runs all seeds once."""
    return [simulate(seed) for seed in _SEEDS]


@pytest.mark.parametrize("seed", _SEEDS)
def test_callers_get_only_answers_to_their_own_requests(
    runs: list[tuple[Simulation, list[Violation]]], seed: int
) -> None:
    assert runs[seed][1] == []


def test_the_simulation_reaches_answers_refusals_and_faults(
    runs: list[tuple[Simulation, list[Violation]]],
) -> None:
    """Without these events the checks would pass without testing anything."""
    statuses: Counter[int] = Counter()
    faults: Counter[str] = Counter()
    for simulation, _ in runs:
        faults += simulation.fault_counts
        statuses.update(
            request.result.status for request in simulation.requests.values()
        )
    assert min(statuses[status] for status in (0, 200, 500, 503, 504)) > 100
    assert set(faults) == set(FAULT_KINDS)


def _link_with_own_numbers(*arguments: Any, **options: Any) -> PeerLink:
    parts = list(arguments)
    parts[4] = AttemptSequence(0)
    return PeerLink(*parts, **options)


def _close_link_at_once(router: CallRouter, node_id: str) -> None:
    router._close_link(node_id)


def _unverified_result(call: RoutedCall, answer: wire.Answer) -> CallResult:
    del call
    return CallResult.from_wire(answer)


def test_numbers_that_begin_again_with_each_link_are_detected(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against checks that miss an answer to another request.

    The settling of links and the comparison of ids would hide the fault.
    """
    with (
        mock.patch.object(_gateway, "PeerLink", _link_with_own_numbers),
        mock.patch.object(CallRouter, "release_link", _close_link_at_once),
        mock.patch.object(RoutedCall, "_verified_result", _unverified_result),
    ):
        failed = any(
            main(["--first", str(seed), "--seeds", "1"])
            for seed in _SEEDS_TO_FIND_A_FAULT
        )
    assert failed
    assert "mixed: got the answer to" in capsys.readouterr().out
