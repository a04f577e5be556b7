"""Keeps the newest route table in force, from the platform or from peers."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_protocol import (
    RouteTable,
    decode_routes,
    encode_routes,
    wire,
)
from radishtray_state import Datagram, MemberRecord, Membership

_LOG = logging.getLogger(__name__)
# A watch without an answer may be waiting on a connection that no longer
# works. The timeouts of the nodes differ, so that some node starts a new watch
# every fraction of a second.
_MAX_WATCH_TIMEOUT_S = 8.0
_WATCH_TIMEOUT_FACTORS = (0.5, 1.0)
_WATCH_ANSWER_GRACE_S = 1.0
_READ_TIMEOUT_S = 2.0
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_PULL_RETRY_DELAY_S = 0.3

RouteTableDecoder = Callable[[bytes], Result[RouteTable, Any]]
"""Decodes the value of the platform object; the error has the findings."""


class RouteConfigurationDriver:
    """Watches the platform object and pulls newer tables from peers.

    The version in force never decreases. The platform accepts a version before
    any node can read it, so a copy from a peer is put in force at once.
    """

    __slots__ = (
        "_backoff",
        "_decode",
        "_membership",
        "_object_name",
        "_on_table",
        "_peer_generations",
        "_pull",
        "_pull_running",
        "_reactor",
        "_rng",
        "_send",
        "_store",
        "_table",
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
        self._pull_running = False
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._watch_task = BackgroundTask(reactor, "routes", self._watch_object)

    @property
    def generation(self) -> int:
        """Version of the table in force; 0 before the first one."""
        return self._table.version if self._table is not None else 0

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Empty: every node watches the object, so there is no watcher role."""
        return ()

    def start(self) -> None:
        """Starts to read and watch the object."""
        self._watch_task.start()

    def close(self) -> None:
        """Stops watching the object."""
        self._watch_task.close()

    async def _watch_object(self) -> None:
        version: int | None = None
        while True:
            if version is None:
                found = await await_result(
                    self._reactor,
                    self._store.get(self._object_name),
                    _READ_TIMEOUT_S,
                )
            else:
                wait_s = _MAX_WATCH_TIMEOUT_S * self._rng.uniform(
                    *_WATCH_TIMEOUT_FACTORS
                )
                found = await await_result(
                    self._reactor,
                    self._store.watch(self._object_name, version, wait_s),
                    wait_s + _WATCH_ANSWER_GRACE_S,
                )
            if found.is_error():
                _LOG.info(
                    "cannot read the route configuration; retrying",
                    extra={"error": str(found.error)},
                )
                version = None
                await sleep(self._reactor, self._backoff.next_delay_s())
                continue
            self._backoff.reset()
            if found.ok is not None:
                version = found.ok.version
                self._adopt_value(found.ok.value)

    def _adopt_value(self, value: bytes) -> None:
        decoded = self._decode(value)
        if decoded.is_error():
            _LOG.error(
                "configuration from the platform is invalid; it is not applied",
                extra={"findings": decoded.error},
            )
            return
        self._adopt(decoded.ok, "platform")

    def _adopt(self, table: RouteTable, source: str) -> None:
        if table.version <= self.generation:
            return
        previous_generation = self.generation
        self._table = table
        self._on_table(table)
        self._send(self._membership.set_generation(table.version))
        _LOG.info(
            "configuration applied",
            extra={
                "version": table.version,
                "before": previous_generation,
                "source": source,
                "routes": len(table.routes),
            },
        )

    def handle_peer_generation(self, node_id: str, generation: int) -> None:
        """Handles the generation in a peer's gossip; pulls a newer one."""
        if generation > self.generation:
            self._peer_generations[node_id] = generation
            self._start_next_pull()

    def _start_next_pull(self) -> None:
        if self._pull_running:
            return
        self._peer_generations = {
            node_id: generation
            for node_id, generation in self._peer_generations.items()
            if generation > self.generation
        }
        if not self._peer_generations:
            return
        node_id = max(
            self._peer_generations, key=self._peer_generations.__getitem__
        )
        del self._peer_generations[node_id]
        member = self._membership.get(node_id)
        if member is None or not member.is_live:
            self._start_next_pull()
            return
        self._pull_running = True
        answer = self._pull(member, self.generation)
        answer.addCallbacks(self._handle_pull_answer, self._handle_pull_failure)

    def _handle_pull_answer(self, push: wire.ReleasePush) -> None:
        self._pull_running = False
        if push.generation > self.generation:
            decoded = decode_routes(push.manifest)
            if decoded.is_error():
                _LOG.error(
                    "configuration from a peer is invalid; it is not applied",
                    extra={"error": decoded.error},
                )
            else:
                self._adopt(decoded.ok, "peer")
        self._start_next_pull()

    def _handle_pull_failure(self, reason: object) -> None:
        self._pull_running = False
        _LOG.info(
            "configuration pull from a peer failed; retrying",
            extra={"error": str(reason)},
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
