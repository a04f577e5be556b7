"""Compression between gateways: where it is used, and lost connections."""

import re
from typing import Any

import pytest

from radishtray_node import Feature
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)

TABLE = build_route_table(build_route("once", "s", is_repeatable=False))
COMPRESSING = {"features": frozenset({Feature.FRAME_COMPRESSION})}


def build_fleet(
    entry_changes: dict[str, Any], upstream_changes: dict[str, Any]
) -> GatewayFleet:
    """Starts entry node `e`, and node `n` with an upstream."""
    fleet = GatewayFleet(TABLE)
    fleet.add("e", "x", failure_domain="d1", **entry_changes)
    fleet.add("n", "s", **({"failure_domain": "d2"} | upstream_changes))
    fleet.run(3)
    return fleet


def read_bytes(fleet: GatewayFleet, name: str) -> dict[str, float]:
    """Returns the compressed bytes of a node by direction and form."""
    text = fleet.gateways[name].metrics.exposition().decode()
    pattern = (
        r'radishtray_compressed_frame_bytes{direction="(\w+)",form="(\w+)"}'
        r" ([\d.]+)"
    )
    return {
        f"{direction}_{form}": float(value)
        for direction, form, value in re.findall(pattern, text)
    }


# By name: changed settings of the entry node and of the node beside the
# upstream, and whether their frames are compressed.
DEPLOYMENTS: dict[str, tuple[dict[str, Any], dict[str, Any], bool]] = {
    "other_domain": (COMPRESSING, COMPRESSING, True),
    "same_domain": (COMPRESSING, COMPRESSING | {"failure_domain": "d1"}, False),
    "only_at_the_entry": (COMPRESSING, {}, False),
    "only_beside_the_upstream": ({}, COMPRESSING, False),
    "off_by_default": ({}, {}, False),
}


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_frames_are_compressed_only_between_domains(name: str) -> None:
    entry_changes, upstream_changes, is_compressed = DEPLOYMENTS[name]
    fleet = build_fleet(entry_changes, upstream_changes)
    results = [fleet.send("e", "/once/", f"r{n}") for n in range(8)]
    fleet.run(0.5)
    assert [result.status for result in results] == [200] * 8
    sent, received = read_bytes(fleet, "e"), read_bytes(fleet, "n")
    assert bool(sent) == bool(entry_changes)
    assert bool(received) == bool(upstream_changes)
    if is_compressed:
        assert 0 < sent["sent_after"] < sent["sent_before"] / 2
        for form in ("before", "after"):
            assert sent[f"sent_{form}"] == received[f"received_{form}"]
            assert sent[f"received_{form}"] == received[f"sent_{form}"]
    else:
        assert not any(sent.values())
        assert not any(received.values())


def test_answers_that_were_lost_with_a_connection_arrive_over_the_next() -> (
    None
):
    """A lost part of a stream must not settle or repeat an attempt."""
    fleet = build_fleet(COMPRESSING, COMPRESSING)
    upstream = fleet.upstreams["n"]
    upstream.on_run = lambda http: None
    results = [fleet.send("e", "/once/", f"r{n}") for n in range(4)]
    fleet.run(0.3)
    port = fleet.gateways["n"].settings.addresses.node_port
    opened, accepted = fleet.network.connections[port][-1]
    accepted.is_silent = True
    for http in upstream.requests:
        upstream.answer(http)
    fleet.run(0.05)
    assert [result.status for result in results] == [0] * 4
    opened.abortConnection()
    fleet.run(1.0)
    assert [result.status for result in results] == [200] * 4
    assert len(upstream.runs) == 4
    assert fleet.network.connections[port][-1][0] is not opened
