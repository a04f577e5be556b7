"""Builders of configurations of routes that checks read."""

from typing import Any

from radishtray_organisations import Organisation, digest_key
from radishtray_protocol import Route, RouteDraft, RouteSplit


def build_route(name: str = "a", prefix: str = "/a/", **changes: Any) -> Route:
    """Builds a route without findings; arguments replace its fields."""
    fields: dict[str, Any] = {
        "host": "h",
        "is_repeatable": True,
        "timeout_s": 1.0,
        "target_latency_s": 0.5,
        "priority_class": 1,
        "max_attempts": 2,
        "splits": [RouteSplit("s", 1.0)],
    }
    return Route(name, path_prefix=prefix, **(fields | changes))


def build_organisation(
    name: str = "acme", keys: str = "k1 k2", **changes: Any
) -> Organisation:
    """Builds an organisation without findings, with keys between spaces."""
    fields: dict[str, Any] = {"rate_per_s": 10.0, "burst": 20.0}
    digests = [digest_key(key.encode()) for key in keys.split()]
    return Organisation(name, digests, **(fields | changes))


def build_draft(*routes: Route, **changes: Any) -> RouteDraft:
    """Builds a draft without findings; arguments replace its fields."""
    fields: dict[str, Any] = {
        "version": 3,
        "connection_limits": {"s": 10},
        "health_paths": {"s": "/health"},
        "organisations": [build_organisation()],
    }
    return RouteDraft(routes=routes or [build_route()], **(fields | changes))
