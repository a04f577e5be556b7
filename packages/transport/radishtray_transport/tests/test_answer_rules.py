"""Guards against foreign answers, cut answers and stale connections."""

from typing import Any

import pytest
from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import MemoryNetwork
from radishtray_transport import AnswerRules, HttpClient, RequestFailure

RULES = AnswerRules(
    ends_with_connection=True, id_header="X-Id", idle_limit_s=5.0
)
LOST = RequestFailure.CONNECTION_LOST


def build_answer(number: str, body: bytes, head: bytes = b"") -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
        % (number.encode(), head, len(body))
    ) + body


class Server(Protocol):
    """Hands each request to the test."""

    def connectionMade(self) -> None:
        self.factory.opened += 1

    def dataReceived(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self.factory.on_request(self.transport)


class Peer:
    """A client and a server whose answers the test writes."""

    def __init__(self) -> None:
        """Opens the listener."""
        self.network = MemoryNetwork()
        self.factory = Factory.forProtocol(Server)
        self.factory.opened = 0
        self.factory.on_request = lambda transport: None
        port = self.network.listenTCP(0, self.factory).getHost().port
        self.client = HttpClient(
            self.network, "127.0.0.1", port, 4, rules=RULES
        )
        self.results: list[Any] = []

    def send(self, request_id: str, on_request: Any) -> None:
        """Sends a request and lets its answer arrive."""
        self.factory.on_request = on_request
        self.client.request(
            "GET",
            "/",
            [],
            b"",
            lambda answer: self.results.append(answer.body),
            self.results.append,
            expected_id=request_id,
        )
        self.network.run(0.5)


# Name: bytes on the connection for request `2`, how it ends, result.
ANSWERS = {
    "own": (build_answer("2", b"own"), None, b"own"),
    "late_one_before": (
        build_answer("1", b"late") + build_answer("2", b"own"),
        None,
        b"own",
    ),
    "only_of_another": (build_answer("1", b"late"), "close", LOST),
    "closing_one_before": (
        build_answer("1", b"late", b"Connection: close\r\n"),
        "close",
        RequestFailure.INVALID_ANSWER,
    ),
    "second_behind": (
        build_answer("2", b"own") + build_answer("2", b"again"),
        None,
        b"own",
    ),
    "no_length": (b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nall", "close", b"all"),
    "no_length_reset": (
        b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\npart",
        "abort",
        LOST,
    ),
    "no_length_of_another": (
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall",
        "close",
        LOST,
    ),
    "without_id": (
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        None,
        b"",
    ),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_a_request_gets_only_its_own_whole_answer(name: str) -> None:
    data, end, expected = ANSWERS[name]
    peer = Peer()

    def reply(transport: Any) -> None:
        transport.write(data)
        if end == "close":
            transport.loseConnection()
        elif end == "abort":
            peer.network.callLater(0.1, transport.abortConnection)

    peer.send("2", reply)
    assert peer.results == [expected]


def test_a_connection_with_a_foreign_answer_is_not_used_again() -> None:
    peer = Peer()
    both = build_answer("1", b"late") + build_answer("2", b"own")
    peer.send("2", lambda transport: transport.write(both))
    peer.send("3", lambda transport: transport.write(build_answer("3", b"x")))
    assert peer.results == [b"own", b"x"]
    assert peer.factory.opened == 2


# Name: seconds idle, head of the first answer, connections opened in all.
IDLE = {
    "short": (1.0, b"", 1),
    "beyond_own_limit": (6.0, b"", 2),
    "beyond_stated_limit": (3.0, b"Keep-Alive: timeout=4\r\n", 2),
    "within_stated_limit": (2.0, b"Keep-Alive: timeout=4\r\n", 1),
    "unreadable_limit": (1.0, b"Keep-Alive: timeout=x\r\n", 1),
}


@pytest.mark.parametrize("name", IDLE)
def test_a_connection_near_its_idle_time_is_not_used_again(name: str) -> None:
    idle_s, head, opened = IDLE[name]
    peer = Peer()
    peer.send("1", lambda t: t.write(build_answer("1", b"a", head)))
    peer.network.run(idle_s)
    peer.send("2", lambda t: t.write(build_answer("2", b"b")))
    assert peer.results == [b"a", b"b"]
    assert peer.factory.opened == opened
