"""Requests that may crash the upstream that runs them.

A crash makes every request in flight a suspect, most of them innocent. A
suspect is cleared as soon as one run of it ends normally, and is blocked only
by a crash during which it was the only suspect.
"""

import hashlib
from collections.abc import Iterable
from enum import Enum

from radishtray_state._clock import Clock

LIMIT_S = 60.0  # Time for which a crash is remembered.

_HOP_S = 0.1  # Lost with each hop, so that no chain of hops is endless.
_SAME_CRASH_S = 10.0  # News whose crash times differ less are one crash.
_PURGE_INTERVAL_S = 10.0
_RENEWAL_LIMIT_S = 2 * LIMIT_S  # News renews an entry up to this age.

_CLEARED = 0
_SUSPECT = 1
_BLOCKED = 2


class SuspectVerdict(Enum):
    """What an upstream's node does with a request."""

    RUN = "run"
    """Run it."""

    WAIT = "wait"
    """Another suspect is running; check again when it has finished."""

    REFUSE = "refuse"
    """Refuse it as `crash_suspect`."""


class CrashSuspect:
    """One entry as carried by gossip."""

    __slots__ = ("_crashes", "_fingerprint", "_ttl_s")

    def __init__(self, fingerprint: int, crashes: int, ttl_s: float) -> None:
        """Creates an entry.

        Args:
            fingerprint: Digest of the request.
            crashes: 0 for a cleared request, 1 for a suspect, 2 or more for
                a blocked one.
            ttl_s: Remaining time of the entry, in seconds.
        """
        self._fingerprint = fingerprint
        self._crashes = crashes
        self._ttl_s = ttl_s

    @property
    def fingerprint(self) -> int:
        """Digest of the request."""
        return self._fingerprint

    @property
    def crashes(self) -> int:
        """0 for a cleared request, 1 for a suspect, 2 for a blocked one."""
        return self._crashes

    @property
    def ttl_s(self) -> float:
        """Remaining time of the entry, in seconds."""
        return self._ttl_s


class _Entry:
    """What is known about a fingerprint.

    Fields:
        crashes: As in `CrashSuspect`.
        since: Time of the crash or of the clearing, on this node's clock.
        expires_at: Time from which the entry has no effect. It is kept longer
            so that late news of the same crash is recognised.
        renewable_until: Time up to which news may extend `expires_at`.
    """

    __slots__ = ("crashes", "expires_at", "renewable_until", "since")

    def __init__(self, crashes: int, since: float, now: float) -> None:
        self.crashes = crashes
        self.since = since
        self.expires_at = since + LIMIT_S
        self.renewable_until = now + _RENEWAL_LIMIT_S

    def forget_at(self) -> float:
        """Time from which news counts as news of an unknown crash."""
        return max(self.expires_at, self.renewable_until) + LIMIT_S


def fingerprint(service: str, kind: str, path: str, body: bytes) -> int:
    """Returns a 63-bit digest of a request.

    The lengths are part of the digest, so fields cannot run into each other.

    >>> fingerprint("a", "b", "/c", b"") == fingerprint("a", "b", "/", b"c")
    False
    """
    head = f"{len(service)},{len(kind)},{len(path)},{service}{kind}{path}"
    digest = hashlib.blake2b(head.encode(), digest_size=8)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1


def suspect_hosts(suspect: int, node_ids: Iterable[str]) -> list[str]:
    """Returns the nodes that may run a suspect, in the order to ask them.

    Every sender with the same view gets the same order (rendezvous hashing),
    so that concurrent resends of a crashing request meet at one node. The list
    must contain nodes whose upstream is down: such a node may know that its
    upstream's crash has blocked the request. Only if it answers
    `no_upstream`, the sender asks the next one.

    Args:
        suspect: Fingerprint of the suspect.
        node_ids: Nodes of the service.
    """
    salt = suspect.to_bytes(8, "big")

    def weight(node_id: str) -> bytes:
        return hashlib.blake2b(
            node_id.encode(), digest_size=8, key=salt
        ).digest()

    return sorted(node_ids, key=weight)


def suspect_host(suspect: int, node_ids: Iterable[str]) -> str | None:
    """Returns the node to ask first, or None; see `suspect_hosts`."""
    hosts = suspect_hosts(suspect, node_ids)
    return hosts[0] if hosts else None


class CrashSuspects:
    """Suspects known to a node and the requests running on its upstream."""

    __slots__ = (
        "_clock",
        "_entries",
        "_export_at",
        "_in_flight",
        "_max",
        "_only_suspect",
        "_purge_at",
    )

    def __init__(self, clock: Clock, max_entries: int = 2048) -> None:
        """Creates an empty record.

        Args:
            clock: Time source.
            max_entries: Fingerprints remembered. At the bound, cleared
                entries go first, then suspects, then blocked ones, each by
                age.

        Raises:
            ValueError: If the bound is not positive.
        """
        if max_entries <= 0:
            raise ValueError(f"{max_entries} entries is not a positive bound")
        self._clock = clock
        self._max = max_entries
        self._entries: dict[int, _Entry] = {}
        self._in_flight: dict[int, int] = {}
        self._export_at = 0
        self._only_suspect: int | None = None
        self._purge_at = 0.0

    @property
    def blocked_crashes(self) -> int:
        """Crashes from which a content is refused."""
        return _BLOCKED

    def __len__(self) -> int:
        """Returns the number of entries, expired ones included."""
        return len(self._entries)

    def crashes(self, fingerprint: int) -> int:
        """Returns 0 for an innocent, 1 for a suspect, 2 for a blocked one."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at <= self._clock.monotonic():
            return 0
        return entry.crashes

    def check(self, fingerprint: int, crash_count: int = 0) -> SuspectVerdict:
        """Decides about a request before it runs on this upstream.

        When the upstream crashes, requests that wait here are checked here
        again before they are sent elsewhere. Other nodes may not know yet
        that the crash has blocked them.

        Args:
            fingerprint: Digest of the request.
            crash_count: Crashes noted in the request's context. They make
                it a suspect but never block it, since a sender cannot tell
                whether it was the only one.

        Returns:
            The verdict. After `RUN` the caller calls `started` at once.
        """
        if not self._entries and not crash_count:
            return SuspectVerdict.RUN
        crashes = self.crashes(fingerprint)
        if crashes >= _BLOCKED:
            return SuspectVerdict.REFUSE
        if crash_count and not crashes:
            crashes = self.note_crash(fingerprint)
        if crashes and self._running_suspects():
            return SuspectVerdict.WAIT
        return SuspectVerdict.RUN

    def started(self, fingerprint: int) -> None:
        """Notes that a request was handed to the upstream."""
        if (
            self._entries
            and self.crashes(fingerprint) == _SUSPECT
            and not self._running_suspects()
        ):
            self._only_suspect = fingerprint
        running = self._in_flight.get(fingerprint, 0)
        self._in_flight[fingerprint] = running + 1

    def finished(self, fingerprint: int, completed: bool = True) -> bool:
        """Notes the end of a request that did not crash the upstream.

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
        return not self._running_suspects()

    def upstream_crashed(
        self, in_flight: Iterable[int] | None = None
    ) -> list[CrashSuspect]:
        """Notes that the upstream died.

        Blocks the request that was started as the only suspect, if any. A
        request that became a suspect while it was running does not count,
        in either direction: otherwise news of the first crash that arrives
        during the second run would protect the crashing request.

        Args:
            in_flight: Fingerprints that were running on it; by default those
                started and not finished.

        Returns:
            The entries that the crash has changed, for the answers.
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
        self._bound(now)
        return [
            CrashSuspect(f, self._entries[f].crashes, LIMIT_S)
            for f in running
            if f in self._entries
        ]

    def note_crash(self, fingerprint: int) -> int:
        """Makes an unknown request a suspect, but not a cleared one.

        For senders whose attempt ended with a crash of its upstream. It never
        blocks a request, however many of its attempts crashed: only the node
        beside the upstream knows whether it was the only suspect, and
        announces that by gossip.

        Returns:
            As `crashes`.
        """
        now = self._clock.monotonic()
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_at > now:
            return entry.crashes
        self._entries[fingerprint] = _Entry(_SUSPECT, now, now)
        self._bound(now)
        return _SUSPECT

    def merge(self, suspects: Iterable[CrashSuspect]) -> None:
        """Applies entries received from a peer.

        News of a crash that is already known changes nothing, however often
        and late it arrives. News of a later crash renews an entry, but never
        beyond twice the limit after the entry was made.
        """
        now = self._clock.monotonic()
        for suspect in suspects:
            ttl_s = min(suspect._ttl_s, LIMIT_S)
            if ttl_s > 0:
                self._merge_one(suspect, now - (LIMIT_S - ttl_s), now)
        self._bound(now)

    def export(self, limit: int = 8) -> list[CrashSuspect]:
        """Returns entries for one datagram, blocked ones first.

        Consecutive calls go round all entries.

        Args:
            limit: Most entries to return.
        """
        if not self._entries:
            return []
        now = self._clock.monotonic()
        self._bound(now)
        horizon = now + _HOP_S
        live = [
            (f, e) for f, e in self._entries.items() if e.expires_at > horizon
        ]
        if len(live) > limit:
            live = self._next_page(live, limit)
        return [
            CrashSuspect(f, e.crashes, e.expires_at - horizon) for f, e in live
        ]

    def _next_page(
        self, live: list[tuple[int, _Entry]], limit: int
    ) -> list[tuple[int, _Entry]]:
        """Returns up to half blocked entries, and others, in turn."""
        blocked = [item for item in live if item[1].crashes >= _BLOCKED]
        others = [item for item in live if item[1].crashes < _BLOCKED]
        self._export_at += limit
        page = _rotated(blocked, self._export_at)[: max(1, limit // 2)]
        page += _rotated(others, self._export_at)[: limit - len(page)]
        return page[:limit]

    def _running_suspects(self) -> bool:
        known = self._entries.keys() & self._in_flight.keys()
        return any(self.crashes(f) for f in known)

    def _merge_one(
        self, suspect: CrashSuspect, since: float, now: float
    ) -> None:
        crashes = min(suspect._crashes, _BLOCKED)
        entry = self._entries.get(suspect._fingerprint)
        if entry is None or entry.forget_at() <= now:
            self._entries[suspect._fingerprint] = _Entry(crashes, since, now)
            return
        if crashes == _CLEARED:
            if entry.crashes == _SUSPECT and since >= entry.since:
                entry.crashes = _CLEARED
                entry.since = since
            return
        is_news = since > entry.since + _SAME_CRASH_S
        is_upgrade = (
            crashes > max(entry.crashes, _SUSPECT)
            and since >= entry.since - _SAME_CRASH_S
        )
        if not is_news and not is_upgrade:
            return
        if entry.expires_at <= now:
            entry.crashes = crashes
        else:
            entry.crashes = max(crashes, entry.crashes)
        entry.since = max(since, entry.since)
        entry.expires_at = min(
            max(entry.expires_at, since + LIMIT_S), entry.renewable_until
        )

    def _bound(self, now: float) -> None:
        """Removes forgotten entries, then the least important ones."""
        if now >= self._purge_at:
            self._purge_at = now + _PURGE_INTERVAL_S
            self._entries = {
                f: e for f, e in self._entries.items() if e.forget_at() > now
            }
        excess = len(self._entries) - self._max
        if excess <= 0:
            return
        by_value = sorted(
            self._entries,
            key=lambda f: (
                self._entries[f].expires_at > now,
                self._entries[f].crashes,
                self._entries[f].since,
            ),
        )
        for fingerprint in by_value[:excess]:
            del self._entries[fingerprint]


def _rotated(
    items: list[tuple[int, _Entry]], start: int
) -> list[tuple[int, _Entry]]:
    if not items:
        return items
    start %= len(items)
    return items[start:] + items[:start]
