"""Differences between a configuration of routes and the version in force."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, TypeVar

from radishtray_organisations import Organisation
from radishtray_protocol._route_draft import (
    RouteDraft,
    RouteFinding,
    Severity,
)
from radishtray_protocol._routes import Route, RouteTable

T = TypeVar("T")
_Field = tuple[str, Callable[[Any], str]]


def _field(label: str, name: str) -> _Field:
    return label, lambda entry: _format_value(getattr(entry, name))


def _format_value(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    # Fewer digits would hide small changes of large limits.
    return f"{value:.15g}" if isinstance(value, float) else str(value)


def _format_splits(route: Route) -> str:
    return ", ".join(
        f"{s.service} {_format_value(s.weight)}" for s in route.splits
    )


_ROUTE_FIELDS: Final[tuple[_Field, ...]] = (
    _field("host", "host"),
    _field("prefix", "path_prefix"),
    _field("may be repeated", "is_repeatable"),
    _field("timeout in s", "timeout_s"),
    _field("latency target in s", "target_latency_s"),
    _field("priority class (3 is shed last)", "priority_class"),
    _field("attempts", "max_attempts"),
    _field("requires a key", "requires_key"),
    ("services", _format_splits),
)
_LIMIT_FIELDS: Final[tuple[_Field, ...]] = (
    _field("header bytes", "head_bytes"),
    _field("body bytes", "body_bytes"),
    _field("header time in s", "head_s"),
    _field("idle time in s", "idle_s"),
)
_ORGANISATION_FIELDS: Final[tuple[_Field, ...]] = (
    _field("priority class (3 is shed last)", "priority_class"),
    _field("rate per s", "rate_per_s"),
    _field("burst", "burst"),
)


def compare_routes(
    draft: RouteDraft, in_force: RouteTable
) -> list[RouteFinding]:
    """Returns the differences of a configuration from the version in force.

    They include an error if nodes would ignore the configuration because its
    version is not higher. Entries that could not be read are not compared, as
    they would be reported as removed.
    """
    differences = (
        [
            *_compare_entries(
                "route",
                _routes_by_name(in_force.routes, draft.routes),
                _routes_by_name(draft.routes, in_force.routes),
                lambda old, new: _changed_fields(_ROUTE_FIELDS, old, new),
            ),
            *_compare_services(draft, in_force),
            *_changes(
                "limits",
                _changed_fields(
                    _LIMIT_FIELDS, in_force.limits, draft.effective_limits
                ),
            ),
            *_compare_entries(
                "organisation",
                {o.name: o for o in in_force.keys},
                {o.name: o for o in draft.organisations},
                _changed_organisation,
                _count_keys,
            ),
        ]
        if draft.is_complete
        else [
            RouteFinding(
                Severity.WARNING,
                "differences",
                "not shown, since some entries could not be read",
            )
        ]
    )
    return [
        *_compare_versions(draft, in_force, bool(differences)),
        *differences,
    ]


def _compare_versions(
    draft: RouteDraft, in_force: RouteTable, has_differences: bool
) -> Iterator[RouteFinding]:
    if draft.version is None:
        return
    if draft.version > in_force.version:
        yield from _changes(
            "version", [f"{in_force.version} -> {draft.version}"]
        )
    elif has_differences or draft.version < in_force.version:
        yield RouteFinding(
            Severity.ERROR,
            "version",
            f"{draft.version} is not higher than {in_force.version}, which is"
            " in force; nodes ignore the configuration",
        )


def _changes(place: str, texts: Iterable[str]) -> Iterator[RouteFinding]:
    for text in texts:
        yield RouteFinding(Severity.CHANGE, place, text)


def _compare_entries(
    kind: str,
    old_entries: Mapping[str, T],
    new_entries: Mapping[str, T],
    describe_changes: Callable[[T, T], Iterable[str]],
    describe_entry: Callable[[T], str] = lambda _: "",
) -> Iterator[RouteFinding]:
    for name, old in old_entries.items():
        if name not in new_entries:
            yield from _changes(
                f"{kind} {name}", [f"removed{describe_entry(old)}"]
            )
    for name, new in new_entries.items():
        place = f"{kind} {name}"
        if name in old_entries:
            yield from _changes(place, describe_changes(old_entries[name], new))
        else:
            yield from _changes(place, [f"added{describe_entry(new)}"])


def _changed_fields(
    fields: Iterable[_Field], old: Any, new: Any
) -> Iterator[str]:
    for label, read in fields:
        if read(old) != read(new):
            yield f"{label}: {read(old)} -> {read(new)}"


def _routes_by_name(
    routes: Iterable[Route], others: Iterable[Route]
) -> dict[str, Route]:
    """Returns routes by name, with host and prefix where names are not unique.

    Args:
        routes: Routes of the one configuration.
        others: Routes of the other one, so that both get the same names.
    """
    routes = list(routes)
    own_counts = Counter(route.name for route in routes)
    other_counts = Counter(route.name for route in others)
    return {
        route.name
        if own_counts[route.name] == 1 and other_counts[route.name] <= 1
        else f"{route.name} ({route.host}{route.path_prefix})": route
        for route in routes
    }


def _compare_services(
    draft: RouteDraft, in_force: RouteTable
) -> Iterator[RouteFinding]:
    return _compare_entries(
        "service",
        _service_values(in_force.connection_limits, in_force.health_paths),
        _service_values(draft.connection_limits, draft.health_paths),
        _changed_service,
    )


def _service_values(
    connection_limits: Mapping[str, int], health_paths: Mapping[str, str]
) -> dict[str, tuple[int, str | None]]:
    return {
        name: (limit, health_paths.get(name))
        for name, limit in connection_limits.items()
    }


def _changed_service(
    old: tuple[int, str | None], new: tuple[int, str | None]
) -> Iterator[str]:
    for label, before, after in zip(
        ("connections", "health path"), old, new, strict=True
    ):
        if before != after:
            yield f"{label}: {_format_value(before)} -> {_format_value(after)}"


def _count_keys(organisation: Organisation) -> str:
    count = len(frozenset(organisation.key_digests))
    return f", with {count} {'key' if count == 1 else 'keys'}"


def _changed_organisation(
    old: Organisation, new: Organisation
) -> Iterator[str]:
    """Describes changes of an organisation; keys only by their number."""
    yield from _changed_fields(_ORGANISATION_FIELDS, old, new)
    old_digests = frozenset(old.key_digests)
    new_digests = frozenset(new.key_digests)
    for digests, verb in (
        (old_digests - new_digests, "withdrawn"),
        (new_digests - old_digests, "added"),
    ):
        if digests:
            noun = "key" if len(digests) == 1 else "keys"
            yield f"{len(digests)} {noun} {verb}"
