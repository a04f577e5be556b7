"""Settings of a gateway node, which forwards requests by route."""

from ipaddress import ip_address

from radishtray_node._features import Feature
from radishtray_node._forwarding import HeaderNames
from radishtray_organisations import AllotmentTolerance
from radishtray_protocol import ClusterKeys

_DEFAULT_MAX_DESCRIPTORS = 4096


class GatewayAddresses:
    """Addresses and ports that a node listens on.

    Attributes:
        host: IP address on which other nodes reach this one.
        caller: Host and port for requests that begin on this VM.
        readiness: Host and port of the readiness check.
        reports: Host and port that receive the upstream's status reports.
        node_port: Port for other nodes, TCP for calls and UDP for gossip.
        metrics_port: TCP port of the metrics endpoint; 0 disables it.
        upstream: Host and port of the upstream; None if they are not known
            before its first report.
    """

    __slots__ = (
        "caller",
        "host",
        "metrics_port",
        "node_port",
        "readiness",
        "reports",
        "upstream",
    )

    def __init__(
        self,
        *,
        host: str,
        caller: tuple[str, int],
        readiness: tuple[str, int],
        reports: tuple[str, int],
        node_port: int,
        metrics_port: int,
        upstream: tuple[str, int] | None = None,
    ) -> None:
        """Stores the addresses; only that of the upstream is checked.

        Raises:
            ValueError: If the host of the upstream is not an IP address.
        """
        if upstream is not None:
            ip_address(upstream[0])
        self.host = host
        self.caller = caller
        self.readiness = readiness
        self.reports = reports
        self.node_port = node_port
        self.metrics_port = metrics_port
        self.upstream = upstream


class RetryBudgetSettings:
    """Retry budget of each service, shared by all nodes.

    A repeat is a further send of a request after an earlier one reached, or
    may have reached, an upstream. In each window the nodes together send a
    service at most `ratio` times its requests plus `slack` repeats.

    Attributes:
        ratio: Repeats allowed per request.
        slack: Repeats allowed per window independent of the request count.
        window_s: Length of the sliding window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Validates and stores the budget.

        Raises:
            ValueError: If a value is out of range.
        """
        if not (ratio >= 0 and slack >= 0 and window_s > 0):
            raise ValueError(
                "retry budget: ratio and slack must not be negative and "
                "window_s must be positive"
            )
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class RevocationSettings:
    """How fast the withdrawal of an organisation's key must take effect.

    Attributes:
        is_strict: Whether it binds nodes that do not reach the platform, too.
        limit_s: Seconds after the platform has accepted a configuration
            without the key from which no request with it may be accepted.
    """

    __slots__ = ("is_strict", "limit_s")

    def __init__(
        self, *, is_strict: bool = False, limit_s: float = 5.0
    ) -> None:
        """Validates and stores the limit.

        Raises:
            ValueError: If the limit is not positive.
        """
        if not limit_s > 0:
            raise ValueError(f"revocation limit {limit_s} must be positive")
        self.is_strict = is_strict
        self.limit_s = limit_s


class GatewaySettings:
    """All settings of a gateway node.

    Attributes:
        node_id: Id of the node, unique in the fleet.
        failure_domain: Failure domain of the VM.
        service: Service of the upstream on this VM.
        addresses: Addresses that the node listens on.
        seeds: Gossip addresses to contact at startup.
        cluster_keys: Keys with which nodes authenticate each other.
        repeats: Retry budget of each service.
        headers: Names of the headers that carry a request's context.
        configuration_object: Name of the platform object that holds the route
            table.
        stop_s: Seconds that a planned stop may take; the node then closes even
            with unfinished requests.
        ready_linger_s: Seconds after the start of a planned stop during which
            the node still accepts new requests.
        is_first_start: Whether no earlier process of any node has run.
        memory_bytes: Memory that the process may take.
        max_descriptors: File descriptors that the process may open.
        revocation: How fast withdrawn keys are no longer accepted.
        allotment_tolerance: By how much allotments may be exceeded.
        features: Decisions that are switched on.
    """

    __slots__ = (
        "addresses",
        "allotment_tolerance",
        "cluster_keys",
        "configuration_object",
        "failure_domain",
        "features",
        "headers",
        "is_first_start",
        "max_descriptors",
        "memory_bytes",
        "node_id",
        "ready_linger_s",
        "repeats",
        "revocation",
        "seeds",
        "service",
        "stop_s",
    )

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        service: str,
        addresses: GatewayAddresses,
        seeds: tuple[str, ...],
        cluster_keys: ClusterKeys,
        repeats: RetryBudgetSettings,
        headers: HeaderNames,
        configuration_object: str,
        stop_s: float,
        ready_linger_s: float,
        is_first_start: bool,
        memory_bytes: int,
        max_descriptors: int = _DEFAULT_MAX_DESCRIPTORS,
        revocation: RevocationSettings | None = None,
        allotment_tolerance: AllotmentTolerance | None = None,
        features: frozenset[Feature] = frozenset(),
    ) -> None:
        """Validates and stores the settings.

        Raises:
            ValueError: If a required setting is empty or a time is out of
                range.
        """
        if not node_id or not failure_domain or not service:
            raise ValueError(
                "node_id, failure_domain and service must not be empty"
            )
        if not 0 < ready_linger_s < stop_s:
            raise ValueError(
                "ready_linger_s must be positive and less than stop_s"
            )
        if memory_bytes <= 0 or max_descriptors <= 0:
            raise ValueError(
                "memory_bytes and max_descriptors must be positive"
            )
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.service = service
        self.addresses = addresses
        self.seeds = seeds
        self.cluster_keys = cluster_keys
        self.repeats = repeats
        self.headers = headers
        self.configuration_object = configuration_object
        self.stop_s = stop_s
        self.ready_linger_s = ready_linger_s
        self.is_first_start = is_first_start
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors
        self.revocation = revocation or RevocationSettings()
        self.allotment_tolerance = allotment_tolerance or AllotmentTolerance()
        self.features = features
