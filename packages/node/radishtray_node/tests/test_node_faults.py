"""Guards against false or missing results when a link or a node fails.

In every case the caller must get exactly one result for each request, and no
`not_run` for a request that the upstream ran.
"""

from collections.abc import Callable
from typing import Any

import pytest

from radishtray_node._forwarding import SEND_ID_HEADER
from radishtray_node._link_liveness import PING_TIMEOUT_S
from radishtray_node._peer_link import IDLE_TIMEOUT_S
from radishtray_protocol import wire
from radishtray_testing.node_builders import (
    Caller,
    MemoryCluster,
    MemoryNode,
    build_document,
)
from radishtray_transport import NodeConnection

OTHER_KEYS = "a:" + "22" * 32


class Bench:
    """A caller, entry node `a`, and node `b` with an upstream of two slots."""

    def __init__(self, **document: Any) -> None:
        """Starts both nodes, without a connection between them."""
        self.cluster = MemoryCluster(build_document("s", **document))
        self.b: MemoryNode = self.cluster.add("b", "s")
        self.a: MemoryNode = self.cluster.add("a")
        self.a.set_candidates("s", "b")
        self.caller: Caller = self.cluster.caller(self.a)
        self.sent: list[str] = []

    def run(self, seconds: float) -> None:
        self.cluster.network.run(seconds)

    def send(self, path: str = "/s/write", key: str = "") -> int:
        """Sends a request with a unique query and returns its number."""
        number = len(self.sent)
        self.sent.append(f"{path[2:]}?{number}")
        method = "GET" if path.endswith("read") else "POST"
        self.caller.send(method, f"{path}?{number}", key)
        self.run(0.05)
        return number

    @property
    def upstream(self) -> Any:
        return self.b.upstream

    def link_ends(self) -> tuple[Any, Any]:
        """Returns the two ends, at `a` and at `b`, of the newest connection."""
        return self.cluster.connection_ends("b")[-1]

    def drop_frames(self, opening: bool = True, accepting: bool = True) -> None:
        """Drops all that the opening or accepting end sends from now on."""
        a, b = self.link_ends()
        a.is_silent, b.is_silent = opening, accepting

    def restart_b(self, incarnation: int) -> None:
        """Replaces node `b` and its upstream by new ones on the same port."""
        port = self.cluster.node_ports["b"]
        for _, accepting in self.cluster.connection_ends("b"):
            accepting.abortConnection()
        self.b = self.cluster.add("b", "s", incarnation=incarnation)
        listening = self.cluster.network.listener_factories
        listening[port] = listening[self.cluster.node_ports["b"]]

    def check_results(self) -> list[str]:
        """Returns what the caller got for each request.

        Fails if a request has no result, ran twice, or ran although its result
        is `not_run`.
        """
        seen = [self.caller.result_text(n) for n in range(len(self.sent))]
        assert "open" not in seen, seen
        for number, path in enumerate(self.sent):
            runs = self.upstream.runs.count(path)
            assert runs <= 1, f"{path} ran {runs} times"
            assert not (self.caller.claims_not_run(number) and runs), path
        return seen


def connection_refused(bench: Bench) -> None:
    bench.b.node_listener.close()
    bench.send()


def handshake_with_wrong_key(bench: Bench) -> None:
    bench.cluster.add("b", "s", keys=OTHER_KEYS)
    bench.send()


def connection_without_handshake(bench: Bench) -> None:
    bench.cluster.network.silent_ports.add(bench.cluster.node_ports["b"])
    bench.send()


def cut_while_running(bench: Bench) -> None:
    bench.send()
    bench.link_ends()[0].abortConnection()
    bench.run(0.5)
    bench.upstream.answer()


def silent_never_seen(bench: Bench) -> None:
    bench.send()
    bench.upstream.answer()
    bench.run(0.1)
    bench.drop_frames()
    bench.send()


def silent_running(bench: Bench) -> None:
    bench.send()
    bench.drop_frames()
    bench.run(2.5)
    bench.upstream.answer()


def silent_done(bench: Bench) -> None:
    bench.send()
    bench.drop_frames()
    bench.run(0.5)
    bench.upstream.answer()


def silent_answers_only(bench: Bench) -> None:
    bench.send()
    bench.drop_frames(opening=False)
    bench.upstream.answer()
    bench.send()


def silent_calls_only(bench: Bench) -> None:
    """The receiver gets no frames, while its own pings still arrive."""
    bench.send()
    bench.upstream.answer()
    bench.run(0.1)
    bench.drop_frames(accepting=False)
    bench.send()
    bench.run(2.5)
    bench.send()
    bench.upstream.answer(b"third")


def frames_of_fenced_connection(bench: Bench) -> None:
    bench.send()
    bench.upstream.answer()
    bench.run(0.1)
    opening, accepting = bench.link_ends()
    opening.holds_back, accepting.is_silent = True, True
    bench.send()
    bench.run(2.5)
    # Includes frames that were read from the socket before the connection was
    # fenced.
    late = list(opening._held)
    opening.release()
    accepting.connected = True
    for arrive in late:
        arrive()


def duplicate_call_frame(bench: Bench) -> None:
    bench.send()
    bench.upstream.answer()
    opening, _ = bench.link_ends()
    opening.holds_back = True
    bench.send()
    frames = list(opening._held)
    opening.release()
    for arrive in frames:
        opening._carry(arrive)
    bench.run(0.1)
    bench.upstream.answer(b"second")


def slow_link(bench: Bench) -> None:
    """The round trip is just shorter than the silence timeout."""

    def slow_down(*ends: Any) -> None:
        for end in ends:
            end.delay_s = 0.45 * PING_TIMEOUT_S

    bench.send()
    first = bench.link_ends()
    slow_down(*first)
    network = bench.cluster.network
    network.on_connection = slow_down
    connect = network.connect
    network.connect = lambda *arguments: network.callLater(
        0.9 * PING_TIMEOUT_S, connect, *arguments
    )
    bench.upstream.answer()
    bench.send()
    bench.run(1)
    bench.upstream.answer(b"second")
    bench.run(5)
    assert [
        ends for ends in bench.cluster.connection_ends("b") if ends[0].connected
    ] == [first]


def idle_link_reopens(bench: Bench) -> None:
    bench.send()
    bench.upstream.answer()
    bench.run(IDLE_TIMEOUT_S + 3)
    assert bench.link_ends()[0].connected is False
    bench.send()
    bench.upstream.answer(b"second")


def call_on_a_closing_connection(bench: Bench) -> None:
    """The call arrives together with the close of its connection."""
    bench.send()
    bench.upstream.answer()
    bench.run(0.1)
    opening = bench.link_ends()[0]
    bench.send()
    opening.protocol.close()
    bench.run(1)
    bench.upstream.answer(b"second")


def paused_receiver(bench: Bench) -> None:
    bench.send()
    bench.upstream.answer()
    bench.run(0.1)
    _, accepting = bench.link_ends()
    accepting.pauseProducing()
    bench.send()
    bench.run(2.5)
    accepting.resumeProducing()


def receiver_restarted(bench: Bench) -> None:
    bench.send()
    bench.restart_b(incarnation=2)


def receiver_stopped(bench: Bench) -> None:
    bench.send()
    bench.b.node_listener.close()
    bench.link_ends()[1].abortConnection()


def send_answers(bench: Bench, *attempt_numbers: int) -> None:
    """Sends answers from `b` whose bodies contain their attempt numbers."""
    connection: NodeConnection = bench.link_ends()[1].protocol
    for number in attempt_numbers:
        answer = wire.Answer(
            attempt_id=bench.a.attempt_id(number),
            status=200,
            headers=[],
            body=f"attempt {number}".encode(),
            retries_used=0,
            threshold=0,
            queue_ms=0,
            in_flight=0,
        )
        connection.send(wire.Frame(answer=answer))


def crossed_and_duplicate_answers(bench: Bench) -> None:
    bench.send()
    bench.send()
    send_answers(bench, 2, 7, 2, 1, 1, 0, -1)


def deadline_while_running(bench: Bench) -> None:
    bench.send()
    bench.run(6)
    assert bench.upstream.cancelled == ["/write?0"]


def deadline_in_full_queue(bench: Bench) -> None:
    for _ in range(3):
        bench.send()
    bench.run(6)


# For each case: the steps, and the result of each request after 12 s.
CASES: dict[str, tuple[Callable[[Bench], None], list[str]]] = {
    "connection_refused": (connection_refused, ["never_arrived"]),
    "handshake_with_wrong_key": (handshake_with_wrong_key, ["never_arrived"]),
    "connection_without_handshake": (
        connection_without_handshake,
        ["never_arrived"],
    ),
    "cut_while_running": (cut_while_running, ["done"]),
    "silent_never_seen": (silent_never_seen, ["done", "never_arrived"]),
    "silent_running": (silent_running, ["done"]),
    "silent_done": (silent_done, ["done"]),
    "silent_answers_only": (silent_answers_only, ["done", "deadline_running"]),
    "silent_calls_only": (
        silent_calls_only,
        ["done", "never_arrived", "third"],
    ),
    "frames_of_fenced_connection": (
        frames_of_fenced_connection,
        ["done", "never_arrived"],
    ),
    "duplicate_call_frame": (duplicate_call_frame, ["done", "second"]),
    "slow_link": (slow_link, ["done", "second"]),
    "idle_link_reopens": (idle_link_reopens, ["done", "second"]),
    "call_on_a_closing_connection": (
        call_on_a_closing_connection,
        ["done", "second"],
    ),
    "paused_receiver": (paused_receiver, ["done", "never_arrived"]),
    "receiver_restarted": (receiver_restarted, ["node_lost"]),
    "receiver_stopped": (receiver_stopped, ["node_lost"]),
    "crossed_and_duplicate_answers": (
        crossed_and_duplicate_answers,
        ["attempt 1", "attempt 2"],
    ),
    "deadline_while_running": (deadline_while_running, ["deadline_running"]),
    "deadline_in_full_queue": (
        deadline_in_full_queue,
        ["deadline_running", "deadline_running", "deadline_expected"],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_every_caller_gets_one_true_result(name: str) -> None:
    steps, expected = CASES[name]
    bench = Bench(retry_budget=0)
    steps(bench)
    bench.run(12)
    assert bench.check_results() == expected
    assert bench.a.entry.active == 0
    assert bench.a.router.outstanding_attempts == 0
    assert bench.b.upstream_server.unfinished_calls == 0


def test_a_second_answer_of_an_upstream_is_not_delivered_to_another() -> None:
    bench = Bench()
    bench.send("/s/read")
    first = bench.upstream.open.pop(0)
    channel = first.channel
    send_id = (first.header(SEND_ID_HEADER.encode()) or b"").decode()
    first.respond(200, [SEND_ID_HEADER, send_id], b"first")
    bench.run(0.1)
    bench.send("/s/read")
    second = bench.upstream.open.pop(0)
    assert second.channel is channel, "the connection is used again"
    head = f"HTTP/1.1 200 OK\r\n{SEND_ID_HEADER}: {send_id}\r\n"
    channel.writer.write(f"{head}Content-Length: 5\r\n\r\nfirst".encode())
    bench.run(0.1)
    other_id = (second.header(SEND_ID_HEADER.encode()) or b"").decode()
    second.respond(200, [SEND_ID_HEADER, other_id], b"second")
    bench.run(1)
    assert [bench.caller.result_text(n) for n in (0, 1)] == ["first", "second"]
