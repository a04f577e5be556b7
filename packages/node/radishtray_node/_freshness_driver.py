"""Confirms at intervals that the configuration in force is the latest one."""

import logging
from collections.abc import Callable, Sequence
from math import ceil
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from radishtray_organisations import (
    FreshnessGuard,
    FreshnessSchedule,
    FreshnessSource,
)
from radishtray_protocol import wire
from radishtray_state import Clock

_LOG = logging.getLogger(__name__)
_CHECK_INTERVAL_S = 0.1
_MS_PER_S = 1000.0
# Queries without a reply that are remembered.
_MAX_PENDING = 16


class ConfirmationSource(Protocol):
    """The platform as a source of confirmations."""

    def confirm(self) -> "Deferred[int | None]":
        """Fires with the platform's latest generation; None if unknown."""
        ...


class FreshnessPeers:
    """Whom a node asks for confirmations.

    Attributes:
        position: Position among the nodes that ask the platform, counted from
            0; None for a node that does so only if its peers do not help.
        peers: Nodes to ask, the first ones by preference.
    """

    __slots__ = ("peers", "position")

    def __init__(self, position: int | None, peers: Sequence[str]) -> None:
        """Stores the position and the peers."""
        self.position = position
        self.peers = tuple(peers)


class FreshnessDriver:
    """Asks peers and the platform for confirmations, and answers peers.

    It runs only while the configuration holds organisations.
    """

    __slots__ = (
        "_clock",
        "_guard",
        "_is_probing",
        "_is_stale",
        "_loop",
        "_peers",
        "_pending",
        "_schedule",
        "_send",
        "_sequence",
        "_source",
        "is_needed",
    )

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        guard: FreshnessGuard,
        source: ConfirmationSource,
        peers: Callable[[], FreshnessPeers],
        send: Callable[[str, wire.Frame], bool],
    ) -> None:
        """Creates the driver without starting it.

        Args:
            reactor: Schedules the checks.
            clock: Time source that is read at each check, as that of `guard`.
            guard: Holds the age of the last confirmation.
            source: The platform.
            peers: Returns whom this node asks.
            send: Sends a control frame to a node.
        """
        self.is_needed = False
        self._clock = clock
        self._guard = guard
        self._source = source
        self._peers = peers
        self._send = send
        self._schedule = FreshnessSchedule(guard.limit_s)
        self._sequence = 0
        self._pending: dict[int, float] = {}
        self._is_probing = False
        self._is_stale = False
        self._loop = LoopingCall(self._check)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts the checks."""
        self._loop.start(_CHECK_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops the checks."""
        if self._loop.running:
            self._loop.stop()

    def _check(self) -> None:
        if not self.is_needed:
            return
        age_s = self._guard.age_s
        self._log_change(age_s)
        peers = self._peers()
        source = self._schedule.choose(
            self._clock.monotonic(), age_s, peers.position
        )
        if source is FreshnessSource.PLATFORM and not self._is_probing:
            self._ask_platform()
        elif source is FreshnessSource.PEER:
            self._ask_peer(peers.peers)

    def _log_change(self, age_s: float) -> None:
        is_stale = not self._guard.is_fresh
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        _LOG.log(
            logging.WARNING if is_stale else logging.INFO,
            "configuration is no longer known to be the latest one; refusing "
            "requests with keys"
            if is_stale
            else "configuration is known to be the latest one again",
            extra={"generation": self._guard.generation, "age_s": age_s},
        )

    def _ask_platform(self) -> None:
        self._is_probing = True
        asked_at_s = self._clock.monotonic()

        def confirmed(generation: int | None) -> None:
            self._is_probing = False
            self._schedule.record_probe(has_succeeded=generation is not None)
            if generation is not None:
                self._guard.confirm(generation, asked_at_s)

        def failed(failure: Failure) -> None:
            _LOG.warning(
                "asking the platform for a confirmation failed",
                extra={"error": failure.getErrorMessage()},
            )
            confirmed(None)

        self._source.confirm().addCallbacks(confirmed, failed)

    def _ask_peer(self, peers: Sequence[str]) -> None:
        if not peers:
            return
        self._sequence += 1
        # Asks another candidate each time, so that one that does not answer
        # delays the confirmation by one query only.
        peer = peers[self._sequence % min(2, len(peers))]
        self._pending[self._sequence] = self._clock.monotonic()
        if len(self._pending) > _MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        query = wire.FreshnessQuery(sequence=self._sequence)
        self._send(peer, wire.Frame(freshness_query=query))

    def answer(self, query: wire.FreshnessQuery) -> wire.Frame:
        """Returns the reply to a peer's question."""
        age_ms = None
        if self._guard.is_fresh:
            age_ms = ceil(self._guard.age_s * _MS_PER_S)
        return wire.Frame(
            freshness_reply=wire.FreshnessReply(
                sequence=query.sequence,
                generation=self._guard.generation,
                age_ms=age_ms,
            )
        )

    def handle_reply(self, reply: wire.FreshnessReply) -> None:
        """Applies a peer's reply."""
        asked_at_s = self._pending.pop(reply.sequence, None)
        if asked_at_s is None:
            return
        self._guard.confirm_by_peer(
            reply.generation,
            None if reply.age_ms is None else reply.age_ms / _MS_PER_S,
            asked_at_s,
        )
