"""Guards against callers and upstreams that gain what is not theirs."""

import json
from typing import Any

import pytest

from radishtray_node._operator_api import OperatorApi
from radishtray_node._upstream_server import UpstreamServer
from radishtray_state import RefusalReason
from radishtray_testing.memory_network import RawConnection
from radishtray_testing.node_builders import (
    Caller,
    MemoryCluster,
    MemoryNode,
    build_document,
)
from radishtray_transport import HttpAnswer, HttpLimits, HttpRequest, HttpServer


class Bench:
    """Entry node `a`, nodes `b` and `c` with an upstream each."""

    def __init__(self) -> None:
        """Starts the nodes; requests are kept open by the upstreams."""
        self.cluster = MemoryCluster(build_document("s", "t", retry_budget=8))
        self.b: MemoryNode = self.cluster.add("b", "s")
        self.c: MemoryNode = self.cluster.add("c", "t")
        self.a: MemoryNode = self.cluster.add("a")
        self.a.set_candidates("s", "b")
        self.b.set_candidates("t", "c")
        self.answers: list[HttpAnswer] = []

    def run(self, seconds: float = 0.1) -> None:
        self.cluster.network.run(seconds)

    def raw(self, text: str) -> RawConnection:
        raw = self.cluster.network.open_connection(self.a.caller_listener.port)
        raw.transport.write(text.replace("\n", "\r\n").encode("latin-1"))
        self.run()
        return raw

    def request(
        self, node: MemoryNode, method: str, path: str, *headers: str
    ) -> None:
        """Sends a request to a node's upstream listener."""
        node.upstream.api_client.request(
            method,
            path,
            list(headers),
            b"",
            self.answers.append,
            lambda failure: pytest.fail(str(failure)),
        )
        self.run()


def test_own_headers_from_outside_reach_no_upstream() -> None:
    """Only the node itself states context, deadline and request id."""
    bench = Bench()
    bench.raw(
        "GET /s/read HTTP/1.1\nHost: x\nradishtray-context: forged\n"
        "RADISHTRAY-DEADLINE-MS: 999999\nRadishtray-Request-Id: forged\n"
        "Radishtray-Anything: forged\nConnection: keep-alive\nTE: gzip\n"
        "Idempotency-Key: forged\nX-Other: kept\n\n"
    )
    http: HttpRequest = bench.b.upstream.open[0]
    seen = {name: value for _, name, value in http.headers}
    assert len(seen) == len(http.headers), "no header is repeated"
    assert b"forged" not in seen.values()
    assert int(seen[b"Radishtray-Deadline-Ms"]) <= 4000
    assert seen[b"X-Other"] == b"kept"
    assert b"TE" not in seen
    assert b"Idempotency-Key" not in seen


# Name: handle to send for a running request's own one; retries of its call.
HANDLES = {
    "valid": ("{}", True),
    "missing": ("", False),
    "unknown": ("0123456789abcdef", False),
    "of_another_node": ("{}", False),
    "expired": ("{}", False),
}


@pytest.mark.parametrize("name", HANDLES)
def test_only_a_running_request_gives_a_call_its_budget(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    text, has_budget = HANDLES[name]
    bench = Bench()
    caller = bench.cluster.caller(bench.a)
    caller.send("GET", "/s/read")
    bench.run()
    http: HttpRequest = bench.b.upstream.open[0]
    own = (http.header(b"Radishtray-Context") or b"").decode()
    if name == "expired":
        bench.b.upstream.answer()
        bench.run()
    sender = bench.b
    if name == "of_another_node":
        sender = bench.c
        sender.set_candidates("t", "c")
    contexts: list[Any] = []
    serve = UpstreamServer.serve

    def note(server: UpstreamServer, call: Any, done: Any) -> Any:
        contexts.append(call.context)
        return serve(server, call, done)

    monkeypatch.setattr(UpstreamServer, "serve", note)
    headers = ["Radishtray-Context", text.format(own)] if text else []
    bench.request(sender, "GET", "/call/t/read", *headers)
    assert len(contexts) == 1
    assert (contexts[0].retry_budget > 0) is has_budget
    assert (contexts[0].depth > 1) is has_budget


GOOD = {"service": "s", "address": "127.0.0.1:9", "slots": 4}
# Name: body of the announcement, status, text of the answer.
ANNOUNCEMENTS = {
    "good": (json.dumps(GOOD), 204, ""),
    "not_json": ("{", 400, "not JSON"),
    "not_an_object": ("[]", 400, "must be a JSON object"),
    "no_service": (json.dumps({"address": "127.0.0.1:9"}), 400, "'service'"),
    "empty_service": (json.dumps(GOOD | {"service": ""}), 400, "service"),
    "service_no_text": (json.dumps(GOOD | {"service": None}), 400, "service"),
    "no_ip": (json.dumps(GOOD | {"address": "host:9"}), 400, "'host'"),
    "no_port": (json.dumps(GOOD | {"address": "127.0.0.1"}), 400, "invalid"),
    "port_0": (json.dumps(GOOD | {"address": "127.0.0.1:0"}), 400, "port 0"),
    "no_slots": (json.dumps(GOOD | {"slots": 0}), 400, "slots 0"),
    "too_many_slots": (json.dumps(GOOD | {"slots": 10**9}), 400, "slots"),
    "endless_slots": ('{"service":"s","address":"127.0.0.1:9","slots":1e999}',)
    + (400, "invalid"),
    "cold_start_nan": (
        '{"service":"s","address":"127.0.0.1:9","slots":1,"cold_start_s":NaN}',
        400,
        "cold_start_s",
    ),
    "deeply_nested": ("[" * 100_000, 400, "not JSON"),
}


@pytest.mark.parametrize("name", ANNOUNCEMENTS)
def test_a_malformed_announcement_changes_nothing(name: str) -> None:
    body, status, text = ANNOUNCEMENTS[name]
    bench = Bench()
    before = bench.b.local_upstream.announcement
    results: list[Any] = []
    bench.b.upstream.api_client.request(
        "PUT", "/announce", [], body.encode(), results.append, results.append
    )
    bench.run()
    assert (results[0].status, text in results[0].body.decode()) == (
        status,
        True,
    )
    assert (bench.b.local_upstream.announcement is before) is (status != 204)


# Name: request line and headers, status.
OPERATOR = {
    "status": ("GET /status HTTP/1.1\nAuthorization: Bearer {}", 200),
    "metrics": ("GET /metrics HTTP/1.1\nAuthorization: Bearer {}", 200),
    "drain": ("POST /drain HTTP/1.1\nAuthorization: Bearer {}", 202),
    "no_token": ("POST /drain HTTP/1.1", 401),
    "wrong_token": ("POST /drain HTTP/1.1\nAuthorization: Bearer x", 401),
    "token_prefix": ("POST /drain HTTP/1.1\nAuthorization: Bearer {}x", 401),
    "no_ascii": ("POST /drain HTTP/1.1\nAuthorization: Bearer \xff", 401),
    "unknown_path": ("GET /x HTTP/1.1\nAuthorization: Bearer {}", 404),
    "unknown_path_no_token": ("GET /x HTTP/1.1", 401),
    "wrong_method": ("GET /drain HTTP/1.1\nAuthorization: Bearer {}", 404),
}


@pytest.mark.parametrize("name", OPERATOR)
def test_operators_need_the_token_for_every_path(name: str) -> None:
    text, status = OPERATOR[name]
    bench = Bench()
    drains: list[bool] = []
    api = OperatorApi(
        "secret-token-1234",
        lambda: {},
        lambda: drains.append(True),
        bench.a.metrics,
    )
    server = HttpServer(bench.cluster.network, api.handle, HttpLimits())
    server.start("127.0.0.1", 0)
    raw = bench.cluster.network.open_connection(server.port)
    head = text.format("secret-token-1234").replace("\n", "\r\n")
    raw.transport.write(f"{head}\r\n\r\n".encode("latin-1"))
    bench.run()
    assert raw.received.startswith(f"HTTP/1.1 {status} ".encode())
    assert drains == ([True] if status == 202 else [])


# Name: method and target at the entry, reason.
REFUSALS = {
    "unknown_service": ("GET /nobody/x", RefusalReason.UNKNOWN_SERVICE),
    "unknown_kind": ("GET /s/nothing", RefusalReason.UNKNOWN_KIND),
    "wrong_method": ("PUT /s/read", RefusalReason.UNKNOWN_KIND),
    "no_path": ("GET /", RefusalReason.BAD_REQUEST),
    "absolute_target": ("GET http://h/s/read", RefusalReason.BAD_REQUEST),
    "no_key": ("POST /s/buy", RefusalReason.KEY_MISSING),
}


@pytest.mark.parametrize("name", REFUSALS)
def test_refusals_at_the_entry_are_typed_and_never_run(name: str) -> None:
    target, reason = REFUSALS[name]
    bench = Bench()
    raw = bench.raw(f"{target} HTTP/1.1\n\n")
    head, _, body = raw.received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {reason.http_status} ".encode())
    assert json.loads(body) == {
        "outcome": "not_run",
        "reason": reason.value,
        "text": reason.text,
    }
    assert bench.b.upstream.runs == []


def test_an_upstream_cannot_pass_on_the_refusal_of_its_own_call() -> None:
    """Its request ran, whatever its sub-call was told."""
    bench = Bench()
    caller: Caller = bench.cluster.caller(bench.a)
    caller.send("POST", "/s/write")
    bench.run()
    http: HttpRequest = bench.b.upstream.open[0]
    copied = ["Radishtray-Outcome", "not_run", "Radishtray-Reason", "shed"]
    http.respond(503, copied, b"copied")
    bench.run()
    assert not caller.claims_not_run()
    assert caller.result_text() == "copied"
