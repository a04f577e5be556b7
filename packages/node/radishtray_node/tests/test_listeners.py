"""Guards against callers and upstreams that exceed their rights.

Examples are forged node headers, the retry budget of another request, access
to the operators' API, and a refusal copied from a call of the upstream.
"""

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
from radishtray_transport import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)


class Bench:
    """Entry node `a`, node `b` of service `s` and node `c` of service `t`."""

    def __init__(self) -> None:
        """Starts the nodes; upstreams leave requests unanswered."""
        self.cluster = MemoryCluster(build_document("s", "t", retry_budget=8))
        self.b: MemoryNode = self.cluster.add("b", "s")
        self.c: MemoryNode = self.cluster.add("c", "t")
        self.a: MemoryNode = self.cluster.add("a")
        self.a.set_candidates("s", "b")
        self.b.set_candidates("t", "c")
        self.answers: list[HttpResponse] = []

    def run(self, seconds: float = 0.1) -> None:
        self.cluster.network.run(seconds)

    def send_raw(self, text: str) -> RawConnection:
        raw = self.cluster.network.open_connection(self.a.caller_listener.port)
        raw.transport.write(text.replace("\n", "\r\n").encode("latin-1"))
        self.run()
        return raw

    def send_upstream_request(
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


def test_node_headers_of_a_caller_reach_no_upstream() -> None:
    """Headers of the node that a caller sends are dropped or replaced.

    A forged context, deadline, request id or retry key would otherwise reach
    the upstream as if the node had set it.
    """
    bench = Bench()
    bench.send_raw(
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


# Name: value of the context header, where {} is the context of the request that
# the test runs; whether the call gets the depth and retry budget of a request.
CONTEXT_HEADERS = {
    "valid": ("{}", True),
    "missing": ("", False),
    "unknown": ("0123456789abcdef", False),
    "of_another_node": ("{}", False),
    "expired": ("{}", False),
}


@pytest.mark.parametrize("name", CONTEXT_HEADERS)
def test_only_a_running_request_gives_a_call_its_budget(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An upstream cannot spend a budget without a request that runs there.

    It sends no context header, an unknown one, one of a request that runs at
    another node, or one of a request that has been answered.
    """
    text, has_budget = CONTEXT_HEADERS[name]
    bench = Bench()
    caller = bench.cluster.caller(bench.a)
    caller.send("GET", "/s/read")
    bench.run()
    http: HttpRequest = bench.b.upstream.open[0]
    context_header = (http.header(b"Radishtray-Context") or b"").decode()
    if name == "expired":
        bench.b.upstream.answer()
        bench.run()
    sender = bench.b
    if name == "of_another_node":
        sender = bench.c
        sender.set_candidates("t", "c")
    contexts: list[Any] = []
    serve = UpstreamServer.serve

    def record_context(server: UpstreamServer, call: Any, done: Any) -> Any:
        contexts.append(call.context)
        return serve(server, call, done)

    monkeypatch.setattr(UpstreamServer, "serve", record_context)
    headers = (
        ["Radishtray-Context", text.format(context_header)] if text else []
    )
    bench.send_upstream_request(sender, "GET", "/call/t/read", *headers)
    assert len(contexts) == 1
    assert (contexts[0].retry_budget > 0) is has_budget
    assert (contexts[0].depth > 1) is has_budget


# An announcement that the node accepts.
VALID = {"service": "s", "address": "127.0.0.1:9", "slots": 4}
# Name: body of the announcement, expected status, part of the answer's text.
ANNOUNCEMENTS = {
    "good": (json.dumps(VALID), 204, ""),
    "not_json": ("{", 400, "not JSON"),
    "not_an_object": ("[]", 400, "must be a JSON object"),
    "no_service": (json.dumps({"address": "127.0.0.1:9"}), 400, "'service'"),
    "empty_service": (json.dumps(VALID | {"service": ""}), 400, "service"),
    "service_no_text": (json.dumps(VALID | {"service": None}), 400, "service"),
    "no_ip": (json.dumps(VALID | {"address": "host:9"}), 400, "'host'"),
    "no_port": (json.dumps(VALID | {"address": "127.0.0.1"}), 400, "invalid"),
    "port_0": (json.dumps(VALID | {"address": "127.0.0.1:0"}), 400, "port 0"),
    "no_slots": (json.dumps(VALID | {"slots": 0}), 400, "slots 0"),
    "too_many_slots": (json.dumps(VALID | {"slots": 10**9}), 400, "slots"),
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
    """An upstream's announcement is checked before the node uses it."""
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


# Name: request line and headers, where {} is the token; expected status.
OPERATOR_REQUESTS = {
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


@pytest.mark.parametrize("name", OPERATOR_REQUESTS)
def test_operators_need_the_token_for_every_path(name: str) -> None:
    """Without the exact token, no path answers and no drain starts."""
    text, status = OPERATOR_REQUESTS[name]
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


# Name: method and target of a request to the entry node, expected reason.
REFUSED_REQUESTS = {
    "unknown_service": ("GET /nobody/x", RefusalReason.UNKNOWN_SERVICE),
    "unknown_kind": ("GET /s/nothing", RefusalReason.UNKNOWN_KIND),
    "wrong_method": ("PUT /s/read", RefusalReason.UNKNOWN_KIND),
    "no_path": ("GET /", RefusalReason.BAD_REQUEST),
    "absolute_target": ("GET http://h/s/read", RefusalReason.BAD_REQUEST),
    "no_key": ("POST /s/buy", RefusalReason.KEY_MISSING),
}


@pytest.mark.parametrize("name", REFUSED_REQUESTS)
def test_refusals_at_the_entry_are_typed_and_never_run(name: str) -> None:
    """Requests that match no service or kind are refused as not run."""
    target, reason = REFUSED_REQUESTS[name]
    bench = Bench()
    raw = bench.send_raw(f"{target} HTTP/1.1\n\n")
    head, _, body = raw.received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {reason.http_status} ".encode())
    assert json.loads(body) == {
        "outcome": "not_run",
        "reason": reason.value,
        "text": reason.text,
    }
    assert bench.b.upstream.runs == []


def test_an_upstream_cannot_pass_on_the_refusal_of_its_own_call() -> None:
    """A copied refusal must not report the request itself as not run.

    The upstream copies the outcome headers of its refused call into its own
    answer, although its request has run. The caller could then run it again.
    """
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
