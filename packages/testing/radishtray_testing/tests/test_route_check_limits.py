"""Tests that the check of routes and the gateways agree about body limits."""

import pytest

from radishtray_protocol import (
    CallerLimits,
    RouteDraft,
    check_routes,
)
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)

LARGEST_BODY_BYTES = 3_670_016


@pytest.mark.parametrize(
    ("size", "is_accepted"),
    [(LARGEST_BODY_BYTES, True), (LARGEST_BODY_BYTES + 1, False)],
    ids=["largest", "one_more"],
)
def test_the_check_warns_of_limits_that_gateways_do_not_reach(
    size: int, is_accepted: bool
) -> None:
    """Guards against a changed limit of the gateway that the check misses."""
    table = build_route_table(build_route("read", "s"))
    fleet = GatewayFleet(table)
    fleet.add("n0", "s")
    fleet.run(4)
    result = fleet.send("n0", "/read/x", "r1", method="POST", body=b"x" * size)
    fleet.run(2)
    # The fake upstream accepts 1 MiB, so that the status is 502 if the gateway
    # forwards the body.
    assert result.status == (502 if is_accepted else 413)
    draft = RouteDraft(
        1,
        table.routes,
        table.connection_limits,
        [CallerLimits(body_bytes=size)],
    )
    warnings = [f for f in check_routes(draft) if f.place == "limits"]
    assert (warnings == []) is is_accepted
