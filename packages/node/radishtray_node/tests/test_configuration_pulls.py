"""Tests of configuration pulls while connections between nodes fall silent."""

from radishtray_protocol import RouteTable
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)

NODES = 14
# The time within which a version must be in force everywhere.
APPLY_S = 2.0


def build_fleet() -> GatewayFleet:
    """Starts nodes of one failure domain, most of which watch nothing."""
    fleet = GatewayFleet(table(1))
    for index in range(NODES):
        fleet.add(f"n{index}", "s")
    fleet.run(12)
    assert versions(fleet) == {1}
    return fleet


def table(version: int) -> RouteTable:
    return build_route_table(build_route("once", "s"), version=version)


def versions(fleet: GatewayFleet) -> set[int]:
    return {gateway.entry.version for gateway in fleet.gateways.values()}


def open_all_links(fleet: GatewayFleet) -> None:
    """Has each node send a request to each other one."""
    for index in range(NODES):
        for number in range(4 * NODES):
            fleet.send(f"n{index}", f"/once/{number}", f"r{index}-{number}")
    fleet.run(3)


def silence_links(fleet: GatewayFleet) -> None:
    for name in fleet.gateways:
        for ends in fleet.node_connections(name):
            for end in ends:
                end.is_silent = True


def test_links_that_just_fell_silent_delay_no_version() -> None:
    fleet = build_fleet()
    open_all_links(fleet)
    silence_links(fleet)
    fleet.store.publish(table(2))
    fleet.run(APPLY_S)
    assert versions(fleet) == {2}


def test_links_that_fell_silent_a_second_ago_delay_no_version() -> None:
    fleet = build_fleet()
    open_all_links(fleet)
    silence_links(fleet)
    fleet.run(1)
    fleet.store.publish(table(2))
    fleet.run(APPLY_S)
    assert versions(fleet) == {2}


def test_peers_that_accept_and_never_answer_delay_no_version() -> None:
    fleet = build_fleet()
    for index in range(NODES // 2):
        fleet.network.silent_ports.add(fleet.node_port(f"n{index}"))
    open_all_links(fleet)
    silence_links(fleet)
    fleet.store.publish(table(2))
    fleet.run(APPLY_S)
    assert versions(fleet) == {2}
