"""Simulation of callers and gateway nodes under faults, drawn from a seed.

Callers send requests with bodies of their own, which upstreams return. Nodes
are killed, restarted and paused meanwhile, gossip about them is late, lost or
wrong, and connections break. At the end, each answer is checked against what
the upstreams have run.

    python -m radishtray_testing.answer_simulation --seeds 1000 --first 0
"""

import argparse
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from functools import partial
from operator import itemgetter
from random import Random
from typing import Final

from radishtray_node import Gateway
from radishtray_protocol import Route
from radishtray_testing._answer_checks import (
    SentRequest,
    Violation,
    check_request,
)
from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    FakeGatewayUpstream,
    GatewayFleet,
    build_route,
    build_route_table,
)
from radishtray_testing.memory_network import MemoryTransport
from radishtray_testing.seeded_nodes import recorded_errors, seeded_nodes
from radishtray_transport import HttpClient, HttpRequest

ANSWER_SLACK_S: Final = 0.5
"""Time after a request's deadline by which its caller must have an answer."""

_ENTRY_SERVICE: Final = "x"
_SERVICE: Final = "s"
_START_S: Final = 3.0
_LOAD_S: Final = 5.0
_REPORT_INTERVAL_S: Final = 0.5
# Longest time on the way to an entry node, with the connection set up.
_MAX_ARRIVAL_S: Final = 0.05
_STOP_LIMIT_S: Final = 1.5
# Longer than the longest route timeout, upstream run and pause.
_SETTLE_S: Final = 5.0
_RESTART_DELAYS_S: Final = (0.005, 0.02, 0.1, 0.3, 1.0)
_GOSSIP_DELAYS_S: Final = (0.1, 0.3, 0.8, 1.5, 4.5)
_PAUSES_S: Final = (0.05, 0.3, 0.9, 2.0)
_SLOW_CONNECTS_S: Final = (0.02, 0.1, 0.25, 0.6)
_HOLD_TIMES_S: Final = (0.1, 0.5, 1.2, 2.0)
_BODY_BYTES: Final = (0, 0, 0, 0, 200, 60_000)


_FAULTS: dict[str, "Callable[[Simulation], None]"] = {}


def _fault(
    method: "Callable[[Simulation], None]",
) -> "Callable[[Simulation], None]":
    """Registers a method that injects a fault under its name."""
    _FAULTS[method.__name__] = method
    return method


class Simulation:
    """One run: a fleet, its callers and its faults.

    Attributes:
        fault_counts: Number of faults that were injected, by name.
        requests: All requests that were sent, by id.
    """

    __slots__ = (
        "_delayed_gossip",
        "_entries",
        "_fleet",
        "_gossip_loss",
        "_load_end_s",
        "_network",
        "_nodes",
        "_pauses",
        "_rng",
        "_routes",
        "_unavailable",
        "_work_times_s",
        "fault_counts",
        "requests",
    )

    def __init__(self, seed: int) -> None:
        """Draws the fleet of a seed and starts it."""
        self._rng = rng = Random(seed)
        self.fault_counts: Counter[str] = Counter()
        self.requests: dict[str, SentRequest] = {}
        self._entries = [f"e{n}" for n in range(rng.randint(2, 4))]
        self._nodes = [f"n{n}" for n in range(rng.randint(2, 4))]
        self._routes = [
            build_route(
                name,
                _SERVICE,
                is_repeatable=is_repeatable,
                timeout_s=rng.choice((0.4, 0.8, 1.5)),
                max_attempts=rng.randint(1, 3),
            )
            for name, is_repeatable in (("safe", True), ("once", False))
        ]
        # Each upstream run takes a time from one of these ranges.
        self._work_times_s = rng.choice(
            (
                ((0.003, 0.03), (0.1, 0.5)),
                ((0.05, 0.3), (0.2, 2.2)),
                ((0.003, 0.03), (0.05, 0.3), (0.2, 2.2)),
            )
        )
        self._unavailable: set[str] = set()
        self._pauses: list[tuple[str, float, float]] = []
        self._delayed_gossip: dict[str, tuple[float, float]] = {}
        self._gossip_loss: tuple[float, float] = (0.0, 0.0)
        self._load_end_s = _START_S + _LOAD_S
        self._fleet = GatewayFleet(build_route_table(*self._routes))
        self._network = self._fleet.network
        self._network.datagram_delay = self._datagram_delay
        self._network.connect_delay = self._connect_delay
        self._network.on_connection = self._prepare_connection

    def run(self) -> None:
        """Runs the load and the faults, and waits for the last answers."""
        rng = self._rng
        slots = rng.choice((3, 10, 32))
        for name in self._entries:
            self._add_node(name, _ENTRY_SERVICE, slots)
        for name in self._nodes:
            self._add_node(name, _SERVICE, slots)
        self._network.run_exactly(_START_S)
        for name in self._entries + (self._nodes if self._happens(0.3) else []):
            self._call_after(rng.uniform(0, 0.1), self._send_burst, name)
        faults = rng.sample(list(_FAULTS), rng.randint(2, len(_FAULTS)))
        for _ in range(rng.randint(4, 12)):
            self._call_after(
                rng.uniform(0.2, _LOAD_S), self._run_fault_series, faults
            )
        self._network.run_exactly(_LOAD_S + _SETTLE_S)

    def _add_node(self, name: str, service: str, slots: int) -> None:
        self._fleet.add(name, service, slots=slots, stop_s=_STOP_LIMIT_S)
        self._prepare_upstream(name)
        self._call_after(_REPORT_INTERVAL_S, self._report, name)

    def _report(self, name: str) -> None:
        self._call_after(_REPORT_INTERVAL_S, self._report, name)
        self._fleet.report(name)

    def _call_after(
        self, delay_s: float, action: Callable[..., None], *args: object
    ) -> None:
        self._network.callLater(delay_s, action, *args)

    def _happens(self, probability: float) -> bool:
        return self._rng.random() < probability

    # The network.

    def _datagram_delay(
        self, source_port: int, target_port: int
    ) -> float | None:
        rng = self._rng
        now_s = self._network.seconds()
        loss, until_s = self._gossip_loss
        if now_s < until_s and rng.random() < loss:
            return None
        delay_s = rng.uniform(0.0005, 0.004)
        for name, (late_s, end_s) in self._delayed_gossip.items():
            port = self._fleet.node_port(name)
            if now_s < end_s and port in (source_port, target_port):
                delay_s = max(delay_s, late_s)
        return delay_s

    def _connect_delay(self, port: int) -> float:
        del port
        if self._happens(0.05):
            return self._rng.choice(_SLOW_CONNECTS_S)
        return self._rng.uniform(0, 0.002)

    def _prepare_connection(
        self, client_end: MemoryTransport, server_end: MemoryTransport
    ) -> None:
        delay_s = self._rng.choice((0.0002, 0.001, 0.005))
        client_end.delay_s = server_end.delay_s = delay_s
        if self._happens(0.1):
            client_end.max_write_some_bytes = 1000
            server_end.max_write_some_bytes = 1000

    # Callers.

    def _send_burst(self, entry: str) -> None:
        rng = self._rng
        if self._network.seconds() >= self._load_end_s:
            return
        self._call_after(rng.uniform(0.05, 0.5), self._send_burst, entry)
        route = rng.choice(self._routes)
        path = f"/{route.name}/{rng.randrange(2)}"
        for _ in range(rng.randint(1, 5)):
            caller = self._fleet.open_caller(entry, 1)
            self._send(caller, entry, route, path, rng.randrange(6))

    def _send(
        self,
        caller: HttpClient,
        entry: str,
        route: Route,
        path: str,
        followers: int,
    ) -> None:
        """Sends a request, and others after its answer.

        Args:
            caller: Connection of the caller.
            entry: Node id of the gateway.
            route: Route of the path.
            path: Path of the requests.
            followers: Number of requests that follow on the connection.
        """
        rng = self._rng
        request_id = f"r{len(self.requests)}"
        timeout_s = rng.choice((0.3, 1.0, 5.0))
        body = f"{request_id}:{rng.getrandbits(64):016x}".encode()
        body += b"." * rng.choice(_BODY_BYTES)
        now_s = self._network.seconds()
        result = self._fleet.send(
            entry,
            path,
            request_id,
            deadline_ms=int(timeout_s * 1000),
            method="POST",
            body=body,
            caller=caller,
        )
        request = SentRequest(
            request_id,
            entry,
            route,
            body,
            now_s,
            now_s + min(timeout_s, route.timeout_s),
            result,
        )
        self.requests[request_id] = request
        if followers and result.ended_s is None:
            result.on_end = partial(
                self._follow,
                request,
                partial(self._send, caller, entry, route, path, followers - 1),
            )
        if self._happens(0.1):
            self._call_after(rng.uniform(0, 1.0), self._leave, request)

    def _follow(
        self, request: SentRequest, send_next: Callable[[], None]
    ) -> None:
        is_over = self._network.seconds() >= self._load_end_s
        if not is_over and request.result.answer is not None:
            self._call_after(0, send_next)

    def _leave(self, request: SentRequest) -> None:
        pending = request.result.pending
        if request.result.ended_s is None and pending is not None:
            request.has_left = True
            pending.cancel()

    # Upstreams.

    def _prepare_upstream(self, name: str) -> None:
        upstream = self._fleet.upstreams[name]
        upstream.on_run = partial(self._run_at_upstream, upstream)

    def _run_at_upstream(
        self, upstream: FakeGatewayUpstream, http: HttpRequest
    ) -> None:
        rng = self._rng
        request_id = http.header(HEADER_NAMES.request_id.encode()) or b"?"
        if self._happens(0.03):
            upstream.shed(http)
            return
        request = self.requests[request_id.decode()]
        request.runs += 1
        work_s = rng.uniform(*rng.choice(self._work_times_s))
        upstream.reactor.callLater(
            work_s, self._answer, upstream, http, request
        )

    def _answer(
        self,
        upstream: FakeGatewayUpstream,
        http: HttpRequest,
        request: SentRequest,
    ) -> None:
        rng = self._rng
        status = 500 if self._happens(0.3) else 200
        request.statuses.add(status)
        if self._happens(0.1):
            delay_s = rng.choice((0.0, 0.002, 0.05, 0.5))
            upstream.answer_twice(http, http.body, status, delay_s)
        else:
            upstream.answer(http, http.body, status)

    # Faults.

    def _run_fault_series(self, faults: list[str]) -> None:
        """Injects a fault, often followed by others."""
        rng = self._rng
        for _ in range(rng.choice((1, 1, 2, 3))):
            self._call_after(
                rng.uniform(0, 0.4), self._inject, rng.choice(faults)
            )

    def _inject(self, fault: str) -> None:
        self.fault_counts[fault] += 1
        _FAULTS[fault](self)

    def _random_node(self) -> str | None:
        """Returns a node that runs and is not being stopped or restarted."""
        group = self._entries if self._happens(0.3) else self._nodes
        names = [name for name in group if name not in self._unavailable]
        return self._rng.choice(names) if names else None

    def _kill(self, name: str) -> None:
        self._unavailable.add(name)
        self._fleet.kill(name)

    def _restart(self, name: str) -> None:
        # A clock that was ahead gives the new process a lower incarnation.
        offset_ms = self._rng.choice((0, 0, 0, 0, -3000, 500))
        self._fleet.restart(name, wall_offset_ms=offset_ms)
        self._unavailable.discard(name)

    def _delay_gossip(self, name: str) -> None:
        """Delays gossip from and to a node for some time."""
        late_s = self._rng.choice(_GOSSIP_DELAYS_S)
        end_s = self._network.seconds() + self._rng.uniform(0.1, 3.0)
        self._delayed_gossip[name] = (late_s, end_s)

    @_fault
    def kill_and_restart(self) -> None:
        """Kills a node and restarts it, sometimes twice in a row."""
        name = self._random_node()
        if name is None:
            return
        if self._happens(0.5):
            self._delay_gossip(name)
        self._kill_and_restart(name, self._rng.choice((1, 1, 2)))
        if self._happens(0.2):
            self._replace_upstream(name)

    def _kill_and_restart(self, name: str, repeats: int) -> None:
        rng = self._rng
        self._kill(name)
        delay_s = rng.choice(_RESTART_DELAYS_S)
        self._call_after(delay_s, self._restart, name)
        if repeats > 1:
            self._call_after(
                delay_s + rng.choice((0.01, 0.05, 0.3)),
                self._kill_again,
                name,
                repeats - 1,
            )

    def _kill_again(self, name: str, repeats: int) -> None:
        if name not in self._unavailable:
            self._kill_and_restart(name, repeats)

    @_fault
    def exchange_addresses(self) -> None:
        """Kills two nodes and restarts them at each other's address."""
        first, second = self._random_node(), self._random_node()
        if first is None or second is None or first == second:
            return
        for name in (first, second):
            self._kill(name)
        self._fleet.exchange_addresses(first, second)
        for name in (first, second):
            delay_s = self._rng.choice(_RESTART_DELAYS_S)
            self._call_after(delay_s, self._restart, name)

    @_fault
    def report_live_node_gone(self) -> None:
        """Has nodes take a node that lives for gone."""
        name = self._random_node()
        for entry in self._entries:
            gateway = self._fleet.gateways[entry]
            if name not in (None, entry) and self._happens(0.7):
                self._fleet.processes[entry].run_or_queue(
                    partial(gateway.node_gone, name)
                )

    @_fault
    def delay_gossip(self) -> None:
        """Delays gossip from and to a node."""
        name = self._random_node()
        if name is not None:
            self._delay_gossip(name)

    @_fault
    def lose_gossip(self) -> None:
        """Loses a share of all gossip for some time."""
        loss = self._rng.choice((0.3, 0.7, 1.0))
        end_s = self._network.seconds() + self._rng.uniform(0.5, 5.0)
        self._gossip_loss = (loss, end_s)

    def _random_connection(
        self,
    ) -> tuple[MemoryTransport, MemoryTransport] | None:
        name = self._rng.choice(self._nodes)
        fleet = self._fleet
        connections = (
            fleet.node_connections(name)
            if self._happens(0.7)
            else fleet.upstream_connections(name)
        )
        return self._rng.choice(connections) if connections else None

    @_fault
    def reset_connections(self) -> None:
        """Resets some connections, each at both ends."""
        for _ in range(self._rng.randint(1, 4)):
            connection = self._random_connection()
            if connection is not None:
                connection[0].break_connection()

    @_fault
    def silence_connections(self) -> None:
        """Loses everything on some connections, in one or both directions."""
        for _ in range(self._rng.randint(1, 4)):
            connection = self._random_connection()
            if connection is not None:
                directions = self._rng.choice(((0,), (1,), (0, 1)))
                for direction in directions:
                    connection[direction].is_silent = True

    @_fault
    def silence_node(self) -> None:
        """Loses everything on new connections to a node for some time."""
        name = self._random_node()
        if name is None:
            return
        port = self._fleet.node_port(name)
        silent_ports = self._network.silent_ports
        silent_ports.add(port)
        silence_s = self._rng.choice(_HOLD_TIMES_S)
        self._call_after(silence_s, silent_ports.discard, port)

    @_fault
    def hold_connections(self) -> None:
        """Holds back what is sent on some connections, and then delivers it."""
        for _ in range(self._rng.randint(1, 4)):
            connection = self._random_connection()
            if connection is not None:
                end = self._rng.choice(connection)
                end.holds_back = True
                hold_s = self._rng.choice(_HOLD_TIMES_S)
                self._call_after(hold_s, end.release)

    @_fault
    def reset_caller_connections(self) -> None:
        """Resets some connections of callers."""
        connections = self._fleet.caller_connections(
            self._rng.choice(self._entries)
        )
        for connection in connections:
            if self._happens(0.3):
                connection[0].break_connection()

    @_fault
    def pause_node(self) -> None:
        """Pauses a node's process and wakes it."""
        name = self._random_node()
        if name is None or self._fleet.processes[name].is_paused:
            return
        now_s = self._network.seconds()
        pause_s = self._rng.choice(_PAUSES_S)
        process = self._fleet.processes[name]
        process.pause()
        self._pauses.append((name, now_s, now_s + pause_s))
        self._call_after(
            pause_s, partial(process.resume, timers_first=self._happens(0.5))
        )

    @_fault
    def stop_node(self) -> None:
        """Stops a node as planned, or kills it before the end of its stop.

        It is restarted in either case.
        """
        name = self._random_node()
        if name is None:
            return
        self._unavailable.add(name)
        gateway = self._fleet.gateways[name]
        process = self._fleet.processes[name]
        process.run_or_queue(gateway.drain)
        gateway.stopped.addCallback(lambda _: self._end_stop(name))
        if self._happens(0.4):
            delay_s = self._rng.uniform(0, _STOP_LIMIT_S)
            self._call_after(delay_s, self._kill_stopping, name, gateway)

    def _kill_stopping(self, name: str, gateway: Gateway) -> None:
        if not gateway.stopped.called:
            self._end_stop(name)

    def _end_stop(self, name: str) -> None:
        self._call_after(0, self._fleet.kill, name)
        delay_s = self._rng.choice(_RESTART_DELAYS_S)
        self._call_after(delay_s, self._restart, name)

    def _replace_upstream(self, name: str) -> None:
        self._fleet.replace_upstream(name, keeps_port=self._happens(0.5))
        self._prepare_upstream(name)

    @_fault
    def replace_upstream(self) -> None:
        """Kills an upstream and starts another in its place."""
        self._replace_upstream(self._rng.choice(self._nodes))

    # Checks.

    def find_violations(self) -> list[Violation]:
        """Checks what callers and upstreams have seen, after `run`."""
        found = [
            Violation("unasked_bytes", f"{name}: {fault.value}")
            for name, fault in self._fleet.caller_faults
        ]
        for request in self.requests.values():
            found += (
                Violation(check, f"{detail}{request}")
                for check, detail in check_request(
                    request, self._answer_bound_s(request)
                )
            )
        return found

    def _answer_bound_s(self, request: SentRequest) -> float:
        """Returns the latest allowed time of a request's answer.

        While an entry node is paused it can't answer, and the deadline of a
        request that it has not read begins when it wakes.
        """
        timeout_s = request.due_s - request.sent_s
        received_s = request.sent_s
        bound_s = request.due_s + ANSWER_SLACK_S
        for name, start_s, end_s in sorted(self._pauses, key=itemgetter(1)):
            if name != request.entry or end_s < received_s:
                continue
            if start_s <= received_s + _MAX_ARRIVAL_S:
                received_s = end_s
                bound_s = max(bound_s, end_s + timeout_s + ANSWER_SLACK_S)
            elif start_s <= bound_s:
                bound_s = max(bound_s, end_s + ANSWER_SLACK_S)
        return bound_s


FAULT_KINDS: Final = tuple(_FAULTS)
"""Names of the methods of `Simulation` that inject faults."""


def simulate(seed: int) -> tuple[Simulation, list[Violation]]:
    """Simulates one seed.

    Returns:
        The simulation after its run, and the checks that failed.
    """
    rng = Random(f"nodes {seed}")
    with seeded_nodes(rng), recorded_errors() as errors:
        simulation = Simulation(seed)
        try:
            simulation.run()
        except Exception:
            # Ends the run as the event loop of the product would not, so that
            # the traceback is reported.
            errors.append(traceback.format_exc())
    violations = [Violation("exception", text) for text in errors]
    return simulation, violations + simulation.find_violations()


def main(arguments: list[str] | None = None) -> int:
    """Runs seeds and prints those that fail.

    Args:
        arguments: Command line; that of the process if None.

    Returns:
        1 if a seed has failed, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args(arguments)
    failed_seeds: Counter[str] = Counter()
    failed_count = 0
    for seed in range(options.first, options.first + options.seeds):
        _, violations = simulate(seed)
        for violation in violations:
            print(f"seed {seed}: {violation.check}: {violation.detail}")
        failed_seeds.update({violation.check for violation in violations})
        failed_count += bool(violations)
    print(f"{failed_count} of {options.seeds} seeds failed")
    for check, count in sorted(failed_seeds.items()):
        print(f"{check}: {count} seeds")
    return int(failed_count > 0)


if __name__ == "__main__":
    sys.exit(main())
