"""Guards the listener against input that is slow, too large or malformed."""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_testing.memory_network import MemoryNetwork, RawConnection
from radishtray_transport import HttpLimits, HttpRequest, HttpServer

LIMITS = HttpLimits(
    head_bytes=20_000,
    headers=20,
    body_bytes=100,
    connections=3,
    idle_s=60.0,
    request_s=10.0,
)
GET = b"GET /a HTTP/1.1\r\n\r\n"


class Bench:
    """A listener that echoes method, target and body."""

    def __init__(self) -> None:
        """Starts the listener."""
        self.network = MemoryNetwork()
        self.rejected: list[str] = []
        self.held: list[HttpRequest] = []
        self.holds = False
        self.server = HttpServer(
            self.network, self._handle, LIMITS, self.rejected.append
        )
        self.server.start("127.0.0.1", 0)

    def _handle(self, http: HttpRequest) -> None:
        if self.holds:
            self.held.append(http)
        else:
            http.respond(200, [], http.method + http.uri + http.body)

    def open(self) -> RawConnection:
        return self.network.open_connection(self.server.port)

    def send(self, *parts: bytes, pause_s: float = 0.01) -> RawConnection:
        raw = self.open()
        for part in parts:
            raw.transport.write(part)
            self.network.run(pause_s)
        self.network.run(0.1)
        return raw


def statuses(raw: RawConnection) -> list[int]:
    return [int(s) for s in re.findall(rb"HTTP/1\.1 (\d+)", raw.received)]


def post(body: bytes, head: bytes = b"") -> bytes:
    length = str(len(body)).encode()
    return (
        b"POST /p HTTP/1.1\r\nContent-Length: "
        + length
        + b"\r\n"
        + head
        + b"\r\n"
        + body
    )


CHUNKED = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

# Name: input, statuses, counted reasons, whether the connection stays open.
CASES: dict[str, tuple[bytes, list[int], list[str], bool]] = {
    "request": (GET, [200], [], True),
    "pipelined": (GET + post(b"x") + GET, [200, 200, 200], [], True),
    "continue": (post(b"x", b"Expect: 100-continue\r\n"), [100, 200], [], True),
    "chunked_body": (
        CHUNKED + b"2\r\nab\r\n0\r\n\r\n" + GET,
        [200] * 2,
        [],
        True,
    ),
    "http_1_0": (b"GET / HTTP/1.0\r\n\r\n", [200], [], False),
    "connection_close": (
        b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" + GET,
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
        b"GET / HTTP/1.1\r\n" + b"h: v\r\n" * 21 + b"\r\n" + GET,
        [431],
        ["head_too_large"],
        False,
    ),
    "body_too_large": (
        post(b"x" * 101) + GET,
        [413],
        ["body_too_large"],
        False,
    ),
    "chunks_too_large": (
        CHUNKED + (b"32\r\n" + b"x" * 50 + b"\r\n") * 3 + b"0\r\n\r\n" + GET,
        [413],
        ["body_too_large"],
        False,
    ),
    "no_request": (b"hello\r\n\r\n", [400], ["malformed_request"], False),
    "bad_length": (
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" + GET,
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
        b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + GET,
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
        GET + b"hello\r\n\r\n",
        [200, 400],
        ["malformed_request"],
        False,
    ),
    "bad_chunk": (CHUNKED + b"zz\r\n", [400], ["malformed_request"], False),
}


@pytest.mark.parametrize("parts", [1, 5])
@pytest.mark.parametrize("name", CASES)
def test_input_is_answered_or_rejected_and_counted(
    name: str, parts: int
) -> None:
    data, expected, reasons, stays_open = CASES[name]
    bench = Bench()
    size = -(-len(data) // parts)
    raw = bench.send(*(data[i : i + size] for i in range(0, len(data), size)))
    assert statuses(raw) == expected
    assert bench.rejected == reasons
    assert raw.is_closed is not stays_open
    assert statuses(bench.send(GET)) == [200], "others are not affected"


# Name: parts sent one second apart, time until 408 at the latest.
SLOW = {
    "request_line": (b"GET /", b"a", b"b", b"c"),
    "head": (b"GET / HTTP/1.1\r\n", b"a: b\r\n", b"c: d\r\n"),
    "body": (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n", b"a", b"b"),
    "second_request": (GET + b"GET /", b"a"),
}


@pytest.mark.parametrize("name", SLOW)
def test_a_slow_request_is_answered_with_408(name: str) -> None:
    bench = Bench()
    raw = bench.send(*SLOW[name], pause_s=1.0)
    assert not raw.is_closed
    bench.network.run(12)
    assert statuses(raw)[-1] == 408
    assert raw.is_closed
    assert bench.rejected == ["slow_request"]
    assert bench.server.connection_count == 0


def test_a_long_answer_is_no_slow_request() -> None:
    bench = Bench()
    bench.holds = True
    raw = bench.send(GET)
    bench.network.run(90)
    bench.held[0].respond(200, [], b"late")
    bench.network.run(0.1)
    assert statuses(raw) == [200]
    bench.network.run(62)
    assert raw.is_closed, "an idle connection is closed"
    assert bench.rejected == []


def test_connections_beyond_the_limit_are_closed_and_counted() -> None:
    bench = Bench()
    first = [bench.open() for _ in range(3)]
    beyond = bench.send(GET)
    assert beyond.is_closed
    assert bench.rejected == ["too_many_connections"]
    first[0].transport.loseConnection()
    bench.network.run(0.1)
    assert statuses(bench.send(GET)) == [200]


def test_a_closing_listener_answers_what_it_has_begun() -> None:
    bench = Bench()
    bench.holds = True
    idle, busy = bench.open(), bench.send(GET + GET)
    bench.server.close()
    bench.network.run(0.1)
    assert idle.is_closed
    bench.held[0].respond(200, [], b"whole")
    bench.network.run(0.1)
    assert busy.received.endswith(b"whole")
    assert busy.is_closed


def test_a_full_socket_keeps_the_order_of_answers() -> None:
    bench = Bench()
    raw = bench.open()
    accepting = bench.network.connections[bench.server.port][-1][1]
    accepting.max_write_some_bytes = 7
    raw.transport.write(post(b"first") + post(b"second") + GET)
    bench.network.run(0.1)
    bodies = re.findall(rb"\r\n\r\n(\S+?)(?=HTTP|$)", raw.received)
    assert bodies == [b"POST/pfirst", b"POST/psecond", b"GET/a"]


def test_requests_sent_ahead_are_all_answered_in_order() -> None:
    bench = Bench()
    bench.holds = True
    raw = bench.send(b"".join(post(b"%d" % i) for i in range(40)))
    for index in range(40):
        assert len(bench.held) == index + 1, "one request at a time"
        bench.held[index].respond(200, [], bench.held[index].body + b";")
        bench.network.run(0.05)
    bodies = re.findall(rb"(\d+);", raw.received)
    assert bodies == [b"%d" % i for i in range(40)]


def test_reading_goes_on_after_many_requests_sent_ahead() -> None:
    """A connection that was paused for them must not stay so."""
    bench = Bench()
    bench.holds = True
    raw = bench.send(post(b"x") * 40)
    bench.holds = False
    bench.held[0].respond(200, [], b"")
    bench.network.run(0.1)
    assert len(statuses(raw)) == 40
    raw.transport.write(GET)
    bench.network.run(0.1)
    assert len(statuses(raw)) == 41


def test_malformed_input_does_not_overtake_a_running_request() -> None:
    bench = Bench()
    bench.holds = True
    raw = bench.send(GET + b"hello\r\n\r\n")
    assert raw.received == b""
    bench.held[0].respond(200, [], b"whole")
    bench.network.run(0.1)
    assert statuses(raw) == [200, 400]
    assert raw.is_closed


PIECES = st.sampled_from(
    [
        GET,
        post(b"abc"),
        CHUNKED,
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
@given(st.lists(PIECES, max_size=8), st.integers(1, 5))
def test_any_input_gets_whole_answers_and_does_no_harm(
    pieces: list[bytes], parts: int
) -> None:
    """Every answer is whole, and another connection is served as before."""
    bench = Bench()
    data = b"".join(pieces)
    size = max(1, -(-len(data) // parts))
    raw = bench.send(*(data[i : i + size] for i in range(0, len(data), size)))
    rest = raw.received
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        assert re.match(rb"HTTP/1\.1 (100|200|400|413|431) ", head)
        length = re.search(rb"Content-Length: (\d+)", head)
        is_head = rest.startswith(b"HTTP/1.1") or not rest
        if length and not is_head:
            assert len(rest) >= int(length[1])
            rest = rest[int(length[1]) :]
    assert statuses(bench.send(GET)) == [200]
