"""The keys of all organisations of one configuration."""

from collections.abc import Iterable, Iterator

from radishtray_organisations._organisation import Organisation, digest_key


class KeyRing:
    """Finds the organisation that holds a key.

    Only digests are kept. A look-up hashes the presented key and compares
    digests, so its duration does not depend on how much of a key is right.
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, organisations: Iterable[Organisation] = ()) -> None:
        """Indexes the organisations.

        Raises:
            ValueError: If two organisations have the same name or key.
        """
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation in organisations:
            if organisation.name in self._by_name:
                raise ValueError(
                    f"two organisations are named {organisation.name}"
                )
            self._by_name[organisation.name] = organisation
            for digest in organisation.key_digests:
                holder = self._by_digest.setdefault(digest, organisation)
                if holder is not organisation:
                    raise ValueError(
                        f"organisations {holder.name} and {organisation.name} "
                        "hold the same key"
                    )

    def __len__(self) -> int:
        """Number of organisations."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Organisation]:
        """Iterates over the organisations."""
        return iter(self._by_name.values())

    def get(self, name: str) -> Organisation | None:
        """Returns the organisation of a name, or None."""
        return self._by_name.get(name)

    def find(self, key: bytes) -> tuple[Organisation, bytes] | None:
        """Returns the holder of a key and the key's digest, or None."""
        digest = digest_key(key)
        organisation = self._by_digest.get(digest)
        return None if organisation is None else (organisation, digest)

    def holds(self, digest: bytes) -> bool:
        """Returns whether an organisation holds the key of a digest."""
        return digest in self._by_digest


def parse_bearer(header: bytes | None) -> bytes | None:
    """Returns the key in an Authorization header, or None.

    >>> parse_bearer(b"Bearer abc")
    b'abc'
    >>> parse_bearer(b"Basic abc") is None
    True
    """
    scheme, _, key = (header or b"").strip().partition(b" ")
    key = key.strip()
    return key if scheme.lower() == b"bearer" and key else None
