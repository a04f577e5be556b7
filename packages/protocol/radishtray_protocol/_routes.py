"""Routes that map a host and a path prefix to services."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final

from expression import Error, Ok, Result

from radishtray_organisations import KeyRing, Organisation

HIGHEST_PRIORITY_CLASS: Final = 3


class RouteSplit:
    """A service of a route and its share of the requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        """Validates the fields.

        Raises:
            ValueError: If the service is empty or the weight is negative.
        """
        if not service:
            raise ValueError("service must not be empty")
        if not weight >= 0:
            raise ValueError(f"weight {weight} must not be negative")
        self.service = service
        self.weight = weight


class Route:
    """How requests of one host and path prefix are forwarded.

    Attributes:
        name: Name of the route.
        host: Value of the Host header.
        path_prefix: Start of the path; begins and ends with a slash.
        is_repeatable: Whether requests are idempotent, so that an attempt of
            unknown outcome may be repeated.
        timeout_s: Maximum time that a caller waits for an answer, in seconds.
        target_latency_s: Latency target, in seconds; an answer after it has
            less than its full value.
        priority_class: Importance from 0 to 3; 3 is shed last.
        max_attempts: Maximum number of upstreams that one request is sent to.
        splits: Services that answer the requests, with their shares.
        requires_key: Whether callers must present an organisation's key if
            the configuration holds organisations.
    """

    __slots__ = (
        "host",
        "is_repeatable",
        "max_attempts",
        "name",
        "path_prefix",
        "priority_class",
        "requires_key",
        "splits",
        "target_latency_s",
        "timeout_s",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        *,
        is_repeatable: bool,
        timeout_s: float,
        target_latency_s: float,
        priority_class: int,
        max_attempts: int,
        splits: Iterable[RouteSplit],
        requires_key: bool = True,
    ) -> None:
        """Validates the fields.

        Raises:
            ValueError: If a field is out of range.
        """
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.is_repeatable = is_repeatable
        self.timeout_s = timeout_s
        self.target_latency_s = target_latency_s
        self.priority_class = priority_class
        self.max_attempts = max_attempts
        self.splits = tuple(splits)
        self.requires_key = requires_key
        if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
            raise ValueError(
                f"route {name}: prefix {path_prefix!r} must start and end"
                " with a slash"
            )
        if not (timeout_s > 0 and target_latency_s > 0 and max_attempts > 0):
            raise ValueError(
                f"route {name}: times and attempts must be positive"
            )
        if not 0 <= priority_class <= HIGHEST_PRIORITY_CLASS:
            raise ValueError(
                f"route {name}: class {priority_class} must be 0 to 3"
            )
        if not sum(split.weight for split in self.splits) > 0:
            raise ValueError(f"route {name}: no service has a weight above 0")


class CallerLimits:
    """Size and time limits for the requests of callers.

    Attributes:
        head_bytes: Maximum size of the request line and headers together.
        body_bytes: Maximum size of a request body.
        head_s: Seconds within which a request's head must arrive.
        idle_s: Seconds after which an idle connection is closed.
    """

    __slots__ = ("body_bytes", "head_bytes", "head_s", "idle_s")

    def __init__(
        self,
        head_bytes: int = 16_384,
        body_bytes: int = 64 * 1024 * 1024,
        head_s: float = 10.0,
        idle_s: float = 60.0,
    ) -> None:
        """Validates the limits.

        Raises:
            ValueError: If a limit is not positive.
        """
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.idle_s = idle_s
        for name in self.__slots__:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be positive")


class RouteTable:
    """All routes of one configuration version, indexed by host and prefix.

    Attributes:
        version: Number of the version; later versions have higher numbers.
        routes: All routes.
        connection_limits: Maximum connections to one upstream, by service.
        health_paths: Path of the health check, by service; not all have one.
        limits: Limits for callers.
        keys: Organisations with their keys; empty if callers need none.
    """

    __slots__ = (
        "_routes_by_host",
        "connection_limits",
        "health_paths",
        "keys",
        "limits",
        "routes",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        connection_limits: Mapping[str, int],
        limits: CallerLimits | None = None,
        health_paths: Mapping[str, str] | None = None,
        organisations: Iterable[Organisation] = (),
    ) -> None:
        """Indexes the routes and organisations.

        Raises:
            ValueError: If two routes have the same host and prefix, a route
                refers to a service without a connection limit, or two
                organisations have the same name or key.
        """
        self.version = version
        self.routes = tuple(routes)
        self.connection_limits = dict(connection_limits)
        self.limits = limits or CallerLimits()
        self.health_paths = dict(health_paths or {})
        self.keys = KeyRing(organisations)
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            prefixes = self._routes_by_host.setdefault(route.host, {})
            if route.path_prefix in prefixes:
                raise ValueError(
                    f"route {route.name}: {route.host}{route.path_prefix} "
                    "is taken by another route"
                )
            for split in route.splits:
                if split.service not in self.connection_limits:
                    raise ValueError(
                        f"route {route.name}: unknown service {split.service}"
                    )
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Value of the Host header.
            path: Path without the query.
        """
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def routed_services(self) -> frozenset[str]:
        """Returns the services that at least one route forwards to."""
        return frozenset(
            split.service for route in self.routes for split in route.splits
        )


def encode_routes(table: RouteTable) -> bytes:
    """Encodes a table as the JSON text that nodes exchange."""
    content = {
        "version": table.version,
        "connection_limits": table.connection_limits,
        "health_paths": table.health_paths,
        "limits": {
            name: getattr(table.limits, name) for name in CallerLimits.__slots__
        },
        "routes": [
            {
                "name": route.name,
                "host": route.host,
                "path_prefix": route.path_prefix,
                "is_repeatable": route.is_repeatable,
                "timeout_s": route.timeout_s,
                "target_latency_s": route.target_latency_s,
                "priority_class": route.priority_class,
                "max_attempts": route.max_attempts,
                "requires_key": route.requires_key,
                "splits": [
                    [split.service, split.weight] for split in route.splits
                ],
            }
            for route in table.routes
        ],
        "organisations": [
            {
                "name": organisation.name,
                "key_digests": [d.hex() for d in organisation.key_digests],
                "priority_class": organisation.priority_class,
                "rate_per_s": organisation.rate_per_s,
                "burst": organisation.burst,
            }
            for organisation in table.keys
        ],
    }
    return json.dumps(content, separators=(",", ":")).encode()


def decode_routes(data: bytes) -> Result[RouteTable, str]:
    """Parses the output of `encode_routes`; the error describes the fault."""
    try:
        content = json.loads(data)
        return Ok(_read_table(content))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Error(f"not a route table: {error!r}")


def _read_table(content: Mapping[str, Any]) -> RouteTable:
    routes = [
        Route(
            entry["name"],
            entry["host"],
            entry["path_prefix"],
            is_repeatable=entry["is_repeatable"],
            timeout_s=entry["timeout_s"],
            target_latency_s=entry["target_latency_s"],
            priority_class=entry["priority_class"],
            max_attempts=entry["max_attempts"],
            splits=[RouteSplit(*split) for split in entry["splits"]],
            # Nodes of an earlier version send neither this nor organisations.
            requires_key=entry.get("requires_key", True),
        )
        for entry in content["routes"]
    ]
    return RouteTable(
        content["version"],
        routes,
        content["connection_limits"],
        CallerLimits(**content["limits"]),
        # Nodes of an earlier version send none.
        content.get("health_paths"),
        [
            Organisation(
                entry["name"],
                [bytes.fromhex(digest) for digest in entry["key_digests"]],
                priority_class=entry["priority_class"],
                rate_per_s=entry["rate_per_s"],
                burst=entry["burst"],
            )
            for entry in content.get("organisations") or ()
        ],
    )
