"""Cluster keys that authenticate node connections and gossip datagrams."""

import hashlib
import hmac
from enum import Enum

from expression import Error, Ok, Result

MIN_KEY_BYTES = 16  # 128 bits; shorter keys can be found by search.
MAX_KEY_ID_BYTES = 32  # The datagram header holds the length in one byte.
TAG_BYTES = hashlib.sha256().digest_size


class ClusterKeysErrorReason(Enum):
    """Why one entry of the setting is rejected."""

    EMPTY = "the setting contains no key"
    NO_COLON = "an entry must have the form id:hex"
    BAD_ID = "a key id must be 1 to 32 printable ASCII characters"
    DUPLICATE_ID = "the key id occurs more than once"
    NOT_HEX = "the key is not hexadecimal"
    TOO_SHORT = "the key has fewer than 16 bytes"


class ClusterKeysError:
    """One rejected entry; never contains key material."""

    __slots__ = ("entry_number", "reason")

    def __init__(
        self, entry_number: int, reason: ClusterKeysErrorReason
    ) -> None:
        """Names the entry by its position.

        Args:
            entry: Position in the setting, from 1.
            fault: Why it is rejected.
        """
        self.entry_number = entry_number
        self.reason = reason

    def __str__(self) -> str:
        """Returns the text for operators."""
        return f"cluster key {self.entry_number}: {self.reason.value}"


KeysById = dict[str, bytes]


class ClusterKeys:
    """Signs with the first key and verifies with all of them.

    >>> keys = ClusterKeys.parse("a:" + "00" * 16 + ",b:" + "11" * 16).ok
    >>> key_id, tag = keys.sign(b"message")
    >>> key_id, keys.verify("a", tag, b"message"), keys.key_ids
    ('a', True, ('a', 'b'))
    """

    __slots__ = ("_key_ids", "_keys_by_id", "_signing_id")

    def __init__(self, keys: KeysById) -> None:
        """Takes keys by id; the first one signs.

        Args:
            keys: At least one key, in the order of the setting.

        Raises:
            ValueError: If there is no key.
        """
        self._replace_keys(keys)

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
        return _parse_keys(text).map(cls)

    def reload(self, text: str) -> Result[None, list[ClusterKeysError]]:
        """Replaces all keys at once; keeps the old ones if text is faulty."""
        return _parse_keys(text).map(self._replace_keys)

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Returns the signing key's id and the HMAC-SHA256 tag of the parts.

        The parts are concatenated, so the caller must make them
        self-delimiting.
        """
        key_id = self._signing_id
        return key_id, hmac.digest(
            self._keys_by_id[key_id], b"".join(parts), hashlib.sha256
        )

    def verify(self, key_id: str, tag: bytes, *parts: bytes) -> bool:
        """Returns whether tag is the parts' tag under the key of that id."""
        key = self._keys_by_id.get(key_id)
        if key is None:
            return False
        expected = hmac.digest(key, b"".join(parts), hashlib.sha256)
        return hmac.compare_digest(expected, tag)

    def _replace_keys(self, keys: KeysById) -> None:
        if not keys:
            raise ValueError("at least one cluster key is needed")
        self._keys_by_id = dict(keys)
        self._key_ids = tuple(self._keys_by_id)
        self._signing_id = self._key_ids[0]


def _parse_keys(text: str) -> Result[KeysById, list[ClusterKeysError]]:
    entries = [part.strip() for part in text.replace("\n", ",").split(",")]
    entries = [entry for entry in entries if entry]
    if not entries:
        return Error([ClusterKeysError(1, ClusterKeysErrorReason.EMPTY)])
    keys: KeysById = {}
    errors: list[ClusterKeysError] = []
    for position, entry in enumerate(entries, start=1):
        fault = _parse_entry(entry, keys)
        if fault is not None:
            errors.append(ClusterKeysError(position, fault))
    return Error(errors) if errors else Ok(keys)


def _parse_entry(entry: str, keys: KeysById) -> ClusterKeysErrorReason | None:
    key_id, colon, digits = entry.partition(":")
    if not colon:
        return ClusterKeysErrorReason.NO_COLON
    if not _is_valid_key_id(key_id):
        return ClusterKeysErrorReason.BAD_ID
    if key_id in keys:
        return ClusterKeysErrorReason.DUPLICATE_ID
    try:
        key = bytes.fromhex(digits)
    except ValueError:
        return ClusterKeysErrorReason.NOT_HEX
    if len(key) < MIN_KEY_BYTES:
        return ClusterKeysErrorReason.TOO_SHORT
    keys[key_id] = key
    return None


def _is_valid_key_id(text: str) -> bool:
    return (
        0 < len(text) <= MAX_KEY_ID_BYTES
        and text.isascii()
        and text.isprintable()
    )
