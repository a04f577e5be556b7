"""Simulated upstream process for tests, benchmarks and the demo.

It announces itself to its node, simulates work and calls other services through
the node. Faults can be injected.

Start: `python -m radishtray_testing.upstream_standin --node-upstream-port P
--service S --slots N`. It prints one JSON line with its ports when it is ready.

The control port serves `GET /effects` (started runs), `GET /counters` and
`PUT /faults` (see `Faults`).
"""

import argparse
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

from twisted.internet import reactor as default_reactor
from twisted.internet.task import LoopingCall

from radishtray_testing._upstream_work import (
    SERVICE_TIME_SAMPLERS,
    Faults,
    RunLog,
    UpstreamWorker,
)
from radishtray_testing._work_plan import WorkPlan
from radishtray_transport import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
)

_LOOPBACK = "127.0.0.1"
_ANNOUNCE_INTERVAL_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05
_JSON_HEADERS = ["Content-Type", "application/json"]


class UpstreamStandin:
    """One upstream: request listener, control listener and announcements.

    Attributes:
        worker: Runs the requests.
    """

    __slots__ = (
        "_announce_client",
        "_announce_loop",
        "_control_server",
        "_options",
        "_reactor",
        "_request_server",
        "_sample_loop",
        "_sampled_load",
        "worker",
    )

    def __init__(self, reactor: Any, options: argparse.Namespace) -> None:
        """Creates the listeners and clients; `start` opens them.

        Args:
            reactor: The Twisted reactor.
            options: Parsed command line.
        """
        self._reactor = reactor
        self._options = options
        max_connections = options.slots + 16
        port = options.node_upstream_port
        self.worker = UpstreamWorker(
            reactor,
            HttpClient(reactor, _LOOPBACK, port, max_connections),
            WorkPlan.parse(options.plan, options.service_ms),
            options.slots,
            random.Random(options.seed),
            options.distribution,
            echoes_requests=options.echo,
            run_log=RunLog(options.run_log) if options.run_log else None,
            late_answer_s=options.late_answer_s,
        )
        limits = HttpLimits(connections=10_000, idle_s=3600.0)
        self._request_server = HttpServer(reactor, self._handle_request, limits)
        self._control_server = HttpServer(
            reactor, self._handle_control_request, limits
        )
        # A client of its own, so that calls and announcements never wait for a
        # connection that the other uses.
        self._announce_client = HttpClient(reactor, _LOOPBACK, port, 2)
        self._announce_loop = LoopingCall(self._announce)
        self._sample_loop = LoopingCall(self._sample_load)
        self._sampled_load = self.worker.load

    def start(self) -> dict[str, int]:
        """Opens the listeners and announces the upstream.

        Returns:
            The ports by name.
        """
        self._request_server.start(self._options.host, self._options.port)
        self._control_server.start(_LOOPBACK, self._options.control_port)
        self._announce_loop.clock = self._reactor
        self._announce_loop.start(_ANNOUNCE_INTERVAL_S)
        self._sample_loop.clock = self._reactor
        self._sample_loop.start(self._options.load_lag_s)
        return {
            "port": self._request_server.port,
            "control_port": self._control_server.port,
        }

    def drain(self, on_done: Callable[[], None]) -> None:
        """Withdraws the announcement, finishes all requests and closes.

        Args:
            on_done: Called when the listeners are closed.
        """
        if self._announce_loop.running:
            self._announce_loop.stop()
            self._send_announcement("DELETE", b"")
        if any(self.worker.load.values()):
            self._reactor.callLater(_DRAIN_POLL_INTERVAL_S, self.drain, on_done)
            return
        self._sample_loop.stop()
        self._request_server.close()
        self._control_server.close()
        self._reactor.callLater(_DRAIN_POLL_INTERVAL_S, on_done)

    def _announce(self) -> None:
        options = self._options
        port = options.announced_port or self._request_server.port
        announcement = {
            "service": options.service,
            "address": f"{options.host}:{port}",
            "slots": options.announced_slots or options.slots,
            "cold_start_s": options.cold_start_s,
            "instance": str(os.getpid()),
        }
        self._send_announcement("PUT", json.dumps(announcement).encode())

    def _send_announcement(self, method: str, body: bytes) -> None:
        counters = self.worker.counters

        def on_failure(_: object) -> None:
            counters["announce_failed"] += 1

        self._announce_client.request(
            method, "/announce", [], body, lambda _: None, on_failure
        )

    def _sample_load(self) -> None:
        self._sampled_load = self.worker.load

    def _handle_request(self, request: HttpRequest) -> None:
        if request.uri == b"/health":
            request.respond(200, _JSON_HEADERS, b'{"healthy": true}')
        elif request.uri == b"/load":
            request.respond(
                200, _JSON_HEADERS, json.dumps(self._sampled_load).encode()
            )
        else:
            self.worker.handle(request)

    def _handle_control_request(self, request: HttpRequest) -> None:
        worker = self.worker
        if request.uri == b"/effects":
            response: Any = {
                "effects": worker.runs_by_key,
                "runs": worker.runs_by_test_run_id,
                "chains": worker.runs_by_chain_and_path,
            }
        elif request.uri == b"/counters":
            response = {**worker.counters, **worker.load}
        elif request.uri == b"/faults" and request.method == b"PUT":
            try:
                worker.set_faults(Faults.from_json(request.body))
            except (TypeError, ValueError) as error:
                request.respond(400, [], f"{error}\n".encode())
                return
            response = {}
        else:
            request.respond(404, [], b"no such path\n")
            return
        request.respond(200, _JSON_HEADERS, json.dumps(response).encode())


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="upstream_standin")
    add = parser.add_argument
    add("--node-upstream-port", type=int, required=True)
    add("--service", required=True)
    add("--slots", type=int, required=True)
    add(
        "--announced-slots",
        type=int,
        default=0,
        help="slots announced to the node; 0 for the value of --slots",
    )
    add("--service-ms", type=float, default=20.0, help="mean service time")
    add(
        "--distribution",
        choices=sorted(SERVICE_TIME_SAMPLERS),
        default="exponential",
    )
    add(
        "--plan",
        default="{}",
        help="work plan: JSON object that maps kinds to ms and calls",
    )
    add("--host", default=_LOOPBACK)
    add("--port", type=int, default=0, help="0 for any port")
    add("--control-port", type=int, default=0, help="0 for any port")
    add("--cold-start-s", type=float, default=0.0)
    add(
        "--load-lag-s",
        type=float,
        default=2.0,
        help="interval in seconds between the samples that /load returns",
    )
    add("--seed", type=int, default=1)
    add(
        "--announced-port",
        type=int,
        default=0,
        help="port announced to the node; 0 for the port listened on",
    )
    add(
        "--echo",
        action="store_true",
        help="successes repeat the ids and the body of the request",
    )
    add(
        "--late-answer-s",
        type=float,
        default=0.0,
        help="time in seconds after which one answer in twenty is sent again",
    )
    add("--run-log", type=Path, help="file for one JSON line for each run")
    return parser


def main(
    argv: list[str] | None = None,
    reactor: Any = default_reactor,
    output: TextIO = sys.stdout,
) -> None:
    """Runs one stand-in until SIGTERM or SIGINT, which drain it.

    Args:
        argv: Command line arguments; None for those of the process.
        reactor: The reactor to run.
        output: Stream for the JSON line with the ports.
    """
    standin = UpstreamStandin(reactor, build_parser().parse_args(argv))

    def start() -> None:
        print(json.dumps(standin.start()), file=output, flush=True)

    def begin_drain(_signal: int, _frame: object) -> None:
        reactor.callFromThread(standin.drain, reactor.stop)

    reactor.callWhenRunning(start)
    signal.signal(signal.SIGTERM, begin_drain)
    signal.signal(signal.SIGINT, begin_drain)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
