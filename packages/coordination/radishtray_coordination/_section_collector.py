"""Garbage collection of section objects on the platform.

A section object is garbage if neither the current release nor its history
refers to it.
"""

import logging
import random
from typing import Any

from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._candidates import candidate_rank
from radishtray_coordination._lease_driver import LeaseDriver
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_protocol import RELEASE_OBJECT, decode_release
from radishtray_state import Clock, Membership
from radishtray_transport import Conflict

COLLECTOR_ROLE = "section-collector"
_SECTIONS_PREFIX = "sections/"
_CANDIDATE_COUNT = 3
_COLLECT_INTERVAL_S = 1800.0
# An apply writes its sections seconds before the release that refers to them.
_UNREFERENCED_GRACE_S = 3600.0
_DELETE_INTERVAL_S = 0.5  # 2 deletes/s; 3,200 changes per day need 0.04/s.
_MAX_DELETES_PER_PASS = 1000  # The next pass deletes the rest.

_LOG = logging.getLogger(__name__)


class SectionCollector:
    """Deletes unreferenced section objects while the node holds the lease.

    An object is deleted once it has been unreferenced, at the same version,
    for an hour, and only if it still has that version. An `apply` that uses a
    text again does not write its object if that exists. So the collector reads
    the release after each deletion and restores the object if the release
    refers to it by then.
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
        "_unreferenced_since",
        "deleted_objects",
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
        """Creates the collector without starting it.

        Args:
            reactor: Schedules timers.
            clock: Monotonic time.
            rng: Random source of jitter.
            store: Holds the release, its sections and the lease object.
            membership: The own node's view of the members.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._membership = membership
        self._backoff = Backoff(rng, 5.0, 300.0)
        self._unreferenced_since: dict[tuple[str, Any], float] = {}
        self._task = BackgroundTask(reactor, "section collector", self._run)
        self.deleted_objects = 0
        """Number of deletions since the collector was created."""
        own = membership.own_record
        self._lease = LeaseDriver(
            reactor,
            clock,
            rng,
            store=store,
            role=COLLECTOR_ROLE,
            node_id=own.node_id,
            incarnation=own.incarnation,
            on_change=self._lease_changed,
            is_candidate=self._is_candidate,
        )

    def start(self) -> None:
        """Starts to compete for the collector role."""
        self._lease.start()

    def close(self) -> None:
        """Stops, and releases the role if the node holds it."""
        self._task.close()
        self._lease.close()

    def _is_candidate(self) -> bool:
        members = self._membership.members()
        own_id = self._membership.own_record.node_id
        rank = candidate_rank(members, COLLECTOR_ROLE, own_id, _CANDIDATE_COUNT)
        return rank is not None

    def _lease_changed(self, holds: bool) -> None:
        if holds:
            self._task.start()
        else:
            self._task.close()

    async def _run(self) -> None:
        self._unreferenced_since.clear()
        while True:
            if await self._collect_once():
                self._backoff.reset()
                pause_s = _COLLECT_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            else:
                pause_s = self._backoff.next_delay_s()
            await sleep(self._reactor, pause_s)

    async def _collect_once(self) -> bool:
        """Makes one pass; returns whether every step succeeded."""
        listing = await await_result(
            self._reactor, self._store.list(_SECTIONS_PREFIX)
        )
        # The release is read after the listing, so that a section becoming
        # referenced in between counts as referenced.
        referenced = await self._referenced_names()
        if listing.is_error() or referenced is None:
            return False
        due = self._due_for_deletion(listing.ok, referenced)
        for name, version in due[:_MAX_DELETES_PER_PASS]:
            if not await self._delete_if_unreferenced(name, version):
                return False
            await sleep(self._reactor, _DELETE_INTERVAL_S)
        return True

    def _due_for_deletion(
        self, listing: list[Any], referenced: set[str]
    ) -> list[tuple[str, Any]]:
        """Returns the listed objects that were unreferenced long enough."""
        now = self._clock.monotonic()
        unreferenced = {
            (item.name, item.version)
            for item in listing
            if item.name not in referenced
        }
        self._unreferenced_since = {
            key: self._unreferenced_since.get(key, now) for key in unreferenced
        }
        return sorted(
            key
            for key, since in self._unreferenced_since.items()
            if now - since >= _UNREFERENCED_GRACE_S
        )

    async def _referenced_names(self) -> set[str] | None:
        """Returns the names in use; None if the release is unreadable."""
        found = await await_result(
            self._reactor, self._store.get(RELEASE_OBJECT)
        )
        if found.is_error():
            return None
        decoded = decode_release(found.ok.value)
        if decoded.is_error():
            _LOG.error(
                "release object cannot be decoded; no sections are deleted: %s",
                decoded.error,
            )
            return None
        return decoded.ok.referenced_objects()

    async def _delete_if_unreferenced(
        self, name: str, listed_version: Any
    ) -> bool:
        """Deletes an object unless it changed or is referenced by now.

        Returns:
            Whether the pass may go on.
        """
        found = await await_result(self._reactor, self._store.get(name))
        referenced = await self._referenced_names()
        if found.is_error() or referenced is None:
            return False
        if name in referenced or str(found.ok.version) != str(listed_version):
            return True
        result = await await_result(
            self._reactor, self._store.delete(name, found.ok.version)
        )
        self.deleted_objects += result.is_ok()
        # Also after an error, because the delete may have taken effect.
        return await self._restore_if_referenced(name, found.ok.value)

    async def _restore_if_referenced(self, name: str, value: bytes) -> bool:
        """Writes an object again if it has become referenced.

        Returns:
            Whether the object is in its right state; False if the lease was
            lost before.
        """
        while self._lease.holds:
            referenced = await self._referenced_names()
            if referenced is not None and name not in referenced:
                return True
            if referenced is not None:
                put = await await_result(
                    self._reactor, self._store.put(name, value, None)
                )
                if put.is_ok() or isinstance(put.error, Conflict):
                    _LOG.warning(
                        "%s became referenced during its deletion; "
                        "it exists again",
                        name,
                    )
                    return True
            await sleep(self._reactor, self._backoff.next_delay_s())
        return False
