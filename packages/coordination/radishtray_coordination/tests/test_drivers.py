"""Runs the drivers of a simulated cluster under faults.

The faults are lost answers, a slow or unreachable platform, paused nodes and
ended nodes. The tests check how nodes join, how a configuration generation
spreads, who holds the roles and which section objects are deleted.
"""

import itertools
from collections.abc import Callable
from typing import Any

import pytest
from expression import Error, Ok, Result

from radishtray_coordination import MembershipDriver
from radishtray_protocol import (
    RELEASE_OBJECT,
    Release,
    decode_seeds,
    section_digest,
    section_object_name,
    seeds_object_name,
)
from radishtray_testing import Cluster, ClusterNode, member_record

DOMAINS = 3


def make_record(index: int, incarnation: int = 1) -> Any:
    return member_record(
        index, domain=f"zone-{index % DOMAINS}", incarnation=incarnation
    )


def gossip_address(index: int) -> str:
    return make_record(index).gossip_address


def joined_cluster(size: int, seed: int = 1) -> Cluster:
    cluster = Cluster(seed)
    for index in range(size):
        cluster.add(make_record(index))
    cluster.run(30)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {size}
    return cluster


def watchers(cluster: Cluster) -> list[ClusterNode]:
    return [n for n in cluster.nodes.values() if n.configuration.is_watcher]


def assert_generations_increase(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        generations = [generation for generation, _ in node.documents]
        assert generations == sorted(set(generations))


def no_fault(_cluster: Cluster) -> None:
    pass


def lose_write_answers(cluster: Cluster) -> None:
    cluster.store.answer_loss_probability = 0.5


def slow_down_platform(cluster: Cluster) -> None:
    cluster.store.max_delay_s = 2.0


def kill_watchers(cluster: Cluster) -> None:
    for node in watchers(cluster):
        cluster.kill(node.address)


def pause_watchers(cluster: Cluster) -> None:
    cluster.paused |= {node.address for node in watchers(cluster)}


def kill_watchers_during_outage(cluster: Cluster) -> None:
    cluster.store.down = True
    cluster.run(30)
    kill_watchers(cluster)
    cluster.run(30)
    cluster.store.down = False


def cut_domain_from_platform(cluster: Cluster) -> None:
    """Lets failure domain zone-0 learn the generation by gossip only."""
    for node in cluster.nodes.values():
        node.client.cut = node.membership.own_record.failure_domain == "zone-0"


FAULTS: dict[str, tuple[Callable[[Cluster], None], float]] = {
    "none": (no_fault, 1.5),
    "half of the answers to writes are lost": (lose_write_answers, 60),
    "the platform takes 2 s for a call": (slow_down_platform, 15),
    "all watchers die": (kill_watchers, 60),
    "all watchers are paused": (pause_watchers, 60),
    "the platform is down and the watchers die": (
        kill_watchers_during_outage,
        90,
    ),
    "one domain cannot reach the platform": (cut_domain_from_platform, 6),
}


@pytest.mark.parametrize("case", FAULTS.values(), ids=FAULTS.keys())
def test_generation_reaches_every_node(
    case: tuple[Callable[[Cluster], None], float],
) -> None:
    """An accepted configuration must take effect in every failure domain.

    A fault before the publication must not leave a domain without a source of
    the generation.
    """
    fault, within_s = case
    cluster = joined_cluster(18)
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
    assert_generations_increase(cluster)
    documents = {str(n.documents[-1]) for n in cluster.nodes.values()}
    assert documents == {str((2, {"defaults": "a", "taquilla": "c"}))}


def test_generation_travels_faster_than_probes() -> None:
    """A generation must not wait for the probe interval at each gossip hop.

    13 hops at one probe interval each would exceed 8 s at 4,300 nodes.
    """
    cluster = joined_cluster(36)
    cluster.publish(taquilla="a")
    cluster.run(0.4)
    informed = [n for n in cluster.nodes.values() if n.documents]
    assert len(informed) >= 24


def test_generation_never_reverts() -> None:
    """Nodes must not go back when the release object returns to an old state.

    A mistake or a restore from a backup can do that. A node that joins later
    must get the newer generation too.
    """
    cluster = joined_cluster(6)
    for text in "abc":
        cluster.publish(taquilla=text)
        cluster.run(5)
    old = Release(1, "c", {"taquilla": section_digest("a")})
    version = cluster.store.read(RELEASE_OBJECT).ok.version
    cluster.store.write(RELEASE_OBJECT, old.encode(), version)
    cluster.run(60)
    assert cluster.generations() == {3}
    cluster.add(make_record(7))
    cluster.run(20)
    assert cluster.generations() == {3}


def test_unusable_document_leaves_the_one_in_effect() -> None:
    """An invalid generation must neither take effect nor block the next one."""

    def parse(texts: dict[str, str]) -> Result[Any, str]:
        bad = "bad" in texts.values()
        return Error("finding") if bad else Ok(texts)

    cluster = Cluster(2)
    for index in range(6):
        cluster.add(make_record(index), parse=parse)
    cluster.run(30)
    for text, expected in (("good", {1}), ("bad", {1}), ("better", {3})):
        cluster.publish(taquilla=text)
        cluster.run(10)
        assert cluster.generations() == expected


def test_node_starts_with_seeds_while_the_platform_is_down() -> None:
    """Configured seeds must suffice to join, even if one of them is stale."""
    cluster = joined_cluster(6)
    cluster.publish(taquilla="a")
    cluster.run(5)
    cluster.store.down = True
    node = cluster.add(
        make_record(7), seeds=[gossip_address(40), gossip_address(2)]
    )
    cluster.run(10)
    assert node.membership.live_count == 7
    assert node.configuration.generation == 1


def test_node_without_seeds_joins_when_the_platform_is_back() -> None:
    """A node must go on trying to join after a start during an outage."""
    cluster = joined_cluster(6)
    cluster.store.down = True
    node = cluster.add(make_record(7))
    cluster.run(120)
    assert node.membership.live_count == 1
    cluster.store.down = False
    cluster.run(45)
    assert node.membership.live_count == 7


def test_separate_groups_merge_after_an_outage() -> None:
    """Two groups that formed from different seeds must not stay separate."""
    cluster = Cluster(3)
    cluster.store.down = True
    for index in range(8):
        cluster.add(make_record(index), seeds=[gossip_address(index % 2)])
    cluster.run(30)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {4}
    cluster.store.down = False
    cluster.run(150)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {8}


@pytest.mark.parametrize("value", [b"", b"7", b"{}", b'{"addresses":[7]}'])
def test_seeds_objects_of_another_writer_keep_no_domains_apart(
    value: bytes,
) -> None:
    """A node read one object at random, which could be a foreign one."""
    cluster = Cluster(4)
    for number in range(40):
        cluster.store.write(seeds_object_name(f"x{number}"), value, None)
    for index in range(6):
        cluster.add(make_record(index))
    cluster.run(60)
    assert {n.membership.live_count for n in cluster.nodes.values()} == {6}


def test_a_seeds_object_that_was_empty_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its failure domain may have replaced it since."""
    reads: list[str] = []
    read_seeds = MembershipDriver._read_seeds

    def record(driver: MembershipDriver, name: str) -> Any:
        reads.append(name)
        return read_seeds(driver, name)

    monkeypatch.setattr(MembershipDriver, "_read_seeds", record)
    cluster = joined_cluster(2)
    name = seeds_object_name("late")
    cluster.store.write(name, b"{}", None)
    cluster.run(300)
    assert name in reads
    reads.clear()
    cluster.run(900)
    assert name in reads


def test_seeds_object_drops_dead_addresses_and_stays_bounded() -> None:
    """A starting node could not join if all listed addresses were dead."""
    cluster = joined_cluster(36)
    name = seeds_object_name("zone-0")
    before = decode_seeds(cluster.store.read(name).ok.value).ok
    assert len(before) == len(set(before)) == 8
    for dead in before[:7]:
        cluster.kill(dead)
    cluster.run(120)
    cluster.add(make_record(39))
    cluster.run(60)
    after = decode_seeds(cluster.store.read(name).ok.value).ok
    assert set(after) <= set(cluster.nodes)
    assert len(after) >= 2


def test_restart_of_a_domain_spreads_calls_to_a_slow_platform() -> None:
    """The starts must neither call at the same time nor retry in step.

    Calls must stay in proportion to the starts, at most 1.25 per second and
    started node, and must become few after 30 s.
    """
    cluster = joined_cluster(90)
    cluster.publish(**{f"section{i}": "x" for i in range(20)})
    cluster.run(5)
    stopped = [n.address for n in cluster.nodes.values() if is_in_zone_0(n)]
    for node_address in stopped:
        cluster.kill(node_address)
    cluster.run(30)
    cluster.store.max_delay_s = 4.0
    calls = [count_calls(cluster)]
    for index in range(0, 90, DOMAINS):
        cluster.add(make_record(index, incarnation=2))
    for _ in range(60):
        cluster.run(1)
        calls.append(count_calls(cluster))
    assert cluster.generations() == {1}
    per_second = [b - a for a, b in itertools.pairwise(calls)]
    assert max(per_second) <= 1.25 * len(stopped)
    assert sum(per_second[30:]) <= 30 * 8


def is_in_zone_0(node: ClusterNode) -> bool:
    return node.membership.own_record.failure_domain == "zone-0"


def count_calls(cluster: Cluster) -> int:
    store = cluster.store
    return store.reads + store.writes + store.watches


def test_role_has_one_holder_through_pauses_and_lost_answers() -> None:
    """A holder paused for longer than its lease must not act on resuming.

    Meanwhile another node may have taken the role over.
    """
    cluster = joined_cluster(9, seed=4)
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
    """Cancelling the pending platform calls must not restart the drivers."""
    cluster = joined_cluster(3)
    for node in cluster.nodes.values():
        node.close()
    cluster.run(15)
    before = count_calls(cluster)
    cluster.run(120)
    assert count_calls(cluster) == before


def test_closed_holder_hands_its_role_over() -> None:
    """A planned stop must not leave a role vacant until its lease expires.

    Without a release, the role would stay vacant for up to two lease times.
    """
    cluster = joined_cluster(9)
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
        cluster.add(make_record(int(node.address.split(":")[0][-1]), 2))
        cluster.run(30)


def test_collector_deletes_only_what_nobody_needs() -> None:
    """A referenced or recently written section must not be deleted."""
    cluster = joined_cluster(3)
    cluster.publish(taquilla="first")
    cluster.publish(taquilla="second")
    orphan = section_object_name("taquilla", section_digest("orphan"))
    later = section_object_name("taquilla", section_digest("later"))
    cluster.store.write(orphan, b"orphan", None)
    cluster.run(3000)
    cluster.store.write(later, b"later", None)
    cluster.run(3000)
    names = set(cluster.store.objects)
    assert orphan not in names
    assert later in names
    assert cluster.release is not None
    assert cluster.release.referenced_objects() <= names


def test_collector_restores_a_text_that_is_used_again() -> None:
    """A deletion must not remove a text that an apply has just reused.

    The apply sees the old object, does not write it again, and publishes a
    release that refers to it while the collector deletes it.
    """
    cluster = joined_cluster(3)
    cluster.publish(taquilla="first")
    name = section_object_name("taquilla", section_digest("again"))
    cluster.store.write(name, b"again", None)
    write = cluster.store.write

    def write_with_racing_apply(
        key: str, value: bytes | None, version: int | None
    ) -> Any:
        result = write(key, value, version)
        if key == name and value is None:
            cluster.publish(taquilla="again")
            write(name, None, cluster.store.objects[name].version)
        return result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            type(cluster.store),
            "write",
            lambda _store, *args: write_with_racing_apply(*args),
        )
        cluster.run(6000)
    assert cluster.store.objects[name].value == b"again"
    assert cluster.generations() == {2}
