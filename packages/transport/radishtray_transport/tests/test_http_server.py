"""Tests that `HttpServer` survives slow, oversized and malformed input.

Such input must be rejected and counted without effect on other connections,
and responses must be complete and in the order of the requests.
"""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_testing.memory_network import MemoryNetwork, RawConnection
from radishtray_transport import (
    HttpLimits,
    HttpRequest,
    HttpServer,
    MemoryAccount,
)
from radishtray_transport.tests.answer_builders import held_bytes

LIMITS = HttpLimits(
    head_bytes=20_000,
    headers=20,
    body_bytes=100,
    connections=3,
    idle_s=60.0,
    request_s=10.0,
)
GET_REQUEST = b"GET /a HTTP/1.1\r\n\r\n"


class ServerHarness:
    """A server that echoes method, target and body of each request.

    GET requests may overlap. While `holds_requests` is set, it leaves the
    responses to the test.
    """

    def __init__(self, limits: HttpLimits = LIMITS) -> None:
        """Starts the server."""
        self.network = MemoryNetwork()
        self.rejection_reasons: list[str] = []
        self.held_requests: list[HttpRequest] = []
        self.holds_requests = False
        self.server = HttpServer(
            self.network,
            self._handle_request,
            limits,
            self.rejection_reasons.append,
            lambda request: request.method == b"GET",
        )
        self.server.start("127.0.0.1", 0)

    def _handle_request(self, request: HttpRequest) -> None:
        if self.holds_requests:
            self.held_requests.append(request)
        else:
            request.respond(
                200, [], request.method + request.uri + request.body
            )

    def open(self) -> RawConnection:
        return self.network.open_connection(self.server.port)

    def send(self, *parts: bytes, pause_s: float = 0.01) -> RawConnection:
        connection = self.open()
        for part in parts:
            connection.transport.write(part)
            self.network.run(pause_s)
        self.network.run(0.1)
        return connection


def received_statuses(connection: RawConnection) -> list[int]:
    return [
        int(s) for s in re.findall(rb"HTTP/1\.1 (\d+)", connection.received)
    ]


def build_post(body: bytes, extra_headers: bytes = b"") -> bytes:
    length = str(len(body)).encode()
    return (
        b"POST /p HTTP/1.1\r\nContent-Length: "
        + length
        + b"\r\n"
        + extra_headers
        + b"\r\n"
        + body
    )


CHUNKED_HEAD = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

# Name: input, response statuses, rejection reasons, whether the connection
# stays open.
INPUT_CASES: dict[str, tuple[bytes, list[int], list[str], bool]] = {
    "request": (GET_REQUEST, [200], [], True),
    "pipelined": (
        GET_REQUEST + build_post(b"x") + GET_REQUEST,
        [200, 200, 200],
        [],
        True,
    ),
    "continue": (
        build_post(b"x", b"Expect: 100-continue\r\n"),
        [100, 200],
        [],
        True,
    ),
    "chunked_body": (
        CHUNKED_HEAD + b"2\r\nab\r\n0\r\n\r\n" + GET_REQUEST,
        [200] * 2,
        [],
        True,
    ),
    "trailers": (
        CHUNKED_HEAD + b"0\r\n" + b"t: v\r\n" * 19 + b"\r\n" + GET_REQUEST,
        [200, 200],
        [],
        True,
    ),
    "trailers_too_long": (
        CHUNKED_HEAD + b"0\r\n" + (b"t: " + b"v" * 9_000 + b"\r\n") * 4,
        [431],
        ["head_too_large"],
        False,
    ),
    "too_many_trailers": (
        CHUNKED_HEAD + b"0\r\n" + b"t: v\r\n" * 21 + b"\r\n",
        [431],
        ["head_too_large"],
        False,
    ),
    "http_1_0": (b"GET / HTTP/1.0\r\n\r\n", [200], [], False),
    "connection_close": (
        b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" + GET_REQUEST,
        [200],
        [],
        False,
    ),
    "long_head": (
        b"GET /" + b"a" * 18_000 + b" HTTP/1.1\r\n\r\n",
        [200],
        [],
        True,
    ),
    "head_line_too_long": (
        b"GET /" + b"a" * 30_000 + b" HTTP/1.1\r\n\r\n",
        [431],
        ["head_too_large"],
        False,
    ),
    "head_too_long": (
        b"GET / HTTP/1.1\r\n" + (b"h: " + b"v" * 9_000 + b"\r\n") * 3 + b"\r\n",
        [431],
        ["head_too_large"],
        False,
    ),
    "too_many_headers": (
        b"GET / HTTP/1.1\r\n" + b"h: v\r\n" * 21 + b"\r\n" + GET_REQUEST,
        [431],
        ["head_too_large"],
        False,
    ),
    "body_too_large": (
        build_post(b"x" * 101) + GET_REQUEST,
        [413],
        ["body_too_large"],
        False,
    ),
    "chunks_too_large": (
        CHUNKED_HEAD
        + (b"32\r\n" + b"x" * 50 + b"\r\n") * 3
        + b"0\r\n\r\n"
        + GET_REQUEST,
        [413],
        ["body_too_large"],
        False,
    ),
    "no_request": (b"hello\r\n\r\n", [400], ["malformed_request"], False),
    "bad_length": (
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" + GET_REQUEST,
        [400],
        ["malformed_request"],
        False,
    ),
    "two_lengths": (
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        [400],
        ["malformed_request"],
        False,
    ),
    "length_and_chunks": (
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        [400],
        ["malformed_request"],
        False,
    ),
    "upgrade": (
        b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        + GET_REQUEST,
        [200],
        [],
        False,
    ),
    "upgrade_with_body": (
        b"POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n"
        b"Content-Length: 2\r\n\r\nab",
        [400],
        ["malformed_request"],
        False,
    ),
    "malformed_after_request": (
        GET_REQUEST + b"hello\r\n\r\n",
        [200, 400],
        ["malformed_request"],
        False,
    ),
    "bad_chunk": (
        CHUNKED_HEAD + b"zz\r\n",
        [400],
        ["malformed_request"],
        False,
    ),
}


@pytest.mark.parametrize("part_count", [1, 5])
@pytest.mark.parametrize("name", INPUT_CASES)
def test_input_is_served_or_rejected_and_counted(
    name: str, part_count: int
) -> None:
    data, expected, reasons, stays_open = INPUT_CASES[name]
    harness = ServerHarness()
    size = -(-len(data) // part_count)
    connection = harness.send(
        *(data[i : i + size] for i in range(0, len(data), size))
    )
    assert received_statuses(connection) == expected
    assert harness.rejection_reasons == reasons
    assert connection.is_closed is not stays_open
    assert received_statuses(harness.send(GET_REQUEST)) == [200], (
        "others are not affected"
    )


# Name: parts of an incomplete request, sent one second apart.
SLOW_CASES = {
    "request_line": (b"GET /", b"a", b"b", b"c"),
    "head": (b"GET / HTTP/1.1\r\n", b"a: b\r\n", b"c: d\r\n"),
    "body": (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n", b"a", b"b"),
    "second_request": (GET_REQUEST + b"GET /", b"a"),
    "chunk_size": (CHUNKED_HEAD, b"0" * 5_000, b"0" * 5_000),
    "chunk_extension": (CHUNKED_HEAD + b"1;", b"x" * 5_000, b"x" * 5_000),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"t: v\r\n", b"t: v\r\n"),
}


@pytest.mark.parametrize("name", SLOW_CASES)
def test_slow_request_is_rejected_with_408(name: str) -> None:
    harness = ServerHarness()
    connection = harness.send(*SLOW_CASES[name], pause_s=1.0)
    assert not connection.is_closed
    harness.network.run(12)
    assert received_statuses(connection)[-1] == 408
    assert connection.is_closed
    assert harness.rejection_reasons == ["slow_request"]
    assert harness.server.connection_count == 0


def test_trailers_are_no_headers_of_the_request() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    harness.send(CHUNKED_HEAD + b"1\r\nx\r\n0\r\nX-Trailer: 1\r\n\r\n")
    (request,) = harness.held_requests
    assert request.body == b"x"
    assert [name for name, _, _ in request.headers] == [b"transfer-encoding"]


def test_slow_handler_does_not_trigger_the_request_timeout() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(GET_REQUEST)
    harness.network.run(90)
    harness.held_requests[0].respond(200, [], b"late")
    harness.network.run(0.1)
    assert received_statuses(connection) == [200]
    harness.network.run(62)
    assert connection.is_closed, "an idle connection is closed"
    assert harness.rejection_reasons == []


def test_connections_beyond_the_limit_are_closed_and_counted() -> None:
    harness = ServerHarness()
    first = [harness.open() for _ in range(3)]
    beyond = harness.send(GET_REQUEST)
    assert beyond.is_closed
    assert harness.rejection_reasons == ["too_many_connections"]
    first[0].transport.loseConnection()
    harness.network.run(0.1)
    assert received_statuses(harness.send(GET_REQUEST)) == [200]


def test_closing_listener_answers_all_requests_received() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    idle = harness.open()
    busy = harness.send(GET_REQUEST + build_post(b"x") + GET_REQUEST)
    harness.server.close()
    harness.network.run(0.1)
    assert idle.is_closed
    busy.transport.write(GET_REQUEST)
    for index in range(3):
        assert not busy.is_closed
        harness.held_requests[index].respond(200, [], b"whole %d" % index)
        harness.network.run(0.1)
    assert re.findall(rb"whole \d", busy.received) == [
        b"whole 0",
        b"whole 1",
        b"whole 2",
    ]
    assert busy.received.count(b"Connection: close") == 1
    assert busy.received.index(b"Connection: close") > busy.received.index(
        b"whole 1"
    )
    assert busy.is_closed
    assert len(harness.held_requests) == 3, "sent after the close began"


def get_request(number: int) -> bytes:
    return b"GET /%d HTTP/1.1\r\n\r\n" % number


OVERLAP_CASES: dict[str, tuple[list[bytes], int]] = {
    "repeatable requests": ([get_request(i) for i in range(3)], 3),
    "more than may be handled at the same time": (
        [get_request(i) for i in range(12)],
        8,
    ),
    "other request behind repeatable ones": (
        [get_request(0), get_request(1), build_post(b"x"), get_request(2)],
        2,
    ),
    "repeatable request behind another": (
        [build_post(b"x"), get_request(0)],
        1,
    ),
    "two other requests": ([build_post(b"x"), build_post(b"y")], 1),
    "request that is too large": (
        [
            get_request(0),
            b"GET /1 HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
        ],
        1,
    ),
    "request that closes the connection": (
        [
            get_request(0),
            b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n",
            get_request(2),
        ],
        2,
    ),
}


@pytest.mark.parametrize("name", OVERLAP_CASES)
def test_only_repeatable_requests_overlap(name: str) -> None:
    requests, concurrent_count = OVERLAP_CASES[name]
    harness = ServerHarness()
    harness.holds_requests = True
    harness.send(b"".join(requests))
    assert len(harness.held_requests) == concurrent_count


def test_slow_first_response_does_not_delay_the_start_of_the_others() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(b"".join(get_request(i) for i in range(3)))
    for index in (2, 1):
        harness.held_requests[index].respond(200, [], b"body %d;" % index)
        harness.network.run(0.1)
        assert connection.received == b""
    harness.held_requests[0].respond(200, [], b"body 0;")
    harness.network.run(0.1)
    bodies = re.findall(rb"body \d", connection.received)
    assert bodies == [b"body 0", b"body 1", b"body 2"]


def test_disconnect_reaches_all_pipelined_requests() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(b"".join(get_request(i) for i in range(3)))
    cancelled: list[bytes] = []
    for request in harness.held_requests:
        request.on_disconnect = lambda uri=request.uri: cancelled.append(uri)
    harness.held_requests[2].respond(200, [], b"")
    connection.transport.abortConnection()
    harness.network.run(0.1)
    assert cancelled == [b"/0", b"/1"]


@settings(deadline=None, max_examples=100, derandomize=True)
@given(
    kinds=st.lists(st.sampled_from(["GET", "POST", "last"]), max_size=10),
    steps=st.lists(
        st.sampled_from(["oldest", "newest", "close listener", "disconnect"]),
        max_size=14,
    ),
)
def test_pipelined_requests_get_one_response_each_in_their_order(
    kinds: list[str], steps: list[str]
) -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    requests = {
        "GET": b"GET /%d HTTP/1.1\r\n\r\n",
        "POST": b"POST /%d HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "last": b"GET /%d HTTP/1.1\r\nConnection: close\r\n\r\n",
    }
    connection = harness.send(
        b"".join(requests[kind] % i for i, kind in enumerate(kinds))
    )
    readable = kinds.index("last") + 1 if "last" in kinds else len(kinds)
    responded: set[bytes] = set()
    is_cut = False
    for step in [*steps, *["oldest"] * len(kinds)]:
        waiting = [r for r in harness.held_requests if r.uri not in responded]
        if step == "disconnect" and not is_cut:
            is_cut = True
            connection.transport.abortConnection()
        elif step == "close listener":
            harness.server.close()
        elif waiting:
            request = waiting[0 if step == "oldest" else -1]
            responded.add(request.uri)
            request.respond(200, [], request.uri + b";")
        harness.network.run(0.05)
        handled = [int(r.uri[1:]) for r in harness.held_requests]
        assert handled == list(range(len(handled))), "each once, in order"
        unanswered = [i for i in handled if b"/%d" % i not in responded]
        assert len(unanswered) <= 1 or "POST" not in {
            kinds[i] for i in unanswered
        }, "a request that must not be repeated runs alone"
    bodies = [int(i) for i in re.findall(rb"/(\d+);", connection.received)]
    assert bodies == list(range(len(bodies)))
    if not is_cut:
        assert bodies == list(range(readable)), "what was read is answered"


def test_full_socket_buffer_keeps_the_order_of_responses() -> None:
    harness = ServerHarness()
    connection = harness.open()
    accepting = harness.network.connections[harness.server.port][-1][1]
    accepting.max_write_some_bytes = 7
    connection.transport.write(
        build_post(b"first") + build_post(b"second") + GET_REQUEST
    )
    harness.network.run(0.1)
    bodies = re.findall(rb"\r\n\r\n(\S+?)(?=HTTP|$)", connection.received)
    assert bodies == [b"POST/pfirst", b"POST/psecond", b"GET/a"]


def test_pipelined_requests_are_answered_in_order() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(
        b"".join(build_post(b"%d" % i) for i in range(40))
    )
    for index in range(40):
        assert len(harness.held_requests) == index + 1, "one request at a time"
        harness.held_requests[index].respond(
            200, [], harness.held_requests[index].body + b";"
        )
        harness.network.run(0.05)
    bodies = re.findall(rb"(\d+);", connection.received)
    assert bodies == [b"%d" % i for i in range(40)]


def test_reading_resumes_after_many_pipelined_requests() -> None:
    """Reading pauses at a full queue and must resume once it is empty."""
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(build_post(b"x") * 40)
    harness.holds_requests = False
    harness.held_requests[0].respond(200, [], b"")
    harness.network.run(0.1)
    assert len(received_statuses(connection)) == 40
    connection.transport.write(GET_REQUEST)
    harness.network.run(0.1)
    assert len(received_statuses(connection)) == 41


def test_rejection_is_sent_after_the_active_response() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(GET_REQUEST + b"hello\r\n\r\n")
    assert connection.received == b""
    harness.held_requests[0].respond(200, [], b"whole")
    harness.network.run(0.1)
    assert received_statuses(connection) == [200, 400]
    assert connection.is_closed


REQUEST_PIECES = st.sampled_from(
    [
        GET_REQUEST,
        build_post(b"abc"),
        CHUNKED_HEAD,
        b"POST /p HTTP/1.1\r\n",
        b"Content-Length: 3\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b" folded\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"HEAD / HTTP/1.0\r\n\r\n",
    ]
) | st.binary(max_size=8)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(st.lists(REQUEST_PIECES, max_size=8), st.integers(1, 5))
def test_arbitrary_input_gets_complete_responses_and_is_isolated(
    pieces: list[bytes], part_count: int
) -> None:
    """Arbitrary input must not truncate responses or disturb others."""
    harness = ServerHarness()
    data = b"".join(pieces)
    size = max(1, -(-len(data) // part_count))
    connection = harness.send(
        *(data[i : i + size] for i in range(0, len(data), size))
    )
    rest = connection.received
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        assert re.match(rb"HTTP/1\.1 (100|200|400|413|431) ", head)
        length = re.search(rb"Content-Length: (\d+)", head)
        is_head = rest.startswith(b"HTTP/1.1") or not rest
        if length and not is_head:
            assert len(rest) >= int(length[1])
            rest = rest[int(length[1]) :]
    assert received_statuses(harness.send(GET_REQUEST)) == [200]


# Name: start of a request, bytes repeated without end.
ENDLESS_REQUESTS = {
    "chunk_size": (CHUNKED_HEAD, b"0"),
    "chunk_extension": (CHUNKED_HEAD + b"1;", b"x"),
    "chunks_with_extensions": (
        CHUNKED_HEAD,
        b"1;" + b"x" * 500 + b"\r\nx\r\n",
    ),
    "trailer_line": (CHUNKED_HEAD + b"0\r\nt: ", b"x"),
    "trailer_name": (CHUNKED_HEAD + b"0\r\n", b"x"),
    "header_line": (b"GET / HTTP/1.1\r\nh: ", b"x"),
    "request_line": (b"GET /", b"x"),
}


@pytest.mark.parametrize("name", ENDLESS_REQUESTS)
def test_endless_request_is_rejected_after_a_bounded_number_of_bytes(
    name: str,
) -> None:
    prefix, unit = ENDLESS_REQUESTS[name]
    read_bytes = 1_000
    harness = ServerHarness()
    connection = harness.open()
    unsent = prefix
    sent_bytes = 0
    while not connection.is_closed and sent_bytes < 500_000:
        while len(unsent) < read_bytes:
            unsent += unit
        connection.transport.write(unsent[:read_bytes])
        unsent = unsent[read_bytes:]
        sent_bytes += read_bytes
        harness.network.run(0.01)
    assert sent_bytes <= 2 * LIMITS.head_bytes
    assert received_statuses(connection)[0] in (400, 413, 431)
    assert len(harness.rejection_reasons) == 1


def test_body_in_chunks_of_one_byte_is_accepted() -> None:
    body = b"x" * LIMITS.body_bytes
    harness = ServerHarness()
    connection = harness.send(
        CHUNKED_HEAD,
        *[b"1\r\nx\r\n"] * LIMITS.body_bytes,
        b"0\r\n\r\n",
        pause_s=0.005,
    )
    assert received_statuses(connection) == [200]
    assert connection.received.endswith(body)


def test_framing_of_a_request_does_not_count_for_the_next_one() -> None:
    harness = ServerHarness()
    connection = harness.send(
        CHUNKED_HEAD,
        b"1;" + b"x" * 15_000,
        b"\r\nx\r\n0\r\n\r\nGET /" + b"a" * 12_000,
        b" HTTP/1.1\r\n\r\n",
    )
    assert received_statuses(connection) == [200, 200]


# Name: chunk that is repeated, number of chunks.
SMALL_CHUNKS = {
    "one_byte": (b"1\r\nx\r\n", 50_000),
    "two_bytes": (b"2\r\nxy\r\n", 25_000),
}


@pytest.mark.parametrize("name", SMALL_CHUNKS)
def test_body_in_small_chunks_takes_little_memory(name: str) -> None:
    chunk, count = SMALL_CHUNKS[name]
    harness = ServerHarness(HttpLimits(body_bytes=50_000))
    connection = harness.send(CHUNKED_HEAD, chunk * count)
    server_end = harness.network.connections[harness.server.port][0][1]
    # A buffer that grows may be larger than its content.
    assert held_bytes(vars(server_end.protocol)) < 75_000
    connection.transport.write(b"0\r\n\r\n")
    harness.network.run(0.1)
    assert received_statuses(connection) == [200]


def test_a_client_that_does_not_read_gets_no_further_requests_handled() -> None:
    """Guards against memory that grows with the requests of a slow client."""
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(b"".join(get_request(i) for i in range(12)))
    (channel,) = harness.server._channels
    assert len(harness.held_requests) == 8
    channel.pauseProducing()
    for request in harness.held_requests[:8]:
        request.respond(200, [], b"body")
    harness.network.run(0.1)
    assert connection.received == b""
    assert len(harness.held_requests) == 8
    channel.resumeProducing()
    harness.network.run(0.1)
    assert received_statuses(connection) == [200] * 8
    assert len(harness.held_requests) == 12


@pytest.mark.parametrize("is_closing", [False, True])
def test_a_connection_whose_client_does_not_read_is_reset(
    is_closing: bool,
) -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(get_request(0) + get_request(1))
    (channel,) = harness.server._channels
    channel.pauseProducing()
    cancelled: list[bytes] = []
    for request in harness.held_requests:
        request.on_disconnect = lambda uri=request.uri: cancelled.append(uri)
    if is_closing:
        channel.close_when_idle()
    harness.network.run(LIMITS.request_s / 2)
    assert not connection.is_closed
    harness.network.run(LIMITS.request_s)
    assert connection.is_closed
    assert cancelled == [b"/0", b"/1"]
    assert harness.rejection_reasons == ["unread_response"]


def test_a_connection_whose_client_reads_slowly_is_not_reset() -> None:
    harness = ServerHarness()
    harness.holds_requests = True
    connection = harness.send(get_request(0))
    (channel,) = harness.server._channels
    channel.transport.dataBuffer = bytes(100)
    channel.pauseProducing()
    for _ in range(5):
        harness.network.run(LIMITS.request_s * 0.9)
        channel.transport.offset += 10
    assert not connection.is_closed
    harness.network.run(LIMITS.request_s * 2)
    assert connection.is_closed


@pytest.mark.parametrize(
    ("expect", "first_bytes", "memory_bytes"),
    [(b"", 60_000, 170_000), (b"Expect: 100-continue\r\n", 70_000, 150_000)],
)
def test_a_body_that_ends_while_it_waits_for_memory_does_not_stop_reading(
    expect: bytes, first_bytes: int, memory_bytes: int
) -> None:
    network = MemoryNetwork()
    requests: list[HttpRequest] = []
    account = MemoryAccount(memory_bytes, 1)
    server = HttpServer(
        network,
        requests.append,
        HttpLimits(body_bytes=200_000),
        memory=account,
    )
    server.start("127.0.0.1", 0)
    holder, client = (network.open_connection(server.port) for _ in range(2))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n"
    head += expect + b"\r\n"
    for connection in (holder, client, client):
        for part in (head + bytes(first_bytes), bytes(70_000 - first_bytes)):
            connection.transport.write(part)
            network.run(0.1)
        if connection is client:
            requests[-1].respond(200, [], b"")
            network.run(0.1)
    assert client.received.count(b"200 OK") == 2
    # The body of the holder, its head and both connections.
    assert 70_000 <= account.used_bytes < 90_000
