"""Processor time of a forwarded request, in one process on loopback.

Run `python -m radishtray_testing.gateway_cost --requests 3000`. Two gateways,
an upstream and a caller share the process, so the figure holds all of them;
`--profile` prints where it is spent.
"""

import argparse
import cProfile
import pstats
import time
from typing import Any

from radishtray_node import install_reactor
from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    LOOPBACK,
    FakeGatewayUpstream,
    RouteTableStore,
    build_gateway,
    build_route,
    build_route_table,
    build_settings,
    find_free_ports,
)
from radishtray_transport import HttpClient

_WARM_UP = 300
_CONCURRENCY = 16
_PROFILE_LINES = 45


class CostRun:
    """Sends requests through two gateways and measures processor time."""

    def __init__(self, reactor: Any, requests: int, profile: bool) -> None:
        """Starts all parts."""
        table = build_route_table(build_route("a", "s"))
        self._store = RouteTableStore(table)
        first, second = find_free_ports(4), find_free_ports(4)
        self._entry = build_gateway(
            reactor,
            build_settings(
                "entry", "x", first, seeds=(f"{LOOPBACK}:{second[3]}",)
            ),
            self._store,
        )
        self._far = build_gateway(
            reactor, build_settings("far", "s", second), self._store
        )
        self._upstream = FakeGatewayUpstream(reactor, "i-1")
        self._client = HttpClient(reactor, LOOPBACK, first[0], _CONCURRENCY)
        self._reactor = reactor
        self._requests = requests
        self._profile = cProfile.Profile() if profile else None
        self._sent = self._done = self._failed = 0
        self._started_s = 0.0

    def start(self) -> None:
        """Opens the listeners; requests follow once the nodes know another."""
        self._far.start()
        self._entry.start()
        self._far.accept_report(self._upstream.report("s", 1, slots=64))
        self._reactor.callLater(2.0, self._begin)

    def _begin(self) -> None:
        for _ in range(_CONCURRENCY):
            self._send()

    def _send(self) -> None:
        self._sent += 1
        if self._sent == _WARM_UP:
            self._started_s = time.process_time()
            if self._profile is not None:
                self._profile.enable()
        headers = [
            HEADER_NAMES.request_id,
            f"r{self._sent}",
            HEADER_NAMES.deadline_ms,
            "1500",
        ]
        self._client.request(
            "GET", "/a/x", headers, b"", self._answered, self._lost, host="h"
        )

    def _answered(self, answer: Any) -> None:
        self._failed += answer.status != 200
        self._finish()

    def _lost(self, failure: object) -> None:
        del failure
        self._failed += 1
        self._finish()

    def _finish(self) -> None:
        self._done += 1
        if self._done < self._requests + _WARM_UP:
            self._send()
        elif self._done == self._requests + _WARM_UP:
            self._report()

    def _report(self) -> None:
        used_s = time.process_time() - self._started_s
        if self._profile is not None:
            self._profile.disable()
            stats = pstats.Stats(self._profile)
            stats.sort_stats("tottime").print_stats(_PROFILE_LINES)
        per_request_us = 1e6 * used_s / self._requests
        print(f"{per_request_us:.0f} us a request, {self._failed} failed")
        self._reactor.stop()


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    reactor = install_reactor()
    run = CostRun(reactor, arguments.requests, arguments.profile)
    reactor.callWhenRunning(run.start)
    reactor.run()


if __name__ == "__main__":
    main()
