"""Quarantine of requests that may crash their upstream (queries of death).

Requests are identified by a fingerprint of their content. A crash makes every
request in flight a suspect, although most of them did not cause it. A suspect
is cleared as soon as one run of it is answered. It is blocked only by a crash
during which it was the only suspect, and suspects run one at a time so that
this can be determined. Nodes exchange their suspects by gossip.
"""

import hashlib
from collections.abc import Iterable
from enum import Enum

from radishtray_state._clock import Clock

LIMIT_S = 60.0  # Time for which a crash has an effect.

# Subtracted from the remaining time of an entry whenever it is exported, so
# that nodes cannot pass it back and forth endlessly.
_TTL_LOSS_PER_HOP_S = 0.1
# Reports whose crash times differ by at most this much are about one crash.
_SAME_CRASH_WINDOW_S = 10.0
_PURGE_INTERVAL_S = 10.0
# Age up to which reports from other nodes extend an entry.
_MAX_RENEWAL_AGE_S = 2 * LIMIT_S

_CLEARED = 0
_SUSPECT = 1
_BLOCKED = 2


class SuspectVerdict(Enum):
    """What an upstream's node does with a request."""

    RUN = "run"
    """Run it."""

    WAIT = "wait"
    """A suspect is running; check again when it has finished."""

    REFUSE = "refuse"
    """Refuse it as `crash_suspect`."""


class CrashSuspect:
    """One entry in the form that nodes exchange by gossip."""

    __slots__ = ("_crash_ids", "_crashes", "_fingerprint", "_ttl_s")

    def __init__(
        self,
        fingerprint: int,
        crashes: int,
        ttl_s: float,
        crash_ids: tuple[int, ...] = (),
    ) -> None:
        """Creates an entry.

        Args:
            fingerprint: Digest of the request.
            crashes: 0 for a cleared request, 1 for a suspect, 2 or more for
                a blocked one. In entries of a `CrashTally`, the number of
                crashes.
            ttl_s: Remaining time of the entry, in seconds.
            crash_ids: In entries of a `CrashTally`, the ids of the crashes, or
                of those that were cleared.
        """
        self._crash_ids = crash_ids
        self._fingerprint = fingerprint
        self._crashes = crashes
        self._ttl_s = ttl_s

    @property
    def fingerprint(self) -> int:
        """Digest of the request."""
        return self._fingerprint

    @property
    def crashes(self) -> int:
        """0 for a cleared request, 1 for a suspect, 2 or more if blocked."""
        return self._crashes

    @property
    def ttl_s(self) -> float:
        """Remaining time of the entry, in seconds."""
        return self._ttl_s

    @property
    def crash_ids(self) -> tuple[int, ...]:
        """Ids of the crashes that the entry is about; see `CrashTally`."""
        return self._crash_ids


class _Entry:
    """State of one fingerprint at this node.

    Attributes:
        crashes: As in `CrashSuspect`.
        since: Time of the crash or of the clearing, on this node's clock.
        expires_at: Time from which the entry has no effect. It is kept longer
            so that delayed reports of the same crash are recognised.
        renewable_until: Time up to which reports may extend `expires_at`.
    """

    __slots__ = ("crashes", "expires_at", "renewable_until", "since")

    def __init__(self, crashes: int, since: float, now: float) -> None:
        self.crashes = crashes
        self.since = since
        self.expires_at = since + LIMIT_S
        self.renewable_until = now + _MAX_RENEWAL_AGE_S

    def get_removal_time(self) -> float:
        """Returns the time from which a report counts as a new crash."""
        return max(self.expires_at, self.renewable_until) + LIMIT_S


def fingerprint(service: str, kind: str, path: str, body: bytes) -> int:
    """Returns a 63-bit digest of a request.

    The lengths are part of the digest, so that moving a character from one
    field to the next changes it.

    >>> fingerprint("a", "b", "/c", b"") == fingerprint("a", "b", "/", b"c")
    False
    """
    head = f"{len(service)},{len(kind)},{len(path)},{service}{kind}{path}"
    digest = hashlib.blake2b(head.encode(), digest_size=8)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1


def suspect_hosts(suspect: int, node_ids: Iterable[str]) -> list[str]:
    """Returns the nodes that may run a suspect, in the order to ask them.

    The order is computed by rendezvous hashing. Senders with the same list of
    nodes get the same order, so that concurrent resends of a crashing request
    reach the same node. The list must contain nodes whose upstream is down:
    such a node may know that its upstream's crash has blocked the request. The
    sender asks the next node only if the previous one answers `no_upstream`.

    Args:
        suspect: Fingerprint of the suspect.
        node_ids: Nodes of the service.
    """
    hash_key = suspect.to_bytes(8, "big")

    def weight(node_id: str) -> bytes:
        return hashlib.blake2b(
            node_id.encode(), digest_size=8, key=hash_key
        ).digest()

    return sorted(node_ids, key=weight)


def suspect_host(suspect: int, node_ids: Iterable[str]) -> str | None:
    """Returns the node to ask first, or None; see `suspect_hosts`."""
    hosts = suspect_hosts(suspect, node_ids)
    return hosts[0] if hosts else None


class CrashSuspects:
    """Crash suspects of a node, and the requests in flight on its upstream."""

    __slots__ = (
        "_clock",
        "_entries",
        "_export_offset",
        "_in_flight",
        "_max_entries",
        "_only_suspect",
        "_purge_at",
    )

    def __init__(self, clock: Clock, max_entries: int = 2048) -> None:
        """Creates an empty record.

        Args:
            clock: Time source.
            max_entries: Maximum number of fingerprints. If it is exceeded,
                expired entries are evicted first, then cleared ones, then
                suspects, then blocked ones, in each group the oldest first.

        Raises:
            ValueError: If `max_entries` is not positive.
        """
        if max_entries <= 0:
            raise ValueError(
                f"{max_entries} is not a positive number of entries"
            )
        self._clock = clock
        self._max_entries = max_entries
        self._entries: dict[int, _Entry] = {}
        self._in_flight: dict[int, int] = {}
        self._export_offset = 0
        self._only_suspect: int | None = None
        self._purge_at = 0.0

    @property
    def block_threshold(self) -> int:
        """Value of `crashes` from which a request is refused."""
        return _BLOCKED

    def __len__(self) -> int:
        """Returns the number of entries, including expired ones."""
        return len(self._entries)

    def crashes(self, fingerprint: int) -> int:
        """Returns the state of a request.

        Returns:
            1 for a suspect, 2 for a blocked request, 0 for any other.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at <= self._clock.monotonic():
            return 0
        return entry.crashes

    def check(self, fingerprint: int, crash_count: int = 0) -> SuspectVerdict:
        """Decides whether a request may run on this upstream.

        When the upstream crashes, requests that wait at this node are checked
        here again before they are sent elsewhere. Other nodes may not know yet
        that the crash has blocked them.

        Args:
            fingerprint: Digest of the request.
            crash_count: Number of crashes in the request's context. Crashes
                make the request a suspect but never block it, because a sender
                cannot tell whether it was the only suspect.

        Returns:
            The verdict. After `RUN` the caller calls `record_start` at once.
        """
        if not self._entries and not crash_count:
            return SuspectVerdict.RUN
        crashes = self.crashes(fingerprint)
        if crashes >= _BLOCKED:
            return SuspectVerdict.REFUSE
        if crash_count and not crashes:
            crashes = self.record_crash(fingerprint)
        if crashes and self._has_running_suspect():
            return SuspectVerdict.WAIT
        return SuspectVerdict.RUN

    def record_start(self, fingerprint: int) -> None:
        """Records that a request was sent to the upstream."""
        if (
            self._entries
            and self.crashes(fingerprint) == _SUSPECT
            and not self._has_running_suspect()
        ):
            self._only_suspect = fingerprint
        running = self._in_flight.get(fingerprint, 0)
        self._in_flight[fingerprint] = running + 1

    def record_end(self, fingerprint: int, completed: bool = True) -> bool:
        """Records the end of a run that did not crash the upstream.

        Args:
            fingerprint: Digest of the request.
            completed: Whether the upstream answered. Only then is a suspect
                cleared; a cancelled or timed out one stays a suspect.

        Returns:
            Whether a waiting suspect may run now.
        """
        running = self._in_flight.get(fingerprint, 0)
        if running > 1:
            self._in_flight[fingerprint] = running - 1
        elif running:
            del self._in_flight[fingerprint]
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        if fingerprint == self._only_suspect:
            self._only_suspect = None
        if completed and self.crashes(fingerprint) == _SUSPECT:
            now = self._clock.monotonic()
            entry.crashes = _CLEARED
            entry.since = now
            entry.expires_at = now + LIMIT_S
        return not self._has_running_suspect()

    def record_abandoned(self, fingerprint: int) -> bool:
        """Records that this node no longer waits for the end of a run.

        Returns:
            Whether a waiting suspect may run now.
        """
        return self.record_end(fingerprint, completed=False)

    def upstream_crashed(
        self, in_flight: Iterable[int] | None = None
    ) -> list[CrashSuspect]:
        """Records that the upstream crashed.

        Blocks the request that was started as the only suspect, if any. A
        request that became a suspect during its run is neither blocked nor
        counted as a second suspect. Otherwise a report of the first crash that
        arrives during the second run would keep the crashing request from
        being blocked.

        Args:
            in_flight: Fingerprints that were running; by default those that
                were started and have not finished.

        Returns:
            The entries that the crash has changed, for the answers to the
            requests in flight.
        """
        now = self._clock.monotonic()
        running = set(self._in_flight if in_flight is None else in_flight)
        self._in_flight.clear()
        blocked = {f for f in running if self.crashes(f) >= _BLOCKED}
        only_suspect = None if blocked else self._only_suspect
        self._only_suspect = None
        for fingerprint in running - blocked:
            crashes = _BLOCKED if fingerprint == only_suspect else _SUSPECT
            self._entries[fingerprint] = _Entry(crashes, now, now)
        self._purge_and_evict(now)
        return [
            CrashSuspect(f, self._entries[f].crashes, LIMIT_S)
            for f in running
            if f in self._entries
        ]

    def record_crash(self, fingerprint: int) -> int:
        """Makes a request a suspect unless it has an unexpired entry.

        Called by a sender whose attempt ended with a crash of the upstream. It
        never blocks a request, however many of its attempts ended so. Only the
        node beside the upstream can tell whether the request was the only
        suspect, and reports that by gossip. A cleared request stays cleared.

        Returns:
            The same as `crashes`.
        """
        now = self._clock.monotonic()
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at > now:
            return entry.crashes
        self._entries[fingerprint] = _Entry(_SUSPECT, now, now)
        self._purge_and_evict(now)
        return _SUSPECT

    def merge(self, suspects: Iterable[CrashSuspect]) -> None:
        """Applies entries received from another node.

        A report of a known crash changes nothing, however often and late it
        arrives. A report of a later crash extends an entry, but not beyond
        twice `LIMIT_S` after the entry was made.
        """
        now = self._clock.monotonic()
        for suspect in suspects:
            ttl_s = min(suspect._ttl_s, LIMIT_S)
            if ttl_s > 0:
                self._merge_entry(suspect, now - (LIMIT_S - ttl_s), now)
        self._purge_and_evict(now)

    def export(self, limit: int = 8) -> list[CrashSuspect]:
        """Returns entries for one datagram, blocked ones first.

        If there are more entries than the limit, consecutive calls return
        them in turn (round-robin).

        Args:
            limit: Maximum number of entries to return.
        """
        if not self._entries:
            return []
        now = self._clock.monotonic()
        self._purge_and_evict(now)
        min_expires_at = now + _TTL_LOSS_PER_HOP_S
        live = [
            (f, e)
            for f, e in self._entries.items()
            if e.expires_at > min_expires_at
        ]
        if len(live) > limit:
            live = self._next_page(live, limit)
        return [
            CrashSuspect(f, e.crashes, e.expires_at - min_expires_at)
            for f, e in live
        ]

    def _next_page(
        self, live: list[tuple[int, _Entry]], limit: int
    ) -> list[tuple[int, _Entry]]:
        """Returns the next page; blocked entries fill up to half of it."""
        blocked = [item for item in live if item[1].crashes >= _BLOCKED]
        others = [item for item in live if item[1].crashes < _BLOCKED]
        self._export_offset += limit
        page = _rotate(blocked, self._export_offset)[: max(1, limit // 2)]
        page += _rotate(others, self._export_offset)[: limit - len(page)]
        return page[:limit]

    def _has_running_suspect(self) -> bool:
        known = self._entries.keys() & self._in_flight.keys()
        return any(self.crashes(f) for f in known)

    def _merge_entry(
        self, suspect: CrashSuspect, since: float, now: float
    ) -> None:
        crashes = min(suspect._crashes, _BLOCKED)
        entry = self._entries.get(suspect._fingerprint)
        if entry is None or entry.get_removal_time() <= now:
            self._entries[suspect._fingerprint] = _Entry(crashes, since, now)
            return
        if crashes == _CLEARED:
            if entry.crashes == _SUSPECT and since >= entry.since:
                entry.crashes = _CLEARED
                entry.since = since
            return
        is_later_crash = since > entry.since + _SAME_CRASH_WINDOW_S
        is_newly_blocked = (
            crashes > max(entry.crashes, _SUSPECT)
            and since >= entry.since - _SAME_CRASH_WINDOW_S
        )
        if not is_later_crash and not is_newly_blocked:
            return
        if entry.expires_at <= now:
            entry.crashes = crashes
        else:
            entry.crashes = max(crashes, entry.crashes)
        entry.since = max(since, entry.since)
        entry.expires_at = min(
            max(entry.expires_at, since + LIMIT_S), entry.renewable_until
        )

    def _purge_and_evict(self, now: float) -> None:
        """Removes outdated entries and evicts the least important ones.

        The outdated ones are removed once per purge interval.
        """
        if now >= self._purge_at:
            self._purge_at = now + _PURGE_INTERVAL_S
            self._entries = {
                f: e
                for f, e in self._entries.items()
                if e.get_removal_time() > now
            }
        excess = len(self._entries) - self._max_entries
        if excess <= 0:
            return
        by_importance = sorted(
            self._entries,
            key=lambda f: (
                self._entries[f].expires_at > now,
                self._entries[f].crashes,
                self._entries[f].since,
            ),
        )
        for fingerprint in by_importance[:excess]:
            del self._entries[fingerprint]


def _rotate(
    items: list[tuple[int, _Entry]], start: int
) -> list[tuple[int, _Entry]]:
    if not items:
        return items
    start %= len(items)
    return items[start:] + items[:start]
