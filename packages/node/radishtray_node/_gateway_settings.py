"""Settings of a node that forwards requests by route."""

from radishtray_node._forwarding import HeaderNames
from radishtray_protocol import ClusterKeys


class GatewayAddresses:
    """Where a node listens.

    Attributes:
        host: IP address for other nodes.
        caller: Host and port for requests that begin on this VM.
        readiness: Host and port of the readiness check.
        reports: Host and port for reports of the upstream.
        node_port: TCP and UDP port for other nodes.
        metrics_port: TCP port of the metrics; 0 for none.
    """

    __slots__ = (
        "caller",
        "host",
        "metrics_port",
        "node_port",
        "readiness",
        "reports",
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
    ) -> None:
        """Holds the addresses."""
        self.host = host
        self.caller = caller
        self.readiness = readiness
        self.reports = reports
        self.node_port = node_port
        self.metrics_port = metrics_port


class RepeatBounds:
    """Bounds of repeated arrivals at a service, over all nodes.

    Attributes:
        ratio: Repeats for each request.
        slack: Repeats in a window besides.
        window_s: Length of the window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Checks and holds the bounds.

        Raises:
            ValueError: If a bound is out of range.
        """
        if not (ratio >= 0 and slack >= 0 and window_s > 0):
            raise ValueError("bounds of repeats must not be negative")
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class GatewaySettings:
    """All settings of the node.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        failure_domain: Failure domain of the VM.
        service: Service of the upstream on this VM.
        addresses: Where the node listens.
        seeds: Gossip addresses to try at the start.
        cluster_keys: Keys shared by all nodes.
        repeats: Bounds of repeated arrivals.
        headers: Names of the headers that carry a request's context.
        configuration_object: Name of the platform's object with the routes.
        stop_s: Seconds that a planned stop may take.
        ready_linger_s: Seconds after the start of a planned stop in which new
            requests are still expected.
    """

    __slots__ = (
        "addresses",
        "cluster_keys",
        "configuration_object",
        "failure_domain",
        "headers",
        "node_id",
        "ready_linger_s",
        "repeats",
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
        repeats: RepeatBounds,
        headers: HeaderNames,
        configuration_object: str,
        stop_s: float,
        ready_linger_s: float,
    ) -> None:
        """Checks and holds the settings.

        Raises:
            ValueError: If a setting is out of range.
        """
        if not node_id or not failure_domain or not service:
            raise ValueError("node id, failure domain and service are required")
        if not 0 < ready_linger_s < stop_s:
            raise ValueError("a stop must last longer than its linger time")
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
