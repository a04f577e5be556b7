"""Runs a node's membership: ticks, bootstrap and the seeds object."""

import random
from collections.abc import Callable, Iterable, Sequence

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from radishtray_coordination._background import Background
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, call, sleep
from radishtray_protocol import (
    MAX_SEEDS,
    SEEDS_PREFIX,
    decode_seeds,
    encode_seeds,
    seeds_object_name,
)
from radishtray_state import Clock, Datagram, Membership
from radishtray_transport import NotFound

_TICK_S = 0.2  # Fine enough for an ack timeout of 0.4 s.
_JOIN_INTERVAL_S = 1.0
_JOIN_ADDRESSES = 4  # Pings per interval to addresses that may be stale.
_START_JITTER_S = 2.0  # A failure domain of 290 nodes makes 3 * 145 reads/s.
_LONE_SPREAD_S = 1.0
_CHECK_SPREAD_S = 10.0  # A restarted domain of 290 nodes makes 29 reads/s.
_FIRST_BACKOFF_S = 1.0
_MAX_BACKOFF_S = 30.0
_FIRST_CHECK_INTERVAL_S = 5.0
_CHECK_INTERVAL_S = 60.0  # 15 domains * 8 addresses * 3 calls make 6 reads/s.


class MembershipDriver:
    """Ticks a membership, joins it to others and keeps the seeds object.

    A node that knows nobody pings configured and stored addresses until it
    hears a peer. Members listed in the seeds object of their failure domain
    check it every minute, and every node checks it once after it joined, so
    the load on the platform depends on the number of failure domains and of
    starts, not on that of nodes.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_closed",
        "_known",
        "_membership",
        "_reactor",
        "_rng",
        "_seeds",
        "_send",
        "_store",
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
        """Connects the parts.

        Args:
            reactor: Timers.
            clock: The clock of the membership.
            rng: Source of jitter.
            membership: View of the own node.
            send: Sends datagrams, as `GossipSocket.send` does.
            store: Platform objects.
            seeds: Gossip addresses from the settings, for the time when the
                platform is down.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._membership = membership
        self._send = send
        self._store = store
        self._seeds = tuple(seeds)
        self._known: tuple[str, ...] = ()
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._timer: IDelayedCall | None = None
        self._closed = False
        self._tasks = (
            Background(reactor, "joining", self._join),
            Background(reactor, "seeds object", self._keep_seeds),
        )

    def start(self) -> None:
        """Starts ticking and joining; the socket must be open."""
        self._tick()
        for task in self._tasks:
            task.start()

    def close(self) -> None:
        """Tells some members that the node left, and stops."""
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

    async def _join(self) -> None:
        while True:
            if self._is_alone:
                addresses = sorted({*self._seeds, *self._known})
                count = min(_JOIN_ADDRESSES, len(addresses))
                self._ping(self._rng.sample(addresses, count))
            await sleep(self._reactor, _JOIN_INTERVAL_S)

    def _ping(self, addresses: Iterable[str]) -> None:
        self._send(self._membership.join(addresses))

    async def _keep_seeds(self) -> None:
        await sleep(self._reactor, self._rng.uniform(0, _START_JITTER_S))
        await self._read_all_seeds()
        interval_s = _FIRST_CHECK_INTERVAL_S
        spread_s = _LONE_SPREAD_S if self._is_alone else _CHECK_SPREAD_S
        await sleep(self._reactor, self._rng.uniform(0, spread_s))
        while True:
            listed = await self._check_own_seeds()
            if listed is None or self._is_alone:
                await sleep(self._reactor, self._backoff.next_s())
                continue
            self._backoff.reset()
            if not listed:
                # Members that are not listed check again only when alone.
                await self._wait_until_alone()
            jitter = self._rng.uniform(0.8, 1.2)
            await sleep(self._reactor, interval_s * jitter)
            interval_s = min(2 * interval_s, _CHECK_INTERVAL_S)

    async def _wait_until_alone(self) -> None:
        while not self._is_alone:
            await sleep(self._reactor, _CHECK_INTERVAL_S)

    async def _read_all_seeds(self) -> None:
        """Reads the own domain's object and another one."""
        own = await self._read(self._own_object)
        self._use(own[1] if own else ())
        await self._read_other_seeds()

    async def _read_other_seeds(self) -> None:
        """Reads the object of a random other domain.

        Without it, domains that start together would stay islands.
        """
        listing = await call(self._reactor, self._store.list(SEEDS_PREFIX))
        if listing.is_error():
            return
        names = {item.name for item in listing.ok} - {self._own_object}
        if names:
            other = await self._read(self._rng.choice(sorted(names)))
            self._use(other[1] if other else ())

    @property
    def _own_object(self) -> str:
        return seeds_object_name(self._membership.own.failure_domain)

    def _use(self, addresses: Iterable[str]) -> None:
        """Pings addresses that the view does not hold.

        Islands that formed during a platform outage meet through these pings.
        """
        addresses = tuple(addresses)
        self._known = tuple(dict.fromkeys((*addresses, *self._known)))[
            : 2 * MAX_SEEDS
        ]
        self._ping(
            address
            for address in addresses
            if not self._membership.is_live_at(address)
        )

    async def _read(
        self, name: str
    ) -> tuple[int | None, tuple[str, ...]] | None:
        """Returns version and addresses; None if the platform is down."""
        result = await call(self._reactor, self._store.get(name))
        if result.is_error():
            missing = isinstance(result.error, NotFound)
            return (None, ()) if missing else None
        decoded = decode_seeds(result.ok.value)
        # A damaged object counts as empty, so that it gets replaced.
        return result.ok.version, decoded.default_value(())

    async def _check_own_seeds(self) -> bool | None:
        """Repairs the own domain's object.

        Returns:
            Whether the own address is listed; None if that is not known.
        """
        read = await self._read(self._own_object)
        if read is None:
            return None
        version, addresses = read
        self._use(addresses)
        await self._read_other_seeds()
        # The pings need a moment to find a live address.
        await sleep(self._reactor, self._rng.uniform(1, 2))
        planned = self._plan(addresses)
        own = self._membership.own.gossip_address
        if planned == addresses:
            return own in planned
        written = await call(
            self._reactor,
            self._store.put(self._own_object, encode_seeds(planned), version),
        )
        return own in planned if written.is_ok() else None

    def _plan(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        """Drops dead addresses and fills up with the own one."""
        live = [a for a in addresses if self._membership.is_live_at(a)]
        own = self._membership.own.gossip_address
        if own not in live and len(live) < MAX_SEEDS:
            live.append(own)
        return tuple(live)
