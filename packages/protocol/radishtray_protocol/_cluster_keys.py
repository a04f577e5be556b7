"""Cluster keys that authenticate node connections and gossip datagrams."""

import hashlib
import hmac
from enum import Enum

from expression import Error, Ok, Result

MIN_KEY_BYTES = 16  # 128 bits; shorter keys can be found by search.
MAX_KEY_ID_BYTES = 32  # The datagram header holds the length in one byte.
TAG_BYTES = hashlib.sha256().digest_size


class ClusterKeysFault(Enum):
    """Why one entry of the setting is rejected."""

    EMPTY = "the setting contains no key"
    NO_COLON = "an entry must have the form id:hex"
    BAD_ID = "a key id must be 1 to 32 printable ASCII characters"
    DUPLICATE_ID = "the key id occurs more than once"
    NOT_HEX = "the key is not hexadecimal"
    TOO_SHORT = "the key has fewer than 16 bytes"


class ClusterKeysError:
    """One rejected entry; never contains key material."""

    __slots__ = ("entry", "fault")

    def __init__(self, entry: int, fault: ClusterKeysFault) -> None:
        """Names the entry by its position.

        Args:
            entry: Position in the setting, from 1.
            fault: Why it is rejected.
        """
        self.entry = entry
        self.fault = fault

    def __str__(self) -> str:
        """Returns the text for operators."""
        return f"cluster key {self.entry}: {self.fault.value}"


ParsedKeys = dict[str, bytes]


class ClusterKeys:
    """Signs with the first key and verifies with all of them.

    >>> keys = ClusterKeys.parse("a:" + "00" * 16 + ",b:" + "11" * 16).ok
    >>> key_id, tag = keys.sign(b"message")
    >>> key_id, keys.verify("a", tag, b"message"), keys.key_ids
    ('a', True, ('a', 'b'))
    """

    __slots__ = ("_key_ids", "_keys", "_signing_id")

    def __init__(self, keys: ParsedKeys) -> None:
        """Takes keys by id; the first one signs.

        Args:
            keys: At least one key, in the order of the setting.

        Raises:
            ValueError: If there is no key.
        """
        self._replace(keys)

    @property
    def key_ids(self) -> tuple[str, ...]:
        """Ids of all keys; the first one signs."""
        return self._key_ids

    @classmethod
    def parse(cls, text: str) -> Result["ClusterKeys", list[ClusterKeysError]]:
        """Parses `id:hex,id:hex`, or one entry per line as in a key file.

        Returns:
            The keys, or every fault that the text contains.
        """
        return _parse(text).map(cls)

    def reload(self, text: str) -> Result[None, list[ClusterKeysError]]:
        """Replaces all keys at once; keeps the old ones if text is faulty."""
        return _parse(text).map(self._replace)

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Returns the signing key's id and the HMAC-SHA256 tag of the parts.

        The parts are concatenated, so the caller must make them
        self-delimiting.
        """
        key_id = self._signing_id
        return key_id, hmac.digest(
            self._keys[key_id], b"".join(parts), hashlib.sha256
        )

    def verify(self, key_id: str, tag: bytes, *parts: bytes) -> bool:
        """Returns whether tag is the parts' tag under the key of that id."""
        key = self._keys.get(key_id)
        if key is None:
            return False
        expected = hmac.digest(key, b"".join(parts), hashlib.sha256)
        return hmac.compare_digest(expected, tag)

    def _replace(self, keys: ParsedKeys) -> None:
        if not keys:
            raise ValueError("at least one cluster key is needed")
        self._keys = dict(keys)
        self._key_ids = tuple(self._keys)
        self._signing_id = self._key_ids[0]


def _parse(text: str) -> Result[ParsedKeys, list[ClusterKeysError]]:
    entries = [part.strip() for part in text.replace("\n", ",").split(",")]
    entries = [entry for entry in entries if entry]
    if not entries:
        return Error([ClusterKeysError(1, ClusterKeysFault.EMPTY)])
    keys: ParsedKeys = {}
    errors: list[ClusterKeysError] = []
    for position, entry in enumerate(entries, start=1):
        fault = _add_entry(entry, keys)
        if fault is not None:
            errors.append(ClusterKeysError(position, fault))
    return Error(errors) if errors else Ok(keys)


def _add_entry(entry: str, keys: ParsedKeys) -> ClusterKeysFault | None:
    key_id, colon, digits = entry.partition(":")
    if not colon:
        return ClusterKeysFault.NO_COLON
    if not _is_key_id(key_id):
        return ClusterKeysFault.BAD_ID
    if key_id in keys:
        return ClusterKeysFault.DUPLICATE_ID
    try:
        key = bytes.fromhex(digits)
    except ValueError:
        return ClusterKeysFault.NOT_HEX
    if len(key) < MIN_KEY_BYTES:
        return ClusterKeysFault.TOO_SHORT
    keys[key_id] = key
    return None


def _is_key_id(text: str) -> bool:
    return (
        0 < len(text) <= MAX_KEY_ID_BYTES
        and text.isascii()
        and text.isprintable()
    )
