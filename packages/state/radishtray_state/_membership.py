"""Membership by the SWIM protocol with digest-based anti-entropy.

Members are probed by direct and indirect pings; a member that does not answer
is suspected before it is declared dead. Changed records are piggybacked on all
messages, and differences that remain are repaired by comparing digest trees.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence

from radishtray_state._clock import Clock
from radishtray_state._gossip import (
    MAX_CRASH_SUSPECTS,
    MAX_SUMMARY_BYTES,
    CrashSuspectEntry,
    Datagram,
    GossipKind,
    GossipMessage,
    ViewSummary,
    max_message_head_bytes,
    total_record_bytes,
)
from radishtray_state._gossip_queue import GossipQueue
from radishtray_state._member import MemberChange, MemberRecord, MemberState
from radishtray_state._member_view import MemberView
from radishtray_state._membership_parameters import MembershipParameters
from radishtray_state._suspicions import SuspicionTimers
from radishtray_state._view_repair import (
    TokenBucket,
    differing_children,
    repair_answers,
)

_MAX_RELAYED_PINGS = 64  # Unanswered indirect probes on behalf of others.
# With fewer peers, silence of all of them counts as their failure and not as
# isolation of this node.
_MIN_PEERS_FOR_ISOLATION = 3

NO_RECORDS: tuple[MemberRecord, ...] = ()


def _ignore_change(_change: MemberChange) -> None:
    pass


def _ignore_generation(_sender: str, _generation: int) -> None:
    pass


def _ignore_crash_suspects(_suspects: Sequence[CrashSuspectEntry]) -> None:
    pass


@dataclasses.dataclass(slots=True)
class _Probe:
    """The ping of this node whose ack has not arrived yet."""

    target: str
    sequence: int
    sent_at: float
    ping_requests_sent: bool = False


@dataclasses.dataclass(slots=True)
class _RelayedPing:
    """A ping sent for another member, to which the ack is passed on.

    Attributes:
        requester: Gossip address of the member that requested the ping.
        sequence: Sequence number of the request, which the ack must have.
        target: Node id of the pinged member.
        expires_at: Monotonic time from which this entry may be removed.
    """

    requester: str
    sequence: int
    target: str
    expires_at: float


class Membership:
    """SWIM state of one node: its view of all members and its timers.

    The owner calls `tick` several times per probe interval and `receive` for
    each datagram, and sends the datagrams that they return. Per second a node
    sends one probe, the answers to probes that it receives, and a bounded
    number of repair datagrams, independent of the number of members.

    A report that a member is dead does not change the view while the member is
    alive in the view. The node probes the member next instead. Otherwise the
    two sides of a healed partition would declare each other's live members
    dead.
    """

    __slots__ = (
        "_clock",
        "_crash_suspects",
        "_generation",
        "_last_heartbeat_at",
        "_last_received_at",
        "_last_sequence",
        "_last_tick_at",
        "_next_dead_probe_at",
        "_next_digest_at",
        "_next_probe_at",
        "_on_change",
        "_on_crash_suspects",
        "_on_generation",
        "_own_record",
        "_parameters",
        "_probe",
        "_queue",
        "_record_bucket",
        "_relayed_pings",
        "_retention_deadlines",
        "_rng",
        "_saw_difference",
        "_summary_bucket",
        "_superseded_by",
        "_suspicion_timers",
        "_unverified_deaths",
        "_view",
    )

    def __init__(
        self,
        own_record: MemberRecord,
        clock: Clock,
        rng: random.Random,
        parameters: MembershipParameters | None = None,
        *,
        on_change: Callable[[MemberChange], None] = _ignore_change,
        on_generation: Callable[[str, int], None] = _ignore_generation,
        on_crash_suspects: Callable[
            [Sequence[CrashSuspectEntry]], None
        ] = _ignore_crash_suspects,
    ) -> None:
        """Initializes a view that contains only this node.

        Args:
            own_record: Record of this node, in state ALIVE.
            clock: Source of monotonic time.
            rng: Random generator for targets, peers and timer phases.
            parameters: Intervals and limits; the defaults if None.
            on_change: Called for every change of another member's record.
            on_generation: Called with a sender's node id and generation
                whenever that generation is higher than its own.
            on_crash_suspects: Called with the crash suspects of each message
                that has some.
        """
        self._own_record = own_record
        self._clock = clock
        self._rng = rng
        self._parameters = parameters or MembershipParameters()
        self._on_change = on_change
        self._on_generation = on_generation
        self._on_crash_suspects = on_crash_suspects
        now = clock.monotonic()
        self._view = MemberView(own_record, rng)
        self._queue = GossipQueue(
            self._parameters.transmit_factor, self._view.get
        )
        self._suspicion_timers = SuspicionTimers()
        self._record_bucket = TokenBucket(
            self._parameters.repair_datagrams_per_s,
            self._parameters.repair_burst_datagrams,
            now,
        )
        self._summary_bucket = TokenBucket(
            self._parameters.repair_summaries_per_s,
            self._parameters.repair_burst_datagrams,
            now,
        )
        self._unverified_deaths: dict[str, MemberRecord] = {}
        self._retention_deadlines: dict[str, float] = {}
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._probe: _Probe | None = None
        self._last_sequence = 0
        self._generation = 0
        self._crash_suspects: tuple[CrashSuspectEntry, ...] = ()
        self._superseded_by: int | None = None
        self._saw_difference = True
        self._last_tick_at = now
        self._last_received_at = now
        self._last_heartbeat_at: float | None = None
        # Random phases keep nodes that start together from sending in step.
        self._next_probe_at = now + self._random_phase_s(
            self._parameters.probe_interval_s
        )
        self._next_digest_at = now + self._random_phase_s(
            self._parameters.catch_up_interval_s
        )
        self._next_dead_probe_at = now + self._random_phase_s(
            self._parameters.dead_probe_interval_s
        )
        self._queue.add(own_record.node_id)

    @property
    def own_record(self) -> MemberRecord:
        """Record of this node."""
        return self._own_record

    @property
    def generation(self) -> int:
        """Configuration generation that this node advertises."""
        return self._generation

    @property
    def live_count(self) -> int:
        """Number of live members, this node included."""
        return self._view.live_count

    @property
    def superseded_by(self) -> int | None:
        """Higher incarnation that other members have for this node's id.

        None if there is none. It can appear when the wall clock was set back
        before this node started. The owner must then continue with a still
        higher incarnation.
        """
        return self._superseded_by

    @property
    def silence_s(self) -> float:
        """Seconds since a message of another member was received."""
        return self._clock.monotonic() - self._last_received_at

    @property
    def heartbeat_age_s(self) -> float | None:
        """Seconds since the last heartbeat; None before the first one."""
        if self._last_heartbeat_at is None:
            return None
        return self._clock.monotonic() - self._last_heartbeat_at

    @property
    def view_digest(self) -> int:
        """64-bit digest over the live members; equal if views agree."""
        return self._view.digest.root_digest

    def summary(self) -> ViewSummary:
        """Returns the top-level digests, which start a digest exchange."""
        return self._view.digest.summary("", is_reply=False)

    def members(self) -> list[MemberRecord]:
        """Returns all records, dead members and this node included."""
        return list(self._view)

    def get(self, node_id: str) -> MemberRecord | None:
        """Returns the record of a node; None if it is unknown."""
        return self._view.get(node_id)

    def has_live_member_at(self, gossip_address: str) -> bool:
        """Returns whether a live member has the address."""
        return self._view.live_member_at(gossip_address) is not None

    def members_serving(self, service_name: str) -> tuple[MemberRecord, ...]:
        """Returns the members that accept requests for a service.

        Suspected members are included. The tuple is the same object until one
        of these members changes.
        """
        return self._view.members_serving(service_name)

    def sample_live_peers(self, count: int) -> list[MemberRecord]:
        """Returns up to count random live members other than this node."""
        sampled = [
            self._view.get(node_id)
            for node_id in self._view.live_peers.sample(count)
        ]
        return [record for record in sampled if record is not None]

    def sample_by_domain(self, per_other_domain: int) -> list[MemberRecord]:
        """Returns members that spread a change to the whole fleet quickly.

        Args:
            per_other_domain: Random live members of each other failure domain.

        Returns:
            These, and all live members of the own failure domain.
        """
        by_domain: dict[str, list[MemberRecord]] = {}
        for member in self._view:
            if member.is_live:
                by_domain.setdefault(member.failure_domain, []).append(member)
        sampled = by_domain.pop(self._own_record.failure_domain, [])
        for members in by_domain.values():
            count = min(per_other_domain, len(members))
            sampled += self._rng.sample(members, count)
        return sampled

    def preload(self, records: Iterable[MemberRecord]) -> None:
        """Adds records of other members without gossiping them."""
        for record in records:
            if record.node_id != self._own_record.node_id:
                self._view.put(record)

    def join(self, addresses: Iterable[str]) -> list[Datagram]:
        """Returns pings that announce this node to addresses.

        The nodes at the addresses need not be known.
        """
        return [
            self._ping_datagram(address, None, (self._own_record,))
            for address in addresses
            if address != self._own_record.gossip_address
        ]

    def update_own_record(
        self,
        *,
        service_name: str | None = None,
        slots: int | None = None,
        serving: bool | None = None,
        draining: bool | None = None,
        platform_lost: bool | None = None,
        failure_percent: int | None = None,
        upstream_digest: int | None = None,
    ) -> list[Datagram]:
        """Changes the record of this node and pushes it to a few members.

        Arguments that are None leave their field as it is.
        """
        own = self._own_record
        changed = dataclasses.replace(
            own,
            service_name=own.service_name
            if service_name is None
            else service_name,
            slots=own.slots if slots is None else slots,
            serving=own.serving if serving is None else serving,
            draining=own.draining if draining is None else draining,
            platform_lost=own.platform_lost
            if platform_lost is None
            else platform_lost,
            failure_percent=own.failure_percent
            if failure_percent is None
            else failure_percent,
            upstream_digest=own.upstream_digest
            if upstream_digest is None
            else upstream_digest,
        )
        if changed == own:
            return []
        self._replace_own_record(changed, own.version)
        return self._urgent_push_datagrams()

    def leave(self) -> list[Datagram]:
        """Marks this node as left and pushes this to a few members."""
        if self._own_record.state is MemberState.LEFT:
            return []
        left = dataclasses.replace(
            self._own_record,
            state=MemberState.LEFT,
            serving=False,
            draining=True,
        )
        self._replace_own_record(left, self._own_record.version)
        return self._urgent_push_datagrams()

    def set_generation(self, generation: int) -> list[Datagram]:
        """Raises the advertised generation and pushes it to a few members.

        Without the pushes a generation would spread by one hop per probe
        interval.
        """
        if generation <= self._generation:
            return []
        self._generation = generation
        return self._urgent_push_datagrams()

    def generation_pushes(
        self, members: Iterable[MemberRecord]
    ) -> list[Datagram]:
        """Returns messages that tell members this node's generation."""
        return [
            self._push_datagram(member.gossip_address)
            for member in members
            if member.node_id != self._own_record.node_id
        ]

    def heartbeats(self, members: Iterable[MemberRecord]) -> list[Datagram]:
        """Returns messages that tell members that this node does its role.

        They carry no records, whose transmissions are limited in number.
        """
        own = self._own_record
        return [
            Datagram(
                member.gossip_address,
                GossipMessage(
                    own.node_id,
                    self._next_sequence(),
                    GossipKind.HEARTBEAT,
                    None,
                    NO_RECORDS,
                    self._generation,
                    (),
                ),
            )
            for member in members
            if member.node_id != own.node_id
        ]

    def own_record_pushes(
        self, members: Iterable[MemberRecord]
    ) -> list[Datagram]:
        """Returns messages that tell members this node's record."""
        return [
            self._push_datagram(
                member.gossip_address, required=(self._own_record,)
            )
            for member in members
            if member.node_id != self._own_record.node_id
        ]

    def set_crash_suspects(
        self, crash_suspects: Iterable[CrashSuspectEntry]
    ) -> None:
        """Replaces the crash suspects to gossip; only the first 8 are sent."""
        self._crash_suspects = tuple(crash_suspects)[:MAX_CRASH_SUSPECTS]

    def tick(self, now: float) -> list[Datagram]:
        """Runs what is due: expiries, probes and digest exchanges.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Datagrams to send.
        """
        self._detect_pause(now)
        self._expire_timers(now)
        outgoing: list[Datagram] = []
        self._advance_probe(now, outgoing)
        self._advance_dead_probe(now, outgoing)
        self._advance_digest_exchange(now, outgoing)
        return outgoing

    def receive(self, message: GossipMessage, source: str) -> list[Datagram]:
        """Processes a message and returns the datagrams to send in response.

        Args:
            message: Message whose authenticity has been verified.
            source: Gossip address that it came from.
        """
        if message.sender == self._own_record.node_id:
            return []
        now = self._clock.monotonic()
        self._last_received_at = now
        is_push = message.kind is GossipKind.PUSH
        for record in message.updates:
            # A starting node learns the whole view by repair. If it gossiped
            # these records, they would fill its datagrams for hours, although
            # the other members have them.
            learned_by_repair = is_push and record.node_id != message.sender
            self._merge_record(record, now, learned_by_repair)
        if message.suspects:
            self._on_crash_suspects(message.suspects)
        if message.generation > self._generation:
            self._on_generation(message.sender, message.generation)
        return self._handle_message(message, source, now)

    def _handle_message(
        self, message: GossipMessage, source: str, now: float
    ) -> list[Datagram]:
        if message.kind is GossipKind.PING:
            return [self._ack_ping(message, source)]
        if message.kind is GossipKind.ACK:
            return self._handle_ack(message)
        if message.kind is GossipKind.PING_REQUEST:
            return self._relay_ping(message, source, now)
        if message.kind is GossipKind.HEARTBEAT:
            self._last_heartbeat_at = now
        elif message.summary is not None:
            return self._answer_summary(message.summary, source, now)
        return []

    # Probing.

    def _advance_probe(self, now: float, outgoing: list[Datagram]) -> None:
        probe = self._probe
        if probe is not None:
            waited_s = now - probe.sent_at
            if waited_s >= self._parameters.probe_interval_s:
                self._probe = None
                self._suspect_target(probe, now)
            elif waited_s >= self._parameters.ack_timeout_s:
                self._send_ping_requests(probe, outgoing)
        if self._probe is None and now >= self._next_probe_at:
            self._start_probe(now, outgoing)

    def _start_probe(self, now: float, outgoing: list[Datagram]) -> None:
        interval_s = self._parameters.probe_interval_s
        self._next_probe_at = max(self._next_probe_at + interval_s, now)
        record, claim = self._next_probe_target()
        if record is None:
            return
        datagram = self._ping_datagram(
            record.gossip_address, record.node_id, self._claims_to_refute(claim)
        )
        self._probe = _Probe(record.node_id, datagram.message.sequence, now)
        outgoing.append(datagram)

    def _next_probe_target(
        self,
    ) -> tuple[MemberRecord | None, MemberRecord | None]:
        """Returns the record of the next target and the claim to send to it.

        Members that were reported dead come first.
        """
        while self._unverified_deaths:
            node_id, claim = next(iter(self._unverified_deaths.items()))
            del self._unverified_deaths[node_id]
            record = self._view.get(node_id)
            if record and record.is_live and claim.supersedes(record):
                return record, claim
        node_id = self._view.live_peers.next() or ""
        record = self._view.get(node_id)
        return record, record

    def _claims_to_refute(
        self, record: MemberRecord | None
    ) -> tuple[MemberRecord, ...]:
        """Returns the record, unless ALIVE, for its subject to refute it."""
        if record is None or record.state is MemberState.ALIVE:
            return NO_RECORDS
        return (record,)

    def _send_ping_requests(
        self, probe: _Probe, outgoing: list[Datagram]
    ) -> None:
        if probe.ping_requests_sent:
            return
        probe.ping_requests_sent = True
        helpers = self._view.live_peers.sample(
            self._parameters.indirect_probes, excluded=(probe.target,)
        )
        for node_id in helpers:
            helper = self._view.get(node_id)
            if helper is not None:
                outgoing.append(
                    self._build_datagram(
                        helper.gossip_address,
                        GossipKind.PING_REQUEST,
                        probe.sequence,
                        probe.target,
                    )
                )

    def _suspect_target(self, probe: _Probe, now: float) -> None:
        record = self._view.get(probe.target)
        if record is None or record.state is not MemberState.ALIVE:
            return
        if self._is_isolated(probe):
            return
        self._accept_record(
            record.with_state(MemberState.SUSPECT), now, detected_locally=True
        )

    def _is_isolated(self, probe: _Probe) -> bool:
        """Returns whether this node received nothing since the probe.

        A node that is cut off would otherwise suspect every member, and all of
        them would have to refute this when it is connected again.
        """
        return (
            self._last_received_at < probe.sent_at
            and len(self._view.live_peers) >= _MIN_PEERS_FOR_ISOLATION
        )

    def _advance_dead_probe(self, now: float, outgoing: list[Datagram]) -> None:
        if now < self._next_dead_probe_at:
            return
        interval_s = self._parameters.dead_probe_interval_s
        self._next_dead_probe_at = now + interval_s
        record = self._view.get(self._view.dead_members.next() or "")
        if record is not None:
            claims = (record, self._own_record)
            outgoing.append(
                self._ping_datagram(
                    record.gossip_address, record.node_id, claims
                )
            )

    def _ack_ping(self, message: GossipMessage, source: str) -> Datagram:
        sender = self._view.get(message.sender)
        required = self._claims_to_refute(sender)
        is_for_other = message.target != self._own_record.node_id
        if sender is None or is_for_other or not sender.is_live:
            required = (*required, self._own_record)
        return self._build_datagram(
            source,
            GossipKind.ACK,
            message.sequence,
            self._own_record.node_id,
            required=required,
        )

    def _handle_ack(self, message: GossipMessage) -> list[Datagram]:
        relayed = self._relayed_pings.get(message.sequence)
        if relayed is not None and relayed.target == message.sender:
            del self._relayed_pings[message.sequence]
            return [
                self._build_datagram(
                    relayed.requester,
                    GossipKind.ACK,
                    relayed.sequence,
                    relayed.target,
                )
            ]
        probe = self._probe
        # The target is compared too: if another node took over the address,
        # its ack has the id of that node as the target.
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
        if target is None or target.node_id == self._own_record.node_id:
            return []
        self._drop_expired_relayed_pings(now)
        if len(self._relayed_pings) >= _MAX_RELAYED_PINGS:
            return []
        ping = self._ping_datagram(
            target.gossip_address,
            target.node_id,
            self._claims_to_refute(target),
        )
        self._relayed_pings[ping.message.sequence] = _RelayedPing(
            source,
            message.sequence,
            target.node_id,
            now + self._parameters.probe_interval_s,
        )
        return [ping]

    def _drop_expired_relayed_pings(self, now: float) -> None:
        # All expire after the same time, so insertion order is expiry order.
        while self._relayed_pings:
            sequence, relayed = next(iter(self._relayed_pings.items()))
            if relayed.expires_at > now:
                return
            del self._relayed_pings[sequence]

    # Records.

    def _merge_record(
        self, record: MemberRecord, now: float, learned_by_repair: bool
    ) -> None:
        if record.node_id == self._own_record.node_id:
            self._handle_claim_about_self(record)
            return
        current = self._view.get(record.node_id)
        if current is not None and not record.supersedes(current):
            return
        self._saw_difference = True
        if current is not None and self._needs_probe(record, current):
            self._unverified_deaths[record.node_id] = record
            return
        forward = current is not None or not learned_by_repair
        self._accept_record(
            self._resolve_address_conflict(record),
            now,
            detected_locally=False,
            forward=forward,
        )

    def _needs_probe(self, record: MemberRecord, current: MemberRecord) -> bool:
        return (
            record.state is MemberState.DEAD
            and current.state is MemberState.ALIVE
            and record.incarnation == current.incarnation
        )

    def _resolve_address_conflict(self, record: MemberRecord) -> MemberRecord:
        """Declares one of two live nodes with the same gossip address dead.

        The node with the higher incarnation stays live, or the one with the
        higher node id if these are equal. This node itself always stays live.

        Returns:
            The record, in state DEAD if the other node stays live.
        """
        known = self._view.live_member_at(record.gossip_address)
        if (
            not record.is_live
            or known is None
            or known.node_id == record.node_id
        ):
            return record
        if known.node_id != self._own_record.node_id and (
            record.incarnation,
            record.node_id,
        ) > (known.incarnation, known.node_id):
            self._replace_record(known.with_state(MemberState.DEAD))
            return record
        return record.with_state(MemberState.DEAD)

    def _accept_record(
        self,
        record: MemberRecord,
        now: float,
        *,
        detected_locally: bool,
        forward: bool = True,
    ) -> None:
        was_known = self._view.get(record.node_id) is not None
        self._replace_record(record)
        if forward and (was_known or record.is_live):
            self._queue.add(record.node_id)
        if record.state is MemberState.SUSPECT:
            timeout_s = self._parameters.suspicion_timeout_s(
                self._view.live_count
            )
            self._suspicion_timers.cancel(record.node_id)
            self._suspicion_timers.start(
                record.node_id, now + timeout_s, detected_locally
            )

    def _replace_record(self, record: MemberRecord) -> None:
        """Puts a record into the view and updates the timers of the member."""
        node_id = record.node_id
        change = self._view.put(record)
        if record.state is not MemberState.SUSPECT:
            self._suspicion_timers.cancel(node_id)
        self._retention_deadlines.pop(node_id, None)
        if not record.is_live:
            retention_s = self._parameters.dead_retention_s
            self._retention_deadlines[node_id] = (
                self._clock.monotonic() + retention_s
            )
        if change.before is not None or record.is_live:
            self._on_change(change)

    def _handle_claim_about_self(self, record: MemberRecord) -> None:
        own = self._own_record
        if record.incarnation > own.incarnation:
            self._superseded_by = record.incarnation
            return
        if own.state is MemberState.LEFT or not record.supersedes(own):
            return
        self._replace_own_record(own, record.version)

    def adopt_incarnation(self, incarnation: int) -> list[Datagram]:
        """Raises the incarnation after another process used this node's id.

        Args:
            incarnation: Incarnation higher than that of every earlier process.

        Returns:
            Datagrams to send.

        Raises:
            ValueError: If the incarnation is not higher than the current one.
        """
        if incarnation <= self._own_record.incarnation:
            raise ValueError(
                f"incarnation {incarnation} is not higher than the current one"
            )
        self._superseded_by = None
        record = dataclasses.replace(self._own_record, incarnation=incarnation)
        self._replace_own_record(record, record.version)
        return self._urgent_push_datagrams()

    def _replace_own_record(
        self, record: MemberRecord, version_to_exceed: int
    ) -> None:
        self._own_record = dataclasses.replace(
            record, version=version_to_exceed + 1
        )
        self._view.put(self._own_record)
        self._queue.add(self._own_record.node_id)

    def _detect_pause(self, now: float) -> None:
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s < self._parameters.pause_threshold_s:
            return
        # Acks and refutations that arrived during the pause are still unread,
        # so the pause must not count as time without an answer.
        self._probe = None
        self._suspicion_timers.postpone_all(gap_s)
        self._saw_difference = True

    def _expire_timers(self, now: float) -> None:
        for node_id, detected_locally in self._suspicion_timers.pop_expired(
            now
        ):
            record = self._view.get(node_id)
            if record is None:
                continue
            self._replace_record(record.with_state(MemberState.DEAD))
            # Other members run timers of their own, so it is enough that the
            # node that detected the failure reports the death.
            if detected_locally:
                self._queue.add(node_id)
            else:
                self._queue.discard(node_id)
        while self._retention_deadlines:
            node_id, expires_at = next(iter(self._retention_deadlines.items()))
            if expires_at > now:
                return
            del self._retention_deadlines[node_id]
            self._queue.discard(node_id)
            self._view.remove(node_id)

    # Repair.

    def _advance_digest_exchange(
        self, now: float, outgoing: list[Datagram]
    ) -> None:
        if now < self._next_digest_at:
            return
        interval_s = (
            self._parameters.catch_up_interval_s
            if self._saw_difference
            else self._parameters.digest_interval_s
        )
        self._saw_difference = False
        self._next_digest_at = now + interval_s * self._rng.uniform(0.9, 1.1)
        for peer in self.sample_live_peers(1):
            outgoing.append(
                self._push_datagram(peer.gossip_address, self.summary())
            )

    def _answer_summary(
        self, summary: ViewSummary, source: str, now: float
    ) -> list[Datagram]:
        children = differing_children(self._view, summary)
        if not children:
            return []
        self._saw_difference = True
        outgoing: list[Datagram] = []
        answers = repair_answers(
            self._view,
            summary,
            children,
            self._available_record_bytes(None),
            self._rng,
        )
        for own_summary, records in answers:
            is_summary = own_summary is not None
            if is_summary and self._summary_bucket.try_take(now):
                outgoing.append(self._push_datagram(source, own_summary))
            elif not is_summary and self._record_bucket.try_take(now):
                outgoing.append(self._push_datagram(source, None, records))
            elif not is_summary:
                break
        return outgoing

    # Sending.

    def _urgent_push_datagrams(self) -> list[Datagram]:
        peers = self.sample_live_peers(self._parameters.urgent_pushes)
        return [self._push_datagram(peer.gossip_address) for peer in peers]

    def _push_datagram(
        self,
        address: str,
        summary: ViewSummary | None = None,
        required: tuple[MemberRecord, ...] = NO_RECORDS,
    ) -> Datagram:
        return self._build_datagram(
            address,
            GossipKind.PUSH,
            self._next_sequence(),
            None,
            required=required,
            summary=summary,
        )

    def _ping_datagram(
        self,
        address: str,
        target: str | None,
        required: tuple[MemberRecord, ...] = NO_RECORDS,
    ) -> Datagram:
        return self._build_datagram(
            address,
            GossipKind.PING,
            self._next_sequence(),
            target,
            required=required,
        )

    def _build_datagram(
        self,
        address: str,
        kind: GossipKind,
        sequence: int,
        target: str | None,
        *,
        required: tuple[MemberRecord, ...] = NO_RECORDS,
        summary: ViewSummary | None = None,
    ) -> Datagram:
        own = self._own_record
        available_bytes = self._available_record_bytes(target)
        if summary is not None:
            available_bytes -= MAX_SUMMARY_BYTES
        # The record of this node may be a refutation, which must not wait
        # behind other queued records.
        if (
            own.node_id in self._queue
            and own not in required
            and total_record_bytes((own, *required)) <= available_bytes
        ):
            required = (own, *required)
        updates = self._queue.take(
            available_bytes, self._view.live_count, required
        )
        message = GossipMessage(
            own.node_id,
            sequence,
            kind,
            target,
            updates,
            self._generation,
            self._crash_suspects,
            summary,
        )
        return Datagram(address, message)

    def _available_record_bytes(self, target: str | None) -> int:
        """Returns the size of a datagram that is left for records."""
        return (
            self._parameters.max_datagram_bytes
            - self._parameters.envelope_bytes
            - max_message_head_bytes(
                self._own_record.node_id, target, len(self._crash_suspects)
            )
        )

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence

    def _random_phase_s(self, interval_s: float) -> float:
        return self._rng.uniform(0.0, interval_s)
