"""Guards the members' views against failures under seeded schedules.

A view is wrong when a live member stays dead or a dead one stays live, and it
is disturbed when a live member is declared dead for no failure of its own.
"""

import dataclasses
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_state import MembershipParameters
from radishtray_testing import GossipNetwork, member_record

HOUR_S = 3600
DOMAINS = 3


def zone(address: str) -> int:
    return int(address.split(":", maxsplit=1)[0].rsplit(".", 1)[1]) % DOMAINS


def address(index: int) -> str:
    return member_record(index).gossip_address


def fleet(seed: int, size: int = 18, loss: float = 0.0) -> GossipNetwork:
    network = GossipNetwork(seed, loss)
    for index in range(size):
        record = member_record(index, domain=f"zone-{index % DOMAINS}")
        network.add(record, [address(0)])
    network.run_until_views_agree(60)
    return network


def only_zone_0(a: str, b: str) -> bool:
    return (zone(a) == 0) != (zone(b) == 0)


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


def zone_vanishes_and_returns(network: GossipNetwork) -> set[int]:
    gone = {index for index in range(18) if index % DOMAINS == 0}
    for index in gone:
        network.kill(address(index))
    network.run_until_views_agree(90)
    for index in gone:
        network.add(
            member_record(index, domain="zone-0", incarnation=2), [address(1)]
        )
    return gone


def zone_vanishes_while_one_is_paused(network: GossipNetwork) -> set[int]:
    network.pause(address(4))
    gone = {index for index in range(18) if index % DOMAINS == 0}
    for index in gone:
        network.kill(address(index))
    network.run(40)
    network.resume(address(4))
    return gone | {4}


def replaced_during_partition(network: GossipNetwork) -> set[int]:
    """A VM is replaced under another name while its zone is cut off."""
    network.set_partition(only_zone_0)
    network.run(120)
    network.kill(address(3))
    network.add(
        member_record(3, domain="zone-0", incarnation=9, node_id="new"),
        [address(0)],
    )
    network.run(120)
    network.set_partition(None)
    return {index for index in range(18) if index % DOMAINS == 0} | {3}


@dataclasses.dataclass(frozen=True)
class Case:
    fault: Callable[[GossipNetwork], set[int]]
    within_s: int
    loss: float = 0.0
    seeds: tuple[int, ...] = (1, 2, 3)


CASES = {
    "a VM fails": Case(kill_one, 30),
    "a VM fails while 15% of datagrams are lost": Case(kill_one, 60, 0.15),
    "a VM is cut off for an hour": Case(cut_one_for_an_hour, 90, seeds=(1,)),
    "a VM is paused": Case(pause_one, 60),
    "a failure domain vanishes and returns": Case(
        zone_vanishes_and_returns, 30
    ),
    "a failure domain vanishes while a VM is paused": Case(
        zone_vanishes_while_one_is_paused, 120
    ),
    "a VM is replaced during a partition": Case(replaced_during_partition, 180),
}


@pytest.mark.parametrize(
    ("case", "seed"),
    [
        pytest.param(case, seed, id=f"{name}, seed {seed}")
        for name, case in CASES.items()
        for seed in case.seeds
    ],
)
def test_views_agree_after_fault_and_others_are_not_disturbed(
    case: Case, seed: int
) -> None:
    network = fleet(seed, loss=case.loss)
    affected = case.fault(network)
    network.run_until_views_agree(case.within_s)
    ids = {member_record(index).node_id for index in affected} | {"new"}
    disturbed = [
        (observer, subject)
        for observer, subject in network.reported_deaths()
        if observer not in ids and subject not in ids
    ]
    assert disturbed == []


@pytest.mark.parametrize("fault", [cut_one_for_an_hour, pause_one])
def test_isolated_member_declares_nobody_dead(
    fault: Callable[[GossipNetwork], set[int]],
) -> None:
    """On return its false reports would make everybody suspect everybody."""
    network = fleet(seed=2)
    fault(network)
    isolated = member_record(4).node_id
    assert [
        pair for pair in network.reported_deaths() if pair[0] == isolated
    ] == []


def test_partition_of_an_hour_heals_without_storm() -> None:
    """Each side must not lose its own members, nor answer all at once."""
    network = fleet(seed=1)
    network.set_partition(only_zone_0)
    network.run(HOUR_S)
    healed_at = int(network.clock.monotonic())
    network.set_partition(None)
    network.run_until_views_agree(180)
    node_zone = {
        node.own.node_id: zone(key) == 0 for key, node in network.nodes.items()
    }
    same_side = [
        (observer, subject)
        for observer, subject in network.reported_deaths()
        if node_zone[observer] == node_zone[subject]
    ]
    assert same_side == []
    busiest = max(
        sum(network.sent_counts[key, second + i] for i in range(10))
        for key in network.nodes
        for second in range(healed_at, healed_at + 170)
    )
    assert busiest <= 10 * 12, "datagrams of one node in 10 s"


def test_no_live_member_is_declared_dead_under_loss() -> None:
    """Lost datagrams alone must not remove members."""
    network = fleet(7, loss=0.1)
    network.run(900)
    assert network.reported_deaths() == []


def test_leaving_member_is_gone_within_seconds() -> None:
    """G6: a node that leaves receives no new work after a few seconds."""
    network = fleet(5)
    leaver = network.nodes[address(4)]
    network.send(leaver.leave(), address(4))
    network.run(1)
    network.kill(address(4))
    network.run(4)
    for node in network.nodes.values():
        serving = {record.node_id for record in node.serving("taquilla")}
        assert leaver.own.node_id not in serving
    assert network.reported_deaths() == []


def test_draining_is_known_within_seconds() -> None:
    """G6: a draining node is not selected although it still answers probes."""
    network = fleet(5)
    network.send(
        network.nodes[address(4)].update_self(draining=True), address(4)
    )
    network.run(4)
    for node in network.nodes.values():
        assert len(node.serving("taquilla")) == len(network.nodes) - 1


def test_dead_member_is_found_again_by_probes_alone() -> None:
    """A node restarted during a platform outage knows no address."""
    network = fleet(6)
    network.kill(address(4))
    network.run_until_views_agree(60)
    network.add(member_record(4, domain="zone-1", incarnation=2))
    network.run_until_views_agree(60)


def test_dead_member_is_forgotten_after_its_retention() -> None:
    """Replaced VMs must not fill the view for ever."""
    network = GossipNetwork(1)
    parameters = MembershipParameters(dead_retention_s=60)
    for index in range(4):
        network.add(member_record(index), [address(0)], parameters)
    network.run_until_views_agree(30)
    network.kill(address(3))
    network.run(120)
    assert {len(node.members()) for node in network.nodes.values()} == {3}


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "pause", "resume", "cut", "heal"]),
        st.integers(0, 7),
        st.sampled_from([1, 5, 20, 90]),
    ),
    max_size=12,
)


@settings(deadline=None, derandomize=True, max_examples=60)
@given(STEPS, st.integers(0, 99))
def test_views_agree_after_any_schedule(
    steps: list[tuple[str, int, int]], seed: int
) -> None:
    """Faults in combination or twice must leave no view wrong for good."""
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
    # Groups that met nobody while they were alone join by an address.
    network.send(
        network.nodes[min(network.nodes)].join(sorted(network.nodes)),
        min(network.nodes),
    )
    network.loss = 0.0
    network.run_until_views_agree(200)
