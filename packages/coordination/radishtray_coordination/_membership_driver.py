"""Runs a node's gossip membership and maintains its domain's seeds object.

The seeds object of a failure domain lists gossip addresses of some of its
members, through which starting nodes join.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._candidates import candidate_rank, rank_candidates
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_protocol import (
    MAX_SEEDS,
    SEEDS_PREFIX,
    decode_seeds,
    encode_seeds,
    seeds_object_name,
)
from radishtray_state import Clock, Datagram, MemberRecord, Membership
from radishtray_transport import NotFound

_TICK_S = 0.2  # Must be shorter than the ack timeout of 0.4 s.
_JOIN_INTERVAL_S = 1.0
_MAX_JOIN_ADDRESSES = 4  # Pings per interval; some addresses may be stale.
# A failure domain of 290 nodes that start together makes 3 * 145 reads/s.
_START_JITTER_S = 2.0
_ALONE_CHECK_SPREAD_S = 1.0
# A restarted failure domain of 290 nodes makes 29 checks/s.
_JOINED_CHECK_SPREAD_S = 10.0
_FIRST_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 30.0
_FIRST_CHECK_INTERVAL_S = 5.0
_CHECK_INTERVAL_S = 60.0
_MAX_OTHER_SEEDS_READS = 4
_MAINTAINERS_PER_DOMAIN = 2  # 15 domains * 4 reads a minute make 1 read/s.
_RANK_CHECK_INTERVAL_S = 5.0
_RESTORE_CHECK_INTERVAL_S = 1.0


class MembershipDriver:
    """Advances the membership, joins other nodes and maintains seeds.

    A node without a live peer pings configured and stored addresses until a
    peer answers. A few members of each failure domain, chosen by rendezvous
    hashing, check its seeds object, in the end every minute. So does each node
    that sees that the platform has come back from an older copy, which may lack
    the object. A node that joins by its configured addresses makes no call. So
    the load on the platform depends on the number of failure domains, not on
    the number of nodes.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_closed",
        "_configured_addresses",
        "_empty_seeds_objects",
        "_handled_restore_count",
        "_membership",
        "_reactor",
        "_rng",
        "_send",
        "_store",
        "_stored_addresses",
        "_tasks",
        "_timer",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        *,
        membership: Membership,
        send: Callable[[Iterable[Datagram]], None],
        store: WatchableStore,
        seeds: Sequence[str] = (),
    ) -> None:
        """Creates the driver without starting it.

        Args:
            reactor: Schedules timers.
            clock: Monotonic time, the same as in the membership.
            rng: Random source of jitter.
            membership: The own node's view of the members.
            send: Sends datagrams, as `GossipSocket.send` does.
            store: Holds the seeds objects.
            seeds: Gossip addresses from the settings, with which the node can
                join while the platform is down.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._membership = membership
        self._send = send
        self._store = store
        self._configured_addresses = tuple(seeds)
        self._stored_addresses: tuple[str, ...] = ()
        self._empty_seeds_objects: set[str] = set()
        self._handled_restore_count = 0
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._timer: IDelayedCall | None = None
        self._closed = False
        self._tasks = (
            BackgroundTask(reactor, "joining", self._join_while_alone),
            BackgroundTask(reactor, "seeds object", self._maintain_seeds),
        )

    def start(self) -> None:
        """Starts all timers; the gossip socket must be open."""
        self._tick()
        for task in self._tasks:
            task.start()

    def close(self) -> None:
        """Stops, and notifies some members that the node is leaving."""
        if self._closed:
            return
        self._closed = True
        for task in self._tasks:
            task.close()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._send(self._membership.leave())

    def _tick(self) -> None:
        self._timer = self._reactor.callLater(_TICK_S, self._tick)
        self._send(self._membership.tick(self._clock.monotonic()))

    @property
    def _is_alone(self) -> bool:
        return self._membership.live_count == 1

    async def _join_while_alone(self) -> None:
        while True:
            if self._is_alone:
                addresses = sorted(
                    {*self._configured_addresses, *self._stored_addresses}
                )
                count = min(_MAX_JOIN_ADDRESSES, len(addresses))
                self._send_join_pings(self._rng.sample(addresses, count))
            await sleep(self._reactor, _JOIN_INTERVAL_S)

    def _send_join_pings(self, addresses: Iterable[str]) -> None:
        self._send(self._membership.join(addresses))

    async def _maintain_seeds(self) -> None:
        await sleep(self._reactor, self._rng.uniform(0, _START_JITTER_S))
        if self._is_alone:
            await self._read_initial_seeds()
        interval_s = _FIRST_CHECK_INTERVAL_S
        spread_s = (
            _ALONE_CHECK_SPREAD_S if self._is_alone else _JOINED_CHECK_SPREAD_S
        )
        await sleep(self._reactor, self._rng.uniform(0, spread_s))
        while True:
            rank = self._maintainer_rank
            restore_count = self._store.restore_count
            if rank is None and restore_count == self._handled_restore_count:
                await self._sleep_unless_restored(_RANK_CHECK_INTERVAL_S)
                continue
            is_done = await self._check_own_seeds(rank)
            if not is_done or self._is_alone:
                await sleep(self._reactor, self._backoff.next_delay_s())
                continue
            self._backoff.reset()
            self._handled_restore_count = restore_count
            if rank is None:
                continue
            jitter = self._rng.uniform(0.8, 1.2)
            await self._sleep_unless_restored(interval_s * jitter)
            interval_s = min(2 * interval_s, _CHECK_INTERVAL_S)

    async def _sleep_unless_restored(self, seconds: float) -> None:
        """Sleeps until the time is over or the store has lost objects."""
        end_s = self._reactor.seconds() + seconds
        while self._store.restore_count == self._handled_restore_count:
            left_s = end_s - self._reactor.seconds()
            if left_s <= 0:
                return
            await sleep(self._reactor, min(left_s, _RESTORE_CHECK_INTERVAL_S))

    @property
    def _maintainer_rank(self) -> int | None:
        """Position among the maintainers of the seeds object, or None.

        It is 0 for a node that knows no other member of its failure domain.
        """
        own = self._membership.own_record
        return candidate_rank(
            self._domain_members(),
            self._own_seeds_object,
            own.node_id,
            _MAINTAINERS_PER_DOMAIN,
        )

    def _domain_members(self) -> list[MemberRecord]:
        domain = self._membership.own_record.failure_domain
        return [
            member
            for member in self._membership.members()
            if member.failure_domain == domain
        ]

    async def _read_initial_seeds(self) -> None:
        """Reads the seeds of the own failure domain and of another one."""
        read = await self._read_seeds(self._own_seeds_object)
        self._store_and_ping_addresses(read[1] if read else ())
        await self._read_other_domain_seeds()

    async def _read_other_domain_seeds(self) -> None:
        """Reads the seeds of another failure domain, chosen at random.

        Without it, failure domains that start at the same time would not learn
        of each other. An object that lists no address, such as one of another
        writer, is passed over.
        """
        listing = await await_result(
            self._reactor, self._store.list(SEEDS_PREFIX)
        )
        if listing.is_error():
            return
        names = {item.name for item in listing.ok} - {self._own_seeds_object}
        self._empty_seeds_objects &= names
        if self._empty_seeds_objects == names:
            self._empty_seeds_objects.clear()
        untried = sorted(names - self._empty_seeds_objects)
        count = min(_MAX_OTHER_SEEDS_READS, len(untried))
        for name in self._rng.sample(untried, count):
            read = await self._read_seeds(name)
            if read is None:
                return
            if read[1]:
                # The objects that were empty may be replaced meanwhile.
                self._empty_seeds_objects.clear()
                self._store_and_ping_addresses(read[1])
                return
            self._empty_seeds_objects.add(name)

    @property
    def _own_seeds_object(self) -> str:
        return seeds_object_name(self._membership.own_record.failure_domain)

    def _store_and_ping_addresses(self, addresses: Iterable[str]) -> None:
        """Stores addresses for joining and pings those without a live member.

        Groups of nodes that formed separately during a platform outage merge
        through these pings.
        """
        addresses = tuple(addresses)
        self._stored_addresses = tuple(
            dict.fromkeys((*addresses, *self._stored_addresses))
        )[: 2 * MAX_SEEDS]
        self._send_join_pings(
            address
            for address in addresses
            if not self._membership.has_live_member_at(address)
        )

    async def _read_seeds(
        self, name: str
    ) -> tuple[int | None, tuple[str, ...]] | None:
        """Reads a seeds object.

        Returns:
            Its version (None if it does not exist) and its addresses; None if
            the platform did not answer.
        """
        result = await await_result(self._reactor, self._store.get(name))
        if result.is_error():
            not_found = isinstance(result.error, NotFound)
            return (None, ()) if not_found else None
        decoded = decode_seeds(result.ok.value)
        # An object that cannot be decoded counts as empty and is replaced.
        return result.ok.version, decoded.default_value(())

    async def _check_own_seeds(self, rank: int | None) -> bool:
        """Updates the seeds object of the own failure domain if necessary.

        Args:
            rank: Position among the maintainers; the first one also looks for
                members of other failure domains. None for another node.

        Returns:
            False if a platform call failed.
        """
        read = await self._read_seeds(self._own_seeds_object)
        if read is None:
            return False
        version, addresses = read
        self._store_and_ping_addresses(addresses)
        if rank == 0:
            await self._read_other_domain_seeds()
        # Leaves time for the pinged addresses to answer.
        await sleep(self._reactor, self._rng.uniform(1, 2))
        planned = self._planned_addresses(addresses)
        if planned == addresses:
            return True
        written = await await_result(
            self._reactor,
            self._store.put(
                self._own_seeds_object, encode_seeds(planned), version
            ),
        )
        return bool(written.is_ok())

    def _planned_addresses(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        """Drops addresses without a live member; adds those of live members.

        At most MAX_SEEDS are listed, and live ones that are listed stay.
        """
        live = [a for a in addresses if self._membership.has_live_member_at(a)]
        own = self._membership.own_record
        candidates = rank_candidates(
            self._domain_members(), self._own_seeds_object, MAX_SEEDS
        )
        for member in (own, *candidates):
            if member.gossip_address not in live and len(live) < MAX_SEEDS:
                live.append(member.gossip_address)
        return tuple(live)
