"""Stand-in of an upstream: announces itself, works, calls, fails on request.

Start: `python -m radishtray_testing.upstream_standin --node-upstream-port P
--service S --slots N`. It prints one JSON line with its ports.

Control port: `GET /effects`, `GET /counters`, `PUT /faults` (see `Faults`).
"""

import argparse
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from typing import Any, TextIO

from twisted.internet import reactor as default_reactor
from twisted.internet.task import LoopingCall

from radishtray_testing._upstream_work import (
    DISTRIBUTIONS,
    Faults,
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
_DRAIN_POLL_S = 0.05
_JSON = ["Content-Type", "application/json"]


class UpstreamStandin:
    """One upstream with its listener, control listener and announcements."""

    __slots__ = (
        "_announcer",
        "_announces",
        "_control",
        "_lagging",
        "_options",
        "_reactor",
        "_sampler",
        "_server",
        "worker",
    )

    def __init__(self, reactor: Any, options: argparse.Namespace) -> None:
        """Builds all parts; `start` opens them.

        Args:
            reactor: The Twisted reactor.
            options: Parsed command line.
        """
        self._reactor = reactor
        self._options = options
        connections = options.slots + 16
        port = options.node_upstream_port
        self.worker = UpstreamWorker(
            reactor,
            HttpClient(reactor, _LOOPBACK, port, connections),
            WorkPlan.parse(options.plan, options.service_ms),
            options.slots,
            random.Random(options.seed),
            options.distribution,
        )
        limits = HttpLimits(connections=10_000, idle_s=3600.0)
        self._server = HttpServer(reactor, self._handle, limits)
        self._control = HttpServer(reactor, self._handle_control, limits)
        # Calls never wait for an announcement, nor it for them.
        self._announcer = HttpClient(reactor, _LOOPBACK, port, 2)
        self._announces = LoopingCall(self._announce)
        self._sampler = LoopingCall(self._sample)
        self._lagging = self.worker.load

    def start(self) -> dict[str, int]:
        """Opens the listeners and announces the upstream.

        Returns:
            The ports by name.
        """
        self._server.start(self._options.host, self._options.port)
        self._control.start(_LOOPBACK, self._options.control_port)
        self._announces.clock = self._reactor
        self._announces.start(_ANNOUNCE_INTERVAL_S)
        self._sampler.clock = self._reactor
        self._sampler.start(self._options.load_lag_s)
        return {
            "port": self._server.port,
            "control_port": self._control.port,
        }

    def drain(self, on_done: Callable[[], None]) -> None:
        """Leaves the node, finishes the running work and closes.

        Args:
            on_done: Called at the end.
        """
        if self._announces.running:
            self._announces.stop()
            self._request_node("DELETE", b"")
        if any(self.worker.load.values()):
            self._reactor.callLater(_DRAIN_POLL_S, self.drain, on_done)
            return
        self._sampler.stop()
        self._server.close()
        self._control.close()
        self._reactor.callLater(_DRAIN_POLL_S, on_done)

    def _announce(self) -> None:
        options = self._options
        shown = {
            "service": options.service,
            "address": f"{options.host}:{self._server.port}",
            "slots": options.announced_slots or options.slots,
            "cold_start_s": options.cold_start_s,
            "instance": str(os.getpid()),
        }
        self._request_node("PUT", json.dumps(shown).encode())

    def _request_node(self, method: str, body: bytes) -> None:
        counters = self.worker.counters

        def failed(_: object) -> None:
            counters["announce_failed"] += 1

        self._announcer.request(
            method, "/announce", [], body, lambda _: None, failed
        )

    def _sample(self) -> None:
        self._lagging = self.worker.load

    def _handle(self, http: HttpRequest) -> None:
        if http.uri == b"/health":
            http.respond(200, _JSON, b'{"healthy": true}')
        elif http.uri == b"/load":
            http.respond(200, _JSON, json.dumps(self._lagging).encode())
        else:
            self.worker.handle(http)

    def _handle_control(self, http: HttpRequest) -> None:
        worker = self.worker
        if http.uri == b"/effects":
            shown: Any = {
                "effects": worker.effects,
                "runs": worker.runs,
                "chains": worker.chains,
            }
        elif http.uri == b"/counters":
            shown = {**worker.counters, **worker.load}
        elif http.uri == b"/faults" and http.method == b"PUT":
            try:
                worker.set_faults(Faults.from_json(http.body))
            except (TypeError, ValueError) as error:
                http.respond(400, [], f"{error}\n".encode())
                return
            shown = {}
        else:
            http.respond(404, [], b"no such path\n")
            return
        http.respond(200, _JSON, json.dumps(shown).encode())


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(prog="upstream_standin")
    add = parser.add_argument
    add("--node-upstream-port", type=int, required=True)
    add("--service", required=True)
    add("--slots", type=int, required=True)
    add("--announced-slots", type=int, default=0, help="0: the true slots")
    add("--service-ms", type=float, default=20.0, help="mean time of work")
    add(
        "--distribution",
        choices=sorted(DISTRIBUTIONS),
        default="exponential",
    )
    add("--plan", default="{}", help="JSON: kind to ms and calls")
    add("--host", default=_LOOPBACK)
    add("--port", type=int, default=0, help="0 for any port")
    add("--control-port", type=int, default=0, help="0 for any port")
    add("--cold-start-s", type=float, default=0.0)
    add("--load-lag-s", type=float, default=2.0, help="age of /load")
    add("--seed", type=int, default=1)
    return parser


def main(
    argv: list[str] | None = None,
    reactor: Any = default_reactor,
    output: TextIO = sys.stdout,
) -> None:
    """Runs one stand-in until SIGTERM, which drains it.

    Args:
        argv: Arguments; those of the process by default.
        reactor: The reactor to run.
        output: Receives the JSON line with the ports.
    """
    standin = UpstreamStandin(reactor, build_parser().parse_args(argv))

    def start() -> None:
        print(json.dumps(standin.start()), file=output, flush=True)

    def stop(_signal: int, _frame: object) -> None:
        reactor.callFromThread(standin.drain, reactor.stop)

    reactor.callWhenRunning(start)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
