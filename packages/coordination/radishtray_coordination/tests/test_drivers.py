"""Guards bootstrap, configuration and roles against faults of their parts."""

import itertools
from collections.abc import Callable
from typing import Any

import pytest
from expression import Error, Ok, Result

from radishtray_protocol import (
    RELEASE_OBJECT,
    Release,
    decode_seeds,
    section_digest,
    section_object,
    seeds_object,
)
from radishtray_testing import Cluster, ClusterNode, member_record

DOMAINS = 3


def record(index: int, incarnation: int = 1) -> Any:
    return member_record(
        index, domain=f"zone-{index % DOMAINS}", incarnation=incarnation
    )


def address(index: int) -> str:
    return record(index).gossip_address


def cluster_of(size: int, seed: int = 1) -> Cluster:
    cluster = Cluster(seed)
    for index in range(size):
        cluster.add(record(index))
    cluster.run(30)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {size}
    return cluster


def watchers(cluster: Cluster) -> list[ClusterNode]:
    return [n for n in cluster.nodes.values() if n.configuration.is_watcher]


def assert_forward_only(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        generations = [generation for generation, _ in node.documents]
        assert generations == sorted(set(generations))


def no_fault(_cluster: Cluster) -> None:
    pass


def lost_answers(cluster: Cluster) -> None:
    cluster.store.answer_loss_probability = 0.5


def slow_platform(cluster: Cluster) -> None:
    cluster.store.max_delay_s = 2.0


def watchers_die(cluster: Cluster) -> None:
    for node in watchers(cluster):
        cluster.kill(node.address)


def watchers_pause(cluster: Cluster) -> None:
    cluster.paused |= {node.address for node in watchers(cluster)}


def platform_down_and_watchers_die(cluster: Cluster) -> None:
    cluster.store.down = True
    cluster.run(30)
    watchers_die(cluster)
    cluster.run(30)
    cluster.store.down = False


def domain_cut_from_platform(cluster: Cluster) -> None:
    """The other domains' gossip must carry the generation over."""
    for node in cluster.nodes.values():
        node.client.cut = node.membership.own.failure_domain == "zone-0"


FAULTS: dict[str, tuple[Callable[[Cluster], None], float]] = {
    "none": (no_fault, 1.5),
    "half of the answers to writes are lost": (lost_answers, 60),
    "the platform takes 2 s for a call": (slow_platform, 15),
    "all watchers die": (watchers_die, 60),
    "all watchers are paused": (watchers_pause, 60),
    "the platform is down and the watchers die": (
        platform_down_and_watchers_die,
        90,
    ),
    "one domain cannot reach the platform": (domain_cut_from_platform, 6),
}


@pytest.mark.parametrize("case", FAULTS.values(), ids=FAULTS.keys())
def test_generation_reaches_every_node(
    case: tuple[Callable[[Cluster], None], float],
) -> None:
    """G8: an accepted configuration takes effect in every failure domain."""
    fault, within_s = case
    cluster = cluster_of(18)
    cluster.publish(defaults="a", taquilla="b")
    cluster.run(5)
    assert cluster.generations() == {1}
    assert len(watchers(cluster)) == 2 * DOMAINS
    fault(cluster)
    cluster.run(5)
    assert cluster.publish(taquilla="c") == 2
    cluster.run(within_s)
    if cluster.paused:
        cluster.paused = set()
        cluster.run(5)
    assert cluster.generations() == {2}
    assert_forward_only(cluster)
    documents = {str(n.documents[-1]) for n in cluster.nodes.values()}
    assert documents == {str((2, {"defaults": "a", "taquilla": "c"}))}


def test_generation_travels_faster_than_probes() -> None:
    """13 hops at one probe interval each would exceed 8 s at 4,300 nodes."""
    cluster = cluster_of(36)
    cluster.publish(taquilla="a")
    cluster.run(0.4)
    informed = [n for n in cluster.nodes.values() if n.documents]
    assert len(informed) >= 24


def test_generation_never_reverts() -> None:
    """G8, if the platform's object is set back by a mistake or a restore."""
    cluster = cluster_of(6)
    for text in "abc":
        cluster.publish(taquilla=text)
        cluster.run(5)
    old = Release(1, "c", {"taquilla": section_digest("a")})
    version = cluster.store.read(RELEASE_OBJECT).ok.version
    cluster.store.write(RELEASE_OBJECT, old.encode(), version)
    cluster.run(60)
    assert cluster.generations() == {3}
    cluster.add(record(7))
    cluster.run(20)
    assert cluster.generations() == {3}


def test_unusable_document_leaves_the_one_in_effect() -> None:
    def parse(texts: dict[str, str]) -> Result[Any, str]:
        bad = "bad" in texts.values()
        return Error("finding") if bad else Ok(texts)

    cluster = Cluster(2)
    for index in range(6):
        cluster.add(record(index), parse=parse)
    cluster.run(30)
    for text, expected in (("good", {1}), ("bad", {1}), ("better", {3})):
        cluster.publish(taquilla=text)
        cluster.run(10)
        assert cluster.generations() == expected


def test_node_starts_with_seeds_while_the_platform_is_down() -> None:
    cluster = cluster_of(6)
    cluster.publish(taquilla="a")
    cluster.run(5)
    cluster.store.down = True
    node = cluster.add(record(7), seeds=[address(40), address(2)])
    cluster.run(10)
    assert node.membership.live_count == 7
    assert node.configuration.generation == 1


def test_node_without_seeds_joins_when_the_platform_is_back() -> None:
    cluster = cluster_of(6)
    cluster.store.down = True
    node = cluster.add(record(7))
    cluster.run(120)
    assert node.membership.live_count == 1
    cluster.store.down = False
    cluster.run(45)
    assert node.membership.live_count == 7


def test_islands_from_an_outage_meet() -> None:
    """Two groups that started by different seeds must not stay apart."""
    cluster = Cluster(3)
    cluster.store.down = True
    for index in range(8):
        cluster.add(record(index), seeds=[address(index % 2)])
    cluster.run(30)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {4}
    cluster.store.down = False
    cluster.run(150)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {8}


def test_seeds_object_drops_dead_addresses_and_stays_bounded() -> None:
    """Stale seeds would leave starting nodes without a way in."""
    cluster = cluster_of(36)
    name = seeds_object("zone-0")
    before = decode_seeds(cluster.store.read(name).ok.value).ok
    assert len(before) == len(set(before)) == 8
    for dead in before[:7]:
        cluster.kill(dead)
    cluster.run(120)
    cluster.add(record(39))
    cluster.run(60)
    after = decode_seeds(cluster.store.read(name).ok.value).ok
    assert set(after) <= set(cluster.nodes)
    assert len(after) >= 2


def test_restarted_domain_with_slow_platform_causes_no_storm() -> None:
    """Calls must follow the starts, spread out, and not retry in step."""
    cluster = cluster_of(90)
    cluster.publish(**{f"section{i}": "x" for i in range(20)})
    cluster.run(5)
    gone = [n.address for n in cluster.nodes.values() if zone_0(n)]
    for key in gone:
        cluster.kill(key)
    cluster.run(30)
    cluster.store.max_delay_s = 4.0
    calls = [count_calls(cluster)]
    for index in range(0, 90, DOMAINS):
        cluster.add(record(index, incarnation=2))
    for _ in range(60):
        cluster.run(1)
        calls.append(count_calls(cluster))
    assert cluster.generations() == {1}
    per_second = [b - a for a, b in itertools.pairwise(calls)]
    assert max(per_second) <= 1.25 * len(gone)
    assert sum(per_second[30:]) <= 30 * 8


def zone_0(node: ClusterNode) -> bool:
    return node.membership.own.failure_domain == "zone-0"


def count_calls(cluster: Cluster) -> int:
    store = cluster.store
    return store.reads + store.writes + store.watches


def test_role_has_one_holder_through_pauses_and_lost_answers() -> None:
    """A holder paused past its lease must not act when it resumes."""
    cluster = cluster_of(9, seed=4)
    cluster.store.answer_loss_probability = 0.3
    held = 0

    def check() -> None:
        nonlocal held
        roles = [
            role
            for node in cluster.nodes.values()
            if node.address not in cluster.paused
            for role in node.configuration.held_roles
        ]
        assert len(roles) == len(set(roles))
        held += len(roles)

    cluster.on_step = check
    for _ in range(6):
        cluster.paused = {node.address for node in watchers(cluster)[:3]}
        cluster.run(40)
        cluster.paused = set()
        cluster.run(20)
    assert held > 0


def test_closed_node_makes_no_more_calls() -> None:
    """A cancelled platform call must not restart what was closed."""
    cluster = cluster_of(3)
    for node in cluster.nodes.values():
        node.close()
    cluster.run(15)
    before = count_calls(cluster)
    cluster.run(120)
    assert count_calls(cluster) == before


def test_closed_holder_hands_its_role_over() -> None:
    """6.10: a planned stop must not leave a role empty for two lease times."""
    cluster = cluster_of(9)
    for node in watchers(cluster):
        if not node.configuration.held_roles:
            continue
        (role,) = node.configuration.held_roles
        node.close()
        cluster.run(0.5)
        cluster.kill(node.address)
        cluster.run(16)
        holders = [
            other
            for other in cluster.nodes.values()
            if role in other.configuration.held_roles
        ]
        assert len(holders) == 1
        cluster.add(record(int(node.address.split(":")[0][-1]), 2))
        cluster.run(30)


def test_collector_deletes_only_what_nobody_needs() -> None:
    cluster = cluster_of(3)
    cluster.publish(taquilla="first")
    cluster.publish(taquilla="second")
    orphan = section_object("taquilla", section_digest("orphan"))
    later = section_object("taquilla", section_digest("later"))
    cluster.store.write(orphan, b"orphan", None)
    cluster.run(3000)
    cluster.store.write(later, b"later", None)
    cluster.run(3000)
    names = set(cluster.store.objects)
    assert orphan not in names
    assert later in names
    assert cluster.release is not None
    assert cluster.release.referenced() <= names


def test_collector_restores_a_text_that_is_used_again() -> None:
    """An apply may rely on an object that is being deleted."""
    cluster = cluster_of(3)
    cluster.publish(taquilla="first")
    name = section_object("taquilla", section_digest("again"))
    cluster.store.write(name, b"again", None)
    write = cluster.store.write

    def racing(key: str, value: bytes | None, version: int | None) -> Any:
        result = write(key, value, version)
        if key == name and value is None:
            cluster.publish(taquilla="again")
            write(name, None, cluster.store.objects[name].version)
        return result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(cluster.store), "write", lambda _s, *a: racing(*a))
        cluster.run(6000)
    assert cluster.store.objects[name].value == b"again"
    assert cluster.generations() == {2}
