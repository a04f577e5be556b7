"""Guards against reasons with a wrong family or with the same wire name."""

import pytest

from radishtray_state import OutcomeFamily, RefusalReason

UNKNOWN_FAMILY = {
    "key_expired",
    "key_owner_gone",
    "key_unknown",
    "node_lost",
    "upstream_lost",
    "deadline_running",
    "cancelled_running",
}


@pytest.mark.parametrize("reason", RefusalReason, ids=lambda r: r.value)
def test_reason_has_the_documented_family(reason: RefusalReason) -> None:
    expected = (
        OutcomeFamily.OUTCOME_UNKNOWN
        if reason.value in UNKNOWN_FAMILY
        else OutcomeFamily.NOT_RUN
    )
    assert reason.family is expected
    assert 400 <= reason.http_status < 600


def test_wire_names_are_unique() -> None:
    values = [reason.value for reason in RefusalReason]
    assert len(values) == len(set(values))
