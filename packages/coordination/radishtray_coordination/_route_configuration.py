"""Keeps the newest route table in force, from the platform or from peers.

A few elected nodes of each failure domain watch the platform. They tell the
other nodes by gossip, which pull the table from a peer.
"""

import logging
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_coordination._watcher_election import WatcherElection
from radishtray_protocol import (
    RouteTable,
    decode_routes,
    encode_routes,
    wire,
)
from radishtray_state import Datagram, MemberRecord, Membership
from radishtray_transport import Unreachable

_LOG = logging.getLogger(__name__)
_WATCHER_ROLE = "route-watcher"
_FIRST_READ_DELAYS_S = (0.05, 0.15)
_ELECTION_DELAY_S = 1.5
_ROLE_CHECK_INTERVAL_S = 0.25
_HEARTBEAT_INTERVAL_S = 0.25
# The views of nodes that start together differ at first, and so do the nodes
# that they take for watchers.
_FIRST_STANDBY_DELAY_S = 10.0
# Delays after which a node reads that is no watcher. Those of 200 nodes that
# start at the same time make 30 reads/s.
_SUBSTITUTION_DELAYS_S = (1.0, 8.0)
# A node that hears of no other for longer may be cut off from all of them. Each
# member sends and receives about one probe a second.
_ISOLATION_S = 1.3
# A watch without an answer may be waiting on a connection that no longer
# works. The timeouts of the nodes differ, so that some watcher starts a new
# watch about every second.
_MAX_WATCH_TIMEOUT_S = 8.0
_WATCH_TIMEOUT_FACTORS = (0.5, 1.0)
_WATCH_ANSWER_GRACE_S = 1.0
_READ_TIMEOUT_S = 2.0
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
# A node without a table serves nothing, so it reads more often.
_MAX_BACKOFF_WITHOUT_TABLE_S = 2.0
_PULL_RETRY_DELAY_S = 0.3
_NEXT_PULL_DELAY_S = 0.4
_MAX_PULLS = 3
_TOLD_PER_OTHER_DOMAIN = 3
# Pulls that fail in a row before a node reads the platform itself.
_MAX_FAILED_PULLS = 3
_MS_PER_S = 1000

RouteTableDecoder = Callable[[bytes], Result[RouteTable, Any]]
"""Decodes the value of the platform object; the error has the findings."""


class RouteConfigurationDriver:
    """Watches the platform object if elected; pulls newer tables from peers.

    Every node reads the object once at its start, unless a peer delivers the
    table first. A node whose watchers cannot reach the platform, or which
    cannot pull a table that peers have, reads for itself.

    The version in force never decreases. The platform accepts a version before
    any node can read it, so a copy from a peer is put in force at once.
    """

    __slots__ = (
        "_announced_at_s",
        "_backoff",
        "_confirmed_generation",
        "_confirmed_revision",
        "_decode",
        "_election",
        "_failed_pulls",
        "_heartbeat_task",
        "_is_watching",
        "_membership",
        "_object_name",
        "_on_table",
        "_peer_generations",
        "_pull",
        "_pulls",
        "_reactor",
        "_rng",
        "_send",
        "_standby_from_s",
        "_store",
        "_table",
        "_version",
        "_watch_anyway_at_s",
        "_watch_task",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        rng: random.Random,
        *,
        store: WatchableStore,
        object_name: str,
        membership: Membership,
        send: Callable[[Iterable[Datagram]], None],
        pull: Callable[[MemberRecord, int], "Deferred[wire.ReleasePush]"],
        decode: RouteTableDecoder,
        on_table: Callable[[RouteTable], None],
    ) -> None:
        """Creates the driver without starting it.

        Args:
            reactor: Schedules timers.
            rng: Random source of jitter.
            store: Holds the route table object.
            object_name: Name of the platform object with the route table.
            membership: The own node's view of the members.
            send: Sends gossip datagrams.
            pull: Asks a member for its table; takes the own generation.
            decode: Decodes the value of the platform object.
            on_table: Puts a newer table in force.
        """
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._object_name = object_name
        self._membership = membership
        self._send = send
        self._pull = pull
        self._decode = decode
        self._on_table = on_table
        self._table: RouteTable | None = None
        self._peer_generations: dict[str, int] = {}
        # When a version newer than the own one was first announced.
        self._announced_at_s: float | None = None
        self._pulls: dict[str, float] = {}
        self._failed_pulls = 0
        self._version: int | None = None
        # Revision and version of the object as last seen by `confirm`.
        self._confirmed_revision: int | None = None
        self._confirmed_generation: int | None = None
        self._election = WatcherElection(membership)
        self._watch_anyway_at_s: float | None = None
        self._is_watching = False
        self._standby_from_s = 0.0
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._watch_task = BackgroundTask(reactor, "routes", self._watch_object)
        self._heartbeat_task = BackgroundTask(
            reactor, "watcher heartbeats", self._send_heartbeats
        )

    @property
    def generation(self) -> int:
        """Version of the table in force; 0 before the first one."""
        return self._table.version if self._table is not None else 0

    @property
    def held_roles(self) -> tuple[str, ...]:
        """The watcher role while this node is elected to watch."""
        return (_WATCHER_ROLE,) if self._election.is_watcher else ()

    def start(self) -> None:
        """Starts to read and watch the object."""
        self._standby_from_s = self._reactor.seconds() + _FIRST_STANDBY_DELAY_S
        self._watch_task.start()
        self._heartbeat_task.start()

    def close(self) -> None:
        """Stops watching the object."""
        self._heartbeat_task.close()
        self._watch_task.close()

    def confirm(self) -> "Deferred[int | None]":
        """Asks the platform whether a later version exists, without waiting.

        A later one is put in force.

        Returns:
            Fires with the latest version, or None if the platform did not
            answer.
        """
        return Deferred.fromCoroutine(self._confirm())

    async def _confirm(self) -> int | None:
        if self._confirmed_revision is None:
            found = await self._read()
        else:
            found = await await_result(
                self._reactor,
                self._store.watch(
                    self._object_name, self._confirmed_revision, 0.0
                ),
                _READ_TIMEOUT_S,
            )
        if found.is_error():
            self._confirmed_revision = None
            return None
        if found.ok is not None:
            self._confirmed_revision = found.ok.version
            decoded = self._decode(found.ok.value)
            if decoded.is_error():
                return None
            self._confirmed_generation = decoded.ok.version
            self._adopt(decoded.ok, None)
        return self._confirmed_generation

    async def _watch_object(self) -> None:
        # A peer delivers the table within this time if one is reachable.
        await sleep(self._reactor, self._rng.uniform(*_FIRST_READ_DELAYS_S))
        if self._table is None:
            await self._call_store(self._read)
        # The view of the members is not complete before.
        await sleep(self._reactor, _ELECTION_DELAY_S)
        while True:
            if self._is_substitution_due():
                await self._call_store(self._read_or_watch)
                self._watch_anyway_at_s = None
            elif self._election.is_watcher or self._is_needed_standby():
                await self._call_store(self._read_or_watch)
            else:
                self._is_watching = False
                await sleep(self._reactor, _ROLE_CHECK_INTERVAL_S)

    def _is_needed_standby(self) -> bool:
        return (
            bool(self._reactor.seconds() >= self._standby_from_s)
            and self._election.is_needed_standby
        )

    async def _send_heartbeats(self) -> None:
        """Shows the standbys that this watcher reaches the platform."""
        while True:
            await sleep(self._reactor, _HEARTBEAT_INTERVAL_S)
            if self._is_watching and self._election.is_watcher:
                self._send(self._membership.heartbeats(self._election.standbys))

    def _is_substitution_due(self) -> bool:
        """Returns whether this node reads although it is no watcher.

        It does so if the watchers cannot or do not provide the table: after a
        random delay, so that not all nodes read at the same time.
        """
        if self._failed_pulls >= _MAX_FAILED_PULLS:
            self._failed_pulls = 0
            return True
        if self._membership.silence_s > _ISOLATION_S:
            return True
        if self._table is not None and self._election.has_connected_candidate:
            self._watch_anyway_at_s = None
            return False
        now_s = self._reactor.seconds()
        if self._watch_anyway_at_s is None:
            delay_s = self._rng.uniform(*_SUBSTITUTION_DELAYS_S)
            self._watch_anyway_at_s = now_s + delay_s
        return bool(now_s >= self._watch_anyway_at_s)

    async def _call_store(
        self, call: Callable[[], Awaitable[Result[Any, Any]]]
    ) -> None:
        """Reads or watches once; after a failure, waits before the next."""
        found = await call()
        is_lost = found.is_error() and isinstance(found.error, Unreachable)
        self._send(self._membership.update_own_record(platform_lost=is_lost))
        self._is_watching = not found.is_error()
        if found.is_error():
            _LOG.info(
                "cannot read the route configuration; retrying",
                extra={"error": str(found.error)},
            )
            self._version = None
            delay_s = self._backoff.next_delay_s()
            if self._table is None:
                delay_s = min(delay_s, _MAX_BACKOFF_WITHOUT_TABLE_S)
            await sleep(self._reactor, delay_s)
            return
        self._backoff.reset()
        if found.ok is not None:
            self._version = found.ok.version
            self._adopt_value(found.ok.value)

    async def _read_or_watch(self) -> Result[Any, Any]:
        if self._version is None:
            return await self._read()
        wait_s = _MAX_WATCH_TIMEOUT_S * self._rng.uniform(
            *_WATCH_TIMEOUT_FACTORS
        )
        return await await_result(
            self._reactor,
            self._store.watch(self._object_name, self._version, wait_s),
            wait_s + _WATCH_ANSWER_GRACE_S,
        )

    async def _read(self) -> Result[Any, Any]:
        return await await_result(
            self._reactor, self._store.get(self._object_name), _READ_TIMEOUT_S
        )

    def _adopt_value(self, value: bytes) -> None:
        decoded = self._decode(value)
        if decoded.is_error():
            _LOG.error(
                "configuration from the platform is invalid; it is not applied",
                extra={"findings": decoded.error},
            )
            return
        self._adopt(decoded.ok, None)

    def _adopt(self, table: RouteTable, source_domain: str | None) -> None:
        if table.version <= self.generation:
            return
        previous_generation = self.generation
        announced_at_s, self._announced_at_s = self._announced_at_s, None
        self._table = table
        self._on_table(table)
        self._send(self._membership.set_generation(table.version))
        self._announce(source_domain)
        _LOG.info(
            "configuration applied",
            extra={
                "version": table.version,
                "before": previous_generation,
                "source": "platform" if source_domain is None else "peer",
                "announced_ms_ago": None
                if announced_at_s is None
                else self._elapsed_ms(announced_at_s),
                "pulls": len(self._pulls),
                "routes": len(table.routes),
            },
        )

    def _elapsed_ms(self, since_s: float) -> int:
        return round(float(self._reactor.seconds() - since_s) * _MS_PER_S)

    def _announce(self, source_domain: str | None) -> None:
        """Tells other members the generation in force.

        Gossip alone takes seconds until it has reached the last member. So
        a node that has the table from the platform tells its failure domain and
        some members of each other one; the first node of a failure domain that
        has it from another one tells its own.

        Args:
            source_domain: Failure domain of the peer that the table came from;
                None for the platform.
        """
        membership = self._membership
        if source_domain == membership.own_record.failure_domain:
            return
        told = membership.sample_by_domain(
            _TOLD_PER_OTHER_DOMAIN if source_domain is None else 0
        )
        self._send(membership.generation_pushes(told))

    def handle_peer_generation(self, node_id: str, generation: int) -> None:
        """Handles the generation in a peer's gossip; pulls a newer one."""
        if generation > self.generation:
            if self._announced_at_s is None:
                self._announced_at_s = self._reactor.seconds()
            self._peer_generations[node_id] = generation
            self._start_next_pull()

    def _start_next_pull(self) -> None:
        """Pulls from a peer with a newer table, unless enough pulls run."""
        self._peer_generations = {
            node_id: generation
            for node_id, generation in self._peer_generations.items()
            if generation > self.generation
        }
        while self._peer_generations and self._can_pull():
            node_id = max(
                self._peer_generations, key=self._peer_generations.__getitem__
            )
            del self._peer_generations[node_id]
            member = self._membership.get(node_id)
            if (
                member is not None
                and member.is_live
                and node_id not in self._pulls
            ):
                self._start_pull(member)

    def _can_pull(self) -> bool:
        """Returns whether a pull may start beside those without an answer.

        A connection may be silent, so that a pull over it gets no answer.
        """
        now_s = self._reactor.seconds()
        return len(self._pulls) < _MAX_PULLS and all(
            now_s - started_s >= _NEXT_PULL_DELAY_S
            for started_s in self._pulls.values()
        )

    def _start_pull(self, member: MemberRecord) -> None:
        node_id = member.node_id
        self._pulls[node_id] = self._reactor.seconds()
        # Another pull starts if this one has no answer by then.
        self._reactor.callLater(_NEXT_PULL_DELAY_S, self._start_next_pull)
        answer = self._pull(member, self.generation)
        answer.addCallbacks(
            self._handle_pull_answer,
            self._handle_pull_failure,
            (node_id,),
            None,
            (node_id,),
        )

    def _handle_pull_answer(self, push: wire.ReleasePush, node_id: str) -> None:
        self._pulls.pop(node_id, None)
        if push.generation > self.generation:
            decoded = decode_routes(push.manifest)
            if decoded.is_error():
                _LOG.error(
                    "configuration from a peer is invalid; it is not applied",
                    extra={"error": decoded.error},
                )
            else:
                self._failed_pulls = 0
                peer = self._membership.get(node_id)
                self._adopt(decoded.ok, peer.failure_domain if peer else "")
        self._start_next_pull()

    def _handle_pull_failure(self, reason: Failure, node_id: str) -> None:
        started_s = self._pulls.pop(node_id)
        self._failed_pulls += 1
        _LOG.info(
            "configuration pull from a peer failed; retrying",
            extra={
                "peer": node_id,
                "error": reason.getErrorMessage(),
                "waited_ms": self._elapsed_ms(started_s),
            },
        )
        self._reactor.callLater(_PULL_RETRY_DELAY_S, self._start_next_pull)

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns the table for a peer; None if the peer has it already."""
        if self._table is None or self._table.version <= have_generation:
            return None
        return wire.ReleasePush(
            generation=self._table.version,
            manifest=encode_routes(self._table),
            sections={},
        )
