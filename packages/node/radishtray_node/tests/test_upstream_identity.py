"""Guards against reports of other upstreams that are taken for own ones."""

from typing import Any

import pytest

from radishtray_node import ReportRejectedError, ReportRejection
from radishtray_node._upstream_identity import UpstreamIdentity

ADDRESS = ("10.0.0.9", 8080)
# Name: address in the settings, what a report states, and why it is rejected.
CASES: dict[
    str, tuple[tuple[str, int] | None, dict[str, Any], ReportRejection | None]
] = {
    "own": (
        ADDRESS,
        {"service": "s", "failure_domain": "d", "address": ADDRESS},
        None,
    ),
    "nothing_stated": (ADDRESS, {}, None),
    "other_spelling": (("::1", 80), {"address": ("0:0::1", 80)}, None),
    "no_address_in_settings": (None, {"address": ("10.0.0.1", 1)}, None),
    "service": (ADDRESS, {"service": "t"}, ReportRejection.OTHER_SERVICE),
    "empty_service": (ADDRESS, {"service": ""}, ReportRejection.OTHER_SERVICE),
    "domain": (
        ADDRESS,
        {"failure_domain": "e"},
        ReportRejection.OTHER_FAILURE_DOMAIN,
    ),
    "host": (
        ADDRESS,
        {"address": ("10.0.0.8", 8080)},
        ReportRejection.OTHER_ADDRESS,
    ),
    "port": (
        ADDRESS,
        {"address": ("10.0.0.9", 8081)},
        ReportRejection.OTHER_ADDRESS,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_only_what_the_settings_state_is_accepted(name: str) -> None:
    address, stated, rejection = CASES[name]
    identity = UpstreamIdentity("s", "d", address)
    if rejection is None:
        identity.check(**stated)
        return
    with pytest.raises(ReportRejectedError) as raised:
        identity.check(**stated)
    assert raised.value.rejection is rejection


def test_an_address_in_the_settings_must_be_an_ip_address() -> None:
    with pytest.raises(ValueError):
        UpstreamIdentity("s", "d", ("host", 80))
