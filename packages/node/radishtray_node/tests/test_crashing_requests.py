"""Guards against requests that go on crashing upstreams.

A request crashes each upstream that runs it, and callers send it again and
again at any node. Other requests are in flight at each crash. An upstream is
back after some seconds.
"""

import random

import pytest

from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)
from radishtray_transport import HttpRequest

UPSTREAMS = ("a", "b", "c", "d")
SLOTS = 24
HEARTBEAT_S = 1.5
# From the third crash on, the time until no node may send the request, and
# how often it may reach an upstream later.
SETTLE_S = 3.0
MAX_LATE_RUNS = 3


class CrashingRequests:
    """Callers of four upstreams of one service, or of two.

    Attributes:
        fleet: The gateways.
        runs: Times at which the request has reached an upstream.
        crashes: Times at which an upstream has ended under the request.
    """

    def __init__(
        self,
        seed: int,
        services: tuple[str, ...],
        *,
        ends_node: bool = False,
        others_per_step: int = 4,
    ) -> None:
        """Starts the gateways, whose upstreams run all but the request.

        Args:
            seed: Seed of the choice of nodes and of the times of runs.
            services: Services of the upstreams, in turn.
            ends_node: Whether a crash ends the node beside the upstream too.
            others_per_step: Other requests that are sent every 0.05 s.
        """
        routes = [
            build_route("one", services[0], timeout_s=6.0, is_repeatable=False)
        ]
        self.fleet = GatewayFleet(build_route_table(*routes))
        self.runs: list[float] = []
        self.crashes: list[float] = []
        self.services = services
        self._ends_node = ends_node
        self._others_per_step = others_per_step
        self._rng = random.Random(seed)
        self._sent = 0
        self._down: set[str] = set()
        for index, name in enumerate(UPSTREAMS):
            self.fleet.add(name, services[index % len(services)], slots=SLOTS)
            self._serve(name)
        self.fleet.run(5)

    def _serve(self, name: str) -> None:
        upstream = self.fleet.upstreams[name]

        def run(http: HttpRequest) -> None:
            if http.uri == b"/one/crashing":
                self.runs.append(self.fleet.network.seconds())
                upstream.reactor.callLater(0.02, self._crash, name)
            else:
                upstream.reactor.callLater(
                    self._rng.uniform(0.1, 0.4), upstream.answer, http
                )

        upstream.on_run = run

    def _crash(self, name: str) -> None:
        self.crashes.append(self.fleet.network.seconds())
        self._down.add(name)
        self.fleet.kill_upstream(name)
        if self._ends_node:
            self.fleet.kill(name)
        self.fleet.network.callLater(1.5, self._restart, name)

    def _restart(self, name: str) -> None:
        self._down.discard(name)
        if self._ends_node:
            self.fleet.restart(name)
        self.fleet.start_upstream(name)
        self._serve(name)

    def send(self, path: str) -> None:
        """Sends a request at a random node."""
        self._sent += 1
        self.fleet.send(
            self._rng.choice(UPSTREAMS),
            path,
            f"r{self._sent}",
            method="POST",
            deadline_ms=5000,
        )

    def run(self, seconds: float, *, copies: int, interval_s: float) -> None:
        """Sends copies of the request at once, and others all the time."""
        steps = round(seconds / 0.05)
        for step in range(steps):
            if step % round(HEARTBEAT_S / 0.05) == 0:
                for name in UPSTREAMS:
                    if name not in self._down:
                        self.fleet.report(name)
            for _ in range(self._others_per_step):
                self.send(f"/one/{self._sent}")
            if step % round(interval_s / 0.05) == 0:
                for _ in range(copies):
                    self.send("/one/crashing")
            self.fleet.run(0.05)

    @property
    def late_runs(self) -> int:
        """Runs of the request later than allowed after its third crash."""
        if len(self.crashes) < 3:
            return 0
        limit_s = self.crashes[2] + SETTLE_S
        return sum(at > limit_s for at in self.runs)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("copies, interval_s", [(1, 0.5), (3, 1.0), (4, 3.5)])
def test_a_crashing_request_is_stopped_soon_after_its_third_crash(
    copies: int, interval_s: float, seed: int
) -> None:
    callers = CrashingRequests(seed, ("s",))
    callers.run(25, copies=copies, interval_s=interval_s)
    assert len(callers.crashes) >= 3
    assert callers.late_runs <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_restarted_node_learns_of_earlier_crashes(seed: int) -> None:
    callers = CrashingRequests(seed, ("s",))
    callers.run(3, copies=4, interval_s=0.5)
    assert len(callers.crashes) >= 3
    for name in UPSTREAMS[:2]:
        callers.fleet.kill(name)
        callers.fleet.run(0.5)
        callers.fleet.restart(name)
    callers.run(15, copies=4, interval_s=1.0)
    assert callers.late_runs <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crashes_count_also_after_the_route_has_moved(seed: int) -> None:
    callers = CrashingRequests(seed, ("s", "t"))
    callers.run(3, copies=4, interval_s=3.5)
    moved = build_route("one", "t", timeout_s=6.0, is_repeatable=False)
    callers.fleet.store.publish(build_route_table(moved, version=2))
    callers.run(20, copies=4, interval_s=3.5)
    assert len(callers.crashes) >= 3
    assert callers.late_runs <= MAX_LATE_RUNS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_request_whose_crashes_end_the_nodes_too_is_stopped(
    seed: int,
) -> None:
    callers = CrashingRequests(seed, ("s",), ends_node=True)
    callers.run(25, copies=1, interval_s=0.5)
    assert len(callers.crashes) >= 3
    assert callers.late_runs <= MAX_LATE_RUNS


def test_requests_that_end_each_others_entry_nodes_are_stopped() -> None:
    late_runs = []
    for seed in (1, 2, 3):
        callers = CrashingRequests(seed, ("s",), ends_node=True)
        callers.run(25, copies=2, interval_s=4.0)
        assert len(callers.crashes) >= 3
        late_runs.append(callers.late_runs)
    assert max(late_runs) <= MAX_LATE_RUNS


def test_a_request_that_ran_beside_nodes_that_ended_alone_is_served() -> None:
    """Guards against counting the ends of nodes whose upstreams survive."""
    fleet = GatewayFleet(
        build_route_table(build_route("one", "s", timeout_s=6.0))
    )
    fleet.add("e", "x")
    for name in UPSTREAMS:
        fleet.add(name, "s", slots=SLOTS)
        fleet.upstreams[name].on_run = lambda http: None
    fleet.run(5)
    for number in range(40):
        fleet.send("e", "/one/popular", f"r{number}", deadline_ms=5000)
    fleet.run(0.1)
    ended = [name for name in UPSTREAMS if fleet.upstreams[name].runs][:3]
    assert len(ended) == 3
    for name in ended:
        fleet.kill(name)
    fleet.run(1)
    refused = fleet.send("e", "/one/popular", "early", deadline_ms=5000)
    fleet.run(0.1)
    assert refused.status == 503, "the upstreams may have crashed"
    for name in ended:
        fleet.restart(name)
    fleet.run(2)
    for name in UPSTREAMS:
        fleet.upstreams[name].on_run = fleet.upstreams[name].answer
        fleet.report(name)
    fleet.run(1)
    result = fleet.send("e", "/one/popular", "later", deadline_ms=5000)
    fleet.run(1)
    assert result.status == 200


def test_a_node_that_refused_a_connection_and_runs_on_has_not_crashed() -> None:
    fleet = GatewayFleet(
        build_route_table(build_route("one", "s", timeout_s=6.0))
    )
    fleet.add("e", "x")
    fleet.add("a", "s", slots=SLOTS)
    fleet.upstreams["a"].on_run = lambda http: None
    fleet.run(5)
    fleet.send("e", "/one/popular", "r1", deadline_ms=5000)
    fleet.run(0.5)
    listeners = fleet.network.listener_factories
    listener = listeners.pop(fleet.node_port("a"))
    fleet.connections_between("e", "a")[-1][0].break_connection()
    fleet.run(0.3)
    tally = fleet.gateways["e"].crash_tally
    assert len(tally) == 1
    listeners[fleet.node_port("a")] = listener
    fleet.send("e", "/one/other", "r2", deadline_ms=5000)
    fleet.run(0.5)
    assert len(tally) == 0


def test_a_crashing_request_that_comes_again_for_minutes_stays_stopped() -> (
    None
):
    callers = CrashingRequests(1, ("s",), others_per_step=0)
    callers.run(200, copies=2, interval_s=4.0)
    assert len(callers.crashes) >= 3
    assert callers.late_runs <= MAX_LATE_RUNS


def test_the_other_nodes_of_the_service_learn_of_a_crash_at_once() -> None:
    callers = CrashingRequests(1, ("s",))
    for number in range(64):
        callers.send(f"/one/{number}")
    callers.send("/one/crashing")
    callers.fleet.run(0.15)
    assert len(callers.crashes) == 1
    counts = {
        len(gateway.crash_tally) for gateway in callers.fleet.gateways.values()
    }
    assert len(counts) == 1
    assert counts.pop() > 8
