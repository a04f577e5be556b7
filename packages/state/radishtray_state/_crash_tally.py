"""Contents that have crashed several upstreams, counted over all nodes.

`CrashSuspects` runs every content that was in flight at a crash alone. Where
many requests share one content that is no option: a crash would make all of
them suspects. This tally only counts crashes without an answer in between.
"""

from collections.abc import Iterable

from radishtray_state._clock import Clock
from radishtray_state._crash_suspects import CrashSuspect, SuspectVerdict

# An innocent content that is in flight beside a crashing one is seen with it
# again after a resend; a third meeting without any answer is not expected.
BLOCKED_CRASHES = 3
_MEMORY_S = 60.0
# News of an answer outlives the gossip that is still under way.
_CLEARED_MEMORY_S = 10.0
_MAX_ENTRIES = 2048


class CrashTally:
    """Counts the crashes of each content until one of its runs is answered."""

    __slots__ = ("_cleared", "_clock", "_entries", "_running")

    def __init__(self, clock: Clock) -> None:
        """Starts without entries."""
        self._clock = clock
        self._entries: dict[int, tuple[int, float]] = {}
        self._cleared: dict[int, float] = {}
        self._running: dict[int, int] = {}

    @property
    def blocked_crashes(self) -> int:
        """Crashes from which a content is refused."""
        return BLOCKED_CRASHES

    def __len__(self) -> int:
        """Contents with at least one crash."""
        return len(self._entries)

    def crashes(self, fingerprint: int) -> int:
        """Returns how many crashes of a content are remembered."""
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
            crash_count: Crashes that the sender knows of.
        """
        known = max(self.crashes(fingerprint), crash_count)
        if known >= BLOCKED_CRASHES:
            return SuspectVerdict.REFUSE
        return SuspectVerdict.RUN

    def started(self, fingerprint: int) -> None:
        """Notes a run."""
        self._running[fingerprint] = self._running.get(fingerprint, 0) + 1

    def finished(self, fingerprint: int, completed: bool = True) -> bool:
        """Notes the end of a run that did not crash the upstream.

        Args:
            fingerprint: Digest of the content.
            completed: Whether the upstream answered, which clears the content.

        Returns:
            Whether waiting contents should be checked again; never here.
        """
        self._end(fingerprint)
        if completed and self._entries.pop(fingerprint, None) is not None:
            now = self._clock.monotonic()
            self._cleared[fingerprint] = now + _CLEARED_MEMORY_S
        return False

    def _end(self, fingerprint: int) -> None:
        count = self._running.get(fingerprint, 0) - 1
        if count > 0:
            self._running[fingerprint] = count
        else:
            self._running.pop(fingerprint, None)

    def upstream_crashed(self) -> None:
        """Counts a crash for every content that was running."""
        for fingerprint in list(self._running):
            self.note_crash(fingerprint)
        self._running.clear()

    def note_crash(self, fingerprint: int) -> int:
        """Counts one crash and returns the new count."""
        count = self.crashes(fingerprint) + 1
        self._put(fingerprint, count, _MEMORY_S)
        return count

    def _put(self, fingerprint: int, crashes: int, ttl_s: float) -> None:
        if len(self._entries) >= _MAX_ENTRIES:
            oldest = min(self._entries, key=lambda f: self._entries[f][1])
            del self._entries[oldest]
        expires_at = self._clock.monotonic() + ttl_s
        self._entries[fingerprint] = (crashes, expires_at)

    def merge(self, suspects: Iterable[CrashSuspect]) -> None:
        """Takes over what another node knows."""
        now = self._clock.monotonic()
        for suspect in suspects:
            digest = suspect.fingerprint
            if suspect.crashes == 0:
                self._entries.pop(digest, None)
                self._cleared[digest] = now + suspect.ttl_s
            elif self._cleared.get(
                digest, 0.0
            ) <= now and suspect.crashes > self.crashes(digest):
                self._put(digest, suspect.crashes, suspect.ttl_s)

    def export(self, limit: int = 8) -> list[CrashSuspect]:
        """Returns the entries to tell other nodes, the worst first."""
        now = self._clock.monotonic()
        self._cleared = {f: t for f, t in self._cleared.items() if t > now}
        worst = sorted(self._entries.items(), key=lambda item: -item[1][0])
        entries = [
            CrashSuspect(digest, crashes, expires_at - now)
            for digest, (crashes, expires_at) in worst
            if expires_at > now
        ]
        cleared = [
            CrashSuspect(digest, 0, until - now)
            for digest, until in self._cleared.items()
        ]
        return (entries[: limit // 2] + cleared + entries[limit // 2 :])[:limit]
