"""Counts of the crashes of upstreams while a request content was running.

`CrashSuspects` runs each request that was in flight at a crash alone. That is
not possible where many requests have the same content, because a crash makes
all of them suspects. This tally only counts crashes, over all nodes, and
starts again as soon as a run of the content is answered.

A content that is refused cannot be answered, although it may be harmless or its
upstream may have been corrected. A few single runs are therefore tried later;
see `claim_probe`.

Every crash has an id. Nodes exchange the ids and keep their union, so that
crashes that different nodes saw add up, and a crash that several nodes report
counts once. An answer clears the ids that are known where it arrives.
"""

import itertools
import random
from collections.abc import Callable, Iterable

from radishtray_state._clock import Clock
from radishtray_state._crash_suspects import CrashSuspect, SuspectVerdict

# A harmless content that is in flight together with a crashing one may run
# together with it again after a resend. That this happens three times without
# any answer in between is not expected.
BLOCK_THRESHOLD = 3
# Time for which crashes below the threshold are remembered.
_COUNT_RETENTION_S = 600.0
# Time for which a refused content is remembered after its last arrival.
_BLOCK_RETENTION_S = 3600.0
# Time from the threshold, or from a probe, to the next probe. There are no more
# probes, since each may crash another upstream.
_PROBE_DELAYS_S = (60.0, 600.0)
# A crash within this time after a run was abandoned counts against it, because
# the upstream may not have noticed.
_ABANDONED_RUN_S = 1.0
_MAX_ENTRIES = 2048
_CRASH_ID_BITS = 63


class _Entry:
    """Ids of the crashes of one content, or of those that an answer cleared."""

    __slots__ = ("crash_ids", "expires_at", "probe_at", "probes")

    def __init__(self) -> None:
        self.crash_ids: set[int] = set()
        self.expires_at = 0.0
        self.probe_at = 0.0
        self.probes = 0

    @property
    def has_many(self) -> bool:
        """Whether the crashes are enough to refuse the content."""
        return len(self.crash_ids) >= BLOCK_THRESHOLD

    @property
    def importance(self) -> tuple[int, float]:
        """Order in which entries are kept if there are too many."""
        return len(self.crash_ids), self.expires_at


class CrashTally:
    """Counts the crashes of each content until one of its runs is answered."""

    __slots__ = (
        "_abandoned_until",
        "_cleared",
        "_clock",
        "_entries",
        "_exports",
        "_rng",
        "_running_counts",
    )

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        """Creates an empty tally.

        Args:
            clock: Time source.
            rng: Source of crash ids, which must differ between nodes.
        """
        self._clock = clock
        self._rng = rng or random.SystemRandom()
        self._entries: dict[int, _Entry] = {}
        self._cleared: dict[int, _Entry] = {}
        self._running_counts: dict[int, int] = {}
        self._abandoned_until: dict[int, float] = {}
        self._exports = 0

    @property
    def block_threshold(self) -> int:
        """Number of crashes from which a content is refused."""
        return BLOCK_THRESHOLD

    def __len__(self) -> int:
        """Returns the number of contents with a counted crash."""
        return len(self._entries)

    def crashes(self, fingerprint: int) -> int:
        """Returns the number of unexpired crashes of a content."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return 0
        if entry.expires_at <= self._clock.monotonic():
            del self._entries[fingerprint]
            return 0
        return len(entry.crash_ids)

    def check(self, fingerprint: int, crash_count: int = 0) -> SuspectVerdict:
        """Returns whether a content may run.

        Args:
            fingerprint: Digest of the content.
            crash_count: Number of crashes that the sender knows of.
        """
        known = max(self.crashes(fingerprint), crash_count)
        if known < BLOCK_THRESHOLD:
            return SuspectVerdict.RUN
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.expires_at = self._clock.monotonic() + _BLOCK_RETENTION_S
        return SuspectVerdict.REFUSE

    def is_probe_due(self, fingerprint: int) -> bool:
        """Returns whether a refused content may be run once."""
        entry = self._entries.get(fingerprint)
        return (
            entry is not None
            and entry.has_many
            and entry.probes < len(_PROBE_DELAYS_S)
            and self._clock.monotonic() >= entry.probe_at
        )

    def claim_probe(self, fingerprint: int) -> bool:
        """Returns whether to run a refused content once, and counts the run.

        Only one node of the fleet should run probes of a content.
        """
        if not self.is_probe_due(fingerprint):
            return False
        entry = self._entries[fingerprint]
        entry.probes += 1
        if entry.probes < len(_PROBE_DELAYS_S):
            entry.probe_at = (
                self._clock.monotonic() + _PROBE_DELAYS_S[entry.probes]
            )
        return True

    def record_start(self, fingerprint: int) -> None:
        """Records that a run of a content has started."""
        self._running_counts[fingerprint] = (
            self._running_counts.get(fingerprint, 0) + 1
        )

    def record_end(self, fingerprint: int, completed: bool = True) -> bool:
        """Records the end of a run that did not crash the upstream.

        Args:
            fingerprint: Digest of the content.
            completed: Whether the upstream answered, which clears the content.

        Returns:
            Always False, because no request waits for another. The return
            value matches that of `CrashSuspects.record_end`.
        """
        self._remove_run(fingerprint)
        if completed:
            self._clear(fingerprint)
        return False

    def record_abandoned(self, fingerprint: int) -> bool:
        """Records that this node no longer waits for the end of a run.

        Returns:
            Always False, as `record_end` does.
        """
        self._remove_run(fingerprint)
        now = self._clock.monotonic()
        if len(self._abandoned_until) >= _MAX_ENTRIES:
            self._abandoned_until = {
                f: t for f, t in self._abandoned_until.items() if t > now
            }
        if len(self._abandoned_until) < _MAX_ENTRIES:
            self._abandoned_until[fingerprint] = now + _ABANDONED_RUN_S
        return False

    def _clear(self, fingerprint: int) -> None:
        entry = self._entries.pop(fingerprint, None)
        if entry is not None:
            self._add(
                self._cleared, fingerprint, entry.crash_ids, _COUNT_RETENTION_S
            )

    def _remove_run(self, fingerprint: int) -> None:
        count = self._running_counts.get(fingerprint, 0) - 1
        if count > 0:
            self._running_counts[fingerprint] = count
        else:
            self._running_counts.pop(fingerprint, None)

    def upstream_crashed(self) -> list[CrashSuspect]:
        """Counts one crash for each content that was running.

        Returns:
            What this changed, for the other nodes of the service.
        """
        now = self._clock.monotonic()
        crash_id = self._new_crash_id()
        abandoned = [f for f, t in self._abandoned_until.items() if t > now]
        running = dict.fromkeys((*self._running_counts, *abandoned))
        self._running_counts.clear()
        self._abandoned_until.clear()
        for fingerprint in running:
            self._add_crashes(fingerprint, (crash_id,), _COUNT_RETENTION_S)
        return [
            self._export_entry(fingerprint, self._entries[fingerprint], now)
            for fingerprint in running
            if fingerprint in self._entries
        ]

    def record_crash(self, fingerprint: int) -> int:
        """Counts one crash and returns the new count."""
        self._add_crashes(
            fingerprint, (self._new_crash_id(),), _COUNT_RETENTION_S
        )
        return self.crashes(fingerprint)

    def record_process_end(
        self, fingerprints: Iterable[int], crash_id: int
    ) -> list[CrashSuspect]:
        """Counts a crash that ended the node beside the upstream as well.

        Args:
            fingerprints: Contents that were running there.
            crash_id: Id that all nodes give to this crash.

        Returns:
            What this changed, for the other nodes of the service.
        """
        now = self._clock.monotonic()
        changed = []
        for fingerprint in dict.fromkeys(fingerprints):
            self._add_crashes(fingerprint, (crash_id,), _COUNT_RETENTION_S)
            entry = self._entries.get(fingerprint)
            if entry is not None and crash_id in entry.crash_ids:
                changed.append(self._export_entry(fingerprint, entry, now))
        return changed

    def retract(self, crash_id: int) -> list[CrashSuspect]:
        """Removes a crash that has turned out to be none.

        Returns:
            What this changed, for the other nodes of the service.
        """
        changed = [
            CrashSuspect(fingerprint, 0, _COUNT_RETENTION_S, (crash_id,))
            for fingerprint, entry in self._entries.items()
            if crash_id in entry.crash_ids
        ]
        self.merge(changed)
        return changed

    def _new_crash_id(self) -> int:
        return self._rng.getrandbits(_CRASH_ID_BITS)

    def _add_crashes(
        self, fingerprint: int, crash_ids: Iterable[int], ttl_s: float
    ) -> None:
        """Adds crashes that were not cleared, up to the block threshold."""
        self.crashes(fingerprint)  # Drops an expired entry.
        cleared = self._cleared.get(fingerprint)
        known = self._entries.get(fingerprint)
        limit = BLOCK_THRESHOLD - (len(known.crash_ids) if known else 0)
        new_ids = [
            crash_id
            for crash_id in crash_ids
            if (cleared is None or crash_id not in cleared.crash_ids)
            and (known is None or crash_id not in known.crash_ids)
        ][:limit]
        if new_ids:
            self._add(self._entries, fingerprint, new_ids, ttl_s)

    def _add(
        self,
        entries: dict[int, _Entry],
        fingerprint: int,
        crash_ids: Iterable[int],
        ttl_s: float,
    ) -> None:
        """Adds ids to an entry, which is made if there is none."""
        now = self._clock.monotonic()
        entry = entries.get(fingerprint)
        if entry is None:
            if len(entries) >= _MAX_ENTRIES:
                del entries[min(entries, key=lambda f: entries[f].importance)]
            entry = entries[fingerprint] = _Entry()
        had_many = entry.has_many
        entry.crash_ids.update(crash_ids)
        entry.expires_at = max(entry.expires_at, now + ttl_s)
        if entry.has_many and not had_many:
            entry.expires_at = max(entry.expires_at, now + _BLOCK_RETENTION_S)
            entry.probe_at = now + _PROBE_DELAYS_S[0]

    def merge(self, suspects: Iterable[CrashSuspect]) -> None:
        """Applies entries received from another node.

        An entry with 0 crashes clears the crashes that it names. Entries
        without crash ids, which earlier versions send, are ignored.
        """
        for suspect in suspects:
            fingerprint = suspect.fingerprint
            ttl_s = min(suspect.ttl_s, _BLOCK_RETENTION_S)
            if not suspect.crash_ids or ttl_s <= 0:
                continue
            if suspect.crashes:
                self._add_crashes(fingerprint, suspect.crash_ids, ttl_s)
                continue
            self._add(self._cleared, fingerprint, suspect.crash_ids, ttl_s)
            entry = self._entries.get(fingerprint)
            if entry is not None:
                entry.crash_ids.difference_update(suspect.crash_ids)
                if not entry.crash_ids:
                    del self._entries[fingerprint]

    def export(self, limit: int = 8) -> list[CrashSuspect]:
        """Returns the entries to send to other nodes.

        Half of the limit goes to contents with several crashes. Cleared ones
        follow, up to a quarter, first those that were refused, then contents
        with one crash. Consecutive calls return the entries of each group, and
        the ids of each entry, in turn.

        Args:
            limit: Maximum number of entries to return.
        """
        now = self._clock.monotonic()
        for entries in (self._entries, self._cleared):
            for fingerprint in [
                f for f, entry in entries.items() if entry.expires_at <= now
            ]:
                del entries[fingerprint]
        self._exports += 1
        several = self._page(
            limit // 2, lambda entry: len(entry.crash_ids) > 1, self._entries
        )
        cleared = self._page(
            limit // 4, lambda entry: entry.has_many, self._cleared
        )
        cleared += self._page(
            limit // 4 - len(cleared),
            lambda entry: not entry.has_many,
            self._cleared,
        )
        single = self._page(
            limit - len(several) - len(cleared),
            lambda entry: len(entry.crash_ids) == 1,
            self._entries,
        )
        return [
            *(self._export_entry(f, entry, now) for f, entry in several),
            *(
                self._export_entry(f, entry, now, is_cleared=True)
                for f, entry in cleared
            ),
            *(self._export_entry(f, entry, now) for f, entry in single),
        ]

    def _page(
        self,
        size: int,
        is_selected: Callable[[_Entry], bool],
        entries: dict[int, _Entry],
    ) -> list[tuple[int, _Entry]]:
        """Returns the next entries of a group, in turn."""
        group = [item for item in entries.items() if is_selected(item[1])]
        if not group:
            return []
        start = self._exports * size % len(group)
        return list(itertools.islice(group[start:] + group[:start], size))

    def _export_entry(
        self,
        fingerprint: int,
        entry: _Entry,
        now: float,
        *,
        is_cleared: bool = False,
    ) -> CrashSuspect:
        ids = sorted(entry.crash_ids)
        start = self._exports % len(ids) if len(ids) > BLOCK_THRESHOLD else 0
        crash_ids = tuple((ids[start:] + ids[:start])[:BLOCK_THRESHOLD])
        return CrashSuspect(
            fingerprint,
            0 if is_cleared else len(entry.crash_ids),
            entry.expires_at - now,
            crash_ids,
        )
