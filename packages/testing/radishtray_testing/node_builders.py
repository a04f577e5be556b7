"""Nodes, upstreams and callers in one process on simulated time."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._entry import Entry
from radishtray_node._local_upstream import Announcement, LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._node_server import NodeServer
from radishtray_node._peer_link import PeerLink, attempt_id_salt
from radishtray_node._running_request import RunningRequests
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_api import UpstreamApi
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import ClusterKeys, Document, parse_document
from radishtray_state import (
    Candidate,
    CrashSuspects,
    KeyOwner,
    KeyRouter,
    RequestKey,
    SlotInterval,
    SlotTable,
    UpstreamSelector,
    make_attempt_id,
)
from radishtray_testing.memory_network import MemoryNetwork, MemoryTransport
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

WALL_MS = 1_700_000_000_000
KEYS = "a:" + "11" * 32
LOOPBACK = "127.0.0.1"
_HOUR_MS = 3_600_000
_KIND = """\
      {name}: {{method: {method}, path: /{name}, deadline_ms: {deadline_ms},
        retry_budget: {retry_budget}, at_most_once: {at_most_once}}}
"""


def build_document(
    *services: str, deadline_ms: int = 4000, retry_budget: int = 3
) -> Document:
    """Builds services with the kinds `read`, `write` and `buy` (keyed)."""
    text = "format: 1\nservices:\n"
    for service in services:
        text += f"  {service}:\n    owner: team\n    kinds:\n"
        for name, method, keyed in (
            ("read", "GET", False),
            ("write", "POST", False),
            ("buy", "POST", True),
        ):
            text += _KIND.format(
                name=name,
                method=method,
                deadline_ms=deadline_ms,
                retry_budget=retry_budget,
                at_most_once=str(keyed).lower(),
            )
    return parse_document({"test": text}).ok


class NetworkClock:
    """The time of a memory network as a node's clock."""

    __slots__ = ("_network",)

    def __init__(self, network: MemoryNetwork) -> None:
        """Takes the network."""
        self._network = network

    def monotonic(self) -> float:
        """Returns simulated seconds."""
        return float(self._network.seconds())

    def wall_ms(self) -> int:
        """Returns simulated wall time."""
        return WALL_MS + int(self._network.seconds() * 1000)


class FakeUpstream:
    """An upstream whose runs are answered by the test.

    Attributes:
        runs: Path of every request that was begun, in order.
        open: Requests that are not answered, oldest first.
        cancelled: Paths of the requests whose connection was closed.
        on_run: Called with each request, in place of keeping it open.
        api: Client towards the node's upstream listener.
        server: Its listener.
    """

    def __init__(self, network: MemoryNetwork, api_port: int) -> None:
        """Opens the listener."""
        self.runs: list[str] = []
        self.open: list[HttpRequest] = []
        self.cancelled: list[str] = []
        self.on_run: Callable[[HttpRequest], None] | None = None
        self.api = HttpClient(network, LOOPBACK, api_port, 64)
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

        def gone() -> None:
            self.cancelled.append(path)
            self.open.remove(http)

        http.on_disconnect = gone

    def answer(self, body: bytes = b"done", status: int = 200) -> None:
        """Answers the oldest open request."""
        self.open.pop(0).respond(status, [], body)

    def crash(self) -> None:
        """Ends the process: no listener, all connections closed."""
        self._network.listening.pop(self.port, None)
        for _, accepting in self._network.connections.get(self.port, []):
            accepting.abortConnection()


class MemoryNode:
    """One node without platform and gossip, and its upstream.

    Attributes:
        upstream: The fake upstream, or None without a service.
        metrics: Counters of the node.
        entry: Requests of callers.
        router: Outgoing calls.
        server: Calls on the upstream.
        key_owner: At-most-once records.
        unknown: Reports of unknown outcomes.
    """

    def __init__(
        self,
        cluster: "MemoryCluster",
        node_id: str,
        service: str = "",
        slots: int = 2,
        incarnation: int = 1,
        keys: str = KEYS,
        limits: HttpLimits | None = None,
    ) -> None:
        """Builds and starts a node."""
        network = cluster.network
        self.clock = NetworkClock(network)
        self.node_id = node_id
        self.identity = NodeIdentity(node_id, incarnation)
        self.signer = ClusterKeys.parse(keys).ok
        self.metrics = Metrics()
        self.timers = TimerWheel(network)
        self.running = RunningRequests()
        self.unknown = UnknownOutcomes(self.clock)
        self.suspects = CrashSuspects(self.clock)
        self.links: dict[str, PeerLink] = {}
        self.candidates: dict[str, list[Candidate]] = {}
        self.on_control: list[object] = []
        self._cluster = cluster
        rng = random.Random(node_id)
        self.key_owner: KeyOwner[CallResult] = KeyOwner(
            node_id, incarnation, self.clock
        )
        self.local = LocalUpstream(
            network,
            self.clock,
            rng,
            "adaptive",
            self.suspects,
            lambda: None,
            self._upstream_crashed,
        )
        self.server = UpstreamServer(
            self.clock,
            self.timers,
            self.local,
            self.key_owner,
            self.running,
            self.metrics,
            lambda: None,
            lambda _call: False,
        )
        self.router = CallRouter(
            node_id,
            self.clock,
            rng,
            self.timers,
            UpstreamSelector(self.clock, rng, "domain", "adaptive"),
            KeyRouter(self.clock, rng, lambda _owner: True),
            self.suspects,
            self.server,
            self.metrics,
            self.unknown,
            self._link_to,
        )
        self.entry = Entry(self.router, lambda: cluster.document)
        api = UpstreamApi(
            self.router, lambda: cluster.document, self.local, self.running
        )
        self.node_server = NodeServer(
            self.clock,
            self.server,
            self.metrics,
            lambda _connection, frame: self.on_control.append(frame),
        )
        self._listen(network, limits or HttpLimits(), api)
        self._start_loops(network)
        self.upstream: FakeUpstream | None = None
        if service:
            self.start_upstream(service, slots)

    def _upstream_crashed(self) -> None:
        self.server.handle_upstream_crash()

    def _listen(
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
            network, self.identity, self.signer, self.node_server
        )
        for listener in (
            self.caller_listener,
            self.upstream_listener,
            self.node_listener,
        ):
            listener.start(LOOPBACK, 0)

    def _start_loops(self, network: MemoryNetwork) -> None:
        for action, interval_s in (
            (self.router.check_silence, 0.25),
            (self._every_second, 1.0),
        ):
            loop = LoopingCall(action)
            loop.clock = network
            loop.start(interval_s, now=False)

    def _every_second(self) -> None:
        self.node_server.tick()
        self.key_owner.expire()

    def _link_to(self, node_id: str) -> PeerLink | None:
        port = self._cluster.node_ports.get(node_id)
        if port is None:
            return None
        link = PeerLink(
            self._cluster.network,
            self.timers,
            (LOOPBACK, port),
            self.identity,
            self.signer,
            self.on_control.append,
            lambda _node_id, _incarnation: None,
            lambda reason: self.metrics.rejected_connections.labels(
                reason
            ).inc(),
        )
        self.links[node_id] = link
        return link

    def start_upstream(self, service: str, slots: int) -> FakeUpstream:
        """Starts and announces an upstream."""
        network = self._cluster.network
        upstream = FakeUpstream(network, self.upstream_listener.port)
        self.upstream = upstream
        self.local.accept_announcement(
            Announcement(service, LOOPBACK, upstream.port, slots)
        )
        return upstream

    def use(self, service: str, *node_ids: str) -> None:
        """Sets the nodes to which this one sends calls of a service."""
        found = [Candidate(node_id, "domain", 2) for node_id in node_ids]
        self.router.set_candidates(service, found)

    def own_keys(self, service: str, *senders: "MemoryNode") -> None:
        """Makes this node the owner of every slot, also for the senders."""
        me = SlotInterval(
            self.node_id,
            self.identity.incarnation,
            WALL_MS - _HOUR_MS,
            WALL_MS + _HOUR_MS,
        )
        table = SlotTable([(me,)] * 64)
        self.key_owner.set_table(service, 1, table)
        for sender in senders:
            sender.router.key_router.set_table(service, 1, table)

    def counted(self, name: str) -> float:
        """Returns a counter by its name and labels in the exposition."""
        for line in self.metrics.exposition().decode().splitlines():
            label, _, value = line.rpartition(" ")
            if label == name:
                return float(value)
        return 0.0


class Caller:
    """Sends requests to a node and keeps what it gets.

    Attributes:
        results: For each request an answer, a failure, or None so far.
    """

    def __init__(self, network: MemoryNetwork, node: MemoryNode) -> None:
        """Takes the node's caller listener as the target."""
        self.results: list[HttpResponse | RequestFailure | None] = []
        self.pending: list[Any] = []
        self._client = HttpClient(
            network, LOOPBACK, node.caller_listener.port, 256
        )

    def send(self, method: str, path: str, key: str = "") -> int:
        """Sends a request and returns its number."""
        number = len(self.results)
        self.results.append(None)

        def note(result: HttpResponse | RequestFailure) -> None:
            assert self.results[number] is None, "two results of one request"
            self.results[number] = result

        headers = ["Idempotency-Key", key] if key else []
        self.pending.append(
            self._client.request(method, path, headers, b"", note, note)
        )
        return number

    def disconnect(self, number: int) -> None:
        """Closes the connection of a request."""
        self.pending[number].cancel()

    def seen(self, number: int = 0) -> str:
        """Returns the body of an answer, or the reason of a refusal."""
        result = self.results[number]
        if result is None:
            return "open"
        if isinstance(result, RequestFailure):
            return result.value
        reason = result.header("Radishtray-Reason")
        return reason or result.body.decode()

    def claims_not_run(self, number: int = 0) -> bool:
        """Whether the caller was told that its request was not run."""
        result = self.results[number]
        return isinstance(result, HttpResponse) and (
            result.header("Radishtray-Outcome") == "not_run"
        )


class MemoryCluster:
    """The network and the nodes on it.

    Attributes:
        network: Time and connections.
        document: Configuration of every node.
        nodes: Nodes by id.
        node_ports: Ports of the node listeners by node id.
    """

    def __init__(self, document: Document) -> None:
        """Starts without nodes."""
        self.network = MemoryNetwork()
        self.document = document
        self.nodes: dict[str, MemoryNode] = {}
        self.node_ports: dict[str, int] = {}

    def add(self, node_id: str, service: str = "", **options: Any) -> Any:
        """Starts a node; one of the same id is replaced."""
        node = MemoryNode(self, node_id, service, **options)
        self.nodes[node_id] = node
        self.node_ports[node_id] = node.node_listener.port
        return node

    def caller(self, node: MemoryNode) -> Caller:
        """Returns a caller of a node."""
        return Caller(self.network, node)

    def link_ends(
        self, node_id: str
    ) -> list[tuple[MemoryTransport, MemoryTransport]]:
        """Returns the ends of every connection to a node, oldest first."""
        return self.network.connections.get(self.node_ports[node_id], [])

    def attempt_id(self, node_id: str, number: int) -> int:
        """Returns the id of a sender's attempt at a node, counted from 1."""
        salt = attempt_id_salt((LOOPBACK, self.node_ports[node_id]))
        return make_attempt_id(salt, number)

    def new_key(self) -> str:
        """Returns a fresh idempotency key."""
        clock = NetworkClock(self.network)
        return str(RequestKey.generate(clock, random.Random(len(self.nodes))))
