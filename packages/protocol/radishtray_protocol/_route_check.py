"""Checks a configuration of routes before it is sent.

Each check is a generator that registers itself with `_register_check`.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from radishtray_organisations import Organisation, digest_key
from radishtray_protocol._frames import DEFAULT_MAX_FRAME_BYTES
from radishtray_protocol._route_draft import (
    RouteDraft,
    RouteFinding,
    Severity,
)
from radishtray_protocol._routes import Route

# Nodes accept no larger body, so that a request fits into a frame between
# nodes; the head gets the rest of the frame.
_MAX_BODY_BYTES: Final = 3 * 1024 * 1024 + 512 * 1024
_MAX_HEAD_BYTES: Final = DEFAULT_MAX_FRAME_BYTES - _MAX_BODY_BYTES
_EMPTY_KEY_DIGEST: Final = digest_key(b"")

_Check = Callable[[RouteDraft], Iterator[RouteFinding]]
_CHECKS: Final[list[_Check]] = []


def _register_check(check: _Check) -> _Check:
    _CHECKS.append(check)
    return check


def check_routes(draft: RouteDraft) -> list[RouteFinding]:
    """Returns the errors and warnings of a configuration, errors first."""
    findings = [finding for check in _CHECKS for finding in check(draft)]
    return sorted(findings, key=lambda f: f.severity is not Severity.ERROR)


def _error(place: str, text: str) -> RouteFinding:
    return RouteFinding(Severity.ERROR, place, text)


def _warning(place: str, text: str) -> RouteFinding:
    return RouteFinding(Severity.WARNING, place, text)


def _repeated(names: Iterable[str]) -> list[tuple[str, int]]:
    return [item for item in Counter(names).items() if item[1] > 1]


# Errors: nodes reject or ignore the whole configuration.


@_register_check
def _check_version(draft: RouteDraft) -> Iterator[RouteFinding]:
    if draft.version is not None and draft.version <= 0:
        # Nodes that have just started are at version 0.
        yield _error(
            "version",
            f"{draft.version} must be above 0; nodes ignore the configuration",
        )


@_register_check
def _check_prefix_conflicts(draft: RouteDraft) -> Iterator[RouteFinding]:
    holders: dict[tuple[str, str], Route] = {}
    for route in draft.routes:
        holder = holders.setdefault((route.host, route.path_prefix), route)
        if holder is not route:
            yield _error(
                f"route {route.name}",
                f"{route.host}{route.path_prefix} is taken by route"
                f" {holder.name}",
            )


@_register_check
def _check_unknown_services(draft: RouteDraft) -> Iterator[RouteFinding]:
    known = frozenset(draft.services)
    for route in draft.routes:
        for service in dict.fromkeys(split.service for split in route.splits):
            if service not in known:
                yield _error(
                    f"route {route.name}", f"unknown service {service}"
                )


@_register_check
def _check_organisation_names(draft: RouteDraft) -> Iterator[RouteFinding]:
    for name, count in _repeated(o.name for o in draft.organisations):
        yield _error(
            f"organisation {name}", f"{count} organisations have this name"
        )


@_register_check
def _check_shared_keys(draft: RouteDraft) -> Iterator[RouteFinding]:
    holders: dict[bytes, Organisation] = {}
    shared: Counter[tuple[str, str]] = Counter()
    for organisation in draft.organisations:
        for digest in dict.fromkeys(organisation.key_digests):
            holder = holders.setdefault(digest, organisation)
            if holder is not organisation:
                shared[organisation.name, holder.name] += 1
    for (name, holder_name), count in shared.items():
        noun = "key" if count == 1 else "keys"
        yield _error(
            f"organisation {name}",
            f"{count} {noun} also held by organisation {holder_name}",
        )


# Warnings: entries that can never match or have no effect.


@_register_check
def _check_unreachable_routes(draft: RouteDraft) -> Iterator[RouteFinding]:
    """Compares routes with what callers send; nodes change no path or host."""
    head_bytes = draft.effective_limits.head_bytes
    for route in draft.routes:
        place = f"route {route.name}"
        reason = _host_fault(route.host) or _prefix_fault(
            route.path_prefix, head_bytes
        )
        if reason is not None:
            yield _warning(place, f"never matches: {reason}")
        elif not route.host:
            yield _warning(place, "matches only requests without a Host header")


def _host_fault(host: str) -> str | None:
    if _is_plain(host) and not any(sign in host for sign in "/?#@"):
        return None
    return f"{host!r} cannot be the value of a Host header"


def _prefix_fault(prefix: str, head_bytes: int) -> str | None:
    if "?" in prefix or "#" in prefix:
        return "a path holds neither ? nor #"
    if not _is_plain(prefix):
        return "callers percent-encode some characters of the prefix"
    if any(segment in (".", "..") for segment in prefix.split("/")):
        return "callers remove the segments . and .. of a path"
    if len(prefix) >= head_bytes:
        return f"the prefix exceeds the header limit of {head_bytes:,} bytes"
    return None


def _is_plain(text: str) -> bool:
    return text.isascii() and text.isprintable() and " " not in text


@_register_check
def _check_splits(draft: RouteDraft) -> Iterator[RouteFinding]:
    for route in draft.routes:
        place = f"route {route.name}"
        for split in route.splits:
            if split.weight == 0:
                yield _warning(
                    place,
                    f"service {split.service} has weight 0 and gets no"
                    " requests",
                )
        for service, count in _repeated(s.service for s in route.splits):
            yield _warning(place, f"service {service} is named {count} times")


@_register_check
def _check_services(draft: RouteDraft) -> Iterator[RouteFinding]:
    for name, count in _repeated(draft.services):
        yield _warning(
            f"service {name}", f"is defined {count} times; the last one applies"
        )
    if not draft.is_complete:
        # A route that could not be read may name the service.
        return
    routed = {split.service for route in draft.routes for split in route.splits}
    for name in dict.fromkeys(draft.services):
        if name not in routed:
            yield _warning(f"service {name}", "no route names it")


@_register_check
def _check_route_names(draft: RouteDraft) -> Iterator[RouteFinding]:
    for name, count in _repeated(route.name for route in draft.routes):
        yield _warning(f"route {name}", f"{count} routes have this name")


@_register_check
def _check_keys(draft: RouteDraft) -> Iterator[RouteFinding]:
    for organisation in draft.organisations:
        place = f"organisation {organisation.name}"
        digests = organisation.key_digests
        if not digests:
            yield _warning(place, "has no keys, so no request is accepted")
        repeated_count = len(digests) - len(frozenset(digests))
        if repeated_count:
            yield _warning(
                place, f"{repeated_count} of {len(digests)} keys are repeated"
            )
        if _EMPTY_KEY_DIGEST in digests:
            yield _warning(place, "an empty key is never accepted")


# Warnings: limits that contradict each other or what nodes accept.


@_register_check
def _check_route_limits(draft: RouteDraft) -> Iterator[RouteFinding]:
    for route in draft.routes:
        place = f"route {route.name}"
        if route.target_latency_s > route.timeout_s:
            yield _warning(
                place,
                f"latency target {route.target_latency_s:g} s is above the"
                f" timeout {route.timeout_s:g} s",
            )
        if route.max_attempts > 1 and not route.is_repeatable:
            yield _warning(
                place,
                f"up to {route.max_attempts} attempts, but its requests must"
                " not be repeated; further ones follow only rejections that"
                " state that the request has not run",
            )


@_register_check
def _check_caller_limits(draft: RouteDraft) -> Iterator[RouteFinding]:
    if len(draft.limits) > 1:
        yield _warning(
            "limits", f"{len(draft.limits)} entries; the last one applies"
        )
    if not draft.limits:
        # Nodes apply defaults that they accept.
        return
    limits = draft.effective_limits
    if limits.head_bytes > _MAX_HEAD_BYTES:
        yield _warning(
            "limits",
            f"header limit of {limits.head_bytes:,} bytes is above the"
            f" {_MAX_HEAD_BYTES:,} bytes that fit into a frame between nodes",
        )
    if limits.body_bytes > _MAX_BODY_BYTES:
        yield _warning(
            "limits",
            f"body limit of {limits.body_bytes:,} bytes is above the"
            f" {_MAX_BODY_BYTES:,} bytes that fit into a frame between nodes;"
            " nodes reject larger bodies",
        )


@_register_check
def _check_allotments(draft: RouteDraft) -> Iterator[RouteFinding]:
    for organisation in draft.organisations:
        place = f"organisation {organisation.name}"
        rate_per_s, burst = organisation.rate_per_s, organisation.burst
        if rate_per_s == 0 and burst > 0:
            yield _warning(
                place, f"burst {burst:g} has no effect without a rate"
            )
        elif rate_per_s > 0 and burst == 0:
            yield _warning(place, f"rate {rate_per_s:g}/s has no burst")
        elif burst < rate_per_s:
            yield _warning(
                place,
                f"burst {burst:g} is below the requests of one second at"
                f" {rate_per_s:g}/s",
            )
