"""Tests of what concerns one process of an upstream and not its successor."""

from typing import Any

import pytest

from radishtray_node import Gateway
from radishtray_testing.gateway_builders import (
    FakeGatewayUpstream,
    GatewayFleet,
    build_route,
    build_route_table,
    echoed_id,
)
from radishtray_transport import HttpRequest

TIMEOUT_S = 20.0
TABLE = build_route_table(
    build_route("once", "s", is_repeatable=False, timeout_s=TIMEOUT_S)
)
CONNECT_S = 0.05
# Fewer than the slots of an upstream, more than it may use in a cold start.
REQUESTS = 4


class Replacement:
    """A node whose upstream is replaced while it runs a request.

    Attributes:
        fleet: Entry node `e` and node `n` with the upstream.
        gateway: Node `n`.
        first: The upstream's first process.
        second: Its successor, on another port.
    """

    def __init__(self) -> None:
        """Starts the nodes and the first process, which answers nothing."""
        self.fleet = GatewayFleet(TABLE)
        self.fleet.add("e", "x")
        self.first = self.fleet.add("n", "s")
        self.first.on_run = hold
        self.gateway: Gateway = self.fleet.gateways["n"]
        self.second = FakeGatewayUpstream(self.fleet.network, "second", hold)
        self.fleet.run(3)

    def send(self, request_id: str) -> Any:
        """Sends a request that must not be repeated, and lets it start."""
        result = self.fleet.send(
            "e", "/once/", request_id, deadline_ms=int(TIMEOUT_S * 1000)
        )
        self.fleet.run(0.2)
        return result

    def lose_connections(self, upstream: FakeGatewayUpstream) -> None:
        """Resets the connections to a process."""
        for _, end in self.fleet.network.connections[upstream.port]:
            end.abortConnection()

    def report_second(self) -> None:
        """Reports the second process to the node."""
        self.gateway.accept_report(self.second.report("s", 1))

    def check_second_serves(self) -> None:
        """Fails unless the second process is registered and has no crash."""
        announcement = self.gateway.upstream.announcement
        assert announcement is not None
        assert announcement.instance == "second"
        assert len(self.gateway.crash_tally) == 0
        assert len(self.fleet.gateways["e"].crash_tally) == 0


def hold(http: HttpRequest) -> None:
    """Leaves a request without an answer."""
    del http


def test_a_probe_of_an_ended_process_does_not_withdraw_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The probe is refused after the successor's report and first request."""
    replacement = Replacement()
    network = replacement.fleet.network
    process = replacement.fleet.processes["n"]
    connect = process.connectTCP
    lost = replacement.send("r1")
    replacement.first.close()
    replacement.lose_connections(replacement.first)

    def connect_slowly(*arguments: Any, **options: Any) -> None:
        network.callLater(CONNECT_S, lambda: connect(*arguments, **options))

    with monkeypatch.context() as patches:
        patches.setattr(process, "connectTCP", connect_slowly)
        network.advance(0)
    replacement.report_second()
    running = replacement.send("r2")
    assert replacement.second.runs == ["r2"]
    assert lost.status == 502
    replacement.check_second_serves()
    replacement.second.answer(replacement.second.requests[0])
    replacement.fleet.run(0.1)
    assert running.status == 200


def test_a_lost_connection_of_an_ended_process_probes_no_other() -> None:
    """The successor does not accept connections yet."""
    replacement = Replacement()
    lost = replacement.send("r1")
    replacement.second.close()
    replacement.report_second()
    replacement.lose_connections(replacement.first)
    replacement.fleet.run(0.2)
    assert lost.status == 502
    replacement.check_second_serves()


def test_a_late_loss_of_a_crashed_process_hides_no_later_crash() -> None:
    """All requests have the same content, by which crashes are counted."""
    replacement = Replacement()
    replacement.send("r1")
    replacement.send("r2")
    replacement.first.close()
    channel = replacement.first.requests[0].channel
    assert channel is not None
    channel.transport.abortConnection()
    replacement.fleet.run(0.1)
    assert replacement.gateway.upstream.announcement is None
    replacement.report_second()
    replacement.fleet.run(3)
    replacement.send("r3")
    assert replacement.second.runs == ["r3"]
    replacement.lose_connections(replacement.first)
    replacement.fleet.run(0.1)
    replacement.second.close()
    replacement.lose_connections(replacement.second)
    replacement.fleet.run(0.1)
    (suspect,) = replacement.gateway.crash_tally.export()
    assert suspect.crashes == 2


def test_an_answer_for_an_ended_process_does_not_withdraw_its_successor() -> (
    None
):
    """The answer states that another process has the reported address."""
    replacement = Replacement()
    result = replacement.send("r1")
    replacement.report_second()
    request = replacement.first.requests[0]
    request.respond(421, echoed_id(request), b"")
    replacement.fleet.run(0.2)
    assert result.status == 503
    replacement.check_second_serves()


# Name: start time in milliseconds and sequence number of a second report with
# the same instance id and address, and whether it is of another process.
RESTART_CASES = {
    "heartbeat": (1, 2, False),
    "repeated_heartbeat": (1, 1, False),
    "restart": (2, 1, True),
    "late_report_of_an_earlier_process": (0, 9, False),
}


@pytest.mark.parametrize("name", RESTART_CASES)
def test_a_restart_with_the_same_instance_id_keeps_no_old_connections(
    name: str,
) -> None:
    started_ms, sequence, is_restart = RESTART_CASES[name]
    replacement = Replacement()
    upstream = replacement.gateway.upstream
    client = upstream.client
    replacement.gateway.accept_report(
        replacement.first.report(
            "s", sequence, started_ms=started_ms, cold_left_s=4.0
        )
    )
    assert (upstream.client is not client) == is_restart
    for number in range(REQUESTS):
        replacement.send(f"r{number}")
    runs_at_once = len(replacement.first.runs)
    assert (runs_at_once < REQUESTS) == is_restart, "cold start"


def test_idle_connections_to_an_upstream_that_fell_silent_cost_no_request() -> (
    None
):
    fleet = GatewayFleet(TABLE)
    upstream = fleet.add("n", "s")
    fleet.run(3)
    for number in range(REQUESTS):
        fleet.send("n", "/once/", f"first{number}")
    fleet.run(1)
    connections = fleet.upstream_connections("n")
    assert len(connections) >= REQUESTS
    for ends in connections:
        for end in ends:
            end.is_silent = True
    fleet.run(2.5)
    results = [
        fleet.send("n", "/once/", f"later{number}")
        for number in range(REQUESTS)
    ]
    fleet.run(1)
    assert [result.status for result in results] == [200] * REQUESTS
    assert len(upstream.runs) == 2 * REQUESTS
