"""Guards against a refusal because an older slot table arrived first."""

import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from radishtray_node._call_router import CallRouter
from radishtray_node._metrics import Metrics
from radishtray_node._timers import TimerWheel
from radishtray_state import (
    Candidate,
    CrashTally,
    KeyRouter,
    ManualClock,
    UpstreamSelector,
)
from radishtray_testing.memory_network import MemoryNetwork

# Name: what arrives (the number of newer tables known, whether it is a reply),
# and after which of them the call goes on; None for the timeout.
CASES: dict[str, tuple[list[tuple[int, bool]], int | None]] = {
    "newer_first": ([(1, True)], 0),
    "older_first": ([(0, True), (1, True)], 1),
    "all_older": ([(0, True), (0, True)], 1),
    "pushed": ([(0, False), (1, False)], 1),
    "one_silent": ([(0, True)], None),
    "none_answers": ([], None),
}


class _Link:
    def __init__(self, sent: list[Any]) -> None:
        self.send_control: Callable[[Any], None] = sent.append


@pytest.mark.parametrize("name", CASES)
def test_a_call_waits_for_a_table_that_is_enough(name: str) -> None:
    arriving, goes_on_after = CASES[name]
    network, clock, rng = MemoryNetwork(), ManualClock(), random.Random(1)
    sent: list[Any] = []
    router = CallRouter(
        "entry",
        clock,
        rng,
        TimerWheel(network),
        UpstreamSelector(clock, rng, "a"),
        KeyRouter(clock, rng, lambda _owner: True),
        CrashTally(clock),
        cast(Any, None),
        Metrics(),
        cast(Any, None),
        lambda _node: cast(Any, _Link(sent)),
    )
    router.set_candidates("s", [Candidate(n, "a", 1) for n in ("n1", "n2")])
    went_on: list[bool] = []
    newer = 0
    router.refresh_slot_table(
        "s", lambda: went_on.append(True), lambda: newer > 0
    )
    assert len(sent) == 2
    for index, (tables, is_reply) in enumerate(arriving):
        newer += tables
        router.slot_table_received("s", is_reply)
        expected = goes_on_after is not None and index >= goes_on_after
        assert bool(went_on) is expected
    network.run(1.0)
    assert went_on == [True], "once, at the latest after the timeout"
