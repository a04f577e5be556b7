"""Nodes, upstreams and callers in one process, in simulated time."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._entry import Entry
from radishtray_node._forwarding import ContextForwarding
from radishtray_node._local_upstream import Announcement, LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._peer_link import PeerLink
from radishtray_node._running_request import RunningRequests
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_api import UpstreamApi
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import ClusterKeys, Document, parse_document
from radishtray_state import (
    AttemptSequence,
    Candidate,
    CrashSuspects,
    KeyOwner,
    KeyRouter,
    RequestKey,
    SlotInterval,
    SlotTable,
    UpstreamSelector,
)
from radishtray_testing.memory_network import (
    MemoryNetwork,
    MemoryProcess,
    MemoryTransport,
)
from radishtray_transport import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    NodeIdentity,
    NodeListener,
    RequestFailure,
)

START_WALL_MS = 1_700_000_000_000
CLUSTER_KEYS = "a:" + "11" * 32
LOOPBACK = "127.0.0.1"
_HOUR_MS = 3_600_000
_KIND_TEMPLATE = """\
      {name}: {{method: {method}, path: /{name}, deadline_ms: {deadline_ms},
        retry_budget: {retry_budget}, at_most_once: {at_most_once}}}
"""


def build_document(
    *services: str, deadline_ms: int = 4000, retry_budget: int = 3
) -> Document:
    """Builds a configuration whose services have the same three kinds.

    `read` is a GET and `write` a POST; `buy` is a POST that needs an
    idempotency key, as it runs at most once.
    """
    text = "format: 1\nservices:\n"
    for service in services:
        text += f"  {service}:\n    owner: team\n    kinds:\n"
        for name, method, at_most_once in (
            ("read", "GET", False),
            ("write", "POST", False),
            ("buy", "POST", True),
        ):
            text += _KIND_TEMPLATE.format(
                name=name,
                method=method,
                deadline_ms=deadline_ms,
                retry_budget=retry_budget,
                at_most_once=str(at_most_once).lower(),
            )
    return parse_document({"test": text}).ok


class NetworkClock:
    """A `Clock` that reads the simulated time of a memory network."""

    __slots__ = ("_network", "_wall_offset_ms")

    def __init__(
        self, network: MemoryNetwork | MemoryProcess, wall_offset_ms: int = 0
    ) -> None:
        """Creates the clock of a network or of a process on it.

        Args:
            network: Source of simulated time.
            wall_offset_ms: Error of the wall clock in milliseconds.
        """
        self._network = network
        self._wall_offset_ms = wall_offset_ms

    def monotonic(self) -> float:
        """Returns the simulated time in seconds."""
        return float(self._network.seconds())

    def wall_ms(self) -> int:
        """Returns the simulated wall time in milliseconds since the epoch."""
        now_ms = START_WALL_MS + int(self._network.seconds() * 1000)
        return now_ms + self._wall_offset_ms


class FakeUpstream:
    """An upstream whose requests are answered by the test.

    Attributes:
        runs: Path of every request that it has started to run, in order.
        open: Requests without an answer, oldest first.
        cancelled: Paths of the open requests whose connection was closed.
        on_run: Called with each request, which is then not added to `open`.
        api_client: HTTP client for the API of the node's upstream listener.
        server: The upstream's own listener.
        port: TCP port of that listener.
    """

    def __init__(self, network: MemoryNetwork, api_port: int) -> None:
        """Opens the listener on a free port.

        Args:
            network: Reactor of the upstream.
            api_port: Port of the node's upstream listener.
        """
        self.runs: list[str] = []
        self.open: list[HttpRequest] = []
        self.cancelled: list[str] = []
        self.on_run: Callable[[HttpRequest], None] | None = None
        self.api_client = HttpClient(network, LOOPBACK, api_port, 64)
        self._network = network
        self.server = HttpServer(network, self._handle, HttpLimits())
        self.server.start(LOOPBACK, 0)
        self.port = self.server.port

    def _handle(self, http: HttpRequest) -> None:
        path = http.uri.decode()
        self.runs.append(path)
        if self.on_run is not None:
            self.on_run(http)
            return
        self.open.append(http)

        def on_disconnect() -> None:
            self.cancelled.append(path)
            self.open.remove(http)

        http.on_disconnect = on_disconnect

    def answer(self, body: bytes = b"done", status: int = 200) -> None:
        """Answers the oldest open request."""
        self.open.pop(0).respond(status, [], body)

    def crash(self) -> None:
        """Simulates a crash: closes the listener and resets all connections."""
        self._network.listener_factories.pop(self.port, None)
        for _, server_end in self._network.connections.get(self.port, []):
            server_end.abortConnection()


class MemoryNode:
    """A node without platform and gossip, and its upstream if it has one.

    Attributes:
        clock: Simulated time.
        node_id: The node's id.
        identity: Node id and incarnation for the handshake with other nodes.
        attempt_sequence: Numbers of the node's attempts and connections.
        cluster_keys: Keys that authenticate connections between nodes.
        metrics: Metrics of the node.
        timers: Timers of requests.
        running_requests: Requests that the upstream runs now.
        unknown_outcomes: Latest reports of requests with unknown outcome.
        crash_suspects: Requests that may have crashed upstreams.
        peer_links: Newest link to each other node, by node id.
        control_frames: Frames received that are neither calls nor answers.
        key_owner: Records of requests that run at most once.
        local_upstream: State of the own upstream and admission to it.
        upstream_server: Runs calls on the own upstream.
        router: Routes outgoing calls to nodes.
        entry: Handles requests of callers.
        node_server: Handles calls of other nodes.
        upstream: The fake upstream; None if the node has no service.
    """

    def __init__(
        self,
        cluster: "MemoryCluster",
        node_id: str,
        service: str = "",
        slots: int = 2,
        incarnation: int = 1,
        keys: str = CLUSTER_KEYS,
        limits: HttpLimits | None = None,
    ) -> None:
        """Builds and starts a node.

        Args:
            cluster: The network and the other nodes.
            node_id: Id of the node.
            service: Service of its upstream; empty for no upstream.
            slots: Number of requests that the upstream runs at once.
            incarnation: Incarnation of the process.
            keys: Cluster keys in the format of the setting.
            limits: Bounds of the HTTP listeners; None for the defaults.
        """
        network = cluster.network
        self.clock = NetworkClock(network)
        self.node_id = node_id
        self.identity = NodeIdentity(node_id, incarnation)
        self.attempt_sequence = AttemptSequence(len(cluster.nodes))
        self._first_attempt_id = self.attempt_sequence.last_id + 1
        self.cluster_keys = ClusterKeys.parse(keys).ok
        self.metrics = Metrics()
        self.timers = TimerWheel(network)
        self.running_requests = RunningRequests()
        self.unknown_outcomes = UnknownOutcomes(self.clock)
        self.crash_suspects = CrashSuspects(self.clock)
        self.peer_links: dict[str, PeerLink] = {}
        self.candidates: dict[str, list[Candidate]] = {}
        self.control_frames: list[object] = []
        self._cluster = cluster
        rng = random.Random(node_id)
        self.key_owner: KeyOwner[CallResult] = KeyOwner(
            node_id, incarnation, self.clock
        )
        forwarding = ContextForwarding()
        self.local_upstream = LocalUpstream(
            network,
            self.clock,
            rng,
            "adaptive",
            self.crash_suspects,
            lambda: None,
            self._upstream_crashed,
            forwarding.response_rules,
        )
        self.upstream_server = UpstreamServer(
            self.clock,
            self.timers,
            self.local_upstream,
            self.key_owner,
            self.running_requests,
            self.metrics,
            lambda: None,
            lambda _call: False,
            forwarding,
        )
        self.router = CallRouter(
            node_id,
            self.clock,
            rng,
            self.timers,
            UpstreamSelector(self.clock, rng, "domain", "adaptive"),
            KeyRouter(self.clock, rng, lambda _owner: True),
            self.crash_suspects,
            self.upstream_server,
            self.metrics,
            self.unknown_outcomes,
            self._open_link,
        )
        self.entry = Entry(self.router, lambda: cluster.document)
        api = UpstreamApi(
            self.router,
            lambda: cluster.document,
            self.local_upstream,
            self.running_requests,
        )
        self.node_server = NodeServer(
            self.clock,
            self.upstream_server,
            self.metrics,
            lambda _connection, frame: self.control_frames.append(frame),
        )
        self._start_listeners(network, limits or HttpLimits(), api)
        self._start_loops(network)
        self.upstream: FakeUpstream | None = None
        if service:
            self.start_upstream(service, slots)

    def _upstream_crashed(self) -> None:
        self.upstream_server.handle_upstream_crash()

    def _start_listeners(
        self, network: MemoryNetwork, limits: HttpLimits, api: UpstreamApi
    ) -> None:
        rejected = self.metrics.rejected_input
        self.caller_listener = HttpServer(
            network,
            self.entry.handle,
            limits,
            lambda reason: rejected.labels("caller", reason).inc(),
        )
        self.upstream_listener = HttpServer(network, api.handle, limits)
        self.node_listener = NodeListener(
            network, self.identity, self.cluster_keys, self.node_server
        )
        for listener in (
            self.caller_listener,
            self.upstream_listener,
            self.node_listener,
        ):
            listener.start(LOOPBACK, 0)

    def _start_loops(self, network: MemoryNetwork) -> None:
        for action, interval_s in (
            (self.router.check_liveness, 0.25),
            (self._every_second, 1.0),
        ):
            loop = LoopingCall(action)
            loop.clock = network
            loop.start(interval_s, now=False)

    def _every_second(self) -> None:
        self.node_server.tick()
        self.key_owner.expire()

    def _open_link(self, node_id: str) -> PeerLink | None:
        port = self._cluster.node_ports.get(node_id)
        if port is None:
            return None
        link = PeerLink(
            self._cluster.network,
            self.timers,
            (LOOPBACK, port),
            self.identity,
            self.attempt_sequence,
            self.cluster_keys,
            self.control_frames.append,
            lambda _node_id, _incarnation: None,
            lambda reason: self.metrics.rejected_connections.labels(
                reason
            ).inc(),
        )
        self.peer_links[node_id] = link
        return link

    def attempt_id(self, number: int) -> int:
        """Returns the id of this node's n-th attempt at other nodes."""
        return self._first_attempt_id + number - 1

    def start_upstream(self, service: str, slots: int) -> FakeUpstream:
        """Starts an upstream and announces it to this node."""
        network = self._cluster.network
        upstream = FakeUpstream(network, self.upstream_listener.port)
        self.upstream = upstream
        self.local_upstream.accept_announcement(
            Announcement(service, LOOPBACK, upstream.port, slots)
        )
        return upstream

    def set_candidates(self, service: str, *node_ids: str) -> None:
        """Sets the nodes to which this node may send calls of a service."""
        candidates = [Candidate(node_id, "domain", 2) for node_id in node_ids]
        self.router.set_candidates(service, candidates)

    def own_all_slots(self, service: str, *senders: "MemoryNode") -> None:
        """Makes this node own every key slot of a service.

        Args:
            service: The service.
            *senders: Nodes whose routers learn of it.
        """
        interval = SlotInterval(
            self.node_id,
            self.identity.incarnation,
            START_WALL_MS - _HOUR_MS,
            START_WALL_MS + _HOUR_MS,
        )
        table = SlotTable([(interval,)] * 64)
        self.key_owner.set_table(service, 1, table)
        for sender in senders:
            sender.router.key_router.set_table(service, 1, table)

    def counter_value(self, name: str) -> float:
        """Returns the value of a counter; 0 if it has never been incremented.

        Args:
            name: Name with labels, as in the Prometheus text format.
        """
        for line in self.metrics.exposition().decode().splitlines():
            sample, _, value = line.rpartition(" ")
            if sample == name:
                return float(value)
        return 0.0


class Caller:
    """Sends requests to a node and records their results.

    Attributes:
        results: For each request its answer or failure; None while pending.
        pending: Handles of all sent requests; cancelling one that has no result
            disconnects its caller.
    """

    def __init__(self, network: MemoryNetwork, node: MemoryNode) -> None:
        """Creates a caller that connects to the node's caller listener."""
        self.results: list[HttpResponse | RequestFailure | None] = []
        self.pending: list[Any] = []
        self._client = HttpClient(
            network, LOOPBACK, node.caller_listener.port, 256
        )

    def send(self, method: str, path: str, key: str = "") -> int:
        """Sends a request.

        Args:
            method: HTTP method.
            path: Path of the request.
            key: Idempotency key; empty for none.

        Returns:
            Index of the request in `results`.
        """
        number = len(self.results)
        self.results.append(None)

        def record(result: HttpResponse | RequestFailure) -> None:
            assert self.results[number] is None, (
                "the request already has a result"
            )
            self.results[number] = result

        headers = ["Idempotency-Key", key] if key else []
        self.pending.append(
            self._client.request(method, path, headers, b"", record, record)
        )
        return number

    def disconnect(self, number: int) -> None:
        """Closes the connection of a request."""
        self.pending[number].cancel()

    def result_text(self, number: int = 0) -> str:
        """Describes the result of a request.

        Returns:
            The refusal reason of an answer, or its body if it has no reason;
            the value of a failure; `open` while there is no result.
        """
        result = self.results[number]
        if result is None:
            return "open"
        if isinstance(result, RequestFailure):
            return result.value
        reason = result.header("Radishtray-Reason")
        return reason or result.body.decode()

    def claims_not_run(self, number: int = 0) -> bool:
        """Returns whether the answer marks the request as not run."""
        result = self.results[number]
        return isinstance(result, HttpResponse) and (
            result.header("Radishtray-Outcome") == "not_run"
        )


class MemoryCluster:
    """A memory network and the nodes on it.

    Attributes:
        network: Reactor with simulated time and connections.
        document: Configuration that is in effect at every node.
        nodes: Nodes by node id.
        node_ports: Ports of the listeners for other nodes, by node id.
    """

    def __init__(self, document: Document) -> None:
        """Creates a cluster without nodes."""
        self.network = MemoryNetwork()
        self.document = document
        self.nodes: dict[str, MemoryNode] = {}
        self.node_ports: dict[str, int] = {}

    def add(self, node_id: str, service: str = "", **options: Any) -> Any:
        """Starts a node; it replaces the one of the same id, if any."""
        node = MemoryNode(self, node_id, service, **options)
        self.nodes[node_id] = node
        self.node_ports[node_id] = node.node_listener.port
        return node

    def caller(self, node: MemoryNode) -> Caller:
        """Creates a caller of a node."""
        return Caller(self.network, node)

    def connection_ends(
        self, node_id: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns the client and server end of each connection to a node.

        The list starts with the oldest connection.
        """
        return self.network.connections.get(self.node_ports[node_id], [])

    def generate_key(self) -> str:
        """Generates an idempotency key."""
        clock = NetworkClock(self.network)
        return str(RequestKey.generate(clock, random.Random(len(self.nodes))))
