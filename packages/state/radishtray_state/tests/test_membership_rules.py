"""Tests the rules by which one node changes its view of the members."""

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
SUBJECT = member_record(1)
SENDER = member_record(2)


def subject(state: MemberState, version: int = 1, incarnation: int = 1):  # noqa: ANN201
    return dataclasses.replace(
        SUBJECT, state=state, version=version, incarnation=incarnation
    )


def push_message(*updates: MemberRecord, summary: ViewSummary | None = None):  # noqa: ANN201
    return GossipMessage(
        SENDER.node_id, 1, GossipKind.PUSH, None, updates, 0, (), summary
    )


def membership_with(*records: MemberRecord) -> tuple[Membership, ManualClock]:
    clock = ManualClock()
    membership = Membership(member_record(0), clock, random.Random(1))
    membership.preload(records)
    return membership, clock


MERGE_CASES = {
    "suspicion of the same version": (
        subject(ALIVE),
        subject(SUSPECT),
        subject(SUSPECT),
    ),
    "refutation": (subject(SUSPECT), subject(ALIVE, 2), subject(ALIVE, 2)),
    "late suspicion": (
        subject(ALIVE, 2),
        subject(SUSPECT, 1),
        subject(ALIVE, 2),
    ),
    "death ends a suspicion": (subject(SUSPECT), subject(DEAD), subject(DEAD)),
    "reported death of a live member": (
        subject(ALIVE),
        subject(DEAD),
        subject(ALIVE),
    ),
    "reported death of a later version": (
        subject(ALIVE),
        subject(DEAD, 4),
        subject(ALIVE),
    ),
    "death of an older incarnation": (
        subject(ALIVE, 1, 2),
        subject(DEAD, 9, 1),
        subject(ALIVE, 1, 2),
    ),
    "death of a newer incarnation": (
        subject(ALIVE, 1, 1),
        subject(DEAD, 1, 2),
        subject(DEAD, 1, 2),
    ),
    "dead stays dead at its version": (
        subject(DEAD),
        subject(ALIVE),
        subject(DEAD),
    ),
    "restart": (subject(DEAD), subject(ALIVE, 1, 2), subject(ALIVE, 1, 2)),
    "left is final": (subject(LEFT, 2), subject(DEAD, 2), subject(LEFT, 2)),
    "restart after leaving": (
        subject(LEFT),
        subject(ALIVE, 1, 2),
        subject(ALIVE, 1, 2),
    ),
}


@pytest.mark.parametrize("case", MERGE_CASES.values(), ids=MERGE_CASES.keys())
def test_record_supersedes_another_only_by_precedence(
    case: tuple[MemberRecord, MemberRecord, MemberRecord],
) -> None:
    known, received, expected = case
    membership, _ = membership_with(known)
    membership.receive(push_message(received), SENDER.gossip_address)
    assert membership.get(SUBJECT.node_id) == expected


def test_reported_death_is_verified_by_the_next_probe() -> None:
    """A live member that does not receive the claim can never refute it."""
    membership, clock = membership_with(
        SUBJECT, *(member_record(i) for i in range(2, 40))
    )
    membership.receive(push_message(subject(DEAD)), SENDER.gossip_address)
    clock.advance(1.0)
    ping = membership.tick(clock.monotonic())[0]
    assert ping.address == SUBJECT.gossip_address
    assert subject(DEAD) in ping.message.updates


def test_claims_about_self_are_refuted_with_a_higher_version() -> None:
    membership, _ = membership_with(SUBJECT)
    own = membership.own_record
    claim = dataclasses.replace(own, state=DEAD, version=5)
    membership.receive(push_message(claim), SENDER.gossip_address)
    assert (membership.own_record.version, membership.own_record.state) == (
        6,
        ALIVE,
    )


def test_higher_own_incarnation_is_reported_and_not_refuted() -> None:
    """Two processes with one node id would refute each other without end."""
    membership, _ = membership_with(SUBJECT)
    claim = dataclasses.replace(membership.own_record, incarnation=7)
    membership.receive(push_message(claim), SENDER.gossip_address)
    assert membership.superseded_by == 7
    assert membership.own_record.incarnation == 1


def test_left_member_does_not_refute_its_departure() -> None:
    membership, _ = membership_with(SUBJECT)
    membership.leave()
    left = membership.own_record
    claim = dataclasses.replace(left, state=DEAD, version=9)
    membership.receive(push_message(claim), SENDER.gossip_address)
    assert membership.own_record == left


def test_newer_node_replaces_the_older_one_at_its_address() -> None:
    """A replaced VM keeps its address, so its old node id would stay alive."""
    membership, _ = membership_with(SUBJECT)
    newer = dataclasses.replace(SUBJECT, node_id="new", incarnation=2)
    membership.receive(push_message(newer), SENDER.gossip_address)
    assert membership.get(SUBJECT.node_id) == subject(DEAD)
    older = dataclasses.replace(SUBJECT, node_id="old", incarnation=1)
    membership.receive(push_message(older), SENDER.gossip_address)
    old = membership.get("old")
    assert old is not None
    assert old.state is DEAD
    assert membership.members_serving("taquilla") == (
        membership.own_record,
        newer,
    )


def test_pause_does_not_end_suspicions_before_refutations_are_read() -> None:
    """After a pause, timers run before the socket is read.

    A suspicion would expire although its refutation is in the socket buffer.
    """
    membership, clock = membership_with(SUBJECT, SENDER)
    membership.tick(clock.monotonic())
    membership.receive(push_message(subject(SUSPECT)), SENDER.gossip_address)
    clock.advance(600)
    membership.tick(clock.monotonic())
    assert membership.get(SUBJECT.node_id) == subject(SUSPECT)


def test_repair_datagrams_are_bounded() -> None:
    """After a partition, every exchange finds differences.

    Without a limit, each would be answered by records and load the network.
    """
    membership, _ = membership_with(*(member_record(i) for i in range(1, 2000)))
    empty = ViewSummary("", (0,) * 16, is_reply=False)
    sent = [
        datagram
        for _ in range(100)
        for datagram in membership.receive(
            push_message(summary=empty), SENDER.gossip_address
        )
    ]
    assert 0 < len(sent) <= 16
    assert sum(d.message.summary is None for d in sent) <= 8


def test_serving_list_is_rebuilt_only_after_a_change() -> None:
    """Request routing reads it for every call, so it must be cached."""
    membership, _ = membership_with(SUBJECT)
    before = membership.members_serving("taquilla")
    membership.receive(push_message(SENDER), SENDER.gossip_address)
    after = membership.members_serving("taquilla")
    assert [r.node_id for r in after] == [r.node_id for r in before] + [
        SENDER.node_id
    ]
    assert membership.members_serving("taquilla") is after


def test_starting_node_learns_the_whole_view_and_does_not_gossip_it() -> None:
    """Guards against repair that stops early or that floods the gossip queue.

    Repair must also complete those parts of the tree of which the starting
    node has some records. Records learned by repair must not be gossiped,
    since they would fill the datagrams of each new node.
    """
    records = [member_record(i) for i in range(3, 3000)]
    full, clock = membership_with(*records)
    starting = Membership(member_record(2), clock, random.Random(2))
    starting.preload(records[::3])
    for _ in range(500):
        clock.advance(5.0)
        query = push_message(summary=starting.summary())
        undelivered = [(full, query)]
        while undelivered:
            receiver, message = undelivered.pop(0)
            other = starting if receiver is full else full
            undelivered += [
                (other, datagram.message)
                for datagram in receiver.receive(message, "10.9.9.9:1")
            ]
    assert starting.view_digest == full.view_digest
    clock.advance(60)
    sent = starting.tick(clock.monotonic())
    assert {r.node_id for d in sent for r in d.message.updates} <= {
        starting.own_record.node_id
    }


def test_adopted_incarnation_must_be_higher() -> None:
    membership, _ = membership_with(SUBJECT)
    own = membership.own_record
    with pytest.raises(ValueError, match="is not higher than"):
        membership.adopt_incarnation(own.incarnation)
    membership.adopt_incarnation(own.incarnation + 7)
    assert membership.own_record.incarnation == own.incarnation + 7
    assert membership.own_record.version > own.version
    assert membership.superseded_by is None
