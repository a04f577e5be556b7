"""Membership by SWIM: probes, suspicion, piggybacked updates and repair."""

import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence

from radishtray_state._clock import Clock
from radishtray_state._gossip import (
    MAX_SUSPECT_NOTES,
    SUMMARY_TEXT_BYTES,
    Datagram,
    GossipKind,
    GossipMessage,
    SuspectNote,
    ViewSummary,
    message_head_bytes,
    total_bytes,
)
from radishtray_state._gossip_queue import GossipQueue
from radishtray_state._member import MemberChange, MemberRecord, MemberState
from radishtray_state._member_view import MemberView
from radishtray_state._membership_parameters import MembershipParameters
from radishtray_state._suspicions import Suspicions
from radishtray_state._view_repair import RepairBudget, differences, repair

_MAX_RELAYS = 64  # Open indirect probes on behalf of others.
_ISOLATION_PEERS = 3  # Below this, silence of all peers is their failure.

NO_RECORDS: tuple[MemberRecord, ...] = ()


def _ignore_change(_change: MemberChange) -> None:
    pass


def _ignore_generation(_sender: str, _generation: int) -> None:
    pass


def _ignore_suspects(_suspects: Sequence[SuspectNote]) -> None:
    pass


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    sent_at: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class _Relay:
    requester: str
    sequence: int
    target: str
    expires_at: float


class Membership:
    """The view that one node has of all nodes.

    The owner calls `tick` several times per probe interval and `receive` for
    each datagram, and sends what they return. Per second a node sends one
    probe, the answers to those that it receives, and a bounded number of
    repair datagrams, whatever the number of members.

    A report that a member is dead does not change the view while the node
    holds that member to be alive: the node probes it next. Otherwise the two
    sides of a healed partition would declare each other's live members dead.
    """

    __slots__ = (
        "_checks",
        "_clock",
        "_expiries",
        "_generation",
        "_last_heard_at",
        "_last_tick_at",
        "_next_dead_probe_at",
        "_next_digest_at",
        "_next_probe_at",
        "_on_change",
        "_on_generation",
        "_on_suspects",
        "_own",
        "_parameters",
        "_probe",
        "_queue",
        "_record_budget",
        "_relays",
        "_rng",
        "_saw_difference",
        "_sequence",
        "_summary_budget",
        "_superseded_by",
        "_suspects",
        "_suspicions",
        "_view",
    )

    def __init__(
        self,
        own: MemberRecord,
        clock: Clock,
        rng: random.Random,
        parameters: MembershipParameters | None = None,
        *,
        on_change: Callable[[MemberChange], None] = _ignore_change,
        on_generation: Callable[[str, int], None] = _ignore_generation,
        on_suspects: Callable[[Sequence[SuspectNote]], None] = _ignore_suspects,
    ) -> None:
        """Starts with a view that contains only the own node.

        Args:
            own: Record of the own node, alive.
            clock: Source of monotonic time.
            rng: Source of random choices.
            parameters: Intervals and bounds; the defaults if None.
            on_change: Called for every change of another member's record.
            on_generation: Called with a sender's node id and generation
                whenever that generation is higher than the own one.
            on_suspects: Called with the crash suspects of each message.
        """
        self._own = own
        self._clock = clock
        self._rng = rng
        self._parameters = parameters or MembershipParameters()
        self._on_change = on_change
        self._on_generation = on_generation
        self._on_suspects = on_suspects
        now = clock.monotonic()
        self._view = MemberView(own, rng)
        self._queue = GossipQueue(
            self._parameters.transmit_factor, self._view.get
        )
        self._suspicions = Suspicions()
        self._record_budget = RepairBudget(
            self._parameters.repair_datagrams_per_s,
            self._parameters.repair_burst,
            now,
        )
        self._summary_budget = RepairBudget(
            self._parameters.repair_summaries_per_s,
            self._parameters.repair_burst,
            now,
        )
        self._checks: dict[str, MemberRecord] = {}
        self._expiries: dict[str, float] = {}
        self._relays: dict[int, _Relay] = {}
        self._probe: _Probe | None = None
        self._sequence = 0
        self._generation = 0
        self._suspects: tuple[SuspectNote, ...] = ()
        self._superseded_by: int | None = None
        self._saw_difference = True
        self._last_tick_at = now
        self._last_heard_at = now
        # Random phases keep nodes that started together apart.
        self._next_probe_at = now + self._phase(
            self._parameters.probe_interval_s
        )
        self._next_digest_at = now + self._phase(
            self._parameters.catch_up_interval_s
        )
        self._next_dead_probe_at = now + self._phase(
            self._parameters.dead_probe_interval_s
        )
        self._queue.add(own.node_id)

    @property
    def own(self) -> MemberRecord:
        """Record of the own node."""
        return self._own

    @property
    def generation(self) -> int:
        """Configuration generation that the own node tells."""
        return self._generation

    @property
    def live_count(self) -> int:
        """Number of live members, the own node included."""
        return self._view.live_count

    @property
    def superseded_by(self) -> int | None:
        """Higher incarnation that others know for the own node id.

        The wall clock may have been set back before the own start; the owner
        must then start again with a higher incarnation.
        """
        return self._superseded_by

    @property
    def view_digest(self) -> int:
        """64-bit digest over the live members; equal at nodes that agree."""
        return self._view.digest.root

    def summary(self) -> ViewSummary:
        """Returns the top of the digest tree, as a digest exchange sends it."""
        return self._view.digest.summary("", is_reply=False)

    def members(self) -> list[MemberRecord]:
        """Returns all records, dead members and the own node included."""
        return list(self._view)

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node."""
        return self._view.get(node_id)

    def is_live_at(self, gossip_address: str) -> bool:
        """Returns whether a live member has the address."""
        return self._view.live_at(gossip_address) is not None

    def serving(self, service_name: str) -> tuple[MemberRecord, ...]:
        """Returns the members that take requests for a service.

        Suspected members are included. The tuple is the same object until one
        of these members changes.
        """
        return self._view.serving(service_name)

    def draw(self, count: int) -> list[MemberRecord]:
        """Returns up to count random live members other than the own node."""
        drawn = [
            self._view.get(node_id) for node_id in self._view.peers.draw(count)
        ]
        return [record for record in drawn if record is not None]

    def preload(self, records: Iterable[MemberRecord]) -> None:
        """Takes records without passing them on, from a list or a test."""
        for record in records:
            if record.node_id != self._own.node_id:
                self._view.put(record)

    def join(self, addresses: Iterable[str]) -> list[Datagram]:
        """Returns pings to addresses whose nodes are unknown."""
        return [
            self._ping(address, None, (self._own,))
            for address in addresses
            if address != self._own.gossip_address
        ]

    def update_self(
        self,
        *,
        service_name: str | None = None,
        slots: int | None = None,
        serving: bool | None = None,
        draining: bool | None = None,
    ) -> list[Datagram]:
        """Changes the own record and tells a few members at once."""
        own = self._own
        changed = dataclasses.replace(
            own,
            service_name=own.service_name
            if service_name is None
            else service_name,
            slots=own.slots if slots is None else slots,
            serving=own.serving if serving is None else serving,
            draining=own.draining if draining is None else draining,
        )
        if changed == own:
            return []
        self._renew_own(changed, own.version)
        return self._urgent_pushes()

    def leave(self) -> list[Datagram]:
        """Marks the own node as left and tells a few members at once."""
        if self._own.state is MemberState.LEFT:
            return []
        left = dataclasses.replace(
            self._own, state=MemberState.LEFT, serving=False, draining=True
        )
        self._renew_own(left, self._own.version)
        return self._urgent_pushes()

    def set_generation(self, generation: int) -> list[Datagram]:
        """Raises the generation to tell, and tells a few members at once.

        The pushes let a generation travel at the speed of the network instead
        of one hop per probe interval.
        """
        if generation <= self._generation:
            return []
        self._generation = generation
        return self._urgent_pushes()

    def set_suspects(self, suspects: Iterable[SuspectNote]) -> None:
        """Replaces the crash suspects to pass on; the first 8 are sent."""
        self._suspects = tuple(suspects)[:MAX_SUSPECT_NOTES]

    def tick(self, now: float) -> list[Datagram]:
        """Advances all timers.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Datagrams to send.
        """
        self._notice_stall(now)
        self._expire(now)
        sent: list[Datagram] = []
        self._advance_probe(now, sent)
        self._advance_dead_probe(now, sent)
        self._advance_digest(now, sent)
        return sent

    def receive(self, message: GossipMessage, source: str) -> list[Datagram]:
        """Takes a message and returns the datagrams that answer it.

        Args:
            message: Authentic message of another node.
            source: Address that it came from.
        """
        if message.sender == self._own.node_id:
            return []
        now = self._clock.monotonic()
        self._last_heard_at = now
        is_push = message.kind is GossipKind.PUSH
        for record in message.updates:
            # A starting node learns the whole view by repair; passing it on
            # would fill all its datagrams for hours with what others know.
            is_repair = is_push and record.node_id != message.sender
            self._merge(record, now, is_repair)
        if message.suspects:
            self._on_suspects(message.suspects)
        if message.generation > self._generation:
            self._on_generation(message.sender, message.generation)
        return self._answer(message, source, now)

    def _answer(
        self, message: GossipMessage, source: str, now: float
    ) -> list[Datagram]:
        if message.kind is GossipKind.PING:
            return [self._ack_ping(message, source)]
        if message.kind is GossipKind.ACK:
            return self._take_ack(message)
        if message.kind is GossipKind.PING_REQUEST:
            return self._relay_ping(message, source, now)
        if message.summary is not None:
            return self._repair(message.summary, source, now)
        return []

    # Probing.

    def _advance_probe(self, now: float, sent: list[Datagram]) -> None:
        probe = self._probe
        if probe is not None:
            waited = now - probe.sent_at
            if waited >= self._parameters.probe_interval_s:
                self._probe = None
                self._probe_failed(probe, now)
            elif waited >= self._parameters.ack_timeout_s:
                self._ask_others(probe, sent)
        if self._probe is None and now >= self._next_probe_at:
            self._start_probe(now, sent)

    def _start_probe(self, now: float, sent: list[Datagram]) -> None:
        interval = self._parameters.probe_interval_s
        self._next_probe_at = max(self._next_probe_at + interval, now)
        record, claim = self._next_target()
        if record is None:
            return
        datagram = self._ping(
            record.gossip_address, record.node_id, self._claims(claim)
        )
        self._probe = _Probe(record.node_id, datagram.message.sequence, now)
        sent.append(datagram)

    def _next_target(self) -> tuple[MemberRecord | None, MemberRecord | None]:
        """Returns whom to probe and what is claimed about it."""
        while self._checks:
            node_id, claim = next(iter(self._checks.items()))
            del self._checks[node_id]
            record = self._view.get(node_id)
            if record and record.is_live and claim.supersedes(record):
                return record, claim
        node_id = self._view.peers.next() or ""
        record = self._view.get(node_id)
        return record, record

    def _claims(self, record: MemberRecord | None) -> tuple[MemberRecord, ...]:
        """Returns what its subject must hear so that it can refute it."""
        if record is None or record.state is MemberState.ALIVE:
            return NO_RECORDS
        return (record,)

    def _ask_others(self, probe: _Probe, sent: list[Datagram]) -> None:
        if probe.indirect:
            return
        probe.indirect = True
        helpers = self._view.peers.draw(
            self._parameters.indirect_probes, skip=(probe.target,)
        )
        for node_id in helpers:
            helper = self._view.get(node_id)
            if helper is not None:
                sent.append(
                    self._compose(
                        helper.gossip_address,
                        GossipKind.PING_REQUEST,
                        probe.sequence,
                        probe.target,
                    )
                )

    def _probe_failed(self, probe: _Probe, now: float) -> None:
        record = self._view.get(probe.target)
        if record is None or record.state is not MemberState.ALIVE:
            return
        if self._is_isolated(probe):
            return
        self._accept(record.with_state(MemberState.SUSPECT), now, own=True)

    def _is_isolated(self, probe: _Probe) -> bool:
        """Returns whether the own node hears nobody.

        A node that is cut off would otherwise suspect every member and
        disturb all of them when it returns.
        """
        return (
            self._last_heard_at < probe.sent_at
            and len(self._view.peers) >= _ISOLATION_PEERS
        )

    def _advance_dead_probe(self, now: float, sent: list[Datagram]) -> None:
        if now < self._next_dead_probe_at:
            return
        interval = self._parameters.dead_probe_interval_s
        self._next_dead_probe_at = now + interval
        record = self._view.get(self._view.dead.next() or "")
        if record is not None:
            claims = (record, self._own)
            sent.append(
                self._ping(record.gossip_address, record.node_id, claims)
            )

    def _ack_ping(self, message: GossipMessage, source: str) -> Datagram:
        sender = self._view.get(message.sender)
        first = self._claims(sender)
        meant_other = message.target != self._own.node_id
        if sender is None or meant_other or not sender.is_live:
            first = (*first, self._own)
        return self._compose(
            source,
            GossipKind.ACK,
            message.sequence,
            self._own.node_id,
            first=first,
        )

    def _take_ack(self, message: GossipMessage) -> list[Datagram]:
        relay = self._relays.get(message.sequence)
        if relay is not None and relay.target == message.sender:
            del self._relays[message.sequence]
            return [
                self._compose(
                    relay.requester,
                    GossipKind.ACK,
                    relay.sequence,
                    relay.target,
                )
            ]
        probe = self._probe
        # A node that took over the address answers under its own name.
        if (
            probe is not None
            and probe.sequence == message.sequence
            and probe.target == message.target
        ):
            self._probe = None
        return []

    def _relay_ping(
        self, message: GossipMessage, source: str, now: float
    ) -> list[Datagram]:
        target = self._view.get(message.target or "")
        if target is None or target.node_id == self._own.node_id:
            return []
        self._drop_old_relays(now)
        if len(self._relays) >= _MAX_RELAYS:
            return []
        ping = self._ping(
            target.gossip_address, target.node_id, self._claims(target)
        )
        self._relays[ping.message.sequence] = _Relay(
            source,
            message.sequence,
            target.node_id,
            now + self._parameters.probe_interval_s,
        )
        return [ping]

    def _drop_old_relays(self, now: float) -> None:
        # Insertion order is the order of expiry.
        while self._relays:
            sequence, relay = next(iter(self._relays.items()))
            if relay.expires_at > now:
                return
            del self._relays[sequence]

    # Records.

    def _merge(self, record: MemberRecord, now: float, is_repair: bool) -> None:
        if record.node_id == self._own.node_id:
            self._hear_about_self(record)
            return
        current = self._view.get(record.node_id)
        if current is not None and not record.supersedes(current):
            return
        self._saw_difference = True
        if current is not None and self._needs_check(record, current):
            self._checks[record.node_id] = record
            return
        passes_on = current is not None or not is_repair
        self._accept(
            self._settle_address(record), now, own=False, passes_on=passes_on
        )

    def _needs_check(self, record: MemberRecord, current: MemberRecord) -> bool:
        return (
            record.state is MemberState.DEAD
            and current.state is MemberState.ALIVE
            and record.incarnation == current.incarnation
        )

    def _settle_address(self, record: MemberRecord) -> MemberRecord:
        """Decides between two nodes that claim one address."""
        holder = self._view.live_at(record.gossip_address)
        if (
            not record.is_live
            or holder is None
            or holder.node_id == record.node_id
        ):
            return record
        if holder.node_id != self._own.node_id and (
            record.incarnation,
            record.node_id,
        ) > (holder.incarnation, holder.node_id):
            self._replace(holder.with_state(MemberState.DEAD))
            return record
        return record.with_state(MemberState.DEAD)

    def _accept(
        self,
        record: MemberRecord,
        now: float,
        *,
        own: bool,
        passes_on: bool = True,
    ) -> None:
        known = self._view.get(record.node_id) is not None
        self._replace(record)
        if passes_on and (known or record.is_live):
            self._queue.add(record.node_id)
        if record.state is MemberState.SUSPECT:
            lasts = self._parameters.suspicion_s(self._view.live_count)
            self._suspicions.clear(record.node_id)
            self._suspicions.start(record.node_id, now + lasts, own)

    def _replace(self, record: MemberRecord) -> None:
        """Puts a record into the view and adjusts what depends on its state."""
        node_id = record.node_id
        change = self._view.put(record)
        if record.state is not MemberState.SUSPECT:
            self._suspicions.clear(node_id)
        self._expiries.pop(node_id, None)
        if not record.is_live:
            retention = self._parameters.dead_retention_s
            self._expiries[node_id] = self._clock.monotonic() + retention
        if change.before is not None or record.is_live:
            self._on_change(change)

    def _hear_about_self(self, record: MemberRecord) -> None:
        own = self._own
        if record.incarnation > own.incarnation:
            self._superseded_by = record.incarnation
            return
        if own.state is MemberState.LEFT or not record.supersedes(own):
            return
        self._renew_own(own, record.version)

    def adopt_incarnation(self, incarnation: int) -> list[Datagram]:
        """Takes a higher incarnation after another process used this node's id.

        Args:
            incarnation: Higher than that of every earlier process.

        Returns:
            What to send to other nodes.

        Raises:
            ValueError: If the incarnation does not increase.
        """
        if incarnation <= self._own.incarnation:
            raise ValueError(f"incarnation {incarnation} does not increase")
        self._superseded_by = None
        record = dataclasses.replace(self._own, incarnation=incarnation)
        self._renew_own(record, record.version)
        return self._urgent_pushes()

    def _renew_own(self, record: MemberRecord, version: int) -> None:
        self._own = dataclasses.replace(record, version=version + 1)
        self._view.put(self._own)
        self._queue.add(self._own.node_id)

    def _notice_stall(self, now: float) -> None:
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap < self._parameters.stall_s:
            return
        # Acks that arrived during the pause are still unread, so neither the
        # probe nor the suspicions of others had their time.
        self._probe = None
        self._suspicions.postpone(gap)
        self._saw_difference = True

    def _expire(self, now: float) -> None:
        for node_id, own in self._suspicions.expired(now):
            record = self._view.get(node_id)
            if record is None:
                continue
            self._replace(record.with_state(MemberState.DEAD))
            # Others run their own timers; one report per detection suffices.
            if own:
                self._queue.add(node_id)
            else:
                self._queue.discard(node_id)
        while self._expiries:
            node_id, expires_at = next(iter(self._expiries.items()))
            if expires_at > now:
                return
            del self._expiries[node_id]
            self._queue.discard(node_id)
            self._view.remove(node_id)

    # Repair.

    def _advance_digest(self, now: float, sent: list[Datagram]) -> None:
        if now < self._next_digest_at:
            return
        interval = (
            self._parameters.catch_up_interval_s
            if self._saw_difference
            else self._parameters.digest_interval_s
        )
        self._saw_difference = False
        self._next_digest_at = now + interval * self._rng.uniform(0.9, 1.1)
        for peer in self.draw(1):
            sent.append(self._push(peer.gossip_address, self.summary()))

    def _repair(
        self, summary: ViewSummary, source: str, now: float
    ) -> list[Datagram]:
        differing = differences(self._view, summary)
        if not differing:
            return []
        self._saw_difference = True
        sent: list[Datagram] = []
        pieces = repair(
            self._view, summary, differing, self._room(None), self._rng
        )
        for answer, records in pieces:
            is_summary = answer is not None
            if is_summary and self._summary_budget.spend(now):
                sent.append(self._push(source, answer))
            elif not is_summary and self._record_budget.spend(now):
                sent.append(self._push(source, None, records))
            elif not is_summary:
                break
        return sent

    # Sending.

    def _urgent_pushes(self) -> list[Datagram]:
        drawn = self.draw(self._parameters.urgent_pushes)
        return [self._push(peer.gossip_address) for peer in drawn]

    def _push(
        self,
        address: str,
        summary: ViewSummary | None = None,
        first: tuple[MemberRecord, ...] = NO_RECORDS,
    ) -> Datagram:
        return self._compose(
            address,
            GossipKind.PUSH,
            self._next_sequence(),
            None,
            first=first,
            summary=summary,
        )

    def _ping(
        self,
        address: str,
        target: str | None,
        first: tuple[MemberRecord, ...] = NO_RECORDS,
    ) -> Datagram:
        return self._compose(
            address,
            GossipKind.PING,
            self._next_sequence(),
            target,
            first=first,
        )

    def _compose(
        self,
        address: str,
        kind: GossipKind,
        sequence: int,
        target: str | None,
        *,
        first: tuple[MemberRecord, ...] = NO_RECORDS,
        summary: ViewSummary | None = None,
    ) -> Datagram:
        own = self._own
        room = self._room(target)
        if summary is not None:
            room -= SUMMARY_TEXT_BYTES
        # Refutations must not wait behind a backlog of other records.
        if (
            own.node_id in self._queue
            and own not in first
            and total_bytes((own, *first)) <= room
        ):
            first = (own, *first)
        updates = self._queue.take(room, self._view.live_count, first)
        message = GossipMessage(
            own.node_id,
            sequence,
            kind,
            target,
            updates,
            self._generation,
            self._suspects,
            summary,
        )
        return Datagram(address, message)

    def _room(self, target: str | None) -> int:
        """Returns the bytes that a datagram leaves for records."""
        return (
            self._parameters.max_datagram_bytes
            - self._parameters.envelope_bytes
            - message_head_bytes(self._own.node_id, target, len(self._suspects))
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _phase(self, interval: float) -> float:
        return self._rng.uniform(0.0, interval)
