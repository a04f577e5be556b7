"""Guards against events of an earlier connection that act on a later one."""

import pytest

from radishtray_protocol import wire
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)
from radishtray_testing.memory_network import MemoryTransport

TABLE = build_route_table(build_route("once", "s", is_repeatable=False))


def build_fleet() -> GatewayFleet:
    """Starts entry node `e`, and node `n` with an upstream that holds."""
    fleet = GatewayFleet(TABLE)
    fleet.add("e", "x")
    fleet.add("n", "s", slots=16)
    fleet.upstreams["n"].on_run = lambda http: None
    fleet.run(3)
    fleet.gateways["e"].node_gone("n")
    fleet.run(0.1)
    return fleet


def node_port(fleet: GatewayFleet) -> int:
    """Returns the port of the node listener of `n`."""
    return fleet.gateways["n"].settings.addresses.node_port


def opened_ends(fleet: GatewayFleet) -> list[MemoryTransport]:
    """Returns the opening ends of the connections to `n`, oldest first."""
    return [end for end, _ in fleet.network.connections[node_port(fleet)]]


def test_a_late_reconnect_timer_keeps_the_connection_that_is_ready() -> None:
    fleet = build_fleet()
    fleet.send("e", "/once/a", "a")
    fleet.run(0.05)
    opened_ends(fleet)[-1].abortConnection()
    fleet.run(0.02)
    fleet.send("e", "/once/b", "b")
    fleet.run(0.05)
    ready = opened_ends(fleet)
    fleet.run(0.4)
    assert opened_ends(fleet) == ready
    assert ready[-1].connected


def test_the_timer_of_an_earlier_connect_fails_no_later_attempt() -> None:
    fleet = build_fleet()
    upstream = fleet.upstreams["n"]
    upstream.on_run = upstream.answer
    fleet.send("e", "/once/a", "a")
    fleet.run(0.22)
    opened_ends(fleet)[-1].abortConnection()
    fleet.run(0.01)
    fleet.network.silent_ports.add(node_port(fleet))
    result = fleet.send("e", "/once/b", "b")
    fleet.run(0.25)
    assert result.status == 0


# Together more than the size limit of a frame.
LARGE_BODY = b"x" * 1_500_000


def test_answers_that_are_large_together_are_delivered_after_a_reset() -> None:
    fleet = build_fleet()
    upstream = fleet.upstreams["n"]
    large = [fleet.send("e", "/once/", f"large{n}") for n in range(3)]
    fleet.run(0.3)
    _, receiving_end = fleet.network.connections[node_port(fleet)][-1]
    receiving_end.is_silent = True
    for http in upstream.requests:
        upstream.answer(http, LARGE_BODY)
    fleet.run(0.05)
    fleet.gateways["e"].node_gone("n")
    upstream.on_run = upstream.answer
    small = [fleet.send("e", "/once/", f"small{n}") for n in range(3)]
    fleet.run(2)
    assert [result.status for result in large + small] == [200] * 6


def test_a_link_that_is_closed_while_it_connects_opens_no_connection() -> None:
    fleet = build_fleet()
    entry = fleet.gateways["e"]
    pull = wire.ReleasePull(have_generation=0)
    entry.send_control("n", wire.Frame(release_pull=pull))
    entry.node_moved("n")
    fleet.run(1)
    assert not opened_ends(fleet)[-1].connected


def test_a_pull_over_a_silent_connection_ends_it() -> None:
    fleet = build_fleet()
    upstream = fleet.upstreams["n"]
    upstream.on_run = upstream.answer
    fleet.send("e", "/once/a", "a")
    fleet.run(1)
    silent = fleet.network.connections[node_port(fleet)][-1]
    for end in silent:
        end.is_silent = True
    pull = wire.Frame(release_pull=wire.ReleasePull(have_generation=0))
    fleet.gateways["e"].send_control("n", pull)
    fleet.run(1.6)
    assert not silent[0].connected


def open_link(fleet: GatewayFleet) -> tuple[MemoryTransport, MemoryTransport]:
    """Returns the ends of a link that is in use, after an answered call."""
    upstream = fleet.upstreams["n"]
    upstream.on_run = upstream.answer
    fleet.send("e", "/once/first", "first")
    fleet.run(1)
    return fleet.network.connections[node_port(fleet)][-1]


SILENT_ENDS = {"both": (0, 1), "opening": (0,), "accepting": (1,)}


@pytest.mark.parametrize("name", SILENT_ENDS)
@pytest.mark.parametrize("idle_s", [0.0, 0.1, 5.0])
def test_calls_over_a_silent_link_are_answered_within_a_second(
    name: str, idle_s: float
) -> None:
    fleet = build_fleet()
    ends = open_link(fleet)
    fleet.run(idle_s)
    for index in SILENT_ENDS[name]:
        ends[index].is_silent = True
    results = []
    for number in range(4):
        path, request_id = f"/once/{number}", f"r{number}"
        results.append(fleet.send("e", path, request_id, deadline_ms=1000))
        fleet.run(0.05)
    fleet.run(1.0)
    assert [result.status for result in results] == [200] * 4
    assert len(fleet.upstreams["n"].runs) == 5


def test_a_peer_that_pauses_keeps_its_link() -> None:
    fleet = build_fleet()
    ends = open_link(fleet)
    for _ in range(3):
        result = fleet.send("e", "/once/", f"r{fleet.network.seconds()}")
        fleet.processes["n"].pause()
        fleet.run(0.6)
        fleet.processes["n"].resume()
        fleet.run(0.5)
        assert result.status == 200
    connected = [end for end in opened_ends(fleet) if end.connected]
    assert connected == [ends[0]]


def test_a_reset_link_does_not_go_on_with_its_spare_connection() -> None:
    fleet = build_fleet()
    ends = open_link(fleet)
    fleet.network.silent_ports.add(node_port(fleet))
    for end in ends:
        end.is_silent = True
    fleet.send("e", "/once/", "r")
    fleet.run(0.6)
    spare = opened_ends(fleet)[-1]
    assert spare is not ends[0] and spare.connected
    fleet.network.silent_ports.clear()
    fleet.gateways["e"]._router.reset_links()
    fleet.run(0.5)
    assert not spare.connected
    assert opened_ends(fleet)[-1].connected
