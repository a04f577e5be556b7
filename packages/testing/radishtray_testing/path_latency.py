"""Measures what the path caller-node-node-upstream adds to a direct call.

`python -m radishtray_testing.path_latency` starts a platform stand-in, an entry
node, a node beside an echo upstream and sends calls one after another,
alternating direct runs and runs through the nodes.
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
    HttpAnswer,
    HttpClient,
    HttpLimits,
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
    """Runs an upstream that returns each body at once."""
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

    def ignore(_result: HttpAnswer | RequestFailure) -> None:
        """The next heartbeat repeats the announcement."""

    def announce() -> None:
        client.request("PUT", "/announce", [], announcement, ignore, ignore)
        reactor.callLater(1.0, announce)

    announce()
    print(json.dumps({"port": server.port}), flush=True)
    reactor.run()


class _Caller:
    """Sends calls one after another on one connection."""

    __slots__ = ("_request", "_socket")

    def __init__(self, port: int, path: str) -> None:
        self._socket = socket.create_connection((LOOPBACK, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {LOOPBACK}\r\n"
            "Content-Type: application/octet-stream\r\nAccept: */*\r\n"
            f"Content-Length: {len(_BODY)}\r\n\r\n"
        )
        self._request = head.encode() + _BODY

    def call(self) -> None:
        """Sends one call and checks that the whole answer is right."""
        self._socket.sendall(self._request)
        received = self._socket.recv(65536)
        while not received.endswith(b"\r\n\r\n" + _BODY):
            part = self._socket.recv(65536)
            if not part:
                raise ConnectionError(f"connection closed: {received!r}")
            received += part
        if not received.startswith(b"HTTP/1.1 200"):
            raise ValueError(f"unexpected answer: {received[:200]!r}")

    def run(self, calls: int) -> list[float]:
        """Returns the duration of each call in milliseconds."""
        durations = []
        for _ in range(calls):
            started = time.perf_counter()
            self.call()
            durations.append((time.perf_counter() - started) * 1000)
        return durations


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


class RunResult:
    """One alternation of a direct run and a run through the nodes.

    Attributes:
        direct_ms: Durations of direct calls.
        path_ms: Durations of calls through the nodes.
        entry_cpu_ms: Processor time of the entry node for each call.
        inner_cpu_ms: Processor time of the other node for each call.
    """

    __slots__ = ("direct_ms", "entry_cpu_ms", "inner_cpu_ms", "path_ms")

    def __init__(
        self,
        direct_ms: list[float],
        path_ms: list[float],
        entry_cpu_ms: float,
        inner_cpu_ms: float,
    ) -> None:
        """Holds the durations and processor times."""
        self.direct_ms = direct_ms
        self.path_ms = path_ms
        self.entry_cpu_ms = entry_cpu_ms
        self.inner_cpu_ms = inner_cpu_ms

    def added_ms(self, share: float) -> float:
        """Returns the difference of the two quantiles."""
        path = _quantile(self.path_ms, share)
        return path - _quantile(self.direct_ms, share)

    def row(self) -> str:
        """Returns a line of the Markdown table."""
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


def _measure(directory: Path, calls: int, rounds: int) -> list[RunResult]:
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
        direct = _Caller(int(echo.ready_info["port"]), "/read")
        path = _Caller(entry.port("caller"), "/echo/read")
        direct.run(_WARM_UP_CALLS)
        path.run(_WARM_UP_CALLS)
        results = []
        for _ in range(rounds):
            direct_ms = direct.run(calls)
            before = _cpu_s(entry), _cpu_s(inner)
            path_ms = path.run(calls)
            after = _cpu_s(entry), _cpu_s(inner)
            cpu = [
                (b - a) * 1000 / calls
                for a, b in zip(before, after, strict=True)
            ]
            results.append(RunResult(direct_ms, path_ms, *cpu))
        return results
    finally:
        if echo is not None:
            echo.close()
        deployment.close()


def main() -> int:
    """Prints one row for each round and the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--serve-echo", type=int, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.serve_echo is not None:
        _serve_echo(arguments.serve_echo)
        return 0
    with tempfile.TemporaryDirectory() as directory:
        results = _measure(Path(directory), arguments.calls, arguments.rounds)
    print(
        "| direct p50 | direct p99 | path p50 | path p99 | added p50 |"
        " added p99 | entry CPU | inner CPU |"
    )
    print("|---" * 8 + "|")
    for result in results:
        print(result.row())
    median = statistics.median(result.added_ms(0.99) for result in results)
    print(f"\nall in ms; median added p99 {median:.3f} ms, target 0.54 ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
