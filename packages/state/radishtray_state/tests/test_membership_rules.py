"""Guards the rules by which one node changes its view."""

import dataclasses
import random

import pytest

from radishtray_state import (
    GossipKind,
    GossipMessage,
    ManualClock,
    MemberRecord,
    Membership,
    MemberState,
    ViewSummary,
)
from radishtray_testing import member_record

ALIVE, SUSPECT, DEAD, LEFT = MemberState
X = member_record(1)
SENDER = member_record(2)


def at(state: MemberState, version: int = 1, incarnation: int = 1):  # noqa: ANN201
    return dataclasses.replace(
        X, state=state, version=version, incarnation=incarnation
    )


def push(*updates: MemberRecord, summary: ViewSummary | None = None):  # noqa: ANN201
    return GossipMessage(
        SENDER.node_id, 1, GossipKind.PUSH, None, updates, 0, (), summary
    )


def node(*known: MemberRecord) -> tuple[Membership, ManualClock]:
    clock = ManualClock()
    membership = Membership(member_record(0), clock, random.Random(1))
    membership.preload(known)
    return membership, clock


MERGES = {
    "suspicion of the same version": (at(ALIVE), at(SUSPECT), at(SUSPECT)),
    "refutation": (at(SUSPECT), at(ALIVE, 2), at(ALIVE, 2)),
    "late suspicion": (at(ALIVE, 2), at(SUSPECT, 1), at(ALIVE, 2)),
    "death ends a suspicion": (at(SUSPECT), at(DEAD), at(DEAD)),
    "hearsay death of a live member": (at(ALIVE), at(DEAD), at(ALIVE)),
    "hearsay death of a later version": (at(ALIVE), at(DEAD, 4), at(ALIVE)),
    "death of an older incarnation": (
        at(ALIVE, 1, 2),
        at(DEAD, 9, 1),
        at(ALIVE, 1, 2),
    ),
    "death of a newer incarnation": (
        at(ALIVE, 1, 1),
        at(DEAD, 1, 2),
        at(DEAD, 1, 2),
    ),
    "dead stays dead at its version": (at(DEAD), at(ALIVE), at(DEAD)),
    "restart": (at(DEAD), at(ALIVE, 1, 2), at(ALIVE, 1, 2)),
    "left is final": (at(LEFT, 2), at(DEAD, 2), at(LEFT, 2)),
    "restart after leaving": (at(LEFT), at(ALIVE, 1, 2), at(ALIVE, 1, 2)),
}


@pytest.mark.parametrize("case", MERGES.values(), ids=MERGES.keys())
def test_record_replaces_another_only_by_rank(
    case: tuple[MemberRecord, MemberRecord, MemberRecord],
) -> None:
    known, heard, expected = case
    membership, _ = node(known)
    membership.receive(push(heard), SENDER.gossip_address)
    assert membership.get(X.node_id) == expected


def test_hearsay_death_is_checked_by_the_next_probe() -> None:
    """The subject must hear the claim, or its death is never refuted."""
    membership, clock = node(X, *(member_record(i) for i in range(2, 40)))
    membership.receive(push(at(DEAD)), SENDER.gossip_address)
    clock.advance(1.0)
    ping = membership.tick(clock.monotonic())[0]
    assert ping.address == X.gossip_address
    assert at(DEAD) in ping.message.updates


def test_claims_about_self_are_refuted_with_a_higher_version() -> None:
    membership, _ = node(X)
    own = membership.own
    claim = dataclasses.replace(own, state=DEAD, version=5)
    membership.receive(push(claim), SENDER.gossip_address)
    assert (membership.own.version, membership.own.state) == (6, ALIVE)


def test_higher_own_incarnation_is_reported_and_not_refuted() -> None:
    """Two processes with one node id would refute each other for ever."""
    membership, _ = node(X)
    claim = dataclasses.replace(membership.own, incarnation=7)
    membership.receive(push(claim), SENDER.gossip_address)
    assert membership.superseded_by == 7
    assert membership.own.incarnation == 1


def test_left_member_does_not_refute_its_departure() -> None:
    membership, _ = node(X)
    membership.leave()
    left = membership.own
    claim = dataclasses.replace(left, state=DEAD, version=9)
    membership.receive(push(claim), SENDER.gossip_address)
    assert membership.own == left


def test_successor_at_an_address_ends_its_predecessor() -> None:
    """A replaced VM keeps its address; its old name must not stay alive."""
    membership, _ = node(X)
    newer = dataclasses.replace(X, node_id="new", incarnation=2)
    membership.receive(push(newer), SENDER.gossip_address)
    assert membership.get(X.node_id) == at(DEAD)
    older = dataclasses.replace(X, node_id="old", incarnation=1)
    membership.receive(push(older), SENDER.gossip_address)
    old = membership.get("old")
    assert old is not None
    assert old.state is DEAD
    assert membership.serving("taquilla") == (membership.own, newer)


def test_pause_does_not_end_suspicions_before_refutations_are_read() -> None:
    """After a pause timers run before the socket is read."""
    membership, clock = node(X, SENDER)
    membership.tick(clock.monotonic())
    membership.receive(push(at(SUSPECT)), SENDER.gossip_address)
    clock.advance(600)
    membership.tick(clock.monotonic())
    assert membership.get(X.node_id) == at(SUSPECT)


def test_repair_datagrams_are_bounded() -> None:
    """After a partition every exchange differs; answers must not pile up."""
    membership, _ = node(*(member_record(i) for i in range(1, 2000)))
    empty = ViewSummary("", (0,) * 16, is_reply=False)
    sent = [
        datagram
        for _ in range(100)
        for datagram in membership.receive(
            push(summary=empty), SENDER.gossip_address
        )
    ]
    assert 0 < len(sent) <= 16
    assert sum(d.message.summary is None for d in sent) <= 8


def test_serving_list_is_rebuilt_only_after_a_change() -> None:
    """Request routing reads it for every call."""
    membership, _ = node(X)
    before = membership.serving("taquilla")
    membership.receive(push(SENDER), SENDER.gossip_address)
    after = membership.serving("taquilla")
    assert [r.node_id for r in after] == [r.node_id for r in before] + [
        SENDER.node_id
    ]
    assert membership.serving("taquilla") is after


def test_starting_node_learns_the_whole_view_and_keeps_it_to_itself() -> None:
    """Repair must not stall on parts of which one side knows a little.

    News about every member must not fill the datagrams of each new node.
    """
    records = [member_record(i) for i in range(3, 3000)]
    full, clock = node(*records)
    starting = Membership(member_record(2), clock, random.Random(2))
    starting.preload(records[::3])
    for _ in range(500):
        clock.advance(5.0)
        query = push(summary=starting.summary())
        waiting = [(full, query)]
        while waiting:
            receiver, message = waiting.pop(0)
            other = starting if receiver is full else full
            waiting += [
                (other, datagram.message)
                for datagram in receiver.receive(message, "10.9.9.9:1")
            ]
    assert starting.view_digest == full.view_digest
    clock.advance(60)
    sent = starting.tick(clock.monotonic())
    assert {r.node_id for d in sent for r in d.message.updates} <= {
        starting.own.node_id
    }


def test_a_higher_incarnation_is_adopted_only_upwards() -> None:
    membership, _ = node(X)
    own = membership.own
    with pytest.raises(ValueError, match="does not increase"):
        membership.adopt_incarnation(own.incarnation)
    membership.adopt_incarnation(own.incarnation + 7)
    assert membership.own.incarnation == own.incarnation + 7
    assert membership.own.version > own.version
    assert membership.superseded_by is None
