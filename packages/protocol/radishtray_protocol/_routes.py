"""Routes by host and path prefix: the configuration of forwarded traffic."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final

from expression import Error, Ok, Result

HIGHEST_PRIORITY_CLASS: Final = 3


class RouteSplit:
    """One service of a route and its share of the requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        """Checks and holds the parts.

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
    """Requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header.
        path_prefix: Start of the path; begins and ends with a slash.
        is_repeatable: Whether running a request twice does no harm.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_latency_s: Time within which an answer has its full worth, in
            seconds.
        priority_class: Importance from 0 to 3; 3 is shed last.
        max_attempts: Most upstreams that one request may be sent to.
        splits: Services that answer the requests, with their shares.
    """

    __slots__ = (
        "host",
        "is_repeatable",
        "max_attempts",
        "name",
        "path_prefix",
        "priority_class",
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
    ) -> None:
        """Checks and holds the parts.

        Raises:
            ValueError: If a part is out of range.
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
        if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
            raise ValueError(
                f"route {name}: prefix {path_prefix!r} lacks a slash"
            )
        if not (timeout_s > 0 and target_latency_s > 0 and max_attempts > 0):
            raise ValueError(f"route {name}: times and attempts are positive")
        if not 0 <= priority_class <= HIGHEST_PRIORITY_CLASS:
            raise ValueError(
                f"route {name}: class {priority_class} is not within 0 and 3"
            )
        if not sum(split.weight for split in self.splits) > 0:
            raise ValueError(f"route {name}: no service has a weight")


class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        head_bytes: Longest request line and headers together.
        body_bytes: Longest request body.
        head_s: Seconds in which a request's head must arrive.
        idle_s: Seconds for which a connection may stay idle.
    """

    __slots__ = ("body_bytes", "head_bytes", "head_s", "idle_s")

    def __init__(
        self,
        head_bytes: int = 16_384,
        body_bytes: int = 64 * 1024 * 1024,
        head_s: float = 10.0,
        idle_s: float = 60.0,
    ) -> None:
        """Checks and holds the bounds.

        Raises:
            ValueError: If a bound is not positive.
        """
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_s = head_s
        self.idle_s = idle_s
        for name in self.__slots__:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be positive")


class RouteTable:
    """All routes of one version of the configuration, ready for look-ups.

    Attributes:
        version: Number of the version; later ones are higher.
        routes: All routes.
        connection_limits: Most connections to an upstream, by service.
        limits: Limits towards callers.
    """

    __slots__ = (
        "_routes_by_host",
        "connection_limits",
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
    ) -> None:
        """Compiles the look-up table.

        Raises:
            ValueError: If two routes have the same host and prefix, or a
                route names a service that does not exist.
        """
        self.version = version
        self.routes = tuple(routes)
        self.connection_limits = dict(connection_limits)
        self.limits = limits or CallerLimits()
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            prefixes = self._routes_by_host.setdefault(route.host, {})
            if route.path_prefix in prefixes:
                raise ValueError(
                    f"route {route.name}: {route.host}{route.path_prefix} "
                    "is taken"
                )
            for split in route.splits:
                if split.service not in self.connection_limits:
                    raise ValueError(
                        f"route {route.name}: unknown service {split.service}"
                    )
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

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
        """Returns the services that at least one route leads to."""
        return frozenset(
            split.service for route in self.routes for split in route.splits
        )


def encode_routes(table: RouteTable) -> bytes:
    """Returns the JSON text in which nodes hand a table to each other."""
    content = {
        "version": table.version,
        "connection_limits": table.connection_limits,
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
                "splits": [[s.service, s.weight] for s in route.splits],
            }
            for route in table.routes
        ],
    }
    return json.dumps(content, separators=(",", ":")).encode()


def decode_routes(data: bytes) -> Result[RouteTable, str]:
    """Parses what `encode_routes` wrote; the error says what is wrong."""
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
        )
        for entry in content["routes"]
    ]
    return RouteTable(
        content["version"],
        routes,
        content["connection_limits"],
        CallerLimits(**content["limits"]),
    )
