"""Since when keys have been known, for operators."""

from radishtray_organisations._key_ring import KeyRing
from radishtray_state import Clock


class KeyAges:
    """Remembers when each key of the configuration in force was first seen.

    Keys that a configuration no longer holds are dropped, which bounds the
    memory by the configuration.
    """

    __slots__ = ("_clock", "_first_seen_s")

    def __init__(self, clock: Clock) -> None:
        """Starts without keys."""
        self._clock = clock
        self._first_seen_s: dict[bytes, float] = {}

    def update(self, keys: KeyRing) -> None:
        """Applies the keys of a new configuration."""
        now_s = self._clock.monotonic()
        self._first_seen_s = {
            digest: self._first_seen_s.get(digest, now_s)
            for organisation in keys
            for digest in organisation.key_digests
        }

    def ages_s(self, digests: tuple[bytes, ...]) -> list[float]:
        """Returns since how many seconds each of some keys has been known."""
        now_s = self._clock.monotonic()
        return [
            now_s - self._first_seen_s[digest]
            for digest in digests
            if digest in self._first_seen_s
        ]
