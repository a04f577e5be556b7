"""Builders of gateways, their routes, store and upstreams for tests."""

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
from radishtray_protocol import (
    ClusterKeys,
    Route,
    RouteSplit,
    RouteTable,
    decode_routes,
    encode_routes,
)
from radishtray_state import UpstreamReport
from radishtray_testing.memory_network import MemoryNetwork
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
)

LOOPBACK = "127.0.0.1"
KEYS = "test:" + "11" * 32
ROUTES_OBJECT = "routes/current"
NAMES = HeaderNames(
    request_id="Request-Id",
    deadline_ms="Deadline-Ms",
    expected_instance="Expected-Instance",
    caller_service="Caller-Service",
    not_run="Not-Run",
    signature="Answer-Signature",
)


def build_route(name: str, service: str, **changes: Any) -> Route:
    """Builds a route for `/<name>/` of the host `h`."""
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


def build_table(*routes: Route, version: int = 1) -> RouteTable:
    """Builds a table with the services that its routes name."""
    services = {split.service for route in routes for split in route.splits}
    return RouteTable(version, routes, dict.fromkeys(services, 1000))


class TableObject:
    """The stored object with the routes."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Holds the object."""
        self.name = name
        self.version = version
        self.value = value


class TableStore:
    """A store that holds one object with routes, and can be down.

    Attributes:
        is_down: Whether calls are not answered.
    """

    def __init__(self, table: RouteTable | None = None) -> None:
        """Starts with a table, if there is one."""
        self.is_down = False
        self._table = table
        self._waiting: list[Deferred[Result[Any, Any]]] = []

    def publish(self, table: RouteTable) -> None:
        """Replaces the table and answers the watches."""
        self._table = table
        if self.is_down:
            return
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.called:
                waiter.callback(Ok(self._object(table)))

    @staticmethod
    def _object(table: RouteTable) -> TableObject:
        return TableObject(ROUTES_OBJECT, table.version, encode_routes(table))

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object."""
        if self.is_down:
            return Deferred()
        if name != ROUTES_OBJECT or self._table is None:
            return succeed(Error(NotFound(name)))
        return succeed(Ok(self._object(self._table)))

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits for another version."""
        del name, timeout_s
        table = self._table
        if not self.is_down and table is not None and table.version != version:
            return succeed(Ok(self._object(table)))
        waiter: Deferred[Result[Any, Any]] = Deferred()
        self._waiting.append(waiter)
        return waiter

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Accepts any write and forgets it."""
        del name, value
        if self.is_down:
            return Deferred()
        return succeed(Ok((version or 0) + 1))

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Accepts any delete."""
        del name
        return succeed(Ok(version))

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists nothing."""
        del prefix
        return Deferred() if self.is_down else succeed(Ok([]))


def free_ports(count: int) -> list[int]:
    """Returns TCP ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((LOOPBACK, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def no_reports(gateway: Gateway, http: HttpRequest) -> None:
    """Answers a report that the test makes directly."""
    del gateway
    http.respond(200, [], b"")


def build_settings(
    node_id: str, service: str, ports: Sequence[int], **changes: Any
) -> GatewaySettings:
    """Builds settings of a node on loopback.

    Args:
        node_id: Name of the node.
        service: Service of its upstream.
        ports: Ports for callers, readiness, reports and other nodes.
        **changes: Fields that differ from the defaults.
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
        ),
        "seeds": (),
        "cluster_keys": ClusterKeys.parse(KEYS).ok,
        "repeats": RetryBudgetSettings(0.2, 48.0, 10.0),
        "headers": NAMES,
        "configuration_object": ROUTES_OBJECT,
        "stop_s": 5.0,
        "ready_linger_s": 0.5,
    }
    return GatewaySettings(
        node_id=node_id, service=service, **(fields | changes)
    )


def build_gateway(
    reactor: Any, settings: GatewaySettings, store: TableStore
) -> Gateway:
    """Builds a gateway that is not started."""
    clock = getattr(reactor, "clock", None) or NetworkClock(reactor)
    return Gateway(reactor, clock, settings, store, decode_routes, no_reports)


class HeaderUpstream:
    """An upstream that is reached by forwarded requests.

    Attributes:
        runs: Ids of the requests that it began, in order.
        seen: The requests, in the same order.
        on_run: Answers a request.
        port: Its TCP port.
    """

    def __init__(
        self,
        reactor: Any,
        instance: str,
        on_run: Callable[[HttpRequest], None] | None = None,
    ) -> None:
        """Opens the listener."""
        self.runs: list[str] = []
        self.seen: list[HttpRequest] = []
        self.on_run = on_run or self.answer
        self._instance = instance
        self._server = HttpServer(reactor, self._handle, HttpLimits())
        self._server.start(LOOPBACK, 0)
        self.port = self._server.port

    def _handle(self, http: HttpRequest) -> None:
        expected = http.header(NAMES.expected_instance.encode())
        if expected != self._instance.encode():
            http.respond(421, [], b"")
            return
        request_id = http.header(NAMES.request_id.encode()) or b""
        self.runs.append(request_id.decode())
        self.seen.append(http)
        self.on_run(http)

    def answer(
        self, http: HttpRequest, body: bytes = b"done", status: int = 200
    ) -> None:
        """Answers a request as one that was run."""
        request_id = http.header(NAMES.request_id.encode()) or b""
        headers = [NAMES.request_id, request_id.decode()]
        headers += [NAMES.signature, f"{len(body)}"]
        http.respond(status, headers, body)

    def shed(self, http: HttpRequest) -> None:
        """Answers that the request was not run."""
        self.runs.pop()
        http.respond(503, [NAMES.not_run, "1"], b"")

    def report(
        self, service: str, sequence: int, *, slots: int = 8, **changes: Any
    ) -> UpstreamReport:
        """Builds a report of this upstream."""
        fields: dict[str, Any] = {"is_leaving": False, "cold_left_s": 0.0}
        return UpstreamReport(
            self._instance,
            1,
            sequence,
            service,
            LOOPBACK,
            self.port,
            slots,
            **(fields | changes),
        )

    def close(self) -> None:
        """Closes the listener."""
        self._server.close()


class GatewayFleet:
    """Gateways with upstreams on a memory network, and a caller at each.

    Attributes:
        network: Reactor of all parts.
        store: The platform's store.
        gateways: The gateways by name.
        upstreams: Their upstreams by name.
    """

    def __init__(self, table: RouteTable | None) -> None:
        """Starts without gateways."""
        self.network = MemoryNetwork()
        self.store = TableStore(table)
        self.gateways: dict[str, Gateway] = {}
        self.upstreams: dict[str, HeaderUpstream] = {}
        self._callers: dict[str, HttpClient] = {}
        self._next_port = 20_000
        self._seed = ""

    def add(
        self, name: str, service: str, *, slots: int = 8, **changes: Any
    ) -> HeaderUpstream:
        """Starts a gateway whose upstream reports at once."""
        ports = tuple(range(self._next_port, self._next_port + 4))
        self._next_port += 4
        seeds = (self._seed,) if self._seed else ()
        settings = build_settings(
            name,
            service,
            ports,
            **({"seeds": seeds} | changes),
        )
        self._seed = self._seed or f"{LOOPBACK}:{ports[3]}"
        gateway = build_gateway(self.network, settings, self.store)
        gateway.start()
        upstream = HeaderUpstream(self.network, f"i-{name}")
        gateway.accept_report(upstream.report(service, 1, slots=slots))
        self.gateways[name] = gateway
        self.upstreams[name] = upstream
        self._callers[name] = HttpClient(self.network, LOOPBACK, ports[0], 64)
        return upstream

    def run(self, seconds: float) -> None:
        """Lets time pass."""
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
    ) -> "CallerResult":
        """Sends a request of a caller beside a gateway."""
        result = CallerResult()
        result.pending = self._callers[name].request(
            method,
            path,
            [NAMES.request_id, request_id, NAMES.deadline_ms, str(deadline_ms)],
            body,
            result.answered,
            result.failed,
            host="h",
        )
        return result


class CallerResult:
    """What a caller got for one request.

    Attributes:
        status: Status of the answer; 0 without one.
        answer: The whole answer, if there is one.
        failure: Why there is none, if that is known.
        pending: The request; cancelling it disconnects the caller.
    """

    def __init__(self) -> None:
        """Starts without a result."""
        self.status = 0
        self.answer: HttpResponse | None = None
        self.failure: RequestFailure | None = None
        self.pending: PendingRequest | None = None

    def answered(self, answer: HttpResponse) -> None:
        """Takes the answer."""
        self.status = answer.status
        self.answer = answer

    def failed(self, failure: RequestFailure) -> None:
        """Takes the failure."""
        self.failure = failure
