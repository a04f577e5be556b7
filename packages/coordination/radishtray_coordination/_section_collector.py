"""Deletes section objects that neither the release nor its history needs."""

import logging
import random
from typing import Any

from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import Background
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._candidates import candidate_rank
from radishtray_coordination._lease_driver import LeaseDriver
from radishtray_coordination._store import WatchableStore, call, sleep
from radishtray_protocol import RELEASE_OBJECT, decode_release
from radishtray_state import Clock, Membership
from radishtray_transport import Conflict

COLLECTOR_ROLE = "section-collector"
_SECTIONS_PREFIX = "sections/"
_CANDIDATES = 3
_INTERVAL_S = 1800.0
_GRACE_S = 3600.0  # An apply writes its sections seconds before the release.
_DELETE_INTERVAL_S = 0.5  # 2 deletes/s; 3,200 changes a day need 0.04/s.
_MAX_DELETES = 1000  # One pass; more wait for the next one.

_LOG = logging.getLogger(__name__)


class SectionCollector:
    """Collects unreferenced section objects while it holds its lease.

    An object is deleted if it stayed unreferenced at one version for an hour,
    and only at that version. An `apply` that uses a text again keeps the
    object that is there, so the release is read after each deletion and the
    object is restored if it has become referenced.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_lease",
        "_membership",
        "_reactor",
        "_rng",
        "_store",
        "_task",
        "_unreferenced",
        "deleted",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        *,
        store: WatchableStore,
        membership: Membership,
    ) -> None:
        """Connects the parts.

        Args:
            reactor: Timers.
            clock: Monotonic time.
            rng: Source of jitter.
            store: Platform objects.
            membership: View of the own node.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._membership = membership
        self._backoff = Backoff(rng, 5.0, 300.0)
        self._unreferenced: dict[tuple[str, Any], float] = {}
        self._task = Background(reactor, "section collector", self._run)
        self.deleted = 0
        """Objects deleted since the start."""
        own = membership.own
        self._lease = LeaseDriver(
            reactor,
            clock,
            rng,
            store=store,
            role=COLLECTOR_ROLE,
            node_id=own.node_id,
            incarnation=own.incarnation,
            on_change=self._holder_changed,
            is_candidate=self._is_candidate,
        )

    def start(self) -> None:
        """Starts to compete for the role."""
        self._lease.start()

    def close(self) -> None:
        """Releases the role and stops."""
        self._task.close()
        self._lease.close()

    def _is_candidate(self) -> bool:
        members = self._membership.members()
        own_id = self._membership.own.node_id
        rank = candidate_rank(members, COLLECTOR_ROLE, own_id, _CANDIDATES)
        return rank is not None

    def _holder_changed(self, holds: bool) -> None:
        if holds:
            self._task.start()
        else:
            self._task.close()

    async def _run(self) -> None:
        self._unreferenced.clear()
        while True:
            if await self._collect():
                self._backoff.reset()
                pause_s = _INTERVAL_S * self._rng.uniform(0.9, 1.1)
            else:
                pause_s = self._backoff.next_s()
            await sleep(self._reactor, pause_s)

    async def _collect(self) -> bool:
        """Makes one pass; returns whether the platform answered."""
        listing = await call(self._reactor, self._store.list(_SECTIONS_PREFIX))
        # Read after the listing, so that a section listed now and referenced
        # meanwhile counts as referenced.
        referenced = await self._referenced()
        if listing.is_error() or referenced is None:
            return False
        due = self._due(listing.ok, referenced)
        for name, version in due[:_MAX_DELETES]:
            if not await self._delete(name, version):
                return False
            await sleep(self._reactor, _DELETE_INTERVAL_S)
        return True

    def _due(
        self, listing: list[Any], referenced: set[str]
    ) -> list[tuple[str, Any]]:
        now = self._clock.monotonic()
        seen = {
            (item.name, item.version)
            for item in listing
            if item.name not in referenced
        }
        self._unreferenced = {
            key: self._unreferenced.get(key, now) for key in seen
        }
        return sorted(
            key
            for key, since in self._unreferenced.items()
            if now - since >= _GRACE_S
        )

    async def _referenced(self) -> set[str] | None:
        """Returns the names in use; None if that cannot be known."""
        found = await call(self._reactor, self._store.get(RELEASE_OBJECT))
        if found.is_error():
            return None
        decoded = decode_release(found.ok.value)
        if decoded.is_error():
            _LOG.error("release cannot be read: %s", decoded.error)
            return None
        return decoded.ok.referenced_objects()

    async def _delete(self, name: str, listed_version: Any) -> bool:
        """Deletes one object; returns whether the pass may go on."""
        found = await call(self._reactor, self._store.get(name))
        referenced = await self._referenced()
        if found.is_error() or referenced is None:
            return False
        if name in referenced or str(found.ok.version) != str(listed_version):
            return True
        result = await call(
            self._reactor, self._store.delete(name, found.ok.version)
        )
        self.deleted += result.is_ok()
        # Also after a lost answer, because the delete may have taken effect.
        return await self._restore_if_referenced(name, found.ok.value)

    async def _restore_if_referenced(self, name: str, value: bytes) -> bool:
        while self._lease.holds:
            referenced = await self._referenced()
            if referenced is not None and name not in referenced:
                return True
            if referenced is not None:
                put = await call(
                    self._reactor, self._store.put(name, value, None)
                )
                if put.is_ok() or isinstance(put.error, Conflict):
                    _LOG.warning("%s was referenced again; restored", name)
                    return True
            await sleep(self._reactor, self._backoff.next_s())
        return False
