"""Counts of the crashes of upstreams while a request content was running.

`CrashSuspects` runs each request that was in flight at a crash alone. That is
not possible where many requests have the same content, because a crash makes
all of them suspects. This tally only counts crashes, over all nodes, and
starts again as soon as a run of the content is answered.
"""

from collections.abc import Iterable

from radishtray_state._clock import Clock
from radishtray_state._crash_suspects import CrashSuspect, SuspectVerdict

# A harmless content that is in flight together with a crashing one may run
# together with it again after a resend. That this happens three times without
# any answer in between is not expected.
BLOCK_THRESHOLD = 3
_RETENTION_S = 60.0
# Longer than gossip entries that were sent before the answer are in transit.
_CLEARED_RETENTION_S = 10.0
_MAX_ENTRIES = 2048


class CrashTally:
    """Counts the crashes of each content until one of its runs is answered."""

    __slots__ = ("_cleared_until", "_clock", "_entries", "_running_counts")

    def __init__(self, clock: Clock) -> None:
        """Creates an empty tally."""
        self._clock = clock
        self._entries: dict[int, tuple[int, float]] = {}
        self._cleared_until: dict[int, float] = {}
        self._running_counts: dict[int, int] = {}

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
        if entry[1] <= self._clock.monotonic():
            del self._entries[fingerprint]
            return 0
        return entry[0]

    def check(self, fingerprint: int, crash_count: int = 0) -> SuspectVerdict:
        """Returns whether a content may run.

        Args:
            fingerprint: Digest of the content.
            crash_count: Number of crashes that the sender knows of.
        """
        known = max(self.crashes(fingerprint), crash_count)
        if known >= BLOCK_THRESHOLD:
            return SuspectVerdict.REFUSE
        return SuspectVerdict.RUN

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
        if completed and self._entries.pop(fingerprint, None) is not None:
            now = self._clock.monotonic()
            self._cleared_until[fingerprint] = now + _CLEARED_RETENTION_S
        return False

    def _remove_run(self, fingerprint: int) -> None:
        count = self._running_counts.get(fingerprint, 0) - 1
        if count > 0:
            self._running_counts[fingerprint] = count
        else:
            self._running_counts.pop(fingerprint, None)

    def upstream_crashed(self) -> None:
        """Counts one crash for each content that was running."""
        for fingerprint in list(self._running_counts):
            self.record_crash(fingerprint)
        self._running_counts.clear()

    def record_crash(self, fingerprint: int) -> int:
        """Counts one crash and returns the new count."""
        count = self.crashes(fingerprint) + 1
        self._set_entry(fingerprint, count, _RETENTION_S)
        return count

    def _set_entry(self, fingerprint: int, crashes: int, ttl_s: float) -> None:
        if len(self._entries) >= _MAX_ENTRIES:
            oldest = min(self._entries, key=lambda f: self._entries[f][1])
            del self._entries[oldest]
        expires_at = self._clock.monotonic() + ttl_s
        self._entries[fingerprint] = (crashes, expires_at)

    def merge(self, suspects: Iterable[CrashSuspect]) -> None:
        """Applies entries received from another node.

        An entry with 0 crashes clears its content. Another entry replaces a
        lower count, unless the content was cleared recently.
        """
        now = self._clock.monotonic()
        for suspect in suspects:
            fingerprint = suspect.fingerprint
            if suspect.crashes == 0:
                self._entries.pop(fingerprint, None)
                self._cleared_until[fingerprint] = now + suspect.ttl_s
            elif self._cleared_until.get(
                fingerprint, 0.0
            ) <= now and suspect.crashes > self.crashes(fingerprint):
                self._set_entry(fingerprint, suspect.crashes, suspect.ttl_s)

    def export(self, limit: int = 8) -> list[CrashSuspect]:
        """Returns the entries to send to other nodes.

        Half of the limit goes to the contents with the most crashes. Cleared
        contents follow, then the remaining ones.

        Args:
            limit: Maximum number of entries to return.
        """
        now = self._clock.monotonic()
        self._cleared_until = {
            f: t for f, t in self._cleared_until.items() if t > now
        }
        by_crashes = sorted(self._entries.items(), key=lambda item: -item[1][0])
        entries = [
            CrashSuspect(fingerprint, crashes, expires_at - now)
            for fingerprint, (crashes, expires_at) in by_crashes
            if expires_at > now
        ]
        cleared_entries = [
            CrashSuspect(fingerprint, 0, until - now)
            for fingerprint, until in self._cleared_until.items()
        ]
        return (
            entries[: limit // 2] + cleared_entries + entries[limit // 2 :]
        )[:limit]
