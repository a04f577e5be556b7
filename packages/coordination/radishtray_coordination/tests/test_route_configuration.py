"""Tests how route tables reach all nodes, and at how many store calls.

A few elected nodes of each failure domain watch the store. The faults are cut
off and silenced watchers, a store that is down, restarts and partitions.
"""

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from radishtray_testing.route_cluster import RouteCluster

NODES = 60
DOMAINS = 5
# The time within which a version must be in force everywhere.
APPLY_S = 2.0
WATCHERS = 2 * DOMAINS


def settled_cluster(seed: int = 1) -> RouteCluster:
    cluster = RouteCluster(seed, NODES, DOMAINS)
    cluster.run(12)
    assert cluster.generations() == {1}
    return cluster


def no_fault(_cluster: RouteCluster) -> None:
    pass


def cut_all_watchers_of_a_domain(cluster: RouteCluster) -> None:
    for node in cluster.watchers():
        if node.membership.own_record.failure_domain == "zone-0":
            node.client.cut = True


def cut_all_watchers_but_one(cluster: RouteCluster) -> None:
    for node in cluster.watchers()[1:]:
        node.client.cut = True


def kill_all_watchers(cluster: RouteCluster) -> None:
    for node in cluster.watchers():
        cluster.kill(node.address)
    cluster.run(10)


def cut_all_watchers_for_ten_seconds(cluster: RouteCluster) -> None:
    for node in cluster.watchers():
        node.client.cut = True
    cluster.run(10)


def cut_all_but_three_nodes(cluster: RouteCluster) -> None:
    for node in list(cluster.nodes.values())[3:]:
        node.client.cut = True
    cluster.run(30)


def store_down_for_ten_seconds(cluster: RouteCluster) -> None:
    cluster.store.down = True
    cluster.run(10)
    cluster.store.down = False
    cluster.run(5)


def restart_all_nodes(cluster: RouteCluster) -> None:
    for address in list(cluster.nodes):
        cluster.kill(address)
    for index in range(NODES):
        cluster.start_node(index, incarnation=2)
    cluster.run(3)


FAULTS: dict[str, Callable[[RouteCluster], None]] = {
    "none": no_fault,
    "all watchers of a domain are cut": cut_all_watchers_of_a_domain,
    "all watchers but one are cut": cut_all_watchers_but_one,
    "all watchers died 10 s before": kill_all_watchers,
    "all watchers were cut 10 s before": cut_all_watchers_for_ten_seconds,
    "all but three nodes were cut 30 s before": cut_all_but_three_nodes,
    "the store was down for 10 s": store_down_for_ten_seconds,
    "all nodes were restarted 3 s before": restart_all_nodes,
}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("name", FAULTS)
def test_a_version_reaches_every_node_in_time(name: str, seed: int) -> None:
    cluster = settled_cluster(seed)
    FAULTS[name](cluster)
    cluster.publish_routes(2)
    cluster.run(APPLY_S)
    assert cluster.generations() == {2}
    for node in cluster.nodes.values():
        versions = [version for version, _ in node.documents]
        assert versions == sorted(set(versions)), "a version reverted"


def kill_watchers(cluster: RouteCluster) -> None:
    for node in cluster.watchers():
        cluster.kill(node.address)


def freeze_watchers(cluster: RouteCluster) -> None:
    cluster.paused.update(node.address for node in cluster.watchers())


WATCHER_LOSSES: dict[str, Callable[[RouteCluster], None]] = {
    "killed": kill_watchers,
    "frozen": freeze_watchers,
}


@pytest.mark.parametrize(
    "nodes, domains, seed",
    [*((17, 4, seed) for seed in range(1, 9)), (60, 5, 1)],
)
@pytest.mark.parametrize("loss", WATCHER_LOSSES)
def test_a_version_is_in_force_in_time_when_all_watchers_were_just_lost(
    loss: str, nodes: int, domains: int, seed: int
) -> None:
    cluster = RouteCluster(seed, nodes, domains)
    cluster.run(12)
    WATCHER_LOSSES[loss](cluster)
    cluster.publish_routes(2)
    cluster.run(APPLY_S)
    assert {
        node.configuration.generation
        for address, node in cluster.nodes.items()
        if address not in cluster.paused
    } == {2}


def test_standbys_do_not_watch_while_watchers_send_heartbeats() -> None:
    cluster = settled_cluster()
    cluster.run(10)
    watchers = cluster.watchers()
    before = cluster.store.watches
    cluster.run(60)
    # A watch ends after 4 to 8 s.
    assert cluster.store.watches - before <= len(watchers) * (60 / 4 + 1)


def test_a_pull_over_a_silent_connection_delays_no_version() -> None:
    cluster = settled_cluster()
    # Includes former watchers whose last watch has not ended.
    watching = {
        node.address
        for node in cluster.nodes.values()
        if node.configuration._is_watching
    }
    first_asked: set[str] = set()
    for node in cluster.nodes.values():
        pull = node.configuration._pull

        def pull_or_hang(
            member: Any, generation: int, node: Any = node, pull: Any = pull
        ) -> Any:
            if node.address not in first_asked:
                first_asked.add(node.address)
                return Deferred()
            return pull(member, generation)

        node.configuration._pull = pull_or_hang
    cluster.publish_routes(2)
    cluster.run(APPLY_S)
    assert first_asked == cluster.nodes.keys() - watching
    assert len(first_asked) > NODES // 2
    assert cluster.generations() == {2}


def test_calls_to_the_store_depend_on_domains_and_not_on_nodes() -> None:
    """A start costs a call for each node; all else a number of each domain."""
    cluster = settled_cluster()
    assert cluster.calls <= NODES + 8 * WATCHERS
    assert len(cluster.watchers()) == WATCHERS
    before = cluster.calls
    cluster.run(60)
    assert cluster.calls - before <= 20 * WATCHERS
    before = cluster.calls
    for version in range(2, 12):
        cluster.publish_routes(version)
        cluster.run(2)
    assert cluster.generations() == {11}
    # Each version ends a watch of each watcher.
    assert cluster.calls - before <= (10 + 10) * WATCHERS


@pytest.mark.parametrize(
    "is_cut", [False, True], ids=["store down", "most nodes are cut"]
)
def test_few_calls_are_made_while_the_store_fails(is_cut: bool) -> None:
    cluster = settled_cluster()
    before = cluster.calls
    cluster.store.down = not is_cut
    for node in list(cluster.nodes.values())[3:]:
        node.client.cut = is_cut
    cluster.run(13)
    assert cluster.calls - before <= NODES + 100


def test_a_restarted_node_gets_the_table_from_a_peer() -> None:
    cluster = settled_cluster()
    before = cluster.calls
    cluster.store.down = True
    address = next(iter(cluster.nodes))
    cluster.kill(address)
    node = cluster.start_node(0, incarnation=2)
    cluster.run(1.5)
    assert node.configuration.generation == 1
    assert cluster.calls - before <= 2 + 2 * WATCHERS


def test_a_node_without_peers_watches_for_itself() -> None:
    cluster = settled_cluster()
    alone = list(cluster.nodes.values())[30]
    cluster.is_partitioned = lambda a, b: alone.address in (a, b)
    cluster.publish_routes(2)
    cluster.run(APPLY_S)
    assert alone.configuration.generation == 2
    cluster.run(30)
    cluster.publish_routes(3)
    cluster.run(APPLY_S)
    assert cluster.generations() == {3}
