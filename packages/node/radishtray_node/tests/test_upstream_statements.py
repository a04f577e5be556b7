"""Guards against requests that an upstream has said it does not take.

An upstream in need states a request rate in its answers, and one that leaves
says so. The requests begin at several nodes.
"""

from typing import Any

import pytest

from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    GatewayFleet,
    build_route,
    build_route_table,
    echoed_id,
)
from radishtray_transport import HttpRequest

RATE_PER_S = 10.0
WINDOW_S = 4.0
SETTLE_S = 3.0
DRAIN_S = 2.0
TABLE = build_route_table(build_route("one", "s", timeout_s=4.0))


class StatingUpstream:
    """Two nodes of a service, and an entry node; `n`'s upstream states things.

    Attributes:
        fleet: The gateways.
        stated: Headers of the answers of `n`'s upstream.
        arrivals: Times at which that upstream got a request.
        rejects: Whether it rejects all requests.
        is_garbled: Whether every second answer lacks all headers but the id.
    """

    def __init__(self) -> None:
        """Starts the gateways."""
        self.fleet = GatewayFleet(TABLE)
        self.stated: list[str] = []
        self.arrivals: list[float] = []
        self.results: list[Any] = []
        self.rejects = False
        self.is_garbled = False
        self.fleet.add("e", "x")
        for name in ("n", "m"):
            self.fleet.add(name, "s", slots=64)
        self._serve()
        self.fleet.upstreams["m"].on_run = self._answer_later("m")
        self.fleet.run(3)

    def _serve(self) -> None:
        upstream = self.fleet.upstreams["n"]

        def run(http: HttpRequest) -> None:
            self.arrivals.append(self.fleet.network.seconds())
            upstream.reactor.callLater(0.1, self._respond, http)

        upstream.on_run = run

    def _respond(self, http: HttpRequest) -> None:
        if self.is_garbled and len(self.arrivals) % 2:
            http.respond(200, echoed_id(http), b"garbage")
            return
        if self.rejects:
            headers = [HEADER_NAMES.not_run, "1"]
            http.respond(503, [*echoed_id(http), *headers, *self.stated], b"")
            return
        headers = [HEADER_NAMES.signature, "2"]
        http.respond(200, [*echoed_id(http), *headers, *self.stated], b"ok")

    def _answer_later(self, name: str) -> Any:
        upstream = self.fleet.upstreams[name]
        return lambda http: upstream.reactor.callLater(
            0.1, upstream.answer, http
        )

    def send(self, seconds: float, per_s: int = 60) -> None:
        """Sends requests at all nodes in turn."""
        for number in range(round(seconds * per_s)):
            self.results.append(
                self.fleet.send(
                    ("e", "n", "m")[number % 3],
                    "/one/a",
                    f"r{len(self.results)}",
                    deadline_ms=3000,
                )
            )
            self.fleet.run(1 / per_s)

    def restart_node(self) -> None:
        """Restarts the node beside the upstream, which goes on."""
        self.fleet.kill("n")
        self.fleet.run(0.3)
        self.fleet.restart("n")

    def most_in_a_window(self, first_s: float) -> int:
        """Returns the most arrivals in a window that begins later."""
        times = [t for t in self.arrivals if t >= first_s]
        return max(
            (sum(t <= u < t + WINDOW_S for u in times) for t in times),
            default=0,
        )


@pytest.mark.parametrize("rejects", [False, True])
@pytest.mark.parametrize("restarts", [0, 2])
def test_an_upstream_gets_no_more_requests_than_its_stated_rate(
    restarts: int, rejects: bool
) -> None:
    upstream = StatingUpstream()
    upstream.send(1)
    upstream.stated = [HEADER_NAMES.limit, str(RATE_PER_S)]
    upstream.rejects = rejects
    stated_s = upstream.fleet.network.seconds()
    upstream.send(5)
    for _ in range(restarts):
        upstream.restart_node()
        upstream.send(4)
    upstream.send(6)
    allowed = 1.5 * RATE_PER_S * WINDOW_S + 5
    assert 0 < upstream.most_in_a_window(stated_s + SETTLE_S) <= allowed


def test_requests_beyond_a_stated_rate_are_served_elsewhere() -> None:
    upstream = StatingUpstream()
    upstream.stated = [HEADER_NAMES.limit, str(RATE_PER_S)]
    upstream.send(3)
    upstream.results.clear()
    upstream.send(8)
    upstream.fleet.run(3)
    served = sum(result.status == 200 for result in upstream.results)
    assert served >= 0.97 * len(upstream.results)


def test_the_rate_rises_again_when_no_limit_is_stated() -> None:
    upstream = StatingUpstream()
    upstream.stated = [HEADER_NAMES.limit, str(RATE_PER_S)]
    upstream.send(5)
    upstream.stated = []
    upstream.send(3)
    first_s = upstream.fleet.network.seconds()
    upstream.send(4, per_s=120)
    assert upstream.most_in_a_window(first_s) > 1.5 * RATE_PER_S * WINDOW_S


@pytest.mark.parametrize("earlier", [False, True])
@pytest.mark.parametrize("limit", ["nan", "-1", "inf", "many", ""])
def test_a_limit_that_is_no_number_changes_nothing(
    limit: str, earlier: bool
) -> None:
    upstream = StatingUpstream()
    if earlier:
        upstream.stated = [HEADER_NAMES.limit, str(RATE_PER_S)]
        upstream.send(2)
    upstream.stated = [HEADER_NAMES.limit, limit]
    first_s = upstream.fleet.network.seconds()
    upstream.send(6)
    assert {result.status for result in upstream.results[:90]} == {200}
    allowed = 1.5 * RATE_PER_S * WINDOW_S + 5
    is_limited = upstream.most_in_a_window(first_s) <= allowed
    assert is_limited is earlier


def test_an_answer_without_a_signature_does_not_end_the_limit() -> None:
    upstream = StatingUpstream()
    upstream.stated = [HEADER_NAMES.limit, str(RATE_PER_S)]
    upstream.send(2)
    upstream.is_garbled = True
    first_s = upstream.fleet.network.seconds()
    upstream.send(6)
    allowed = 1.5 * RATE_PER_S * WINDOW_S + 5
    assert 0 < upstream.most_in_a_window(first_s) <= allowed


@pytest.mark.parametrize("restarts", [False, True])
def test_an_upstream_that_says_it_leaves_gets_no_more_requests(
    restarts: bool,
) -> None:
    upstream = StatingUpstream()
    upstream.send(1)
    upstream.stated = [HEADER_NAMES.leaving, "1"]
    stated_s = upstream.fleet.network.seconds()
    upstream.send(1)
    upstream.fleet.report("n")
    upstream.send(2)
    if restarts:
        upstream.fleet.upstreams["n"].is_leaving = True
        upstream.restart_node()
        upstream.send(3)
    assert upstream.arrivals
    assert max(upstream.arrivals) <= stated_s + DRAIN_S
