"""Measures the processor time of a forwarded request.

Run `python -m radishtray_testing.gateway_cost --requests 3000`. Two gateways,
an upstream and a caller run in one process and communicate over loopback, so
the result includes the processor time of all four. `--profile` prints the
functions in which it is spent.
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

_WARM_UP_REQUESTS = 300
_CONCURRENCY = 16
_PROFILE_LINE_COUNT = 45


class GatewayCostMeasurement:
    """Sends requests through two gateways and measures processor time."""

    def __init__(
        self, reactor: Any, request_count: int, is_profiled: bool
    ) -> None:
        """Creates the gateways, the upstream and the client."""
        table = build_route_table(build_route("a", "s"))
        self._store = RouteTableStore(table)
        entry_ports, upstream_ports = find_free_ports(4), find_free_ports(4)
        self._entry_gateway = build_gateway(
            reactor,
            build_settings(
                "entry",
                "x",
                entry_ports,
                seeds=(f"{LOOPBACK}:{upstream_ports[3]}",),
            ),
            self._store,
        )
        self._upstream_gateway = build_gateway(
            reactor, build_settings("far", "s", upstream_ports), self._store
        )
        self._upstream = FakeGatewayUpstream(reactor, "i-1")
        self._client = HttpClient(
            reactor, LOOPBACK, entry_ports[0], _CONCURRENCY
        )
        self._reactor = reactor
        self._request_count = request_count
        self._profiler = cProfile.Profile() if is_profiled else None
        self._sent_count = self._done_count = self._failed_count = 0
        self._cpu_start_s = 0.0

    def start(self) -> None:
        """Opens the listeners and schedules the first requests.

        They are sent after 2 s, when the nodes have discovered each other.
        """
        self._upstream_gateway.start()
        self._entry_gateway.start()
        self._upstream_gateway.accept_report(
            self._upstream.report("s", 1, slots=64)
        )
        self._reactor.callLater(2.0, self._send_first_requests)

    def _send_first_requests(self) -> None:
        for _ in range(_CONCURRENCY):
            self._send()

    def _send(self) -> None:
        self._sent_count += 1
        if self._sent_count == _WARM_UP_REQUESTS:
            self._cpu_start_s = time.process_time()
            if self._profiler is not None:
                self._profiler.enable()
        headers = [
            HEADER_NAMES.request_id,
            f"r{self._sent_count}",
            HEADER_NAMES.deadline_ms,
            "1500",
        ]
        self._client.request(
            "GET",
            "/a/x",
            headers,
            b"",
            self._on_answer,
            self._on_failure,
            host="h",
        )

    def _on_answer(self, answer: Any) -> None:
        self._failed_count += answer.status != 200
        self._on_request_end()

    def _on_failure(self, failure: object) -> None:
        del failure
        self._failed_count += 1
        self._on_request_end()

    def _on_request_end(self) -> None:
        self._done_count += 1
        if self._done_count < self._request_count + _WARM_UP_REQUESTS:
            self._send()
        elif self._done_count == self._request_count + _WARM_UP_REQUESTS:
            self._print_result()

    def _print_result(self) -> None:
        cpu_s = time.process_time() - self._cpu_start_s
        if self._profiler is not None:
            self._profiler.disable()
            stats = pstats.Stats(self._profiler)
            stats.sort_stats("tottime").print_stats(_PROFILE_LINE_COUNT)
        per_request_us = 1e6 * cpu_s / self._request_count
        print(
            f"{per_request_us:.0f} us per request, {self._failed_count} failed"
        )
        self._reactor.stop()


def main() -> None:
    """Runs the measurement and prints its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    reactor = install_reactor()
    measurement = GatewayCostMeasurement(
        reactor, arguments.requests, arguments.profile
    )
    reactor.callWhenRunning(measurement.start)
    reactor.run()


if __name__ == "__main__":
    main()
