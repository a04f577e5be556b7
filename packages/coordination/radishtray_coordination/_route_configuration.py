"""Keeps the newest routes in force: from the platform and from other nodes."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import Background
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, call, sleep
from radishtray_protocol import (
    RouteTable,
    decode_routes,
    encode_routes,
    wire,
)
from radishtray_state import Datagram, MemberRecord, Membership

_LOG = logging.getLogger(__name__)
# A watch that hears nothing may have gone silent. The waits of the nodes are
# out of step, so one of them asks on a new call every fraction of a second.
_WATCH_S = 8.0
_WATCH_SPREAD = (0.5, 1.0)
_WATCH_GRACE_S = 1.0
_READ_TIMEOUT_S = 2.0
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_PULL_RETRY_S = 0.3

TableDecoder = Callable[[bytes], Result[RouteTable, Any]]
"""Decodes the platform's object; the error lists the findings."""


class RouteConfigurationDriver:
    """Watches the platform's object and pulls from peers that are ahead.

    The version only rises. Every version was accepted by the platform before
    any node could read it, so a peer's copy may be put in force at once.
    """

    __slots__ = (
        "_backoff",
        "_decode",
        "_membership",
        "_object_name",
        "_on_table",
        "_pull",
        "_pulling",
        "_reactor",
        "_rng",
        "_send",
        "_store",
        "_table",
        "_told",
        "_watch",
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
        decode: TableDecoder,
        on_table: Callable[[RouteTable], None],
    ) -> None:
        """Connects the parts.

        Args:
            reactor: Timers.
            rng: Source of jitter.
            store: Platform objects.
            object_name: Name of the configuration's object.
            membership: View of the own node.
            send: Sends datagrams.
            pull: Asks a member for a newer generation.
            decode: Decodes the object's value.
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
        self._told: dict[str, int] = {}
        self._pulling = False
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._watch = Background(reactor, "routes", self._watch_object)

    @property
    def generation(self) -> int:
        """Version in force; 0 before the first one."""
        return self._table.version if self._table is not None else 0

    @property
    def held_roles(self) -> tuple[str, ...]:
        """No role: every node reads the object itself."""
        return ()

    def start(self) -> None:
        """Starts to read and watch the object."""
        self._watch.start()

    def close(self) -> None:
        """Stops."""
        self._watch.close()

    async def _watch_object(self) -> None:
        version: int | None = None
        while True:
            if version is None:
                found = await call(
                    self._reactor,
                    self._store.get(self._object_name),
                    _READ_TIMEOUT_S,
                )
            else:
                wait_s = _WATCH_S * self._rng.uniform(*_WATCH_SPREAD)
                found = await call(
                    self._reactor,
                    self._store.watch(self._object_name, version, wait_s),
                    wait_s + _WATCH_GRACE_S,
                )
            if found.is_error():
                _LOG.info(
                    "configuration not read", extra={"error": str(found.error)}
                )
                version = None
                await sleep(self._reactor, self._backoff.next_s())
                continue
            self._backoff.reset()
            if found.ok is not None:
                version = found.ok.version
                self._take_value(found.ok.value)

    def _take_value(self, value: bytes) -> None:
        decoded = self._decode(value)
        if decoded.is_error():
            _LOG.error(
                "configuration is not valid", extra={"findings": decoded.error}
            )
            return
        self._adopt(decoded.ok, "platform")

    def _adopt(self, table: RouteTable, source: str) -> None:
        if table.version <= self.generation:
            return
        before = self.generation
        self._table = table
        self._on_table(table)
        self._send(self._membership.set_generation(table.version))
        _LOG.info(
            "configuration applied",
            extra={
                "version": table.version,
                "before": before,
                "source": source,
                "routes": len(table.routes),
            },
        )

    def peer_told(self, node_id: str, generation: int) -> None:
        """Pulls from a member that has a newer generation."""
        if generation > self.generation:
            self._told[node_id] = generation
            self._pull_next()

    def _pull_next(self) -> None:
        if self._pulling:
            return
        self._told = {
            node_id: generation
            for node_id, generation in self._told.items()
            if generation > self.generation
        }
        if not self._told:
            return
        node_id = max(self._told, key=self._told.__getitem__)
        del self._told[node_id]
        member = self._membership.get(node_id)
        if member is None or not member.is_live:
            self._pull_next()
            return
        self._pulling = True
        pulled = self._pull(member, self.generation)
        pulled.addCallbacks(self._pulled, self._pull_failed)

    def _pulled(self, push: wire.ReleasePush) -> None:
        self._pulling = False
        if push.generation > self.generation:
            decoded = decode_routes(push.manifest)
            if decoded.is_error():
                _LOG.error(
                    "pulled configuration is not valid",
                    extra={"error": decoded.error},
                )
            else:
                self._adopt(decoded.ok, "peer")
        self._pull_next()

    def _pull_failed(self, reason: object) -> None:
        self._pulling = False
        _LOG.info("configuration pull failed", extra={"error": str(reason)})
        self._reactor.callLater(_PULL_RETRY_S, self._pull_next)

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns the table for a node that has an older one."""
        if self._table is None or self._table.version <= have_generation:
            return None
        return wire.ReleasePush(
            generation=self._table.version,
            manifest=encode_routes(self._table),
            sections={},
        )
