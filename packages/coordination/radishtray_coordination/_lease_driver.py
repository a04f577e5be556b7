"""Acquires and renews a lease on a role, stored as a platform object.

A role is exercised by at most one node at a time, the holder of its lease.
"""

import logging
import random
from collections.abc import Callable
from typing import Any

from expression import Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_protocol import decode_lease, encode_lease, lease_object_name
from radishtray_state import (
    Clock,
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
)
from radishtray_transport import Conflict, NotFound

LEASE_S = 15.0  # 31 roles, each renewed every 5 s, make 6.2 writes/s.

_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 5.0
_CANDIDATE_CHECK_INTERVAL_S = 5.0

_LOG = logging.getLogger(__name__)


def _always_candidate() -> bool:
    return True


class LeaseDriver:
    """Carries out the decisions of a `LeaseObserver` for one role.

    While the node holds the lease or is a candidate for the role, the driver
    reads and writes the platform object of the role as the observer decides.
    """

    __slots__ = (
        "_backoff",
        "_expiry_timer",
        "_is_candidate",
        "_observer",
        "_on_change",
        "_reactor",
        "_reported_held",
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
        is_candidate: Callable[[], bool] = _always_candidate,
        lease_s: float = LEASE_S,
    ) -> None:
        """Creates the driver without starting it.

        Args:
            reactor: Schedules timers.
            clock: Monotonic time, by which the lease expires.
            rng: Random source of jitter.
            store: Holds the lease object.
            role: Name of the role; part of the object's name.
            node_id: Own node id.
            incarnation: Own incarnation.
            on_change: Called after each change with whether the node may
                exercise the role.
            is_candidate: Returns whether the node competes for the role;
                limits the reads when many nodes could take it.
            lease_s: Lease duration in seconds, the same at all candidates.
        """
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._role = role
        self._on_change = on_change
        self._is_candidate = is_candidate
        self._observer = LeaseObserver(clock, node_id, incarnation, lease_s)
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._reported_held = False
        self._expiry_timer: IDelayedCall | None = None
        self._task = BackgroundTask(reactor, f"lease {role}", self._run)

    @property
    def role(self) -> str:
        """Name of the role; part of the object's name."""
        return self._role

    @property
    def holds(self) -> bool:
        """Whether the node may exercise the role now."""
        return self._observer.holds

    def start(self) -> None:
        """Starts to compete for the lease."""
        self._task.start()

    def close(self) -> None:
        """Stops, and releases the lease if the node holds it."""
        self._task.close()
        self._cancel_expiry_timer()
        record, version = self._observer.record, self._observer.version
        held = self._observer.holds
        self._observer.lease_released()
        self._report_change()
        if held and record is not None:
            value = encode_lease("", 0, record.term)
            # The result is ignored: if the write fails, the lease expires.
            self._store.put(lease_object_name(self._role), value, version)

    def restart(self) -> None:
        """Releases the lease, then competes again if still a candidate."""
        self.close()
        self.start()

    async def _run(self) -> None:
        await sleep(
            self._reactor, self._rng.uniform(0, _CANDIDATE_CHECK_INTERVAL_S)
        )
        while True:
            if not (self._observer.holds or self._is_candidate()):
                self._report_change()
                await sleep(self._reactor, _CANDIDATE_CHECK_INTERVAL_S)
                continue
            pause_s = await self._run_step()
            self._report_change()
            await sleep(self._reactor, pause_s)

    async def _run_step(self) -> float:
        """Carries out one decision; returns the seconds until the next."""
        decision = self._observer.decide()
        if decision.action is LeaseAction.WAIT:
            return decision.wait_s + self._rng.uniform(0, 0.5)
        done = (
            await self._read()
            if decision.action is LeaseAction.READ
            else await self._write(decision)
        )
        if not done:
            return self._backoff.next_delay_s()
        self._backoff.reset()
        return 0.0

    async def _read(self) -> bool:
        name = lease_object_name(self._role)
        result = await await_result(self._reactor, self._store.get(name))
        if result.is_ok():
            self._observer.read_succeeded(
                self._decode_record(result), result.ok.version
            )
            return True
        if isinstance(result.error, NotFound):
            self._observer.read_succeeded(None, None)
            return True
        return False

    def _decode_record(self, result: Result[Any, Any]) -> LeaseRecord:
        decoded = decode_lease(result.ok.value)
        if decoded.is_ok():
            return LeaseRecord(*decoded.ok)
        _LOG.error(
            "lease of role %s cannot be decoded; treating it as released: %s",
            self._role,
            decoded.error,
        )
        return LeaseRecord("", 0, 0)

    async def _write(self, decision: LeaseDecision) -> bool:
        record = decision.record
        assert record is not None
        self._observer.write_started(record)
        value = encode_lease(record.holder, record.incarnation, record.term)
        result = await await_result(
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
            self._observer.write_outcome_unknown()
        return False

    def _report_change(self) -> None:
        """Reports a change of `holds` and schedules the check at expiry."""
        holds = self._observer.holds
        self._cancel_expiry_timer()
        if holds:
            # Reports the expiry in time even while `_run` waits for a slow
            # platform call.
            self._expiry_timer = self._reactor.callLater(
                self._observer.remaining_s + 0.001, self._report_change
            )
        if holds != self._reported_held:
            self._reported_held = holds
            self._on_change(holds)

    def _cancel_expiry_timer(self) -> None:
        if self._expiry_timer is not None and self._expiry_timer.active():
            self._expiry_timer.cancel()
        self._expiry_timer = None
