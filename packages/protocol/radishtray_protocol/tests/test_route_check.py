"""Tests of the check of routes and organisations before they are sent."""

import pytest

from radishtray_organisations import Organisation, digest_key
from radishtray_protocol import (
    CallerLimits,
    RouteDraft,
    RouteFinding,
    RouteSplit,
    check_routes,
    compare_routes,
)
from radishtray_protocol.tests.draft_builders import (
    build_draft,
    build_organisation,
    build_route,
)

MAX_BODY_BYTES = 3_670_016


def texts(findings: list[RouteFinding]) -> list[str]:
    return [str(finding) for finding in findings]


# By the mistake of an operator that a case guards against: the draft and what
# its only finding contains.
MISTAKES: dict[str, tuple[RouteDraft, str]] = {
    "version_that_nodes_ignore": (
        build_draft(version=0),
        "error: version: 0 must be above 0",
    ),
    "prefix_given_to_a_second_route": (
        build_draft(build_route("a"), build_route("b")),
        "error: route b: h/a/ is taken by route a",
    ),
    "misspelt_service": (
        build_draft(
            build_route("a"),
            build_route("b", "/b/", splits=[RouteSplit("x", 1.0)]),
        ),
        "error: route b: unknown service x",
    ),
    "organisation_defined_twice": (
        build_draft(
            organisations=[build_organisation(), build_organisation(keys="k3")]
        ),
        "error: organisation acme: 2 organisations have this name",
    ),
    "key_given_to_a_second_organisation": (
        build_draft(
            organisations=[
                build_organisation(),
                build_organisation("b", "k2 k3"),
            ]
        ),
        "error: organisation b: 1 key also held by organisation acme",
    ),
    "key_listed_twice": (
        build_draft(organisations=[build_organisation(keys="k1 k2 k1")]),
        "warning: organisation acme: 1 of 3 keys are repeated",
    ),
    "keys_left_out": (
        build_draft(organisations=[build_organisation(keys="")]),
        "warning: organisation acme: has no keys",
    ),
    "empty_key": (
        build_draft(organisations=[Organisation("acme", [digest_key(b"")])]),
        "warning: organisation acme: an empty key is never accepted",
    ),
    "url_as_host": (
        build_draft(build_route(host="http://h")),
        "warning: route a: never matches: 'http://h'",
    ),
    "empty_host": (
        build_draft(build_route(host="")),
        "warning: route a: matches only requests without a Host",
    ),
    "query_in_the_prefix": (
        build_draft(build_route(prefix="/a?x=/")),
        "warning: route a: never matches: a path holds neither ? nor #",
    ),
    "prefix_that_callers_percent_encode": (
        build_draft(build_route(prefix="/a b/")),
        "warning: route a: never matches: callers percent-encode",
    ),
    "relative_prefix": (
        build_draft(build_route(prefix="/a/../b/")),
        "warning: route a: never matches: callers remove the segments",
    ),
    "prefix_beyond_the_header_limit": (
        build_draft(
            build_route(prefix="/" + "a" * 98 + "/"),
            limits=[CallerLimits(head_bytes=100, body_bytes=9)],
        ),
        "warning: route a: never matches: the prefix exceeds",
    ),
    "service_without_a_share": (
        build_draft(
            build_route(splits=[RouteSplit("s", 1.0), RouteSplit("t", 0.0)]),
            connection_limits={"s": 1, "t": 1},
        ),
        "warning: route a: service t has weight 0",
    ),
    "service_split_with_itself": (
        build_draft(
            build_route(splits=[RouteSplit("s", 1.0), RouteSplit("s", 2.0)])
        ),
        "warning: route a: service s is named 2 times",
    ),
    "service_left_behind": (
        build_draft(connection_limits={"s": 1, "old": 1}),
        "warning: service old: no route names it",
    ),
    "service_defined_twice": (
        build_draft(services=["s", "s"]),
        "warning: service s: is defined 2 times; the last one applies",
    ),
    "name_copied_to_a_second_route": (
        build_draft(build_route(), build_route(prefix="/b/")),
        "warning: route a: 2 routes have this name",
    ),
    "target_that_no_answer_can_miss": (
        build_draft(build_route(target_latency_s=1.2)),
        "warning: route a: latency target 1.2 s is above the timeout 1 s",
    ),
    "attempts_of_requests_that_must_not_be_repeated": (
        build_draft(build_route(is_repeatable=False)),
        "warning: route a: up to 2 attempts, but",
    ),
    "limits_defined_twice": (
        build_draft(limits=[CallerLimits(body_bytes=9)] * 2),
        "warning: limits: 2 entries; the last one applies",
    ),
    "header_limit_beyond_a_frame": (
        build_draft(
            limits=[CallerLimits(head_bytes=524_289, body_bytes=MAX_BODY_BYTES)]
        ),
        "warning: limits: header limit of 524,289 bytes",
    ),
    "body_limit_beyond_a_frame": (
        build_draft(limits=[CallerLimits(body_bytes=MAX_BODY_BYTES + 1)]),
        "warning: limits: body limit of 3,670,017 bytes",
    ),
    "burst_without_a_rate": (
        build_draft(organisations=[build_organisation(rate_per_s=0.0)]),
        "warning: organisation acme: burst 20 has no effect",
    ),
    "rate_without_a_burst": (
        build_draft(organisations=[build_organisation(burst=0.0)]),
        "warning: organisation acme: rate 10/s has no burst",
    ),
    "burst_below_one_second": (
        build_draft(organisations=[build_organisation(burst=9.0)]),
        "warning: organisation acme: burst 9 is below",
    ),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_a_mistake_is_the_only_finding(name: str) -> None:
    draft, expected = MISTAKES[name]
    (finding,) = texts(check_routes(draft))
    assert finding.startswith(expected)


# By the false alarm that a case guards against.
ACCEPTED = {
    "every_entry_in_use": build_draft(),
    "keys_required_without_organisations": build_draft(organisations=[]),
    "organisation_without_a_limit": build_draft(
        organisations=[build_organisation(rate_per_s=0.0, burst=0.0)]
    ),
    "burst_of_one_second": build_draft(
        organisations=[build_organisation(burst=10.0)]
    ),
    "one_attempt_of_a_request_that_is_not_repeated": build_draft(
        build_route(is_repeatable=False, max_attempts=1)
    ),
    "target_equal_to_the_timeout": build_draft(
        build_route(target_latency_s=1.0)
    ),
    "prefix_below_another": build_draft(
        build_route(), build_route("b", "/a/b/")
    ),
    "prefix_of_another_host": build_draft(
        build_route(), build_route("b", host="g:8080")
    ),
    "largest_limits": build_draft(
        limits=[CallerLimits(524_288, MAX_BODY_BYTES)]
    ),
    "no_limits": build_draft(limits=[]),
    "service_that_an_unread_route_may_name": build_draft(
        connection_limits={"s": 1, "t": 1}, is_complete=False
    ),
}


@pytest.mark.parametrize("name", ACCEPTED)
def test_what_is_normal_has_no_finding(name: str) -> None:
    assert check_routes(ACCEPTED[name]) == []


def test_all_errors_are_reported_together_and_first() -> None:
    """Guards against one fault after the other, each in a further run."""
    shared = build_organisation("b", "k1", burst=1.0)
    draft = build_draft(
        build_route("a", target_latency_s=9.0),
        build_route("b", splits=[RouteSplit("x", 1.0)]),
        organisations=[build_organisation(), shared],
    )
    severities = [f.severity.value for f in check_routes(draft)]
    assert severities == ["error"] * 3 + ["warning"] * 2


@pytest.mark.parametrize("name", [*MISTAKES, *ACCEPTED])
def test_errors_are_those_that_a_table_reports(name: str) -> None:
    """Guards against a check that passes what nodes reject, or the reverse."""
    draft = MISTAKES[name][0] if name in MISTAKES else ACCEPTED[name]
    has_error = any(f.severity == "error" for f in check_routes(draft))
    try:
        table = draft.to_table(draft.version or 0)
    except ValueError:
        assert has_error
    else:
        assert has_error is (table.version <= 0)


IN_FORCE = build_draft(
    build_route("a"),
    build_route("old", "/old/"),
    limits=[CallerLimits()],
    organisations=[build_organisation(), build_organisation("gone", "k9")],
)
ORGANISATIONS = IN_FORCE.organisations

# By the difference that a case guards against missing: the draft, compared with
# version 3, and its findings besides that of a higher version.
DIFFERENCES: dict[str, tuple[RouteDraft, list[str]]] = {
    "none": (build_draft(*IN_FORCE.routes, organisations=ORGANISATIONS), []),
    "routes": (
        build_draft(
            build_route("a", timeout_s=2.0, requires_key=False),
            build_route("new", "/new/"),
            organisations=ORGANISATIONS,
        ),
        [
            "change: route old: removed",
            "change: route a: timeout in s: 1 -> 2",
            "change: route a: requires a key: yes -> no",
            "change: route new: added",
        ],
    ),
    "splits": (
        build_draft(
            build_route(splits=[RouteSplit("s", 9.0), RouteSplit("t", 1.0)]),
            build_route("old", "/old/"),
            connection_limits={"s": 20, "t": 5},
            health_paths={"t": "/up"},
            organisations=ORGANISATIONS,
        ),
        [
            "change: route a: services: s 1 -> s 9, t 1",
            "change: service s: connections: 10 -> 20",
            "change: service s: health path: /health -> none",
            "change: service t: added",
        ],
    ),
    "limits": (
        build_draft(
            *IN_FORCE.routes,
            limits=[CallerLimits(body_bytes=1000)],
            organisations=ORGANISATIONS,
        ),
        ["change: limits: body bytes: 67108864 -> 1000"],
    ),
    "organisations": (
        build_draft(
            *IN_FORCE.routes,
            organisations=[
                build_organisation(keys="k2 k3 k4", priority_class=2),
                build_organisation("new", "k5", rate_per_s=1000001.0),
            ],
        ),
        [
            "change: organisation gone: removed, with 1 key",
            "change: organisation acme: priority class (3 is shed last):"
            " none -> 2",
            "change: organisation acme: 1 key withdrawn",
            "change: organisation acme: 2 keys added",
            "change: organisation new: added, with 1 key",
        ],
    ),
    "one_of_two_routes_of_a_name": (
        build_draft(
            *IN_FORCE.routes,
            build_route("a", "/b/"),
            organisations=ORGANISATIONS,
        ),
        [
            "change: route a (h/b/): added",
        ],
    ),
    "unread_entries_taken_for_removed_ones": (
        build_draft(is_complete=False),
        ["warning: differences: not shown, since some entries could not be"],
    ),
}


@pytest.mark.parametrize("name", DIFFERENCES)
def test_differences_from_the_version_in_force(name: str) -> None:
    draft, expected = DIFFERENCES[name]
    draft.version = 4
    first, *rest = texts(compare_routes(draft, IN_FORCE.to_table(3)))
    assert first == "change: version: 3 -> 4"
    assert [
        t[: len(e)] for t, e in zip(rest, expected, strict=True)
    ] == expected


# By name: version of the draft, whether it has a change, expected error.
VERSIONS = {
    "sent_again": (3, False, False),
    "change_that_nodes_ignore": (3, True, True),
    "older_version": (2, False, True),
    "higher": (4, True, False),
}


@pytest.mark.parametrize("name", VERSIONS)
def test_a_version_that_is_not_higher_is_an_error(name: str) -> None:
    """Guards against a change without effect, as nodes ignore its version."""
    version, has_change, expected = VERSIONS[name]
    routes = IN_FORCE.routes[:1] if has_change else IN_FORCE.routes
    draft = build_draft(*routes, version=version, organisations=ORGANISATIONS)
    findings = compare_routes(draft, IN_FORCE.to_table(3))
    assert any(f.severity == "error" for f in findings) is expected


def test_findings_hold_neither_keys_nor_digests() -> None:
    """Guards against keys in logs of deployments, which show findings."""
    drafts = [draft for draft, _ in (*MISTAKES.values(), *DIFFERENCES.values())]
    findings = "".join(
        str(finding)
        for draft in drafts
        for finding in (
            *check_routes(draft),
            *compare_routes(draft, IN_FORCE.to_table(3)),
        )
    )
    for key in ("k1", "k2", "k3", "k4", "k5", "k9"):
        digest = digest_key(key.encode())
        assert digest.hex() not in findings
        assert str(digest) not in findings
        assert key not in findings
