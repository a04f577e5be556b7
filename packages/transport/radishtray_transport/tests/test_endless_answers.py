"""Tests a client of an upstream that sends bytes without end.

The connection must be closed after a bounded number of bytes, with bounded
memory, and a later request must get its answer on another connection.
"""

from typing import Any

import pytest

from radishtray_transport import MemoryAccount, RequestFailure
from radishtray_transport._memory_account import SMALL_BODY_BYTES
from radishtray_transport.tests.answer_builders import (
    ClientServerPair,
    build_response,
    held_bytes,
)

_MAX_BODY_BYTES = 100_000
_OVERHEAD_BYTES = 65_536
_PAUSE_S = 0.005
# The size of the connection is measured whenever so many bytes were sent.
_MEASURED_BYTES = 16_384
# The upstream gives up here, so that a client without a bound ends the test.
_SENT_BYTES = 4_000_000

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OWN = build_response("2", b"own")
INVALID = RequestFailure.INVALID_ANSWER


class EndlessServer:
    """Answers request `2` with bytes that are repeated without end.

    Attributes:
        accepted_bytes: Bytes sent before the client closed the connection.
        most_held_bytes: Largest size of the client's connection state.
        was_closed: Whether the client has closed the connection.
    """

    def __init__(self, prefix: bytes, unit: bytes, read_bytes: int) -> None:
        """Creates the client and the server.

        Args:
            prefix: Bytes sent once.
            unit: Bytes that are then repeated.
            read_bytes: Bytes of each read.
        """
        self.pair = ClientServerPair(max_body_bytes=_MAX_BODY_BYTES)
        self.accepted_bytes = 0
        self.most_held_bytes = 0
        self.was_closed = False
        self._unit = unit
        self._read_bytes = read_bytes
        self._unsent = prefix

    def run(self, idle_s: float = 0.0) -> None:
        """Sends request `2`, then request `3`, which is answered at once.

        Args:
            idle_s: Time after which an idle connection gets the bytes; 0 to
                send them as the answer to request `2`.
        """
        pair = self.pair
        pair.send("2", lambda transport: self._start(transport, idle_s), 0.1)
        while not self.was_closed and self.accepted_bytes < _SENT_BYTES:
            pair.network.advance(_PAUSE_S)
        own = build_response("3", b"third")
        pair.send("3", lambda transport: transport.write(own))

    def _start(self, transport: Any, idle_s: float) -> None:
        if idle_s:
            transport.write(OWN)
        self.pair.network.callLater(idle_s, self._send, transport)

    def _send(self, transport: Any) -> None:
        self.was_closed = not transport.connected
        if self.was_closed or self.accepted_bytes >= _SENT_BYTES:
            return
        while len(self._unsent) < self._read_bytes:
            self._unsent += self._unit
        data = self._unsent[: self._read_bytes]
        self._unsent = self._unsent[self._read_bytes :]
        transport.write(data)
        self.accepted_bytes += len(data)
        if self.accepted_bytes % _MEASURED_BYTES < self._read_bytes:
            self._note_size()
        self.pair.network.callLater(_PAUSE_S, self._send, transport)

    def _note_size(self) -> None:
        for client_end, _ in self.pair.network.connections[self.pair.port]:
            state = {
                name: value
                for name, value in vars(client_end.protocol).items()
                if isinstance(value, bytes | bytearray | str | list | dict)
            }
            self.most_held_bytes = max(self.most_held_bytes, held_bytes(state))


# Name: bytes sent once, bytes repeated, maximum number of bytes accepted.
ENDLESS_ANSWERS = {
    "status_line": (b"HTTP/1.1 200 ", b"O", _OVERHEAD_BYTES),
    "header_line": (HEAD + b"X: ", b"x", _OVERHEAD_BYTES),
    "header_name": (HEAD, b"x", _OVERHEAD_BYTES),
    "header_lines": (HEAD, b"X-A: value\r\n", _OVERHEAD_BYTES),
    "short_header_lines": (HEAD, b"a:\r\n", _OVERHEAD_BYTES),
    "ids": (HEAD, b"X-Id: 2\r\n", _OVERHEAD_BYTES),
    "empty_lines": (b"", b"\r\n", _OVERHEAD_BYTES),
    "interim_answers": (b"", b"HTTP/1.1 100 Go\r\n\r\n", _OVERHEAD_BYTES),
    "interim_answers_with_headers": (
        b"",
        b"HTTP/1.1 103 Hints\r\nLink: a\r\nX-Id: 2\r\n\r\n",
        _OVERHEAD_BYTES,
    ),
    "chunk_size": (CHUNKED_HEAD, b"0", _OVERHEAD_BYTES),
    "chunk_extension": (CHUNKED_HEAD + b"1;", b"x", _OVERHEAD_BYTES),
    "trailer_line": (CHUNKED_HEAD + b"0\r\nT: ", b"x", _OVERHEAD_BYTES),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"T: v\r\n", _OVERHEAD_BYTES),
    "short_trailers": (CHUNKED_HEAD + b"0\r\n", b"t:\r\n", _OVERHEAD_BYTES),
    "other_answers": (
        b"",
        build_response("1", b""),
        _OVERHEAD_BYTES,
    ),
    "other_answers_with_body": (
        b"",
        build_response("1", b"x" * 1000),
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "other_answers_in_chunks": (
        b"",
        build_response("1", b"x" * 50, framing="chunks"),
        2 * _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "other_answer_with_long_body": (
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 999999999\r\n\r\n",
        b"x",
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "other_answer_without_length": (
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
        b"x",
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "body": (
        HEAD + b"Content-Length: 999999999\r\n\r\n",
        b"x",
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "body_without_length": (
        HEAD + b"\r\n",
        b"x",
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "body_in_chunks": (
        CHUNKED_HEAD,
        b"400\r\n" + b"x" * 1024 + b"\r\n",
        _OVERHEAD_BYTES + _MAX_BODY_BYTES,
    ),
    "chunks_of_one_byte": (
        CHUNKED_HEAD,
        b"1\r\nx\r\n",
        _OVERHEAD_BYTES + 6 * _MAX_BODY_BYTES,
    ),
    "chunks_of_two_bytes": (
        CHUNKED_HEAD,
        b"2\r\nxy\r\n",
        _OVERHEAD_BYTES + 4 * _MAX_BODY_BYTES,
    ),
    "chunks_with_extensions": (
        CHUNKED_HEAD,
        b"1;" + b"y" * 200 + b"\r\nx\r\n",
        2 * _OVERHEAD_BYTES,
    ),
    "no_answer": (b"", b"x", 0),
    "no_id": (build_response(None, b""), b"x", 0),
}


@pytest.mark.parametrize("read_bytes", [700, 16_384])
@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
def test_endless_answer_fails_after_a_bounded_number_of_bytes(
    name: str, read_bytes: int
) -> None:
    prefix, unit, max_bytes = ENDLESS_ANSWERS[name]
    server = EndlessServer(prefix, unit, read_bytes)
    server.run()
    # One read exceeds the bound, one may be on its way.
    assert server.accepted_bytes <= max_bytes + 2 * read_bytes
    assert server.was_closed
    assert server.pair.results == [INVALID, b"third"]
    assert server.pair.factory.opened_connections == 2
    assert server.most_held_bytes < 2 * (_OVERHEAD_BYTES + _MAX_BODY_BYTES)


# Name: bytes sent once, bytes repeated.
EXTRA_BYTES = {
    "bytes": (OWN, b"x"),
    "empty_lines": (OWN, b"\r\n"),
    "answers": (OWN, build_response("2", b"more")),
    "other_answers": (OWN, build_response("1", b"late")),
    "interim_answers": (OWN, b"HTTP/1.1 100 Go\r\n\r\n"),
    "after_connection_close": (
        build_response("2", b"own", b"Connection: close\r\n"),
        b"x",
    ),
    "after_chunks": (build_response("2", b"own", framing="chunks"), b"x"),
}


@pytest.mark.parametrize("name", EXTRA_BYTES)
def test_endless_bytes_after_an_answer_close_the_connection(name: str) -> None:
    prefix, unit = EXTRA_BYTES[name]
    server = EndlessServer(prefix, unit, 700)
    server.run()
    assert server.accepted_bytes <= 3 * 700
    assert server.was_closed
    assert server.pair.results == [b"own", b"third"]
    assert server.pair.factory.opened_connections == 2


@pytest.mark.parametrize("name", EXTRA_BYTES)
def test_endless_bytes_on_an_idle_connection_close_it(name: str) -> None:
    _, unit = EXTRA_BYTES[name]
    server = EndlessServer(b"", unit, 700)
    server.run(idle_s=0.05)
    assert server.accepted_bytes <= 2 * 700
    assert server.was_closed
    assert server.pair.results == [b"own", b"third"]
    assert server.pair.factory.opened_connections == 2


# Name: bytes before the answer to request `2`, framing of its body.
LONG_ANSWERS = {
    "other_answer_of_the_longest_body": (
        build_response("1", b"x" * _MAX_BODY_BYTES),
        "length",
    ),
    "other_answers": (build_response("1", b"x" * 50) * 100, "length"),
    "interim_answers": (b"HTTP/1.1 103 Go\r\nLink: a\r\n\r\n" * 100, "length"),
    "chunks": (b"", "chunks"),
    "no_length": (b"", "none"),
}


@pytest.mark.parametrize("name", LONG_ANSWERS)
def test_longest_answer_is_accepted(name: str) -> None:
    before, framing = LONG_ANSWERS[name]
    body = b"x" * _MAX_BODY_BYTES
    stream = before + build_response("2", body, framing=framing)
    pair = ClientServerPair(max_body_bytes=_MAX_BODY_BYTES)

    def respond(transport: Any) -> None:
        for start in range(0, len(stream), 5000):
            transport.write(stream[start : start + 5000])
        transport.loseConnection()

    pair.send("2", respond)
    assert pair.results == [body]


def test_body_in_chunks_of_one_byte_is_accepted() -> None:
    body = b"x" * _MAX_BODY_BYTES
    stream = CHUNKED_HEAD + b"1\r\nx\r\n" * _MAX_BODY_BYTES + b"0\r\n\r\n"
    pair = ClientServerPair(max_body_bytes=_MAX_BODY_BYTES)
    pair.send("2", lambda transport: transport.write(stream))
    assert pair.results == [body]


# Name: number of headers of the answer besides its id, expected result.
HEADER_COUNTS = {"most": (499, b"own"), "too_many": (500, INVALID)}


@pytest.mark.parametrize("name", HEADER_COUNTS)
def test_number_of_headers_is_limited(name: str) -> None:
    count, expected = HEADER_COUNTS[name]
    answer = build_response("2", b"own", b"X-A: value\r\n" * count)
    pair = ClientServerPair()
    pair.send("2", lambda transport: transport.write(answer))
    assert pair.results == [expected]


# Name: framing of the answer.
KEPT_CONNECTIONS = {"length": "length", "chunks": "chunks"}


@pytest.mark.parametrize("name", KEPT_CONNECTIONS)
def test_idle_connection_holds_no_answer(name: str) -> None:
    framing = KEPT_CONNECTIONS[name]
    headers = b"Y: %s\r\n" % (b"y" * 9000)
    body = b"x" * _MAX_BODY_BYTES
    answer = build_response("2", body, headers, framing=framing)
    pair = ClientServerPair(max_body_bytes=_MAX_BODY_BYTES)
    pair.send("2", lambda transport: transport.write(answer))
    assert pair.results == [body]
    connection = pair.network.connections[pair.port][0][0].protocol
    assert held_bytes(vars(connection)) < 5000


def test_large_answers_are_all_delivered_if_few_are_read_at_a_time() -> None:
    limit = MemoryAccount(1, 2 * _MAX_BODY_BYTES)
    pair = ClientServerPair(8, max_body_bytes=_MAX_BODY_BYTES, memory=limit)
    bodies = [bytes([number]) * 90_000 for number in range(8)]
    for number, body in enumerate(bodies):
        response = build_response(str(number), body)

        def answer(transport: Any, response: bytes = response) -> None:
            for start in range(0, len(response), _MEASURED_BYTES):
                pair.network.callLater(
                    start / 300_000,
                    transport.write,
                    response[start : start + _MEASURED_BYTES],
                )

        pair.send(str(number), answer, 0.01)
    held = 0
    while len(pair.results) < len(bodies) and pair.network.seconds() < 5:
        pair.network.advance(0.01)
        ends = pair.network.connections[pair.port]
        held = max(held, sum(end.protocol.held_bytes for end, _ in ends))
    assert sorted(pair.results) == bodies
    assert held <= 2 * 90_000 + 6 * (SMALL_BODY_BYTES + _MEASURED_BYTES)
    assert limit.used_bytes == 0
