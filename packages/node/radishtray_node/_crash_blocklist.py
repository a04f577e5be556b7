"""Requests that must not be sent because their content crashes upstreams."""

from collections.abc import Callable

from radishtray_state import CrashTally, SuspectVerdict


class CrashBlocklist:
    """Blocks requests whose content has crashed too many upstreams."""

    __slots__ = ("_crash_tally", "_is_prober")

    def __init__(
        self, crash_tally: CrashTally, is_prober: Callable[[int], bool]
    ) -> None:
        """Creates a blocklist.

        Args:
            crash_tally: Crash counts, by fingerprint.
            is_prober: Returns whether it is this node of the fleet that tries
                single runs of a blocked request.
        """
        self._crash_tally = crash_tally
        self._is_prober = is_prober

    def is_blocked(self, fingerprint: int) -> bool:
        """Returns whether requests with this fingerprint must not be sent."""
        return self._crash_tally.check(fingerprint) is SuspectVerdict.REFUSE

    def claim_probe(self, fingerprint: int) -> bool:
        """Returns whether to send a blocked request once all the same."""
        tally = self._crash_tally
        return (
            tally.is_probe_due(fingerprint)
            and self._is_prober(fingerprint)
            and tally.claim_probe(fingerprint)
        )

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns whether an upstream crashed while it ran such a request."""
        return self._crash_tally.crashes(fingerprint) > 0
