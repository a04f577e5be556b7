"""Tests that a request gets only its own complete response.

A response to an earlier request, a truncated body or a connection that the
server is about to close must not decide the outcome of another request.
"""

from typing import Any

import pytest

from radishtray_transport import RequestFailure, ResponseFault
from radishtray_transport.tests.answer_builders import (
    ClientServerPair,
    build_response,
)

CONNECTION_LOST = RequestFailure.CONNECTION_LOST


# Name: bytes sent for request `2`, how the server then ends the connection,
# expected result.
RESPONSE_CASES = {
    "expected_id": (build_response("2", b"own"), None, b"own"),
    "other_response_first": (
        build_response("1", b"late") + build_response("2", b"own"),
        None,
        b"own",
    ),
    "only_other_response": (
        build_response("1", b"late"),
        "close",
        CONNECTION_LOST,
    ),
    "other_response_first_and_close": (
        build_response("1", b"late", b"Connection: close\r\n"),
        "close",
        RequestFailure.INVALID_ANSWER,
    ),
    "extra_response": (
        build_response("2", b"own") + build_response("2", b"again"),
        None,
        b"own",
    ),
    "id_twice": (
        build_response("2", b"own", b"X-Id: 2\r\n"),
        None,
        b"own",
    ),
    "id_with_spaces": (
        build_response(" 2 \t", b"own"),
        None,
        b"own",
    ),
    "two_ids": (
        build_response("2", b"own", b"X-Id: 1\r\n"),
        "close",
        CONNECTION_LOST,
    ),
    "close_delimited": (
        b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nall",
        "close",
        b"all",
    ),
    "close_delimited_and_reset": (
        b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\npart",
        "abort",
        CONNECTION_LOST,
    ),
    "close_delimited_other_response": (
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall",
        "close",
        CONNECTION_LOST,
    ),
    **{
        f"status_{status}": (
            build_response("2", b"all", status=f"{status} X".encode()),
            None,
            RequestFailure.INVALID_ANSWER,
        )
        for status in ("000", "001", "099", "600", "999")
    },
    "no_id": (
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        None,
        b"",
    ),
}


@pytest.mark.parametrize("name", RESPONSE_CASES)
def test_request_gets_only_its_own_complete_response(name: str) -> None:
    data, end, expected = RESPONSE_CASES[name]
    pair = ClientServerPair()

    def respond(transport: Any) -> None:
        transport.write(data)
        if end == "close":
            transport.loseConnection()
        elif end == "abort":
            pair.network.callLater(0.1, transport.abortConnection)

    pair.send("2", respond)
    assert pair.results == [expected]


# Name: what the server sends 50 ms before it closes, expected result.
EARLY_CLOSES = {
    "no_length": (b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\npart", CONNECTION_LOST),
    "length": (build_response("2", b"whole"), b"whole"),
    "chunks": (build_response("2", b"whole", framing="chunks"), b"whole"),
}


@pytest.mark.parametrize("name", EARLY_CLOSES)
def test_a_close_during_an_upload_does_not_complete_a_response(
    name: str,
) -> None:
    data, expected = EARLY_CLOSES[name]
    pair = ClientServerPair()

    def limit_rate(client_end: Any, _server_end: Any) -> None:
        client_end.max_write_some_bytes = client_end.max_flush_bytes = 1000

    pair.network.on_connection = limit_rate

    def respond(transport: Any) -> None:
        transport.write(data)
        pair.network.callLater(0.05, transport.loseConnection)

    pair.send("2", respond, seconds=2, body=b"x" * 30_000)
    assert pair.results == [expected]


def test_a_close_after_an_upload_completes_a_response_without_length() -> None:
    pair = ClientServerPair()

    def respond(transport: Any) -> None:
        transport.write(b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nall")
        pair.network.callLater(0.05, transport.loseConnection)

    pair.send("2", respond, body=b"x" * 30_000)
    assert pair.results == [b"all"]


def test_connection_is_not_reused_after_a_response_to_another_request() -> None:
    pair = ClientServerPair()
    both = build_response("1", b"late") + build_response("2", b"own")
    pair.send("2", lambda transport: transport.write(both))
    pair.send("3", lambda transport: transport.write(build_response("3", b"x")))
    assert pair.results == [b"own", b"x"]
    assert pair.factory.opened_connections == 2


# Name: bytes sent for request `2`, reported faults.
FAULT_CASES = {
    "none": (build_response("2", b"own"), []),
    "other_request": (
        build_response("1", b"late") + build_response("2", b"own"),
        [ResponseFault.OTHER_REQUEST],
    ),
    "no_request_id": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        [ResponseFault.NO_REQUEST_ID],
    ),
    "extra_bytes": (
        build_response("2", b"own") + b"more",
        [ResponseFault.EXTRA_BYTES],
    ),
    "malformed": (b"HTTP/1.1 2x0\r\n", [ResponseFault.MALFORMED]),
}


@pytest.mark.parametrize("name", FAULT_CASES)
def test_faults_in_responses_are_reported(name: str) -> None:
    data, expected = FAULT_CASES[name]
    pair = ClientServerPair()
    pair.send("2", lambda transport: transport.write(data))
    assert pair.faults == expected


def test_bytes_on_an_idle_connection_are_reported() -> None:
    pair = ClientServerPair()

    def respond_twice(transport: Any) -> None:
        transport.write(build_response("2", b"own"))
        pair.network.callLater(0.1, transport.write, b"late")

    pair.send("2", respond_twice)
    assert pair.faults == [ResponseFault.UNSOLICITED_BYTES]


# Name: seconds idle, extra headers of the first response, number of
# connections opened.
IDLE_CASES = {
    "short": (1.0, b"", 1),
    "beyond_own_limit": (6.0, b"", 2),
    "beyond_stated_limit": (3.0, b"Keep-Alive: timeout=4\r\n", 2),
    "within_stated_limit": (2.0, b"Keep-Alive: timeout=4\r\n", 1),
    "unreadable_limit": (1.0, b"Keep-Alive: timeout=x\r\n", 1),
}


@pytest.mark.parametrize("name", IDLE_CASES)
def test_connection_is_not_reused_close_to_its_idle_timeout(name: str) -> None:
    idle_s, headers, connection_count = IDLE_CASES[name]
    pair = ClientServerPair()
    pair.send(
        "1",
        lambda transport: transport.write(build_response("1", b"a", headers)),
    )
    pair.network.run(idle_s)
    pair.send("2", lambda transport: transport.write(build_response("2", b"b")))
    assert pair.results == [b"a", b"b"]
    assert pair.factory.opened_connections == connection_count
