"""Entry point for requests that are forwarded by route.

Requests come from callers on this VM and from the upstream beside this node,
whose calls belong to the chain of a request that it is running. A request whose
further calls are known to be refused is shed here, before any work is done for
it.
"""

import logging
import random
from collections.abc import Callable

from radishtray_node._call_router import CallRouter
from radishtray_node._crash_blocklist import CrashBlocklist
from radishtray_node._decision_log import DecisionLog
from radishtray_node._entry_decisions import EntryDecisions
from radishtray_node._exchange import Exchange
from radishtray_node._forwarding import HOST_HEADER, HeaderNames
from radishtray_node._organisation_gate import (
    ANONYMOUS,
    AUTHORIZATION_HEADER,
    CallerIdentity,
    OrganisationGate,
)
from radishtray_node._request_parts import forwarded_headers
from radishtray_node._routed_call import RoutedCall, RoutedRequest
from radishtray_organisations import place_request_level
from radishtray_protocol import Route, RouteTable
from radishtray_state import (
    FIRST_LEVELS,
    ArrivalBudget,
    CallChains,
    ParentRequest,
    RefusalReason,
    ServiceRejections,
    WeightedRoundRobin,
    fingerprint,
)
from radishtray_transport import HttpRequest

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1000.0
# Bounds of the random Retry-After delay. The jitter keeps requests that were
# refused together from being retried together.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 1.0
# Callers retry only if the Retry-After delay is at most this share of their
# remaining time.
_RETRY_AFTER_MAX_SHARE = 1 / 3
# Share of requests that are sent although their calls are expected to be
# refused, to detect when the overload ends.
_PROBE_SHARE = 0.01


class RouteEntry:
    """Handler of the listener for forwarded requests.

    Attributes:
        router: Sends calls to nodes.
        arrival_budget: Retry budget of each service.
        crash_blocklist: Requests that must not be sent to any upstream.
        rejections: How often the upstreams of a service reject requests.
        chains: Requests that the upstream is running, by request id.
        log: Log of refusals, failures and disconnected callers.
        timer: Records the time from a request's arrival to its answer.
        exchanges: Requests that have not been answered.
        gate: Identifies callers by the keys of organisations.
        count_organisation: Counts a request of an organisation, by name, and
            why it was refused, if it was.
        decisions: Decisions under load that features switch on.
    """

    __slots__ = (
        "_header_names",
        "_headers_about_organisations",
        "_headers_set_by_nodes",
        "_rng",
        "_route_counters",
        "_service",
        "_split_round_robins",
        "_table",
        "arrival_budget",
        "chains",
        "count_organisation",
        "crash_blocklist",
        "decisions",
        "exchanges",
        "gate",
        "log",
        "rejections",
        "router",
        "timer",
    )

    def __init__(
        self,
        router: CallRouter,
        arrival_budget: ArrivalBudget,
        crash_blocklist: CrashBlocklist,
        chains: CallChains,
        header_names: HeaderNames,
        service: str,
        rng: random.Random,
        log: DecisionLog,
        gate: OrganisationGate,
        count_organisation: Callable[[str, RefusalReason | None], None],
        decisions: EntryDecisions,
    ) -> None:
        """Starts without a configuration.

        Args:
            router: Sends calls to nodes.
            arrival_budget: Retry budget of each service.
            crash_blocklist: Requests that must not be sent to any upstream.
            chains: Requests that the upstream is running, by request id.
            header_names: Names of the headers that carry a request's context.
            service: Service on this VM, which upstreams see as the caller.
            rng: Source of levels and jitter.
            log: Log of refusals, failures and disconnected callers.
            gate: Identifies callers by the keys of organisations.
            count_organisation: Counts a request of an organisation, by name,
                and why it was refused, if it was.
            decisions: Decisions under load that features switch on.
        """
        self.decisions = decisions
        self.gate = gate
        self.count_organisation = count_organisation
        self.router = router
        self.arrival_budget = arrival_budget
        self.crash_blocklist = crash_blocklist
        self.rejections = ServiceRejections(router.clock)
        self.chains = chains
        self.log = log
        self.timer = router.metrics.create_stage_timer("entry")
        self.exchanges: set[Exchange] = set()
        self._header_names = header_names
        self._headers_set_by_nodes = header_names.set_by_nodes
        self._headers_about_organisations = header_names.set_by_nodes | {
            AUTHORIZATION_HEADER,
            header_names.organisation.lower().encode(),
        }
        self._service = service
        self._rng = rng
        self._table: RouteTable | None = None
        self._split_round_robins: dict[str, WeightedRoundRobin] = {}
        self._route_counters: dict[str, Callable[[], None]] = {}

    @property
    def request_id_header(self) -> str:
        """Name of the header that carries a request's id."""
        return self._header_names.request_id

    @property
    def active(self) -> int:
        """Number of requests that have not been answered."""
        return len(self.exchanges)

    def end_all(self) -> None:
        """Answers all requests now, as at their deadlines."""
        for exchange in list(self.exchanges):
            exchange.end()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self._table.version if self._table is not None else 0

    def apply(self, table: RouteTable) -> None:
        """Applies a configuration to all later requests.

        A route whose weights are unchanged keeps the state of its split.
        """
        previous = (
            {route.name: route for route in self._table.routes}
            if self._table
            else {}
        )
        round_robins: dict[str, WeightedRoundRobin] = {}
        for route in table.routes:
            known = previous.get(route.name)
            weights = [(s.service, s.weight) for s in route.splits]
            if known is not None and weights == [
                (s.service, s.weight) for s in known.splits
            ]:
                round_robins[route.name] = self._split_round_robins[route.name]
            else:
                round_robins[route.name] = WeightedRoundRobin(
                    weights, self._rng
                )
        self._split_round_robins = round_robins
        self._table = table
        self.decisions.apply(table)

    def may_overlap(self, http: HttpRequest) -> bool:
        """Returns whether a request may overlap others on its connection."""
        if self._table is None:
            return False
        host = (http.header(b"host") or b"").decode("latin-1")
        path = http.uri.decode("latin-1").partition("?")[0]
        route = self._table.find(host, path)
        return route is not None and route.is_repeatable

    def handle(self, http: HttpRequest) -> None:
        """Forwards a request by its route, or refuses it."""
        table = self._table
        if table is None:
            self.refuse(
                http, RefusalReason.NO_CONFIGURATION, _MAX_RETRY_AFTER_S
            )
            return
        uri = http.uri.decode("latin-1")
        host = (http.header(b"host") or b"").decode("latin-1")
        route = table.find(host, uri.partition("?")[0])
        if route is None:
            self.router.metrics.count_refusal(RefusalReason.UNKNOWN_KIND)
            self.log.log_no_route(host, uri, table.version)
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
        # The caller's time has begun while the request waited for others.
        received_s = self.router.clock.monotonic() - http.waited_s
        request_id = http.header(self._header_names.request_id.encode()) or b""
        caller_timeout_s = self._caller_timeout_s(http, route)
        parent = self.chains.find_parent(request_id, route.name)
        # Calls of a running request carry no key.
        identity = ANONYMOUS if parent else self.gate.identify(http, route)
        if isinstance(identity, RefusalReason):
            self._refuse_unidentified(
                http, identity, route, request_id, caller_timeout_s
            )
            return
        service = self._split_round_robins[route.name].next_service()
        self._count_request(route.name)
        exchange = Exchange(
            self,
            http,
            route,
            request_id,
            caller_timeout_s,
            received_s,
            parent,
            identity,
        )
        self.exchanges.add(exchange)
        method = http.method.decode("latin-1")
        priority_class = _priority_class(parent, identity, route)
        request = RoutedRequest(
            request_id,
            method,
            uri,
            self._upstream_headers(http, host, identity),
            http.body,
            # Without the service, since the route may change or be split.
            fingerprint("", method + host, uri, http.body),
            priority_class,
            parent.call_level
            if parent
            else self._draw_level(
                route, service, identity, priority_class, caller_timeout_s
            ),
            has_parent=parent is not None,
            is_repeat=parent is not None and parent.is_repeat,
            identity=identity,
        )
        exchange.start(
            RoutedCall(
                self,
                route,
                service,
                request,
                received_s + min(route.timeout_s, caller_timeout_s),
                table.version,
                exchange.finish,
            )
        )

    def _refuse_unidentified(
        self,
        http: HttpRequest,
        reason: RefusalReason,
        route: Route,
        request_id: bytes,
        left_s: float,
    ) -> None:
        metrics = self.router.metrics
        metrics.count_refusal(reason)
        metrics.count_delivered_refusal(reason)
        self.log.log_unanswered(
            request_id, route.name, reason, 0.0, self.version
        )
        self.refuse(http, reason, left_s)

    def draw_excess_level(self, route: Route) -> int:
        """Returns a level for a request beyond the share of its organisation.

        Requests of other organisations take precedence over it.
        """
        return place_request_level(
            self._rng.randrange(FIRST_LEVELS),
            route.priority_class,
            is_regular=False,
        )

    def _draw_level(
        self,
        route: Route,
        service: str,
        identity: CallerIdentity,
        priority_class: int,
        budget_s: float,
    ) -> int:
        """Returns the level of a first request within its class."""
        level = self.decisions.draw_level(
            route, service, priority_class, budget_s
        )
        if identity.priority_class is None:
            return level
        return place_request_level(level, route.priority_class)

    def _count_request(self, route: str) -> None:
        counter = self._route_counters.get(route)
        if counter is None:
            counter = self.router.metrics.requests.labels(route).inc
            self._route_counters[route] = counter
        counter()

    def should_shed(
        self, route: Route, request: RoutedRequest, rank: int
    ) -> bool:
        """Returns whether to shed a request because its calls would be refused.

        Calls of a running request are never shed here: work has already been
        done for their chain.

        Args:
            route: Route of the request.
            request: The request.
            rank: Its class and level in one number.
        """
        if request.has_parent or rank >= self.chains.received_chain_threshold(
            route.name
        ):
            return False
        return self._rng.random() >= _PROBE_SHARE

    def _caller_timeout_s(self, http: HttpRequest, route: Route) -> float:
        stated = http.header(self._header_names.deadline_ms.encode())
        if stated is None:
            return route.timeout_s
        try:
            return max(0.0, float(stated) / _MS_PER_S)
        except ValueError:
            _LOG.warning(
                "deadline header is not a number; using the timeout of the "
                "route",
                extra={"text": repr(stated)},
            )
            return route.timeout_s

    def _upstream_headers(
        self, http: HttpRequest, host: str, identity: CallerIdentity
    ) -> list[str]:
        names = self._header_names
        dropped = (
            self._headers_about_organisations
            if self.gate.has_organisations
            else self._headers_set_by_nodes
        )
        headers = [HOST_HEADER, host]
        forwarded = forwarded_headers(http)
        for name, value in zip(forwarded[::2], forwarded[1::2], strict=True):
            if name.lower().encode("latin-1") not in dropped:
                headers += (name, value)
        headers += (names.caller_service, self._service)
        if identity.organisation:
            headers += (names.organisation, identity.organisation)
        return headers

    def refuse(
        self,
        http: HttpRequest,
        reason: RefusalReason,
        left_s: float,
        retry_s: float | None = None,
        scheduled_s: float | None = None,
    ) -> None:
        """Answers a request with a refusal.

        Only a request that has not run is answered with 429 or 503 and
        Retry-After.

        Args:
            http: The request.
            reason: Why no upstream answered it.
            left_s: Seconds that the caller still waits for an answer.
            retry_s: Seconds after which an allotment is granted again; None if
                it is not the reason.
            scheduled_s: Seconds after which capacity is expected; None for a
                random delay.
        """
        if not reason.is_not_run:
            status = 504 if reason is RefusalReason.DEADLINE_RUNNING else 502
            http.respond(status, [], f"{reason.text}\n".encode())
            return
        text = f"{reason.text}\n".encode()
        if reason is RefusalReason.UNAUTHENTICATED:
            http.respond(reason.http_status, [], text)
            return
        if reason is RefusalReason.ALLOTMENT_EXHAUSTED and retry_s is not None:
            # The jitter keeps the requests of an organisation from coming
            # again together for the same few tokens.
            retry_after_s = retry_s + self._rng.random() * _MAX_RETRY_AFTER_S
        elif scheduled_s is not None:
            retry_after_s = scheduled_s
        else:
            retry_after_s = min(
                self._rng.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S),
                left_s * _RETRY_AFTER_MAX_SHARE,
            )
        headers = ["Retry-After", f"{max(retry_after_s, 0.0):.3f}"]
        status = 429 if reason is RefusalReason.ALLOTMENT_EXHAUSTED else 503
        http.respond(status, headers, text)


def _priority_class(
    parent: ParentRequest | None, identity: CallerIdentity, route: Route
) -> int:
    """Returns the class of a request; that of an organisation comes first."""
    if parent is not None:
        return parent.priority_class
    if identity.priority_class is not None:
        return identity.priority_class
    return route.priority_class
