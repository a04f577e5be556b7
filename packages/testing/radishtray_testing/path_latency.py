"""Measures the latency that two nodes add to a direct call.

`python -m radishtray_testing.path_latency` starts a platform stand-in, an entry
node, and an inner node beside an echo upstream. It sends calls one after
another, in each round first directly to the upstream, then through both nodes
(caller, entry node, inner node, upstream).
"""

import argparse
import json
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil
from twisted.internet import reactor as default_reactor

from radishtray_testing.processes import (
    LOOPBACK,
    LocalDeployment,
    ManagedProcess,
)
from radishtray_transport import (
    HttpClient,
    HttpLimits,
    HttpResponse,
    HttpServer,
    RequestFailure,
)

_DOCUMENT = """\
format: 1
defaults:
  owner: measurement
services:
  echo:
    owner: measurement
    kinds:
      read:
        method: POST
        path: /read
        deadline_ms: 2000
"""
_BODY = b"x" * 512
_WARM_UP_CALLS = 300


def _serve_echo(node_port: int) -> None:
    """Runs an upstream that answers each request with its body."""
    reactor: Any = default_reactor
    server = HttpServer(
        reactor, lambda r: r.respond(200, [], r.body), HttpLimits()
    )
    server.start(LOOPBACK, 0)
    client = HttpClient(reactor, LOOPBACK, node_port, 1)
    announcement = json.dumps(
        {
            "service": "echo",
            "address": f"{LOOPBACK}:{server.port}",
            "slots": 64,
        }
    ).encode()

    def ignore(_result: HttpResponse | RequestFailure) -> None:
        """Does nothing; the next announcement follows in a second."""

    def announce() -> None:
        client.request("PUT", "/announce", [], announcement, ignore, ignore)
        reactor.callLater(1.0, announce)

    announce()
    print(json.dumps({"port": server.port}), flush=True)
    reactor.run()


class _SequentialCaller:
    """Sends calls one after another over one connection."""

    __slots__ = ("_request", "_socket")

    def __init__(self, port: int, path: str) -> None:
        self._socket = socket.create_connection((LOOPBACK, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request_head = (
            f"POST {path} HTTP/1.1\r\nHost: {LOOPBACK}\r\n"
            "Content-Type: application/octet-stream\r\nAccept: */*\r\n"
            f"Content-Length: {len(_BODY)}\r\n\r\n"
        )
        self._request = request_head.encode() + _BODY

    def call(self) -> None:
        """Sends one call and checks its whole answer."""
        self._socket.sendall(self._request)
        received = self._socket.recv(65536)
        while not received.endswith(b"\r\n\r\n" + _BODY):
            part = self._socket.recv(65536)
            if not part:
                raise ConnectionError(
                    f"connection closed within an answer: {received!r}"
                )
            received += part
        if not received.startswith(b"HTTP/1.1 200"):
            raise ValueError(f"expected status 200, got: {received[:200]!r}")

    def run(self, call_count: int) -> list[float]:
        """Returns the duration of each call in milliseconds."""
        durations = []
        for _ in range(call_count):
            started = time.perf_counter()
            self.call()
            durations.append((time.perf_counter() - started) * 1000)
        return durations


def _quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(len(values) * fraction)]


class RoundResult:
    """Measurements of one round of direct calls and calls through the nodes.

    Attributes:
        direct_ms: Durations of the direct calls.
        path_ms: Durations of the calls through the nodes.
        entry_cpu_ms: Processor time of the entry node per call.
        inner_cpu_ms: Processor time of the inner node per call.
    """

    __slots__ = ("direct_ms", "entry_cpu_ms", "inner_cpu_ms", "path_ms")

    def __init__(
        self,
        direct_ms: list[float],
        path_ms: list[float],
        entry_cpu_ms: float,
        inner_cpu_ms: float,
    ) -> None:
        """Creates a result from its durations and processor times."""
        self.direct_ms = direct_ms
        self.path_ms = path_ms
        self.entry_cpu_ms = entry_cpu_ms
        self.inner_cpu_ms = inner_cpu_ms

    def added_ms(self, fraction: float) -> float:
        """Returns the latency that the nodes add at a quantile."""
        path = _quantile(self.path_ms, fraction)
        return path - _quantile(self.direct_ms, fraction)

    def markdown_row(self) -> str:
        """Returns the result as a line of the Markdown table."""
        cells = [
            *(_quantile(self.direct_ms, q) for q in (0.5, 0.99)),
            *(_quantile(self.path_ms, q) for q in (0.5, 0.99)),
            self.added_ms(0.5),
            self.added_ms(0.99),
            self.entry_cpu_ms,
            self.inner_cpu_ms,
        ]
        return "| " + " | ".join(f"{cell:.3f}" for cell in cells) + " |"


def _cpu_s(process: ManagedProcess) -> float:
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def _measure_rounds(
    directory: Path, call_count: int, round_count: int
) -> list[RoundResult]:
    deployment = LocalDeployment(directory)
    echo = None
    try:
        entry = deployment.start_node("entry", "a")
        inner = deployment.start_node("inner", "a")
        echo = ManagedProcess(
            "echo",
            [
                "radishtray_testing.path_latency",
                "--serve-echo",
                str(inner.port("upstream")),
            ],
            directory,
        )
        document = directory / "document.yaml"
        document.write_text(_DOCUMENT, encoding="utf-8")
        code, output = deployment.run_ctl("config", "apply", str(document))
        if code:
            raise RuntimeError(output)
        deployment.wait_until_ready(1, 1)
        direct = _SequentialCaller(int(echo.ready_info["port"]), "/read")
        path = _SequentialCaller(entry.port("caller"), "/echo/read")
        direct.run(_WARM_UP_CALLS)
        path.run(_WARM_UP_CALLS)
        results = []
        for _ in range(round_count):
            direct_ms = direct.run(call_count)
            cpu_before_s = _cpu_s(entry), _cpu_s(inner)
            path_ms = path.run(call_count)
            cpu_after_s = _cpu_s(entry), _cpu_s(inner)
            cpu_ms = [
                (b - a) * 1000 / call_count
                for a, b in zip(cpu_before_s, cpu_after_s, strict=True)
            ]
            results.append(RoundResult(direct_ms, path_ms, *cpu_ms))
        return results
    finally:
        if echo is not None:
            echo.close()
        deployment.close()


def main() -> int:
    """Prints one row per round and the median of the added p99."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--serve-echo", type=int, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.serve_echo is not None:
        _serve_echo(arguments.serve_echo)
        return 0
    with tempfile.TemporaryDirectory() as directory:
        results = _measure_rounds(
            Path(directory), arguments.calls, arguments.rounds
        )
    print(
        "| direct p50 | direct p99 | path p50 | path p99 | added p50 |"
        " added p99 | entry CPU | inner CPU |"
    )
    print("|---" * 8 + "|")
    for result in results:
        print(result.markdown_row())
    median = statistics.median(result.added_ms(0.99) for result in results)
    print(f"\nall in ms; median added p99 {median:.3f} ms, target 0.54 ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
