"""Tests that views converge after faults, in simulated networks with seeds.

The tests fail if a live member stays dead in a view, if a dead one stays live,
or if a member that did not fail is declared dead.
"""

import dataclasses
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_state import MembershipParameters
from radishtray_testing import GossipNetwork, member_record

HOUR_S = 3600
DOMAIN_COUNT = 3


def zone_index(address: str) -> int:
    return (
        int(address.split(":", maxsplit=1)[0].rsplit(".", 1)[1]) % DOMAIN_COUNT
    )


def address(index: int) -> str:
    return member_record(index).gossip_address


def converged_network(
    seed: int, size: int = 18, loss: float = 0.0
) -> GossipNetwork:
    network = GossipNetwork(seed, loss)
    for index in range(size):
        record = member_record(index, domain=f"zone-{index % DOMAIN_COUNT}")
        network.add(record, [address(0)])
    network.run_until_views_agree(60)
    return network


def crosses_zone_0_border(a: str, b: str) -> bool:
    return (zone_index(a) == 0) != (zone_index(b) == 0)


def kill_one(network: GossipNetwork) -> set[int]:
    network.kill(address(4))
    return {4}


def cut_one_for_an_hour(network: GossipNetwork) -> set[int]:
    network.set_partition(lambda a, b: address(4) in (a, b))
    network.run(HOUR_S)
    network.set_partition(None)
    return {4}


def pause_one(network: GossipNetwork) -> set[int]:
    network.pause(address(4))
    network.run(90)
    network.resume(address(4))
    return {4}


def kill_and_restart_zone(network: GossipNetwork) -> set[int]:
    killed = {index for index in range(18) if index % DOMAIN_COUNT == 0}
    for index in killed:
        network.kill(address(index))
    network.run_until_views_agree(90)
    for index in killed:
        network.add(
            member_record(index, domain="zone-0", incarnation=2), [address(1)]
        )
    return killed


def kill_zone_while_one_is_paused(network: GossipNetwork) -> set[int]:
    network.pause(address(4))
    killed = {index for index in range(18) if index % DOMAIN_COUNT == 0}
    for index in killed:
        network.kill(address(index))
    network.run(40)
    network.resume(address(4))
    return killed | {4}


def replace_one_during_partition(network: GossipNetwork) -> set[int]:
    """Replaces a VM by one with another node id while its zone is cut off."""
    network.set_partition(crosses_zone_0_border)
    network.run(120)
    network.kill(address(3))
    network.add(
        member_record(3, domain="zone-0", incarnation=9, node_id="new"),
        [address(0)],
    )
    network.run(120)
    network.set_partition(None)
    return {index for index in range(18) if index % DOMAIN_COUNT == 0} | {3}


@dataclasses.dataclass(frozen=True)
class FaultCase:
    fault: Callable[[GossipNetwork], set[int]]
    converges_within_s: int
    loss: float = 0.0
    seeds: tuple[int, ...] = (1, 2, 3)


FAULT_CASES = {
    "a VM fails": FaultCase(kill_one, 30),
    "a VM fails while 15% of datagrams are lost": FaultCase(kill_one, 60, 0.15),
    "a VM is cut off for an hour": FaultCase(
        cut_one_for_an_hour, 90, seeds=(1,)
    ),
    "a VM is paused": FaultCase(pause_one, 60),
    "a failure domain fails and restarts": FaultCase(kill_and_restart_zone, 30),
    "a failure domain fails while a VM is paused": FaultCase(
        kill_zone_while_one_is_paused, 120
    ),
    "a VM is replaced during a partition": FaultCase(
        replace_one_during_partition, 180
    ),
}


@pytest.mark.parametrize(
    ("case", "seed"),
    [
        pytest.param(case, seed, id=f"{name}, seed {seed}")
        for name, case in FAULT_CASES.items()
        for seed in case.seeds
    ],
)
def test_views_agree_after_fault_and_healthy_members_stay_live(
    case: FaultCase, seed: int
) -> None:
    network = converged_network(seed, loss=case.loss)
    affected = case.fault(network)
    network.run_until_views_agree(case.converges_within_s)
    affected_ids = {member_record(index).node_id for index in affected} | {
        "new"
    }
    false_deaths = [
        (observer, subject)
        for observer, subject in network.reported_deaths()
        if observer not in affected_ids and subject not in affected_ids
    ]
    assert false_deaths == []


@pytest.mark.parametrize("fault", [cut_one_for_an_hour, pause_one])
def test_isolated_member_declares_nobody_dead(
    fault: Callable[[GossipNetwork], set[int]],
) -> None:
    """An isolated member receives no acks and could suspect all others.

    When it returns, its reports would make every member suspected.
    """
    network = converged_network(seed=2)
    fault(network)
    isolated = member_record(4).node_id
    assert [
        pair for pair in network.reported_deaths() if pair[0] == isolated
    ] == []


def test_datagram_rate_is_bounded_when_an_hour_long_partition_heals() -> None:
    """Guards against a load peak when each side answers every difference.

    Neither side may declare members of its own side dead.
    """
    network = converged_network(seed=1)
    network.set_partition(crosses_zone_0_border)
    network.run(HOUR_S)
    healed_at = int(network.clock.monotonic())
    network.set_partition(None)
    network.run_until_views_agree(180)
    node_zone = {
        node.own_record.node_id: zone_index(key) == 0
        for key, node in network.nodes.items()
    }
    same_side = [
        (observer, subject)
        for observer, subject in network.reported_deaths()
        if node_zone[observer] == node_zone[subject]
    ]
    assert same_side == []
    max_sent_in_10_s = max(
        sum(network.sent_counts[key, second + i] for i in range(10))
        for key in network.nodes
        for second in range(healed_at, healed_at + 170)
    )
    assert max_sent_in_10_s <= 10 * 12, "datagrams of one node in 10 s"


def test_no_live_member_is_declared_dead_under_loss() -> None:
    """A lost ping or ack must not be enough to declare a member dead."""
    network = converged_network(7, loss=0.1)
    network.run(900)
    assert network.reported_deaths() == []


def test_leaving_member_is_not_selected_after_seconds() -> None:
    """A node that leaves must get no new work after a few seconds."""
    network = converged_network(5)
    leaver = network.nodes[address(4)]
    network.send(leaver.leave(), address(4))
    network.run(1)
    network.kill(address(4))
    network.run(4)
    for node in network.nodes.values():
        serving = {
            record.node_id for record in node.members_serving("taquilla")
        }
        assert leaver.own_record.node_id not in serving
    assert network.reported_deaths() == []


def test_draining_member_is_not_selected_after_seconds() -> None:
    """A draining node must answer probes, but must not be selected."""
    network = converged_network(5)
    network.send(
        network.nodes[address(4)].update_own_record(draining=True), address(4)
    )
    network.run(4)
    for node in network.nodes.values():
        assert len(node.members_serving("taquilla")) == len(network.nodes) - 1


def test_restarted_member_without_seeds_rejoins_by_dead_probes() -> None:
    """Guards against losing a node that restarts during a platform outage.

    It has no seed addresses, so only probes of dead members can find it.
    """
    network = converged_network(6)
    network.kill(address(4))
    network.run_until_views_agree(60)
    network.add(member_record(4, domain="zone-1", incarnation=2))
    network.run_until_views_agree(60)


def test_dead_member_is_removed_after_its_retention() -> None:
    """Without removal, records of replaced VMs would accumulate in views."""
    network = GossipNetwork(1)
    parameters = MembershipParameters(dead_retention_s=60)
    for index in range(4):
        network.add(member_record(index), [address(0)], parameters)
    network.run_until_views_agree(30)
    network.kill(address(3))
    network.run(120)
    assert {len(node.members()) for node in network.nodes.values()} == {3}


FAULT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "pause", "resume", "cut", "heal"]),
        st.integers(0, 7),
        st.sampled_from([1, 5, 20, 90]),
    ),
    max_size=12,
)


@settings(deadline=None, derandomize=True, max_examples=60)
@given(FAULT_STEPS, st.integers(0, 99))
def test_views_agree_after_any_fault_schedule(
    steps: list[tuple[str, int, int]], seed: int
) -> None:
    """Views could stay wrong after combined or repeated faults."""
    network = GossipNetwork(seed, loss=0.05)
    paused: set[int] = set()
    for index in range(8):
        network.add(member_record(index), [address(0), address(1)])
    network.run(10)
    for incarnation, (step, index, seconds) in enumerate(steps, start=2):
        alive = address(index) in network.nodes
        if step == "kill" and alive and len(network.nodes) > 4:
            network.kill(address(index))
            paused.discard(index)
        elif step == "restart":
            record = member_record(index, incarnation=incarnation)
            network.add(record, [address(0), address(1)])
            paused.discard(index)
        elif step == "pause" and alive and index not in paused:
            network.pause(address(index))
            paused.add(index)
        elif step == "resume" and index in paused:
            network.resume(address(index))
            paused.discard(index)
        elif step == "cut":
            network.set_partition(
                lambda a, b, n=index: (a < address(n)) != (b < address(n))
            )
        elif step == "heal":
            network.set_partition(None)
        network.run(seconds)
    network.set_partition(None)
    for index in paused:
        network.resume(address(index))
    # Groups that formed separately have no records of each other and join by
    # address.
    network.send(
        network.nodes[min(network.nodes)].join(sorted(network.nodes)),
        min(network.nodes),
    )
    network.loss = 0.0
    network.run_until_views_agree(200)
