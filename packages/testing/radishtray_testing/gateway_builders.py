"""Builders of gateways, and of their routes, store and upstreams, for tests."""

import socket
from collections.abc import Callable, Sequence
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from radishtray_node import (
    Gateway,
    GatewayAddresses,
    GatewaySettings,
    HeaderNames,
    RetryBudgetSettings,
)
from radishtray_organisations import Organisation
from radishtray_protocol import (
    ClusterKeys,
    Route,
    RouteSplit,
    RouteTable,
    decode_routes,
    encode_routes,
)
from radishtray_state import UpstreamReport
from radishtray_testing.memory_network import (
    MemoryNetwork,
    MemoryProcess,
    MemoryTransport,
)
from radishtray_testing.node_builders import NetworkClock
from radishtray_transport import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    NotFound,
    PendingRequest,
    RequestFailure,
    ResponseFault,
)

LOOPBACK = "127.0.0.1"
CLUSTER_KEYS = "test:" + "11" * 32
ROUTES_OBJECT = "routes/current"
HEALTH_PATH = "/health"
HEADER_NAMES = HeaderNames(
    request_id="Request-Id",
    deadline_ms="Deadline-Ms",
    expected_instance="Expected-Instance",
    caller_service="Caller-Service",
    not_run="Not-Run",
    signature="Answer-Signature",
    instance="Upstream-Instance",
    limit="Upstream-Limit",
    leaving="Upstream-Leaving",
    organisation="Organisation",
)


def build_route(name: str, service: str, **changes: Any) -> Route:
    """Builds a route for the path prefix `/<name>/` of the host `h`."""
    fields: dict[str, Any] = {
        "host": "h",
        "path_prefix": f"/{name}/",
        "is_repeatable": True,
        "timeout_s": 2.0,
        "target_latency_s": 1.0,
        "priority_class": 1,
        "max_attempts": 2,
        "splits": [RouteSplit(service, 1.0)],
    }
    return Route(name, **(fields | changes))


def build_route_table(
    *routes: Route,
    version: int = 1,
    organisations: Sequence[Organisation] = (),
) -> RouteTable:
    """Builds a route table with the services that its routes name."""
    services = {split.service for route in routes for split in route.splits}
    return RouteTable(
        version,
        routes,
        dict.fromkeys(services, 1000),
        health_paths=dict.fromkeys(services, HEALTH_PATH),
        organisations=organisations,
    )


class RouteTableObject:
    """A stored object that holds an encoded route table."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Creates the object at one version."""
        self.name = name
        self.version = version
        self.value = value


class RouteTableStore:
    """A platform store that holds a single object, the route table.

    Attributes:
        is_down: Whether reads, writes and lists are not answered and watches
            stay pending.
    """

    def __init__(self, table: RouteTable | None = None) -> None:
        """Creates a store; it is empty if no table is given."""
        self.is_down = False
        self._table = table
        self._pending_watches: list[Deferred[Result[Any, Any]]] = []

    @property
    def restore_count(self) -> int:
        """0: this store loses nothing."""
        return 0

    def publish(self, table: RouteTable) -> None:
        """Replaces the table and, unless down, answers the pending watches."""
        self._table = table
        if self.is_down:
            return
        watches, self._pending_watches = self._pending_watches, []
        for watch in watches:
            if not watch.called:
                watch.callback(Ok(self._table_object(table)))

    @staticmethod
    def _table_object(table: RouteTable) -> RouteTableObject:
        return RouteTableObject(
            ROUTES_OBJECT, table.version, encode_routes(table)
        )

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object; `NotFound` for any but the route table."""
        if self.is_down:
            return Deferred()
        if name != ROUTES_OBJECT or self._table is None:
            return succeed(Error(NotFound(name)))
        return succeed(Ok(self._table_object(self._table)))

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits until the table's version differs from a known one.

        Without a timeout the answer is immediate.
        """
        del name
        table = self._table
        if not self.is_down and table is not None and table.version != version:
            return succeed(Ok(self._table_object(table)))
        if not timeout_s and not self.is_down:
            return succeed(Ok(None))
        pending: Deferred[Result[Any, Any]] = Deferred()
        self._pending_watches.append(pending)
        return pending

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Confirms a write without storing it."""
        del name, value
        if self.is_down:
            return Deferred()
        return succeed(Ok((version or 0) + 1))

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Confirms a delete without effect."""
        del name
        return succeed(Ok(version))

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Returns an empty list."""
        del prefix
        return Deferred() if self.is_down else succeed(Ok([]))


def find_free_ports(count: int) -> list[int]:
    """Returns TCP ports that are free now, but are not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def ignore_report(gateway: Gateway, http: HttpRequest) -> None:
    """Accepts a report over HTTP without effect.

    Tests call `Gateway.report` instead.
    """
    del gateway
    http.respond(200, [], b"")


def build_settings(
    node_id: str,
    service: str,
    ports: Sequence[int],
    *,
    upstream_port: int = 0,
    **changes: Any,
) -> GatewaySettings:
    """Builds the settings of a gateway on the loopback interface.

    Args:
        node_id: Node id of the gateway.
        service: Service of its upstream.
        ports: Ports for callers, readiness checks, upstream reports and other
            nodes, in this order.
        upstream_port: Port that the settings state for the upstream; 0 if they
            state none.
        **changes: Fields that differ from the defaults below.
    """
    caller, readiness, reports, node = ports
    fields: dict[str, Any] = {
        "failure_domain": "d1",
        "addresses": GatewayAddresses(
            host=LOOPBACK,
            caller=(LOOPBACK, caller),
            readiness=(LOOPBACK, readiness),
            reports=(LOOPBACK, reports),
            node_port=node,
            metrics_port=0,
            upstream=(LOOPBACK, upstream_port) if upstream_port else None,
        ),
        "seeds": (),
        "cluster_keys": ClusterKeys.parse(CLUSTER_KEYS).ok,
        "repeats": RetryBudgetSettings(0.2, 48.0, 10.0),
        "headers": HEADER_NAMES,
        "configuration_object": ROUTES_OBJECT,
        "is_first_start": True,
        "memory_bytes": 300 * 1024 * 1024,
        "stop_s": 5.0,
        "ready_linger_s": 0.5,
    }
    return GatewaySettings(
        node_id=node_id, service=service, **(fields | changes)
    )


def build_gateway(
    reactor: Any,
    settings: GatewaySettings,
    store: Any,
    wall_offset_ms: int = 0,
    decode_table: Callable[[bytes], Result[RouteTable, Any]] = decode_routes,
) -> Gateway:
    """Builds a gateway without starting it.

    Args:
        reactor: Reactor of the gateway.
        settings: Settings of the gateway.
        store: The platform's store.
        wall_offset_ms: Error of the gateway's wall clock in milliseconds, if
            the reactor has no clock of its own.
        decode_table: Decodes the object with the route table.
    """
    clock = getattr(reactor, "clock", None) or NetworkClock(
        reactor, wall_offset_ms
    )
    return Gateway(reactor, clock, settings, store, decode_table, ignore_report)


def echoed_id(http: HttpRequest) -> list[str]:
    """Returns the header with which an upstream repeats a request's id."""
    request_id = http.header(HEADER_NAMES.request_id.encode()) or b""
    return [HEADER_NAMES.request_id, request_id.decode()]


class FakeGatewayUpstream:
    """An upstream of a gateway that reads the gateway's request headers.

    It refuses requests that name another instance with status 421, and runs
    all others.

    Attributes:
        runs: Ids of the requests that it has started to run, in order.
        requests: The requests themselves, in the same order.
        on_run: Called with each request that runs; `answer` by default.
        port: TCP port of its listener.
        reactor: Reactor of the upstream.
        is_leaving: Whether health checks are answered with 503.
        answers_health_checks: Whether health checks are answered at all.
        health_checks: Number of health checks received.
    """

    def __init__(
        self,
        reactor: Any,
        instance: str,
        on_run: Callable[[HttpRequest], None] | None = None,
        *,
        port: int = 0,
        started_ms: int = 1,
    ) -> None:
        """Opens the listener of an instance.

        Args:
            reactor: Reactor of the upstream.
            instance: Id of the upstream process.
            on_run: Called with each request that runs; `answer` if None.
            port: TCP port of the listener; 0 chooses a free one.
            started_ms: Start of the process, which its reports state.
        """
        self.runs: list[str] = []
        self.requests: list[HttpRequest] = []
        self.on_run = on_run or self.answer
        self.is_leaving = False
        self.answers_health_checks = True
        self.health_checks = 0
        self.reactor = reactor
        self._instance = instance
        self._started_ms = started_ms
        self._server = HttpServer(reactor, self._handle, HttpLimits())
        self._server.start(LOOPBACK, port)
        self.port = self._server.port

    def _handle(self, http: HttpRequest) -> None:
        if http.uri == HEALTH_PATH.encode():
            self.health_checks += 1
            if not self.answers_health_checks:
                return
            status = 503 if self.is_leaving else 200
            http.respond(status, [HEADER_NAMES.instance, self._instance], b"")
            return
        expected = http.header(HEADER_NAMES.expected_instance.encode())
        if expected != self._instance.encode():
            http.respond(421, echoed_id(http), b"")
            return
        request_id = http.header(HEADER_NAMES.request_id.encode()) or b""
        self.runs.append(request_id.decode())
        self.requests.append(http)
        self.on_run(http)

    def answer(
        self, http: HttpRequest, body: bytes = b"done", status: int = 200
    ) -> None:
        """Responds to a request that has run, with the signature header."""
        signature = [HEADER_NAMES.signature, f"{len(body)}"]
        http.respond(status, echoed_id(http) + signature, body)

    def answer_twice(
        self, http: HttpRequest, body: bytes, status: int, delay_s: float
    ) -> None:
        """Responds to a request, and sends the same response again later.

        Args:
            http: The request.
            body: Body of both responses.
            status: Status of both responses.
            delay_s: Time between the responses in seconds.
        """
        channel = http.channel
        self.answer(http, body, status)
        if channel is None:
            return
        request_id = http.header(HEADER_NAMES.request_id.encode()) or b""
        head = (
            f"HTTP/1.1 {status} Again\r\n"
            f"{HEADER_NAMES.request_id}: {request_id.decode()}\r\n"
            f"{HEADER_NAMES.signature}: {len(body)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.reactor.callLater(
            delay_s, channel.writer.write, head.encode() + body
        )

    def shed(self, http: HttpRequest) -> None:
        """Responds that a request was not run and drops it from `runs`.

        The request must be the newest one.
        """
        self.runs.pop()
        http.respond(503, [*echoed_id(http), HEADER_NAMES.not_run, "1"], b"")

    def report(
        self, service: str, sequence: int, *, slots: int = 8, **changes: Any
    ) -> UpstreamReport:
        """Builds a report of this upstream to its gateway.

        Args:
            service: Service that the upstream serves.
            sequence: Number of the report; later reports have higher ones.
            slots: Number of requests that it runs at once.
            **changes: Fields that differ from the defaults below.
        """
        fields: dict[str, Any] = {
            "instance": self._instance,
            "started_ms": self._started_ms,
            "host": LOOPBACK,
            "port": self.port,
            "is_leaving": False,
            "cold_left_s": 0.0,
        }
        return UpstreamReport(
            sequence=sequence,
            service=service,
            slots=slots,
            **(fields | changes),
        )

    def close(self) -> None:
        """Closes the listener."""
        self._server.close()


class _FleetMember:
    """What remains of a gateway's VM when its processes end."""

    __slots__ = (
        "changes",
        "ports",
        "report_sequence",
        "service",
        "slots",
        "upstream_port",
        "upstream_process",
        "upstreams_started",
    )

    def __init__(
        self,
        service: str,
        slots: int,
        ports: tuple[int, ...],
        upstream_port: int,
        changes: Any,
    ) -> None:
        self.service = service
        self.slots = slots
        self.ports = ports
        self.upstream_port = upstream_port
        self.changes = changes
        self.upstreams_started = 0
        self.report_sequence = 0
        self.upstream_process: MemoryProcess | None = None


class GatewayFleet:
    """Gateways on a memory network, each with an upstream and a caller.

    Each gateway and each upstream is a process of its own.

    Attributes:
        network: Reactor of the callers; runs the events of all processes.
        store: The platform's store, which all gateways share.
        open_store: Returns the client of the platform's store of a process.
        decode_table: Decodes the object with the route table.
        gateways: Gateways by node id; a killed one is kept until its restart.
        processes: Processes of the gateways, by node id.
        upstreams: Upstreams by the node id of their gateway.
        caller_faults: What gateways sent to callers besides the answers to
            their requests, with the node id.
    """

    def __init__(self, table: RouteTable | None) -> None:
        """Creates a fleet without gateways.

        Args:
            table: Route table in the store; None for an empty store.
        """
        self.network = MemoryNetwork()
        self.store = RouteTableStore(table)
        self.open_store: Callable[[MemoryProcess], Any] = lambda _: self.store
        self.decode_table: Callable[[bytes], Result[RouteTable, Any]] = (
            decode_routes
        )
        self.gateways: dict[str, Gateway] = {}
        self.processes: dict[str, MemoryProcess] = {}
        self.upstreams: dict[str, FakeGatewayUpstream] = {}
        self.caller_faults: list[tuple[str, ResponseFault]] = []
        self._members: dict[str, _FleetMember] = {}
        self._caller_clients: dict[str, HttpClient] = {}
        self._next_port = 20_000
        self._seed_address = ""

    def add(
        self,
        name: str,
        service: str,
        *,
        slots: int = 8,
        upstream_port: int = 0,
        **changes: Any,
    ) -> FakeGatewayUpstream:
        """Starts a gateway and its upstream, which reports at once.

        Args:
            name: Node id of the gateway; its upstream's instance is `i-<name>`.
            service: Service that the upstream serves.
            slots: Number of requests that the upstream runs at once.
            upstream_port: Port of the upstream, which the settings of the
                gateway state; 0 chooses a free one, which they do not state.
            **changes: Settings of the gateway that differ from the defaults.
        """
        ports = tuple(range(self._next_port, self._next_port + 4))
        self._next_port += 4
        seeds = (self._seed_address,) if self._seed_address else ()
        self._seed_address = self._seed_address or f"{LOOPBACK}:{ports[3]}"
        self._members[name] = _FleetMember(
            service, slots, ports, upstream_port, changes
        )
        self._start_gateway(name, seeds, 0)
        self._start_upstream(name, upstream_port)
        self.report(name)
        return self.upstreams[name]

    def _start_gateway(
        self, name: str, seeds: tuple[str, ...], wall_offset_ms: int
    ) -> None:
        member = self._members[name]
        settings = build_settings(
            name,
            member.service,
            member.ports,
            upstream_port=member.upstream_port,
            **({"seeds": seeds} | member.changes),
        )
        process = MemoryProcess(self.network)
        gateway = build_gateway(
            process,
            settings,
            self.open_store(process),
            wall_offset_ms,
            self.decode_table,
        )
        gateway.start()
        self.gateways[name] = gateway
        self.processes[name] = process
        client = self._caller_clients.get(name)
        if client is None or client.address != (LOOPBACK, member.ports[0]):
            self._caller_clients[name] = self.open_caller(name, 64)

    def _start_upstream(self, name: str, port: int) -> None:
        member = self._members[name]
        member.upstreams_started += 1
        number = member.upstreams_started
        instance = f"i-{name}" if number == 1 else f"i-{name}-{number}"
        member.upstream_process = MemoryProcess(self.network)
        self.upstreams[name] = FakeGatewayUpstream(
            member.upstream_process, instance, port=port, started_ms=number
        )

    def report(self, name: str) -> None:
        """Has an upstream report to its gateway, unless this one is killed."""
        member = self._members[name]
        member.report_sequence += 1
        report = self.upstreams[name].report(
            member.service, member.report_sequence, slots=member.slots
        )
        gateway = self.gateways[name]

        def deliver() -> None:
            gateway.accept_report(report)

        self.processes[name].run_or_queue(deliver)

    def kill(self, name: str) -> None:
        """Kills the process of a gateway; its upstream goes on."""
        self.processes[name].kill()

    def restart(self, name: str, *, wall_offset_ms: int = 0) -> None:
        """Starts a new process of a killed gateway at its address.

        Args:
            name: Node id of the gateway.
            wall_offset_ms: Error of the new process's wall clock, which its
                incarnation is made of.

        Raises:
            ValueError: If the gateway was not killed.
        """
        if not self.processes[name].has_ended:
            raise ValueError(f"gateway {name} was not killed")
        seeds = tuple(
            f"{LOOPBACK}:{member.ports[3]}"
            for other, member in self._members.items()
            if other != name
        )
        self._members[name].changes["is_first_start"] = False
        self._start_gateway(name, seeds, wall_offset_ms)
        self.report(name)

    def exchange_addresses(self, first: str, second: str) -> None:
        """Has two killed gateways restart at each other's address.

        Raises:
            ValueError: If one of the gateways was not killed.
        """
        for name in (first, second):
            if not self.processes[name].has_ended:
                raise ValueError(f"gateway {name} was not killed")
        one, other = self._members[first], self._members[second]
        one.ports, other.ports = other.ports, one.ports

    def replace_upstream(self, name: str, *, keeps_port: bool = False) -> None:
        """Kills an upstream and starts another, which reports at once.

        Args:
            name: Node id of its gateway.
            keeps_port: Whether the new upstream listens on the same port.
        """
        port = self.upstreams[name].port if keeps_port else 0
        self.kill_upstream(name)
        self.start_upstream(name, port=port)

    def kill_upstream(self, name: str) -> None:
        """Kills the process of an upstream, which resets its connections."""
        process = self._members[name].upstream_process
        if process is not None:
            process.kill()

    def start_upstream(self, name: str, *, port: int = 0) -> None:
        """Starts another process of an upstream, which reports at once.

        Args:
            name: Node id of its gateway.
            port: TCP port of the upstream; 0 chooses a free one.
        """
        self._start_upstream(name, port)
        self.report(name)

    def open_caller(self, name: str, max_connections: int) -> HttpClient:
        """Returns the connections of a new caller to a gateway."""
        return HttpClient(
            self.network,
            LOOPBACK,
            self._members[name].ports[0],
            max_connections,
            on_fault=lambda fault: self.caller_faults.append((name, fault)),
        )

    def node_connections(
        self, name: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns the open connections of other nodes to a gateway."""
        return self._open_connections(self._members[name].ports[3])

    def connections_between(
        self, opener: str, name: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns one gateway's open connections to another, oldest first."""
        process = self.processes[opener]
        return [
            pair
            for pair in self.node_connections(name)
            if pair[0].process is process
        ]

    def upstream_connections(
        self, name: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns the open connections of a gateway to its upstream."""
        return self._open_connections(self.upstreams[name].port)

    def caller_connections(
        self, name: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns the open connections of callers to a gateway."""
        return self._open_connections(self._members[name].ports[0])

    def node_port(self, name: str) -> int:
        """Returns the TCP and UDP port of a gateway for other nodes."""
        return self._members[name].ports[3]

    def _open_connections(
        self, port: int
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        return [
            pair
            for pair in self.network.connections.get(port, [])
            if pair[0].connected and pair[1].connected
        ]

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        self.network.run(seconds)

    def send(
        self,
        name: str,
        path: str,
        request_id: str,
        *,
        deadline_ms: int = 1500,
        method: str = "GET",
        body: bytes = b"",
        caller: HttpClient | None = None,
        headers: Sequence[str] = (),
    ) -> "CallerResult":
        """Sends a request from the caller beside a gateway.

        Args:
            name: Node id of the gateway.
            path: Path of the request.
            request_id: Value of the request id header.
            deadline_ms: Value of the deadline header.
            method: HTTP method.
            body: Body of the request.
            caller: Connections of the caller; None for those that all callers
                of a gateway share.
            headers: Further headers, names and values alternating.

        Returns:
            The result, which is filled in once there is one.
        """
        result = CallerResult(self.network.seconds)
        caller = caller or self._caller_clients[name]
        result.pending = caller.request(
            method,
            path,
            [
                HEADER_NAMES.request_id,
                request_id,
                HEADER_NAMES.deadline_ms,
                str(deadline_ms),
                *headers,
            ],
            body,
            result.on_answer,
            result.on_failure,
            host="h",
        )
        return result


class CallerResult:
    """The result of one request as its caller sees it.

    Attributes:
        status: HTTP status of the answer; 0 while there is none.
        answer: The answer, if one has arrived.
        failure: Why the request failed without an answer, if it did.
        ended_s: Time of the answer or failure, in simulated seconds.
        on_end: Called at the answer or failure, if set.
        pending: Handle of the request; cancelling it disconnects the caller.
    """

    def __init__(self, seconds: Callable[[], float]) -> None:
        """Creates a result without an answer or a failure.

        Args:
            seconds: Returns the simulated time.
        """
        self.status = 0
        self.answer: HttpResponse | None = None
        self.failure: RequestFailure | None = None
        self.ended_s: float | None = None
        self.on_end: Callable[[], None] | None = None
        self.pending: PendingRequest | None = None
        self._seconds = seconds

    def on_answer(self, answer: HttpResponse) -> None:
        """Records the answer."""
        self.status = answer.status
        self.answer = answer
        self._end()

    def on_failure(self, failure: RequestFailure) -> None:
        """Records the failure."""
        self.failure = failure
        self._end()

    def _end(self) -> None:
        self.ended_s = self._seconds()
        if self.on_end is not None:
            self.on_end()
