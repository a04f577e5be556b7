"""Tests of organisations on simulated gateways."""

import pytest

from radishtray_node import RevocationSettings
from radishtray_organisations import Organisation, digest_key
from radishtray_protocol import RouteTable
from radishtray_testing.gateway_builders import (
    HEADER_NAMES,
    CallerResult,
    GatewayFleet,
    RouteTableStore,
    build_route,
    build_route_table,
)
from radishtray_transport import HttpRequest

_LIMIT_S = 5.0
_STRICT = RevocationSettings(is_strict=True, limit_s=_LIMIT_S)


def _build_table(
    version: int = 1, keys: str = "k1 k2", rate_per_s: float = 0.0
) -> RouteTable:
    digests = [digest_key(key.encode()) for key in keys.split()]
    return build_route_table(
        build_route("read", "s"),
        build_route("open", "s", requires_key=False),
        version=version,
        organisations=[
            Organisation("acme", digests, rate_per_s=rate_per_s, burst=4.0)
        ],
    )


def _build_fleet(
    table: RouteTable | None = None, nodes: int = 3
) -> GatewayFleet:
    fleet = GatewayFleet(table or _build_table())
    for index in range(nodes):
        fleet.add(f"n{index}", "s", revocation=_STRICT)
    fleet.run(4)
    return fleet


def _send(
    fleet: GatewayFleet,
    request_id: str,
    key: str = "k1",
    *,
    node: str = "n0",
    path: str = "/read/x",
    headers: tuple[str, ...] = (),
) -> CallerResult:
    authorization = ("Authorization", f"Bearer {key}") if key else ()
    return fleet.send(
        node, path, request_id, headers=(*authorization, *headers)
    )


def _requests(fleet: GatewayFleet) -> list[HttpRequest]:
    return [r for u in fleet.upstreams.values() for r in u.requests]


@pytest.mark.parametrize(
    ("path", "key", "status", "organisation"),
    [
        pytest.param("/read/x", "k1", 200, b"acme", id="known key"),
        pytest.param("/read/x", "k9", 401, None, id="unknown key"),
        pytest.param("/read/x", "", 401, None, id="no key"),
        pytest.param("/open/x", "", 200, None, id="exempt, no key"),
        pytest.param("/open/x", "k9", 200, None, id="exempt, unknown key"),
        pytest.param("/open/x", "k1", 200, b"acme", id="exempt, known key"),
    ],
)
def test_keys_name_the_organisation_and_are_not_passed_on(
    path: str, key: str, status: int, organisation: bytes | None
) -> None:
    """Guards against keys at an upstream and against forged names."""
    fleet = _build_fleet()
    forged = (HEADER_NAMES.organisation, "forged")
    result = _send(fleet, "r1", key, path=path, headers=forged)
    fleet.run(1)
    assert result.status == status
    for request in _requests(fleet):
        assert request.header(b"authorization") is None
        name = HEADER_NAMES.organisation.lower().encode()
        found = [v for lowered, _, v in request.headers if lowered == name]
        assert found == ([organisation] if organisation else [])
    assert len(_requests(fleet)) == (status == 200)


def test_without_organisations_headers_are_passed_on() -> None:
    """Guards against a change for deployments without organisations."""
    fleet = _build_fleet(build_route_table(build_route("read", "s")))
    result = _send(
        fleet, "r1", "any", headers=(HEADER_NAMES.organisation, "own")
    )
    fleet.run(1)
    assert result.status == 200
    (request,) = _requests(fleet)
    assert request.header(b"authorization") == b"Bearer any"
    assert request.header(HEADER_NAMES.organisation.encode()) == b"own"


def test_calls_of_a_running_request_need_no_key() -> None:
    """Guards against calls that fail because they carry no key."""
    fleet = _build_fleet()
    held: list[HttpRequest] = []
    for upstream in fleet.upstreams.values():
        upstream.on_run = held.append
    _send(fleet, "r1")
    fleet.run(0.2)
    name, upstream = next(
        (n, u) for n, u in fleet.upstreams.items() if u.requests
    )
    for other in fleet.upstreams.values():
        other.on_run = other.answer
    call = _send(fleet, "r1.1", "", node=name)
    fleet.run(0.5)
    assert call.status == 200
    upstream.answer(held[0])


def test_a_withdrawn_key_stops_with_its_version() -> None:
    """Guards against a key that outlives the version without it."""
    fleet = _build_fleet()
    fleet.store.publish(_build_table(2, "k2"))
    fleet.run(2)
    withdrawn, kept = _send(fleet, "r1", "k1"), _send(fleet, "r2", "k2")
    fleet.run(1)
    assert (withdrawn.status, kept.status) == (401, 200)


def test_no_key_is_accepted_after_the_limit_without_the_platform() -> None:
    """Guards against a withdrawn key on nodes that do not hear of it."""
    fleet = _build_fleet()
    fleet.store.is_down = True
    fleet.store.publish(_build_table(2, "k2"))
    withdrawn_at_s = fleet.network.seconds()
    results: list[tuple[float, CallerResult]] = []
    for number in range(60):
        sent_at_s = fleet.network.seconds() - withdrawn_at_s
        result = _send(fleet, f"r{number}", node=f"n{number % 3}")
        results.append((sent_at_s, result))
        fleet.run(0.2)
    late = [r.status for sent_s, r in results if sent_s > _LIMIT_S]
    assert set(late) == {503}
    early = [r.status for sent_s, r in results if sent_s < 0.5 * _LIMIT_S]
    assert set(early) == {200}
    fleet.store.is_down = False
    fleet.store.publish(_build_table(2, "k2"))
    fleet.run(6)
    again = _send(fleet, "again", "k2")
    fleet.run(1)
    assert again.status == 200


def test_a_node_without_the_platform_renews_through_its_peers() -> None:
    """Guards against refusals at a node whose own way to the store is gone."""
    fleet = _build_fleet()
    silent = RouteTableStore()
    silent.is_down = True
    fleet.gateways["n2"]._configuration._store = silent
    fleet.run(12)
    result = _send(fleet, "r1", node="n2")
    fleet.run(1)
    assert result.status == 200


def test_a_node_frozen_over_a_withdrawal_runs_nothing_with_the_key() -> None:
    """Guards against a node that wakes with an outdated configuration."""
    fleet = _build_fleet()
    fleet.processes["n0"].pause()
    fleet.store.publish(_build_table(2, "k2"))
    fleet.run(8)
    # Arrives while the node is frozen and is read when it wakes.
    late = _send(fleet, "r1", "k1")
    fleet.run(0.5)
    fleet.processes["n0"].resume()
    fleet.run(2)
    assert late.status in {401, 503}
    assert not _requests(fleet)


def test_a_waiting_request_is_refused_once_its_key_is_withdrawn() -> None:
    """Guards against a withdrawn key that runs from a queue."""
    fleet = GatewayFleet(_build_table())
    upstream = fleet.add("n0", "s", slots=1, revocation=_STRICT)
    fleet.run(4)
    held: list[HttpRequest] = []
    upstream.on_run = held.append
    first, waiting = _send(fleet, "r1"), _send(fleet, "r2")
    fleet.run(0.2)
    fleet.store.publish(_build_table(2, "k2"))
    fleet.run(0.5)
    upstream.answer(held[0])
    fleet.run(0.5)
    assert (first.status, waiting.status) == (200, 401)
    assert len(held) == 1


def test_an_allotment_holds_for_all_nodes_together() -> None:
    """Guards against a limit that each node grants on its own."""
    fleet = _build_fleet(_build_table(rate_per_s=10.0))
    results = []
    for number in range(300):
        results.append(_send(fleet, f"r{number}", node=f"n{number % 3}"))
        fleet.run(0.02)
    fleet.run(1)
    statuses = [result.status for result in results]
    assert set(statuses) == {200, 429}
    # 6 s of 10 a second and a burst of 4.
    assert 0.85 * 60 <= statuses.count(200) <= 64
    refused = next(r.answer for r in results if r.status == 429)
    assert refused is not None
    assert float(refused.header("Retry-After") or "") > 0


def test_the_next_candidate_grants_once_the_owner_has_ended() -> None:
    """Guards against refusals for as long as an owner is gone."""
    fleet = _build_fleet(_build_table(rate_per_s=50.0), nodes=4)
    statuses: dict[str, list[int]] = {}
    for killed in fleet.gateways:
        fleet.kill(killed)
        asked = next(name for name in fleet.gateways if name != killed)
        results = []
        for number in range(10):
            results.append(
                _send(fleet, f"{killed}-{number}", node=asked, path="/read/y")
            )
            fleet.run(0.3)
        statuses[killed] = [result.status for result in results]
        fleet.restart(killed)
        fleet.run(6)
    for found in statuses.values():
        assert found.count(429) == 0
        assert found.count(200) >= 8


def test_restarted_nodes_do_not_all_take_themselves_for_the_owner() -> None:
    """Guards against a limit that each of many restarted nodes grants."""
    fleet = _build_fleet(_build_table(rate_per_s=10.0), nodes=6)
    names = list(fleet.gateways)
    for name in names:
        fleet.kill(name)
    fleet.run(1)
    for name in names:
        fleet.restart(name)
    results = []
    for number in range(200):
        results.append(_send(fleet, f"r{number}", node=names[number % 6]))
        fleet.run(0.01)
    served = sum(result.status == 200 for result in results)
    # 2 s of 10 a second and a burst of 4, with a tenth and 20 more tolerated.
    assert served <= (2 * 10 + 4) * 1.1 + 20
    fleet.run(5)
    again = _send(fleet, "again")
    fleet.run(1)
    assert again.status == 200
