"""An organisation: its keys, priority and allotment."""

import hashlib
from collections.abc import Iterable
from math import isfinite

KEY_DIGEST_BYTES = 16
# Digests of different programs over the same key must differ.
_DIGEST_PURPOSE = b"radishtray-key"


def digest_key(key: bytes) -> bytes:
    """Returns the digest that stands for a key in memory and between nodes."""
    return hashlib.blake2b(
        key, digest_size=KEY_DIGEST_BYTES, person=_DIGEST_PURPOSE
    ).digest()


class Organisation:
    """An organisation whose callers identify themselves by keys.

    Attributes:
        name: Name, unique in a configuration.
        key_digests: Digests of its keys.
        priority_class: Priority class of its requests, in place of that of
            their route; None to use that of the route.
        rate_per_s: Requests per second of all nodes together; 0 for no limit.
        burst: Requests beyond the rate that may be sent at once.
    """

    __slots__ = ("burst", "key_digests", "name", "priority_class", "rate_per_s")

    def __init__(
        self,
        name: str,
        key_digests: Iterable[bytes],
        *,
        priority_class: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ) -> None:
        """Validates the fields.

        Raises:
            ValueError: If the name is empty, a digest has a wrong length or a
                limit is negative or not finite.
        """
        self.name = name
        self.key_digests = tuple(key_digests)
        self.priority_class = priority_class
        self.rate_per_s = rate_per_s
        self.burst = burst
        if not name:
            raise ValueError("an organisation needs a name")
        if any(len(digest) != KEY_DIGEST_BYTES for digest in self.key_digests):
            raise ValueError(f"organisation {name}: key digest of wrong length")
        for limit in (rate_per_s, burst):
            if not (isfinite(limit) and limit >= 0):
                raise ValueError(
                    f"organisation {name}: limit {limit} must not be negative"
                )

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has an allotment."""
        return self.rate_per_s > 0
