"""Guards against answers that are not whole or reach another request."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import MemoryNetwork
from radishtray_transport import HttpAnswer, HttpClient, RequestFailure

INVALID, LOST = RequestFailure.INVALID_ANSWER, RequestFailure.CONNECTION_LOST
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SECOND = OK + b"Content-Length: 6\r\n\r\nsecond"


class Upstream(Protocol):
    """Sends the first reply in parts and closes, then whole answers."""

    def connectionMade(self) -> None:
        self.received = b""

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        while b"\r\n\r\n" in self.received:
            self.received = self.received.partition(b"\r\n\r\n")[2]
            self.factory.reply(self.transport)


def exchange(
    reply: bytes, parts: int = 1, method: str = "GET", closes: bool = True
) -> list[Any]:
    """Sends two requests over one connection at a time."""
    network = MemoryNetwork()
    replies = [reply]
    later: list[Any] = []
    results: list[list[Any]] = [[], []]

    def answer(transport: Any) -> None:
        if not replies:
            later.append(transport)
            transport.write(SECOND)
            return
        text = replies.pop()
        size = max(1, -(-len(text) // parts))
        starts = range(0, len(text), size)
        for number, at in enumerate(starts):
            part = text[at : at + size]
            network.callLater(number * 0.01, transport.write, part)

        def close() -> None:
            if closes and transport not in later:
                transport.loseConnection()

        network.callLater(len(starts) * 0.01, close)

    factory = Factory.forProtocol(Upstream)
    factory.reply = answer
    port = network.listenTCP(0, factory).getHost().port
    client = HttpClient(network, "127.0.0.1", port, 1, max_body_bytes=64)
    for number, result in enumerate(results):
        client.request(
            method if number == 0 else "GET",
            f"/{number}",
            [],
            b"",
            lambda a, result=result: result.append((a.status, a.body)),
            result.append,
        )
    network.run(2)
    assert [len(result) for result in results] == [1, 1], results
    return [result[0] for result in results]


# Name: reply to the first request, its result.
REPLIES = {
    "length": (OK + b"Content-Length: 2\r\n\r\nok", (200, b"ok")),
    "chunks": (
        CHUNKED + b"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
        (200, b"abc"),
    ),
    "no_content": (b"HTTP/1.1 204 No\r\n\r\n", (204, b"")),
    "closes": (
        OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
        (200, b"ok"),
    ),
    "interim": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: 1\r\n\r\nx",
        (200, b"x"),
    ),
    "interim_with_length": (
        b"HTTP/1.1 103 Hints\r\nContent-Length: 0\r\n\r\n" + OK + b"\r\nbody",
        INVALID,
    ),
    "answer_behind_answer": (
        b"HTTP/1.1 204 No\r\n\r\n" + OK + b"Content-Length: 5\r\n\r\nother",
        (204, b""),
    ),
    "byte_behind_answer": (
        OK + b"Content-Length: 2\r\n\r\nokX",
        (200, b"ok"),
    ),
    "byte_behind_chunks": (CHUNKED + b"0\r\n\r\nX", (200, b"")),
    "truncated_head": (OK + b"Content-Le", LOST),
    "truncated_body": (OK + b"Content-Length: 5\r\n\r\nab", LOST),
    "truncated_chunk": (CHUNKED + b"5\r\nab", LOST),
    "no_last_chunk": (CHUNKED + b"2\r\nab\r\n", LOST),
    "no_length": (OK + b"\r\nbody", INVALID),
    "negative_length": (OK + b"Content-Length: -5\r\n\r\nhello you", INVALID),
    "two_lengths": (
        OK + b"Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        INVALID,
    ),
    "body_too_long": (OK + b"Content-Length: 65\r\n\r\n" + b"x" * 65, INVALID),
    "chunks_too_long": (
        CHUNKED + (b"20\r\n" + b"x" * 32 + b"\r\n") * 3 + b"0\r\n\r\n",
        INVALID,
    ),
    "chunk_longer_than_said": (CHUNKED + b"1\r\nab\r\n0\r\n\r\n", INVALID),
    "signed_chunk": (CHUNKED + b"-0\r\n\r\n", INVALID),
    "no_status": (b"HTTP/1.1\r\n\r\n", INVALID),
    "other_protocol": (b"ICY 200 OK\r\nContent-Length: 0\r\n\r\n", INVALID),
    "line_too_long": (OK + b"X: " + b"x" * 70_000, INVALID),
}


@pytest.mark.parametrize("parts", [1, 7])
@pytest.mark.parametrize("name", REPLIES)
def test_each_request_gets_its_own_whole_answer(name: str, parts: int) -> None:
    reply, expected = REPLIES[name]
    assert exchange(reply, parts) == [expected, (200, b"second")]


def test_body_of_a_head_answer_is_no_answer_to_the_next_request() -> None:
    reply = OK + b"Content-Length: 61\r\n\r\n" + SECOND.replace(b"sec", b"xxx")
    expected = [(200, b""), (200, b"second")]
    assert exchange(reply, method="HEAD", closes=False) == expected


def test_a_request_fails_as_not_connected_only_if_it_was_never_sent() -> None:
    network = MemoryNetwork()
    results: list[HttpAnswer | RequestFailure] = []
    client = HttpClient(network, "127.0.0.1", 9, 1)
    client.request("GET", "/", [], b"", results.append, results.append)
    network.run(0.1)
    assert results == [RequestFailure.NOT_CONNECTED]


PIECES = st.sampled_from(
    [
        OK,
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
@given(st.lists(PIECES, max_size=9), st.integers(1, 9), st.booleans())
def test_any_reply_settles_both_requests_once(
    pieces: list[bytes], parts: int, is_head: bool
) -> None:
    """A reply of any bytes neither raises nor reaches the second request.

    Bytes that arrive only after the second request was sent may reach it;
    nothing in HTTP/1.1 tells them from its answer.
    """
    reply = b"".join(pieces)
    first, second = exchange(reply, parts, "HEAD" if is_head else "GET")
    assert isinstance(first, RequestFailure) or set(first[1]) <= set(reply)
    assert parts > 1 or second == (200, b"second")
