"""Guards against calls of one chain that get different verdicts."""

import pytest

from radishtray_state import CallChains, ChainParent, ManualClock

PARENT = ChainParent("list", 2, 40, is_repeat=True)

# Name: id of a call, whether it belongs to the request `r1`.
IDS = {
    "call": (b"r1.c1", True),
    "call_of_call": (b"r1.c1.d1", False),
    "other_request": (b"r2.c1", False),
    "same_start": (b"r1c1", False),
    "itself": (b"r1", False),
    "empty": (b"", False),
    "only_a_dot": (b".", False),
}


@pytest.mark.parametrize("name", IDS)
def test_a_call_belongs_to_the_request_whose_id_it_extends(name: str) -> None:
    request_id, belongs = IDS[name]
    chains = CallChains(ManualClock())
    chains.started(b"r1", PARENT)
    found = chains.parent_of(request_id, "read")
    assert (found is PARENT) == belongs


def test_an_ended_request_has_no_calls() -> None:
    chains = CallChains(ManualClock())
    chains.started(b"r1", PARENT)
    chains.ended(b"r1")
    assert chains.parent_of(b"r1.c1", "read") is None
    assert len(chains) == 0


def test_the_threshold_of_a_called_kind_holds_for_its_caller() -> None:
    clock = ManualClock()
    chains = CallChains(clock)
    chains.started(b"r1", PARENT)
    chains.parent_of(b"r1.c1", "read")
    chains.learned("read", 200, 0)
    chains.learned("unrelated", 300, 0)
    assert chains.threshold_of_calls("list") == 200
    assert chains.threshold_of_calls("read") == 0
    chains.learned("read", 0, 0)
    assert chains.threshold_of_calls("list") == 0


def test_a_threshold_deep_in_the_chain_reaches_its_first_request() -> None:
    clock = ManualClock()
    nodes = [CallChains(clock) for _ in range(3)]
    kinds = ["list", "read", "deep", "deepest"]
    admitted = 210
    stated = admitted, 0
    for node, kind, called in reversed(
        list(zip(nodes, kinds, kinds[1:], strict=False))
    ):
        node.started(b"r1", ChainParent(kind, 1, 1, is_repeat=False))
        node.parent_of(b"r1.c", called)
        node.learned(called, *stated)
        stated = 0, node.threshold_of_calls(kind)
    entry = CallChains(clock)
    entry.learned("list", *stated)
    assert entry.threshold("list") == admitted


def test_a_threshold_that_no_answer_renews_expires() -> None:
    clock = ManualClock()
    chains = CallChains(clock)
    chains.learned("read", 0, 200)
    clock.advance(0.9)
    assert chains.threshold("read") == 200
    clock.advance(0.2)
    assert chains.threshold("read") == 0


def test_a_call_that_is_no_longer_made_is_forgotten() -> None:
    clock = ManualClock()
    chains = CallChains(clock)
    chains.started(b"r1", PARENT)
    chains.parent_of(b"r1.c1", "read")
    clock.advance(11)
    chains.learned("read", 200, 0)
    assert chains.threshold_of_calls("list") == 0
