"""Tests that `HttpClient` reports only complete responses.

Malformed, truncated or extra bytes from the server must neither pass as a
complete response nor be read as the response to the next request.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import MemoryNetwork
from radishtray_transport import HttpClient, HttpResponse, RequestFailure

INVALID, LOST = RequestFailure.INVALID_ANSWER, RequestFailure.CONNECTION_LOST
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
SECOND_RESPONSE = OK_STATUS_LINE + b"Content-Length: 6\r\n\r\nsecond"


class StubServer(Protocol):
    """Calls `factory.on_request` for each request."""

    def connectionMade(self) -> None:
        self.received = b""

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        while b"\r\n\r\n" in self.received:
            self.received = self.received.partition(b"\r\n\r\n")[2]
            self.factory.on_request(self.transport)


def send_two_requests(
    first_response: bytes,
    part_count: int = 1,
    method: str = "GET",
    closes_connection: bool = True,
) -> list[Any]:
    """Returns the results of two requests over one connection at a time.

    The server sends the first response in parts and closes the connection if
    the second request did not reuse it. The second request gets
    `SECOND_RESPONSE`.
    """
    network = MemoryNetwork()
    unsent_responses = [first_response]
    second_transports: list[Any] = []
    results: list[list[Any]] = [[], []]

    def respond(transport: Any) -> None:
        if not unsent_responses:
            second_transports.append(transport)
            transport.write(SECOND_RESPONSE)
            return
        data = unsent_responses.pop()
        size = max(1, -(-len(data) // part_count))
        starts = range(0, len(data), size)
        for number, start in enumerate(starts):
            part = data[start : start + size]
            network.callLater(number * 0.01, transport.write, part)

        def close() -> None:
            if closes_connection and transport not in second_transports:
                transport.loseConnection()

        network.callLater(len(starts) * 0.01, close)

    factory = Factory.forProtocol(StubServer)
    factory.on_request = respond
    port = network.listenTCP(0, factory).getHost().port
    client = HttpClient(network, "127.0.0.1", port, 1, max_body_bytes=64)
    for number, result in enumerate(results):
        client.request(
            method if number == 0 else "GET",
            f"/{number}",
            [],
            b"",
            lambda response, result=result: result.append(
                (response.status, response.body)
            ),
            result.append,
        )
    network.run(2)
    assert [len(result) for result in results] == [1, 1], results
    return [result[0] for result in results]


# Name: response to the first request, expected result.
RESPONSE_CASES = {
    "content_length": (
        OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nok",
        (200, b"ok"),
    ),
    "chunked": (
        CHUNKED_HEAD + b"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
        (200, b"abc"),
    ),
    "no_content": (b"HTTP/1.1 204 No\r\n\r\n", (204, b"")),
    "connection_close": (
        OK_STATUS_LINE + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
        (200, b"ok"),
    ),
    "interim_response": (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        + OK_STATUS_LINE
        + b"Content-Length: 1\r\n\r\nx",
        (200, b"x"),
    ),
    "interim_response_with_length": (
        b"HTTP/1.1 103 Hints\r\nContent-Length: 0\r\n\r\n"
        + OK_STATUS_LINE
        + b"\r\nbody",
        INVALID,
    ),
    "extra_response": (
        b"HTTP/1.1 204 No\r\n\r\n"
        + OK_STATUS_LINE
        + b"Content-Length: 5\r\n\r\nother",
        (204, b""),
    ),
    "extra_byte": (
        OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nokX",
        (200, b"ok"),
    ),
    "extra_byte_after_chunks": (CHUNKED_HEAD + b"0\r\n\r\nX", (200, b"")),
    "truncated_head": (OK_STATUS_LINE + b"Content-Le", LOST),
    "truncated_body": (OK_STATUS_LINE + b"Content-Length: 5\r\n\r\nab", LOST),
    "truncated_chunk": (CHUNKED_HEAD + b"5\r\nab", LOST),
    "no_last_chunk": (CHUNKED_HEAD + b"2\r\nab\r\n", LOST),
    "no_length": (OK_STATUS_LINE + b"\r\nbody", INVALID),
    "negative_length": (
        OK_STATUS_LINE + b"Content-Length: -5\r\n\r\nhello you",
        INVALID,
    ),
    "two_lengths": (
        OK_STATUS_LINE + b"Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        INVALID,
    ),
    "body_too_long": (
        OK_STATUS_LINE + b"Content-Length: 65\r\n\r\n" + b"x" * 65,
        INVALID,
    ),
    "chunks_too_long": (
        CHUNKED_HEAD + (b"20\r\n" + b"x" * 32 + b"\r\n") * 3 + b"0\r\n\r\n",
        INVALID,
    ),
    "chunk_longer_than_stated": (
        CHUNKED_HEAD + b"1\r\nab\r\n0\r\n\r\n",
        INVALID,
    ),
    "signed_chunk_size": (CHUNKED_HEAD + b"-0\r\n\r\n", INVALID),
    "no_status": (b"HTTP/1.1\r\n\r\n", INVALID),
    "other_protocol": (b"ICY 200 OK\r\nContent-Length: 0\r\n\r\n", INVALID),
    "header_too_long": (OK_STATUS_LINE + b"X: " + b"x" * 70_000, INVALID),
}


@pytest.mark.parametrize("part_count", [1, 7])
@pytest.mark.parametrize("name", RESPONSE_CASES)
def test_each_request_gets_its_own_complete_response(
    name: str, part_count: int
) -> None:
    response, expected = RESPONSE_CASES[name]
    assert send_two_requests(response, part_count) == [
        expected,
        (200, b"second"),
    ]


def test_body_sent_after_head_response_is_not_read_as_next_response() -> None:
    response = (
        OK_STATUS_LINE
        + b"Content-Length: 61\r\n\r\n"
        + SECOND_RESPONSE.replace(b"sec", b"xxx")
    )
    expected = [(200, b""), (200, b"second")]
    assert (
        send_two_requests(response, method="HEAD", closes_connection=False)
        == expected
    )


def test_request_fails_as_not_connected_if_it_was_never_sent() -> None:
    network = MemoryNetwork()
    results: list[HttpResponse | RequestFailure] = []
    client = HttpClient(network, "127.0.0.1", 9, 1)
    client.request("GET", "/", [], b"", results.append, results.append)
    network.run(0.1)
    assert results == [RequestFailure.NOT_CONNECTED]


RESPONSE_PIECES = st.sampled_from(
    [
        OK_STATUS_LINE,
        b"HTTP/1.1 204 No\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b" folded\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
    ]
) | st.binary(max_size=6)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(st.lists(RESPONSE_PIECES, max_size=9), st.integers(1, 9), st.booleans())
def test_arbitrary_response_settles_both_requests_once(
    pieces: list[bytes], part_count: int, is_head: bool
) -> None:
    """Arbitrary bytes neither raise nor reach the second request.

    Bytes that arrive after the second request was sent may be read as its
    response, since HTTP/1.1 has no means to tell them apart.
    """
    response = b"".join(pieces)
    first, second = send_two_requests(
        response, part_count, "HEAD" if is_head else "GET"
    )
    assert isinstance(first, RequestFailure) or set(first[1]) <= set(response)
    assert part_count > 1 or second == (200, b"second")
