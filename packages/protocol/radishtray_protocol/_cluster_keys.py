"""Cluster keys, which authenticate node connections and gossip datagrams.

A key authenticates data with HMAC-SHA256. Several keys may be valid at the
same time, so that keys can be rotated without rejecting the other nodes.
"""

import hashlib
import hmac
from enum import Enum

from expression import Error, Ok, Result

MIN_KEY_BYTES = 16  # Keys below 128 bits are open to brute-force search.
MAX_KEY_ID_BYTES = 32  # The datagram header encodes the length in one byte.
TAG_BYTES = hashlib.sha256().digest_size


class ClusterKeysErrorReason(Enum):
    """Why an entry of the cluster keys setting is rejected."""

    EMPTY = "the setting contains no key"
    NO_COLON = "an entry must have the form id:hex"
    BAD_ID = "a key id must be 1 to 32 printable ASCII characters"
    DUPLICATE_ID = "the key id occurs more than once"
    NOT_HEX = "the key is not hexadecimal"
    TOO_SHORT = "the key has fewer than 16 bytes"


class ClusterKeysError:
    """A rejected entry of the cluster keys setting.

    The error never contains key material, so it may be logged.
    """

    __slots__ = ("entry_number", "reason")

    def __init__(
        self, entry_number: int, reason: ClusterKeysErrorReason
    ) -> None:
        """Identifies the entry by its position.

        Args:
            entry_number: Position in the setting, counted from 1.
            reason: Why the entry is rejected.
        """
        self.entry_number = entry_number
        self.reason = reason

    def __str__(self) -> str:
        """Returns the message for operators."""
        return f"cluster key {self.entry_number}: {self.reason.value}"


KeysById = dict[str, bytes]


class ClusterKeys:
    """The keys of a node: the first one signs, all of them verify.

    >>> keys = ClusterKeys.parse("a:" + "00" * 16 + ",b:" + "11" * 16).ok
    >>> key_id, tag = keys.sign(b"message")
    >>> key_id, keys.verify("a", tag, b"message"), keys.key_ids
    ('a', True, ('a', 'b'))
    """

    __slots__ = ("_key_ids", "_keys_by_id", "_signing_id")

    def __init__(self, keys: KeysById) -> None:
        """Uses the first key to sign and all keys to verify.

        Args:
            keys: At least one key by its id, in the order of the setting.

        Raises:
            ValueError: If there is no key.
        """
        self._replace_keys(keys)

    @property
    def key_ids(self) -> tuple[str, ...]:
        """Ids of all keys, beginning with the signing key."""
        return self._key_ids

    @classmethod
    def parse(cls, text: str) -> Result["ClusterKeys", list[ClusterKeysError]]:
        """Parses `id:hex` entries separated by commas or line breaks.

        Returns:
            The keys, or one error for each invalid entry.
        """
        return _parse_keys(text).map(cls)

    def reload(self, text: str) -> Result[None, list[ClusterKeysError]]:
        """Replaces all keys, or keeps the current ones if text is invalid."""
        return _parse_keys(text).map(self._replace_keys)

    def sign(self, *parts: bytes) -> tuple[str, bytes]:
        """Returns the signing key's id and the HMAC-SHA256 tag of the parts.

        The parts are concatenated without separators, so the caller must
        make them self-delimiting.
        """
        key_id = self._signing_id
        return key_id, hmac.digest(
            self._keys_by_id[key_id], b"".join(parts), hashlib.sha256
        )

    def verify(self, key_id: str, tag: bytes, *parts: bytes) -> bool:
        """Returns whether tag authenticates the parts under the given key.

        An unknown key id fails verification. The comparison takes constant
        time.
        """
        key = self._keys_by_id.get(key_id)
        if key is None:
            return False
        expected = hmac.digest(key, b"".join(parts), hashlib.sha256)
        return hmac.compare_digest(expected, tag)

    def _replace_keys(self, keys: KeysById) -> None:
        if not keys:
            raise ValueError("at least one cluster key is required")
        self._keys_by_id = dict(keys)
        self._key_ids = tuple(self._keys_by_id)
        self._signing_id = self._key_ids[0]


def _parse_keys(text: str) -> Result[KeysById, list[ClusterKeysError]]:
    entries = [item.strip() for item in text.replace("\n", ",").split(",")]
    entries = [entry for entry in entries if entry]
    if not entries:
        return Error([ClusterKeysError(1, ClusterKeysErrorReason.EMPTY)])
    keys: KeysById = {}
    errors: list[ClusterKeysError] = []
    for entry_number, entry in enumerate(entries, start=1):
        reason = _parse_entry(entry, keys)
        if reason is not None:
            errors.append(ClusterKeysError(entry_number, reason))
    return Error(errors) if errors else Ok(keys)


def _parse_entry(entry: str, keys: KeysById) -> ClusterKeysErrorReason | None:
    """Adds the entry's key to keys, or returns why it is rejected."""
    key_id, colon, hex_key = entry.partition(":")
    if not colon:
        return ClusterKeysErrorReason.NO_COLON
    if not _is_valid_key_id(key_id):
        return ClusterKeysErrorReason.BAD_ID
    if key_id in keys:
        return ClusterKeysErrorReason.DUPLICATE_ID
    try:
        key = bytes.fromhex(hex_key)
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
