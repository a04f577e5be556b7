"""Tests of calls over several nodes: cancels, resends, crashes and retries.

They guard against results that state something false about whether a call ran,
and against retries beyond the budget.
"""

from typing import Any

import pytest

from radishtray_protocol import wire
from radishtray_testing.node_builders import (
    Caller,
    MemoryCluster,
    MemoryNode,
    build_document,
)
from radishtray_transport import HttpRequest


def refusals_counter(reason: str, outcome: str) -> str:
    return f'radishtray_refusals_total{{outcome="{outcome}",reason="{reason}"}}'


CANCELLED_QUEUED = refusals_counter("cancelled_queued", "not_run")
CANCELLED_RUNNING = refusals_counter("cancelled_running", "outcome_unknown")


class Bench:
    """Entry node `a` and nodes with upstreams, by default one node `b`."""

    def __init__(
        self, slots: int = 1, nodes: str = "b", **document: Any
    ) -> None:
        """Starts the nodes; the first one with an upstream owns all keys."""
        self.cluster = MemoryCluster(build_document("s", **document))
        self.nodes: list[MemoryNode] = [
            self.cluster.add(node_id, "s", slots=slots) for node_id in nodes
        ]
        self.b = self.nodes[0]
        self.a: MemoryNode = self.cluster.add("a")
        self.a.set_candidates("s", *nodes)
        self.b.own_all_slots("s", self.a)
        self.caller: Caller = self.cluster.caller(self.a)

    def run(self, seconds: float = 0.1) -> None:
        self.cluster.network.run(seconds)

    def send(self, path: str = "/s/write", key: str = "") -> int:
        number = self.caller.send("POST", path, key)
        self.run()
        return number

    def all_runs(self) -> list[str]:
        return [run for node in self.nodes for run in node.upstream.runs]


def test_a_cancel_of_a_running_call_is_counted_as_unknown() -> None:
    bench = Bench()
    bench.caller.disconnect(bench.send())
    bench.run()
    assert bench.b.upstream.cancelled == ["/write"]
    assert bench.b.counter_value(CANCELLED_RUNNING) == 1
    assert bench.b.local_upstream.admission.in_flight == 0


def test_a_call_cancelled_while_queued_does_not_run() -> None:
    bench = Bench()
    bench.send("/s/write?1")
    bench.caller.disconnect(bench.send("/s/write?2"))
    bench.run()
    bench.b.upstream.answer()
    bench.run(1)
    assert bench.b.upstream.runs == ["/write?1"]
    assert bench.b.counter_value(CANCELLED_QUEUED) == 1


def test_a_call_cancelled_before_it_is_sent_is_not_left_running() -> None:
    """Guards against a run that continues with no caller waiting for it.

    The caller disconnects while the call waits for the connection between the
    nodes.
    """
    bench = Bench()
    number = bench.caller.send("POST", "/s/write")
    for _ in range(3):
        bench.cluster.network.advance(0)
    bench.caller.disconnect(number)
    bench.run(1)
    assert bench.a.router.outstanding_attempts == 0
    assert len(bench.b.upstream.runs) == len(bench.b.upstream.cancelled)


def test_a_disconnect_cancels_all_calls_of_the_chain() -> None:
    cluster = MemoryCluster(build_document("s", "t"))
    c: MemoryNode = cluster.add("c", "t")
    b: MemoryNode = cluster.add("b", "s")
    a: MemoryNode = cluster.add("a")
    a.set_candidates("s", "b")
    b.set_candidates("t", "c")

    def call_next_service(http: HttpRequest) -> None:
        handle = (http.header(b"Radishtray-Context") or b"").decode()
        pending = b.upstream.api_client.request(
            "POST",
            "/call/t/write",
            ["Radishtray-Context", handle],
            b"",
            lambda _: None,
            lambda _: None,
        )
        # The upstream does not react to the cancel and keeps its call open, so
        # the node has to cancel it.
        assert pending is not None

    b.upstream.on_run = call_next_service
    caller = cluster.caller(a)
    caller.send("POST", "/s/write")
    cluster.network.run(0.2)
    assert c.upstream.runs == ["/write"]
    caller.disconnect(0)
    cluster.network.run(0.2)
    assert c.upstream.cancelled == ["/write"]
    assert (
        b.counter_value(CANCELLED_RUNNING)
        == c.counter_value(CANCELLED_RUNNING)
        == 1
    )
    assert [n.upstream_server.unfinished_calls for n in (a, b, c)] == [0, 0, 0]


def test_a_resend_of_a_key_gets_the_answer_of_the_first_run() -> None:
    """The caller disconnects during the run, which must not be cancelled."""
    bench = Bench()
    key = bench.cluster.generate_key()
    bench.caller.disconnect(bench.send("/s/buy", key))
    bench.run(1)
    resend = bench.send("/s/buy", key)
    assert bench.b.upstream.cancelled == []
    bench.b.upstream.answer(b"first")
    bench.run()
    late = bench.send("/s/buy", key)
    other = bench.send("/s/buy?other", key)
    seen = [bench.caller.result_text(n) for n in (resend, late, other)]
    assert seen == ["first", "first", "key_reused"]
    assert bench.b.upstream.runs == ["/buy"]
    assert bench.a.entry.active == 0, "a drain waits for active requests"


def test_a_resend_gets_the_answer_that_came_after_the_deadline() -> None:
    """Guards against a second run of a key whose first send timed out."""
    bench = Bench()
    key = bench.cluster.generate_key()
    bench.send("/s/buy", key)
    bench.run(5)
    assert bench.caller.result_text(0) == "deadline_running"
    bench.b.upstream.answer(b"late")
    bench.run()
    assert bench.caller.result_text(bench.send("/s/buy", key)) == "late"
    assert bench.b.upstream.runs == ["/buy"]


def test_a_cancelled_resend_of_a_running_key_is_not_reported_as_not_run() -> (
    None
):
    """Guards against a sender that reads `not_run` while its key is running.

    The resend of a key joins the running send and is then cancelled.
    """
    bench = Bench()
    key = bench.cluster.generate_key()
    bench.send("/s/buy", key)
    bench.run(2)
    bench.send("/s/buy", key)
    opening, _ = bench.cluster.connection_ends("b")[-1]
    cancel = wire.Cancel(attempt_id=bench.a.attempt_id(2))
    opening.protocol.send(wire.Frame(cancel=cancel))
    bench.run()
    assert bench.caller.result_text(1) == "cancelled_running"
    assert bench.b.upstream.runs == ["/buy"]
    assert bench.b.counter_value(CANCELLED_QUEUED) == 0


def test_only_the_request_that_crashes_upstreams_is_blocked() -> None:
    """Guards against blocking requests that ran beside one that crashes.

    The request crashes each upstream that runs it. It reaches two of four
    upstreams and is then refused.
    """
    bench = Bench(slots=2, nodes="bcde")
    for node in bench.nodes:
        crash = node.upstream.crash

        def run(http: HttpRequest, crash: Any = crash) -> None:
            if b"poison" in http.uri:
                crash()
            else:
                network = bench.cluster.network
                network.callLater(0.2, http.respond, 200, [], b"fine")

        node.upstream.on_run = run
    for number in range(8):
        bench.caller.send("GET", f"/s/read?{number}")
    bench.run()
    bench.caller.send("GET", "/s/read?poison")
    bench.run(2)
    for _ in range(3):
        bench.caller.send("GET", "/s/read?poison")
        bench.run(1)
    crashing_runs = [run for run in bench.all_runs() if "poison" in run]
    other_results = [bench.caller.result_text(n) for n in range(8)]
    assert len(crashing_runs) == 2
    assert set(other_results) == {"fine"}
    assert bench.caller.result_text(11) == "crash_suspect"


# Retry budget at the entry node, and whether connections to two nodes of the
# second hop open but carry no data.
BUDGET_CASES = [(0, False), (1, False), (3, False), (6, False), (6, True)]


@pytest.mark.parametrize(("budget", "is_lossy"), BUDGET_CASES)
def test_retries_over_three_hops_stay_within_the_budget(
    budget: int, is_lossy: bool
) -> None:
    """Guards against retries that multiply from hop to hop.

    Every upstream of the last hop closes the connection, so that each hop
    tries again.
    """
    services = ("s", "t", "u")
    document = build_document(*services, retry_budget=budget)
    cluster = MemoryCluster(document)
    nodes: dict[str, list[MemoryNode]] = {
        service: [cluster.add(f"{service}{n}", service) for n in range(4)]
        for service in services
    }
    a: MemoryNode = cluster.add("a")
    senders = [a, *(n for group in nodes.values() for n in group)]
    for sender in senders:
        for service, group in nodes.items():
            sender.set_candidates(service, *(n.node_id for n in group))

    def relay(node: MemoryNode, service: str) -> Any:
        def run(http: HttpRequest) -> None:
            handle = (http.header(b"Radishtray-Context") or b"").decode()
            node.upstream.api_client.request(
                "GET",
                f"/call/{service}/read",
                ["Radishtray-Context", handle],
                b"",
                lambda _: (
                    http.channel and http.channel.transport.loseConnection()
                ),
                lambda _: None,
            )

        return run

    def close_connection(http: HttpRequest) -> None:
        if http.channel is not None:
            http.channel.transport.loseConnection()

    for service, following in (("s", "t"), ("t", "u")):
        for node in nodes[service]:
            node.upstream.on_run = relay(node, following)
    for node in nodes["u"]:
        node.upstream.on_run = close_connection
    if is_lossy:
        for node in nodes["t"][:2]:
            for sender in nodes["s"]:
                sender.router.release_link(node.node_id)
            cluster.network.silent_ports.add(cluster.node_ports[node.node_id])
    caller = cluster.caller(a)
    caller.send("GET", "/s/read")
    cluster.network.run(8)
    assert caller.result_text() != "open"
    retries = sum(
        float(line.rpartition(" ")[2])
        for node in senders
        for line in node.metrics.exposition().decode().splitlines()
        if line.startswith("radishtray_retries_total")
    )
    assert retries <= budget
    runs = sum(len(n.upstream.runs) for n in nodes["s"])
    assert is_lossy or (runs > 1) == (budget > 0), "a budget is used"
