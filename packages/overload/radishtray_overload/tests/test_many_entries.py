"""Order of many entry nodes in front of one small service.

Guards against entry nodes that act together on the same old knowledge, against
cheap requests that are shed before expensive ones, and against decisions that
serve less than none do.
"""

import pytest

from radishtray_overload.tests.builders import PERIOD_S, OverloadModel

_PERIODS = 4

# Number of entry nodes: share of the ideal that is served at least. Each of
# 1,000 nodes receives a request every 3 s, so many of them know no costs.
ENTRIES = {10: 0.92, 100: 0.89, 1000: 0.82}


def run_model(entries: int, **features: bool) -> OverloadModel:
    model = OverloadModel(entries, 1, **({"is_ordered": True} | features))
    model.run(_PERIODS * PERIOD_S)
    return model


@pytest.mark.parametrize("entries", ENTRIES)
def test_many_entries_with_old_knowledge(entries: int) -> None:
    ordered = run_model(entries, is_ordered=True)
    uniform = run_model(entries, is_ordered=False)
    # Both get the same number of requests up to chance.
    value = ordered.served.total() / ordered.ideal
    assert value >= uniform.served.total() / uniform.ideal
    assert value >= ENTRIES[entries]
    shares = ordered.served_shares
    assert shares["direct"] >= shares["tree"]
    # If all nodes shed or admitted together, the slots would be idle for about
    # third of a peak, and the deviation would be 0.35 to 0.55.
    assert ordered.idle_share <= uniform.idle_share + 0.12
    assert ordered.admission_deviation <= 0.3


def test_returns_by_schedule_are_refused_less_often() -> None:
    """Guards against returns that make the next peak."""
    random = run_model(4, has_returns=True)
    scheduled = run_model(4, has_returns=True, is_scheduled=True)
    assert scheduled.served.total() >= random.served.total()
    assert scheduled.refused_twice.total() < random.refused_twice.total()


def test_waiting_requests_are_refused_less_often() -> None:
    """Guards against a burst of waiting requests that sheds others."""
    shed = run_model(10, has_returns=True)
    waiting = run_model(10, has_returns=True, has_waits=True)
    assert waiting.served.total() >= 0.99 * shed.served.total()
    assert waiting.returned.total() < shed.returned.total()
