"""Requests that are forwarded by route, from callers and upstreams."""

import logging
import random
from collections.abc import Callable

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._decision_log import DecisionLog
from radishtray_node._forwarding import HOST_HEADER, HeaderNames
from radishtray_node._request_parts import forwarded_headers
from radishtray_node._routed_call import (
    LEVELS_PER_CLASS,
    RoutedCall,
    RoutedRequest,
)
from radishtray_protocol import Route, RouteTable
from radishtray_state import (
    ArrivalBudget,
    CallChains,
    CrashTally,
    RefusalReason,
    SplitRotation,
    SuspectVerdict,
    fingerprint,
)
from radishtray_transport import HttpRequest

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1000.0
# A caller that is told to come back does so after a pause within these
# bounds, so that the refused requests of one moment don't return together.
_SHORTEST_PAUSE_S = 0.3
_LONGEST_PAUSE_S = 1.0
# A caller comes back only if the pause is at most this share of its time.
_PAUSE_SHARE = 1 / 3
# Share of the requests that are sent although their calls are known to be
# refused, to learn when that ends.
_PROBE_SHARE = 0.01
# Levels that a call is above the request that it is made for: a chain that has
# begun comes before one that has not.
_STARTED_BONUS = 12


class BlockedContents:
    """Contents that no upstream should run again."""

    __slots__ = ("_tally",)

    def __init__(self, tally: CrashTally) -> None:
        """Takes the tally of crashes."""
        self._tally = tally

    def is_blocked(self, digest: int) -> bool:
        """Whether a content has crashed too many upstreams."""
        return self._tally.check(digest) is SuspectVerdict.REFUSE


def _started_level(level: int) -> int:
    """Returns the level of a call made for a running request."""
    return min(level + _STARTED_BONUS, LEVELS_PER_CLASS - 1)


class _Exchange:
    """One request of a caller, from its arrival to the answer."""

    __slots__ = (
        "_budget_s",
        "_call",
        "_entry",
        "_http",
        "_request_id",
        "_route",
        "_started_s",
    )

    def __init__(
        self,
        entry: "RouteEntry",
        http: HttpRequest,
        route: Route,
        request_id: bytes,
        budget_s: float,
        started_s: float,
    ) -> None:
        self._entry = entry
        self._http = http
        self._route = route
        self._request_id = request_id
        self._budget_s = budget_s
        self._started_s = started_s
        self._call: RoutedCall | None = None

    def start(self, call: RoutedCall) -> None:
        """Sends the request; the caller may leave from now on."""
        self._call = call
        self._http.on_disconnect = self._disconnected
        call.start()

    def finish(self, result: CallResult) -> None:
        """Answers the caller."""
        # Else the two would keep each other until a collection.
        self._call = None
        entry = self._entry
        entry.active -= 1
        held_s = entry.router.clock.monotonic() - self._started_s
        entry.timer.record(held_s)
        if result.refusal is None:
            self._http.respond(result.status, result.headers, result.body)
            return
        entry.router.metrics.count_delivered_refusal(result.refusal)
        entry.log.ended(
            self._request_id,
            self._route.name,
            result.refusal,
            held_s,
            entry.version,
        )
        entry.refuse(self._http, result.refusal, self._budget_s - held_s)

    def _disconnected(self) -> None:
        self._entry.active -= 1
        self._entry.log.caller_left(self._request_id, self._route.name)
        if self._call is not None:
            self._call.cancel()


class RouteEntry:
    """Handler of the listener for forwarded requests.

    Attributes:
        router: Sends the calls.
        budget: Bounds repeated arrivals at upstreams.
        suspects: Contents that no upstream should run again.
        chains: Requests that the upstream on this VM is running.
        log: Records decisions about requests.
        timer: Time from a request's arrival to its answer.
        active: Requests that have not been answered.
    """

    __slots__ = (
        "_names",
        "_not_forwarded",
        "_rng",
        "_rotations",
        "_route_counters",
        "_service",
        "_table",
        "active",
        "budget",
        "chains",
        "log",
        "router",
        "suspects",
        "timer",
    )

    def __init__(
        self,
        router: CallRouter,
        budget: ArrivalBudget,
        suspects: BlockedContents,
        chains: CallChains,
        names: HeaderNames,
        service: str,
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        """Starts without a configuration.

        Args:
            router: Sends the calls.
            budget: Bounds repeated arrivals at upstreams.
            suspects: Contents that no upstream should run again.
            chains: Requests that the upstream on this VM is running.
            names: Names of the headers that carry a request's context.
            service: Service on this VM, stated to upstreams as the caller.
            rng: Source of levels and jitter.
            log: Records decisions about requests.
        """
        self.router = router
        self.budget = budget
        self.suspects = suspects
        self.chains = chains
        self.log = log
        self.timer = router.metrics.create_stage_timer("entry")
        self.active = 0
        self._names = names
        self._not_forwarded = names.set_by_nodes
        self._service = service
        self._rng = rng
        self._table: RouteTable | None = None
        self._rotations: dict[str, SplitRotation] = {}
        self._route_counters: dict[str, Callable[[], None]] = {}

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._table.version if self._table is not None else 0

    def apply(self, table: RouteTable) -> None:
        """Puts a configuration in force for the requests that follow."""
        previous = (
            {route.name: route for route in self._table.routes}
            if self._table
            else {}
        )
        rotations: dict[str, SplitRotation] = {}
        for route in table.routes:
            known = previous.get(route.name)
            weights = [(s.service, s.weight) for s in route.splits]
            if known is not None and weights == [
                (s.service, s.weight) for s in known.splits
            ]:
                rotations[route.name] = self._rotations[route.name]
            else:
                rotations[route.name] = SplitRotation(weights, self._rng)
        self._rotations = rotations
        self._table = table

    def handle(self, http: HttpRequest) -> None:
        """Finds the route of a request and sends it on its way."""
        table = self._table
        if table is None:
            self.refuse(http, RefusalReason.NO_CONFIGURATION, _LONGEST_PAUSE_S)
            return
        uri = http.uri.decode("latin-1")
        host = (http.header(b"host") or b"").decode("latin-1")
        route = table.find(host, uri.partition("?")[0])
        if route is None:
            self.router.metrics.count_refusal(RefusalReason.UNKNOWN_KIND)
            self.log.no_route(host, uri, table.version)
            http.respond(404, [], b"no route\n")
            return
        self._forward(http, table, route, host, uri)

    def _forward(
        self,
        http: HttpRequest,
        table: RouteTable,
        route: Route,
        host: str,
        uri: str,
    ) -> None:
        now_s = self.router.clock.monotonic()
        request_id = http.header(self._names.request_id.encode()) or b""
        budget_s = self._budget_s(http, route)
        service = self._rotations[route.name].next()
        self.active += 1
        self._count(route.name)
        exchange = _Exchange(self, http, route, request_id, budget_s, now_s)
        method = http.method.decode("latin-1")
        parent = self.chains.parent_of(request_id, route.name)
        request = RoutedRequest(
            request_id,
            method,
            uri,
            self._headers(http, host),
            http.body,
            fingerprint(service, method + host, uri, http.body),
            parent.priority_class if parent else route.priority_class,
            _started_level(parent.level)
            if parent
            else self._rng.randrange(LEVELS_PER_CLASS),
            is_inner=parent is not None,
            is_repeat=parent is not None and parent.is_repeat,
        )
        exchange.start(
            RoutedCall(
                self,
                route,
                service,
                request,
                now_s + min(route.timeout_s, budget_s),
                table.version,
                exchange.finish,
            )
        )

    def _count(self, route: str) -> None:
        counter = self._route_counters.get(route)
        if counter is None:
            counter = self.router.metrics.requests.labels(route).inc
            self._route_counters[route] = counter
        counter()

    def refuses_chain(
        self, route: Route, request: RoutedRequest, rank: int
    ) -> bool:
        """Whether calls that a new request needs are known to be refused.

        A request of a chain that has begun goes on: work was done for it.

        Args:
            route: Route of the request.
            request: The request.
            rank: Its importance, class and level.
        """
        if request.is_inner or rank >= self.chains.threshold(route.name):
            return False
        return self._rng.random() >= _PROBE_SHARE

    def _budget_s(self, http: HttpRequest, route: Route) -> float:
        stated = http.header(self._names.deadline_ms.encode())
        if stated is None:
            return route.timeout_s
        try:
            return max(0.0, float(stated) / _MS_PER_S)
        except ValueError:
            _LOG.warning("unreadable deadline", extra={"text": repr(stated)})
            return route.timeout_s

    def _headers(self, http: HttpRequest, host: str) -> list[str]:
        headers = [HOST_HEADER, host]
        forwarded = forwarded_headers(http)
        for name, value in zip(forwarded[::2], forwarded[1::2], strict=True):
            if name.lower().encode("latin-1") not in self._not_forwarded:
                headers += (name, value)
        headers += (self._names.caller_service, self._service)
        return headers

    def refuse(
        self, http: HttpRequest, reason: RefusalReason, left_s: float
    ) -> None:
        """Answers with a refusal.

        Args:
            http: The request.
            reason: Why no upstream answered it.
            left_s: Seconds that the caller still waits for an answer.
        """
        if not reason.is_not_run:
            status = 504 if reason is RefusalReason.DEADLINE_RUNNING else 502
            http.respond(status, [], f"{reason.text}\n".encode())
            return
        pause_s = min(
            self._rng.uniform(_SHORTEST_PAUSE_S, _LONGEST_PAUSE_S),
            left_s * _PAUSE_SHARE,
        )
        headers = ["Retry-After", f"{max(pause_s, 0.0):.3f}"]
        http.respond(503, headers, f"{reason.text}\n".encode())
