"""Faults that operators of similar systems reported, played on gateways.

Each test has the name of what callers saw there.
"""

from typing import Any

import pytest

from radishtray_protocol import RouteTable
from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    GatewayFleet,
    build_route,
    build_route_table,
    echoed_id,
)
from radishtray_testing.memory_network import MemoryTransport
from radishtray_transport import HttpRequest, MemoryPurpose

TABLE = build_route_table(
    build_route("safe", "s"),
    build_route("once", "s", is_repeatable=False),
)
ID = HEADER_NAMES.request_id


# Requests may last longer than the grace period of a planned stop.
LONG_TABLE = build_route_table(
    build_route("safe", "s", timeout_s=20.0),
    build_route("once", "s", timeout_s=20.0, is_repeatable=False),
)


def build_fleet(nodes: int = 2, table: RouteTable = TABLE) -> GatewayFleet:
    fleet = GatewayFleet(table)
    fleet.add("e", "x")
    for number in range(nodes):
        fleet.add(f"n{number}", "s", slots=64)
    fleet.run(3)
    return fleet


def runs_of(fleet: GatewayFleet, request_id: str) -> int:
    """Returns how often upstreams have started to run a request."""
    return sum(up.runs.count(request_id) for up in fleet.upstreams.values())


def rejection(stated_id: str | None) -> bytes:
    id_line = f"{ID}: {stated_id}\r\n" if stated_id is not None else ""
    return (
        f"HTTP/1.1 503 Busy\r\n{id_line}{HEADER_NAMES.not_run}: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


# Name: id stated by the second rejection of request `r1`, and whether it is
# written before request `r2` arrives or while `r2` runs.
SECOND_REJECTIONS: dict[str, tuple[str | None, bool]] = {
    "with_id_while_the_next_runs": ("r1", False),
    "with_id_while_idle": ("r1", True),
    "without_id_while_the_next_runs": (None, False),
    "without_id_while_idle": (None, True),
}


@pytest.mark.parametrize("path", ["/safe/", "/once/"])
@pytest.mark.parametrize("name", SECOND_REJECTIONS)
def test_a_second_rejection_is_no_refusal_of_the_next_request(
    name: str, path: str
) -> None:
    stated_id, is_idle = SECOND_REJECTIONS[name]
    fleet = build_fleet(1)
    upstream = fleet.upstreams["n0"]
    channels: list[Any] = []

    def reject_first(http: HttpRequest) -> None:
        channels.append(http.channel)
        if len(channels) == 1:
            upstream.runs.pop()
            http.respond(
                503, [*echoed_id(http), HEADER_NAMES.not_run, "1"], b""
            )
            if is_idle:
                channels[0].writer.write(rejection(stated_id))
        elif http.header(ID.encode()) == b"r2":
            for channel in channels[:1]:
                channel.writer.write(rejection(stated_id))
            upstream.reactor.callLater(0.1, upstream.answer, http)
        else:
            upstream.answer(http)

    upstream.on_run = reject_first
    first = fleet.send("e", path, "r1")
    fleet.run(0.3)
    assert first.status == 200
    second = fleet.send("e", path, "r2")
    fleet.run(1)
    assert runs_of(fleet, "r2") == 1 or path == "/safe/"
    assert second.status in (200, 502), "it ran, so it must not be refused"


HEAD = (
    "HTTP/1.1 200 OK\r\n{id}: {value}\r\n{signature}: 7\r\n"
    "Content-Length: 7\r\nX-Last: 1\r\n\r\n"
)


@pytest.mark.parametrize("path", ["/safe/", "/once/"])
def test_an_answer_cut_in_its_head_or_body_is_no_whole_answer(
    path: str,
) -> None:
    whole = (
        HEAD.format(
            id=ID, value="r1", signature=HEADER_NAMES.signature
        ).encode()
        + b"content"
    )
    for cut in range(0, len(whole), 3):
        fleet = build_fleet(1)

        def cut_off(http: HttpRequest, cut: int = cut) -> None:
            channel = http.channel
            assert channel is not None
            channel.writer.write(whole[:cut])
            channel.transport.loseConnection()

        fleet.upstreams["n0"].on_run = cut_off
        result = fleet.send("e", path, "r1")
        fleet.run(1)
        assert result.status == 502, (cut, whole[:cut])


def test_a_late_second_answer_is_not_delivered_to_the_next_caller() -> None:
    fleet = build_fleet(1)
    upstream = fleet.upstreams["n0"]
    upstream.on_run = lambda http: upstream.answer_twice(
        http, b"of-" + (http.header(ID.encode()) or b""), 200, 0.02
    )
    results = []
    for number in range(20):
        results.append(fleet.send("e", "/once/", f"r{number}"))
        fleet.run(0.015)
    fleet.run(1)
    for number, result in enumerate(results):
        if result.status == 200:
            assert result.answer is not None
            assert result.answer.body == f"of-r{number}".encode()
    assert sum(result.status == 200 for result in results) >= 15


def test_a_planned_stop_answers_requests_accepted_just_before() -> None:
    fleet = build_fleet(2)
    for upstream in fleet.upstreams.values():
        upstream.on_run = lambda http, up=upstream: up.reactor.callLater(
            0.4, up.answer, http
        )
    results = []
    for step in range(60):
        if step == 20:
            fleet.gateways["e"].drain()
        if step == 24:
            fleet.gateways["n0"].drain()
        if step < 25:
            results.append(fleet.send("e", "/once/", f"r{step}"))
        fleet.run(0.02)
    fleet.run(4)
    assert [result.status for result in results] == [200] * len(results)


@pytest.mark.parametrize("sent_after_s", [0.0, 0.4])
@pytest.mark.parametrize("path", ["/once/", "/safe/"])
def test_a_planned_stop_answers_requests_that_outlast_the_grace(
    path: str, sent_after_s: float
) -> None:
    fleet = build_fleet(1, LONG_TABLE)
    # The upstream never answers, and the node may wait for it for 30 s.
    fleet.upstreams["n0"].on_run = lambda http: None
    fleet.gateways["e"].drain()
    fleet.run(sent_after_s)
    result = fleet.send("e", path, "r", deadline_ms=30_000)
    fleet.run(10)
    assert fleet.upstreams["n0"].runs
    assert (result.failure, result.status) == (None, 504)
    assert result.ended_s is not None


def test_a_call_under_way_to_a_node_that_drains_is_not_lost() -> None:
    fleet = build_fleet(2)

    def slow_down(*ends: MemoryTransport) -> None:
        for end in ends:
            end.delay_s = 0.02

    fleet.network.on_connection = slow_down
    # Gossip about the drain is later than the calls that are under way.
    fleet.network.datagram_delay = lambda _source, _target: 0.05
    fleet.gateways["n0"].drain()
    results = []
    for number in range(300):
        results.append(fleet.send("e", "/once/", f"r{number}"))
        fleet.run(0.005)
    fleet.run(1)
    assert [result.status for result in results] == [200] * len(results)


def test_a_late_heartbeat_brings_no_upstream_back_after_a_restart() -> None:
    """The restarted process does not know that the upstream has left."""
    fleet = build_fleet(2)
    fleet.gateways["n0"].accept_leave_report("i-n0", 1)
    fleet.upstreams["n0"].is_leaving = True
    fleet.run(0.2)
    fleet.kill("n0")
    fleet.run(0.5)
    # The new process receives a heartbeat of the upstream that has left.
    fleet.restart("n0")
    fleet.run(2)
    results = [fleet.send("e", "/once/", f"r{n}") for n in range(10)]
    fleet.run(1)
    assert [result.status for result in results] == [200] * 10
    assert not fleet.upstreams["n0"].runs


# Name: whether the health check is answered, its verdict is good, and the
# earliest and latest time of use.
RESTARTS: dict[str, tuple[bool, bool, float, float]] = {
    "healthy": (True, True, 0.0, 0.5),
    "healthy_but_says_otherwise": (True, False, 10.0, 12.0),
    "no_answer_to_the_check": (False, True, 10.0, 12.0),
}


@pytest.mark.parametrize("name", RESTARTS)
def test_an_upstream_is_used_soon_after_a_restart_of_its_node(
    name: str,
) -> None:
    answers, is_healthy, least_s, most_s = RESTARTS[name]
    fleet = build_fleet(1)
    upstream = fleet.upstreams["n0"]
    upstream.is_leaving = not is_healthy
    upstream.answers_health_checks = answers
    fleet.kill("n0")
    fleet.run(0.2)
    fleet.restart("n0")
    started_s = fleet.network.seconds()
    reports = 1
    used_at_s = None
    while used_at_s is None and fleet.network.seconds() < started_s + 14:
        fleet.run(0.1)
        elapsed_s = fleet.network.seconds() - started_s
        if elapsed_s >= reports * 1.5:
            reports += 1
            fleet.report("n0")
        if fleet.gateways["n0"].upstream.announcement is not None:
            used_at_s = elapsed_s
    assert used_at_s is not None
    assert least_s <= used_at_s <= most_s
    # Each report is checked while it may be late, a healthy one only once.
    late_reports = sum(1.5 * number < 10.0 for number in range(reports))
    assert upstream.health_checks == late_reports


@pytest.mark.parametrize("late_reports", [1, 2, 4])
def test_late_reports_after_a_restart_bring_no_upstream_back(
    late_reports: int,
) -> None:
    fleet = build_fleet(2)
    upstream = fleet.upstreams["n0"]
    reports = [
        upstream.report("s", 10 + number, slots=64)
        for number in range(late_reports)
    ]
    fleet.gateways["n0"].accept_leave_report("i-n0", 1)
    upstream.is_leaving = True
    fleet.run(1)
    fleet.kill("n0")
    fleet.run(0.2)
    fleet.restart("n0")
    runs = len(upstream.runs)
    for number in range(60):
        if reports and number % 10 == 5:
            fleet.gateways["n0"].accept_report(reports.pop(0))
        fleet.send("e", "/once/", f"r{number}")
        fleet.run(0.1)
    assert len(upstream.runs) == runs


def test_the_first_start_of_a_fleet_checks_no_health() -> None:
    fleet = build_fleet(2)
    assert [up.health_checks for up in fleet.upstreams.values()] == [0] * 3


@pytest.mark.parametrize("pause_s", [2.0, 4.0])
def test_a_node_paused_beyond_a_deadline_runs_nothing_for_it(
    pause_s: float,
) -> None:
    fleet = build_fleet(1)
    fleet.processes["n0"].pause()
    result = fleet.send("e", "/once/", "r1", deadline_ms=1000)
    fleet.run(pause_s)
    assert result.status in (502, 503, 504)
    fleet.processes["n0"].resume()
    fleet.run(2)
    assert runs_of(fleet, "r1") == 0 or result.status != 503


def test_work_on_a_silent_node_is_neither_repeated_nor_given_up() -> None:
    """A node that is paused for a while delivers the answers of its runs."""
    fleet = build_fleet(2)
    for upstream in fleet.upstreams.values():
        upstream.on_run = lambda http, up=upstream: up.reactor.callLater(
            0.3, up.answer, http
        )
    result = fleet.send("e", "/once/", "r1", deadline_ms=5000)
    fleet.run(0.1)
    (name,) = [n for n, up in fleet.upstreams.items() if "r1" in up.runs]
    fleet.processes[name].pause()
    fleet.run(1.2)
    fleet.processes[name].resume()
    fleet.run(2)
    assert runs_of(fleet, "r1") == 1
    assert result.status == 200


@pytest.mark.parametrize("path", ["/safe/", "/once/"])
def test_a_lost_answer_is_not_reported_as_not_run(path: str) -> None:
    fleet = build_fleet(2)

    def lose(http: HttpRequest) -> None:
        channel = http.channel
        assert channel is not None
        channel.transport.abortConnection()

    for upstream in fleet.upstreams.values():
        upstream.on_run = lose
    results = [fleet.send("e", path, f"r{n}") for n in range(8)]
    fleet.run(2)
    assert not {429, 503, 408, 421} & {result.status for result in results}
    if path == "/once/":
        assert [runs_of(fleet, f"r{n}") for n in range(8)] == [1] * 8


ANSWER_HEAD = f"HTTP/1.1 200 OK\r\n{ID}: {{id}}\r\n"
# Name: head of the answer, bytes that are then repeated without end.
ENDLESS_ANSWERS = {
    "head": (ANSWER_HEAD + "X-More: ", b"x" * 16_384),
    "head_lines": (ANSWER_HEAD, b"X-A: value\r\n" * 1_000),
    "body": (ANSWER_HEAD + "Content-Length: 9999999999\r\n\r\n", b"x" * 16_384),
    "body_until_close": (ANSWER_HEAD + "\r\n", b"x" * 16_384),
    "body_in_chunks": (
        ANSWER_HEAD + "Transfer-Encoding: chunked\r\n\r\n",
        b"2000\r\n" + b"x" * 8_192 + b"\r\n",
    ),
    "no_answer": ("", b"x" * 16_384),
}
# A node may take 200 MB in all; an idle one takes 36 MB.
MAX_HELD_BYTES = 100 * 1024 * 1024


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_bytes_without_end_to_many_requests_leave_the_node_its_memory(
    name: str,
) -> None:
    head, unit = ENDLESS_ANSWERS[name]
    fleet = GatewayFleet(TABLE)
    fleet.add("e", "x")
    upstream = fleet.add("n0", "s", slots=200)
    fleet.run(3)

    def answer(http: HttpRequest) -> None:
        if b"endless" not in http.uri:
            upstream.answer(http)
            return
        channel = http.channel
        assert channel is not None
        request_id = (http.header(ID.encode()) or b"").decode()
        channel.transport.write(head.format(id=request_id).encode())
        send_more(channel.transport)

    def send_more(transport: Any) -> None:
        if transport.connected:
            transport.write(unit)
            upstream.reactor.callLater(0.005, send_more, transport)

    upstream.on_run = answer
    caller = fleet.open_caller("e", 150)
    faulty = [
        fleet.send(
            "e", "/once/endless", f"r{n}", deadline_ms=1400, caller=caller
        )
        for n in range(150)
    ]
    served = []
    most_held = 0
    for step in range(100):
        served.append(fleet.send("e", "/safe/", f"s{step}"))
        fleet.run(0.02)
        held = sum(
            client_end.protocol.held_bytes
            for client_end, _ in fleet.upstream_connections("n0")
        )
        most_held = max(most_held, held)
    fleet.run(1)
    assert most_held < MAX_HELD_BYTES
    assert {result.status for result in faulty} <= {502, 504}
    assert {result.status for result in served} == {200}
    assert not fleet.upstream_connections("n0")[len(served) :]


UPLOAD_BYTES = 1_000_000
NODE_MEMORY_BYTES = 10_000_000


def build_upload_fleet(**memory: int) -> GatewayFleet:
    """Starts entry `e` and node `n0`, whose upstream takes 0.2 s."""
    fleet = GatewayFleet(LONG_TABLE)
    for name, service in (("e", "x"), ("n0", "s")):
        limit = {"memory_bytes": memory[name]} if name in memory else {}
        fleet.add(name, service, slots=64, **limit)
    upstream = fleet.upstreams["n0"]
    upstream.on_run = lambda http: upstream.reactor.callLater(
        0.2, upstream.answer, http
    )
    fleet.run(3)
    return fleet


def send_uploads(fleet: GatewayFleet, count: int) -> list[Any]:
    """Sends uploads, each slowly over a connection of its own."""
    caller = fleet.open_caller("e", count)
    small = [
        fleet.send("e", "/once/small", f"s{n}", caller=caller)
        for n in range(count)
    ]
    fleet.run(0.5)
    assert [result.status for result in small] == [200] * count
    for client_end, _ in fleet.caller_connections("e"):
        client_end.max_write_some_bytes = 0
        client_end.max_flush_bytes = 32_768
    return [
        fleet.send(
            "e",
            "/once/upload",
            f"u{n}",
            method="POST",
            body=bytes(UPLOAD_BYTES),
            deadline_ms=20_000,
            caller=caller,
        )
        for n in range(count)
    ]


def test_many_uploads_leave_the_entry_node_its_memory() -> None:
    fleet = build_upload_fleet(e=NODE_MEMORY_BYTES)
    results = send_uploads(fleet, 30)
    most_held = 0
    while not all(result.status for result in results):
        fleet.run(0.02)
        assert fleet.network.seconds() < 25
        held = sum(
            server_end.protocol.held_bytes
            for _, server_end in fleet.caller_connections("e")
        )
        most_held = max(most_held, held)
    assert [result.status for result in results] == [200] * 30
    assert most_held < NODE_MEMORY_BYTES


def test_uploads_of_other_nodes_beyond_the_memory_are_refused_as_not_run() -> (
    None
):
    fleet = build_upload_fleet(n0=NODE_MEMORY_BYTES)
    results = send_uploads(fleet, 30)
    fleet.run(8)
    statuses = [result.status for result in results]
    runs = [runs_of(fleet, f"u{n}") for n in range(30)]
    assert set(statuses) == {200, 503}
    assert runs == [int(status == 200) for status in statuses]
    assert fleet.send("e", "/once/later", "later").status == 0
    fleet.run(1)
    used = fleet.gateways["n0"]._limits.account.used_by_purpose()
    assert used[MemoryPurpose.NODE_CALLS] == 0
