"""Competes for one lease and keeps it."""

import logging
import random
from collections.abc import Callable
from typing import Any

from expression import Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from radishtray_coordination._background import Background
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, call, sleep
from radishtray_protocol import decode_lease, encode_lease, lease_object_name
from radishtray_state import (
    Clock,
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
)
from radishtray_transport import Conflict, NotFound

LEASE_S = 15.0  # 31 roles renewed every 5 s make 6.2 writes/s.

_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 5.0
_IDLE_S = 5.0  # Time between checks whether the node is a candidate.

_LOG = logging.getLogger(__name__)


def _always() -> bool:
    return True


class LeaseDriver:
    """Runs a `LeaseObserver` against the platform object of one role."""

    __slots__ = (
        "_backoff",
        "_expiry",
        "_held",
        "_is_candidate",
        "_observer",
        "_on_change",
        "_reactor",
        "_rng",
        "_role",
        "_store",
        "_task",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        *,
        store: WatchableStore,
        role: str,
        node_id: str,
        incarnation: int,
        on_change: Callable[[bool], None],
        is_candidate: Callable[[], bool] = _always,
        lease_s: float = LEASE_S,
    ) -> None:
        """Connects the parts.

        Args:
            reactor: Timers.
            clock: Monotonic time of the observer.
            rng: Source of jitter.
            store: Platform objects.
            role: Role, part of the object's name.
            node_id: Own node id.
            incarnation: Own incarnation.
            on_change: Called with whether the role may be exercised.
            is_candidate: Whether the node competes; bounds the reads when
                many nodes could take the role.
            lease_s: Lease time, the same at all candidates.
        """
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._role = role
        self._on_change = on_change
        self._is_candidate = is_candidate
        self._observer = LeaseObserver(clock, node_id, incarnation, lease_s)
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._held = False
        self._expiry: IDelayedCall | None = None
        self._task = Background(reactor, f"lease {role}", self._run)

    @property
    def role(self) -> str:
        """Role, part of the object's name."""
        return self._role

    @property
    def holds(self) -> bool:
        """Whether the role may be exercised now."""
        return self._observer.holds

    def start(self) -> None:
        """Starts to compete."""
        self._task.start()

    def close(self) -> None:
        """Releases the lease if it is held, and stops."""
        self._task.close()
        self._cancel_expiry()
        record, version = self._observer.record, self._observer.version
        held = self._observer.holds
        self._observer.released()
        self._tell()
        if held and record is not None:
            value = encode_lease("", 0, record.term)
            # The answer does not matter: the lease ends by itself.
            self._store.put(lease_object_name(self._role), value, version)

    def restart(self) -> None:
        """Releases the lease and competes again if the node is a candidate."""
        self.close()
        self.start()

    async def _run(self) -> None:
        await sleep(self._reactor, self._rng.uniform(0, _IDLE_S))
        while True:
            if not (self._observer.holds or self._is_candidate()):
                self._tell()
                await sleep(self._reactor, _IDLE_S)
                continue
            pause_s = await self._step()
            self._tell()
            await sleep(self._reactor, pause_s)

    async def _step(self) -> float:
        """Does what is due and returns the seconds until the next step."""
        decision = self._observer.decide()
        if decision.action is LeaseAction.WAIT:
            return decision.wait_s + self._rng.uniform(0, 0.5)
        done = (
            await self._read()
            if decision.action is LeaseAction.READ
            else await self._write(decision)
        )
        if not done:
            return self._backoff.next_s()
        self._backoff.reset()
        return 0.0

    async def _read(self) -> bool:
        name = lease_object_name(self._role)
        result = await call(self._reactor, self._store.get(name))
        if result.is_ok():
            self._observer.observed(self._decode(result), result.ok.version)
            return True
        if isinstance(result.error, NotFound):
            self._observer.observed(None, None)
            return True
        return False

    def _decode(self, result: Result[Any, Any]) -> LeaseRecord:
        decoded = decode_lease(result.ok.value)
        if decoded.is_ok():
            return LeaseRecord(*decoded.ok)
        _LOG.error("lease %s cannot be read: %s", self._role, decoded.error)
        return LeaseRecord("", 0, 0)

    async def _write(self, decision: LeaseDecision) -> bool:
        record = decision.record
        assert record is not None
        self._observer.write_started(record)
        value = encode_lease(record.holder, record.incarnation, record.term)
        result = await call(
            self._reactor,
            self._store.put(
                lease_object_name(self._role), value, decision.version
            ),
        )
        if result.is_ok():
            self._observer.write_succeeded(result.ok)
            return True
        if isinstance(result.error, Conflict):
            self._observer.write_rejected()
        else:
            self._observer.write_unknown()
        return False

    def _tell(self) -> None:
        holds = self._observer.holds
        self._cancel_expiry()
        if holds:
            # Nothing else runs while a call to a slow platform is awaited.
            self._expiry = self._reactor.callLater(
                self._observer.remaining_s + 0.001, self._tell
            )
        if holds != self._held:
            self._held = holds
            self._on_change(holds)

    def _cancel_expiry(self) -> None:
        if self._expiry is not None and self._expiry.active():
            self._expiry.cancel()
        self._expiry = None
