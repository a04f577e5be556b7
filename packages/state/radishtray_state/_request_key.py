"""Idempotency keys: UUIDv7 values that contain their issue time."""

import hashlib
import re
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final, Self
from zlib import crc32

from expression import Error, Ok, Result

from radishtray_state._clock import Clock

SLOT_COUNT: Final = 64
"""Number of hash partitions (slots) of each service's keys."""

_MAX_ISSUED_MS: Final = (1 << 48) - 1
_TEXT_LENGTH: Final = 36
_HYPHENS: Final = (8, 13, 18, 23)
_UUID_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}"
)
_NOT_HEX: Final = re.compile(r"[^0-9a-f]")


class KeyFault(Enum):
    """What is wrong with the text of a key."""

    LENGTH = "a UUID has 36 characters"
    CHARACTER = "only hexadecimal digits and hyphens are allowed"
    HYPHEN = "a hyphen belongs at positions 8, 13, 18 and 23"
    VERSION = "the version digit is not 7"
    VARIANT = "the variant digit is not one of 8, 9, a, b"


@dataclass(frozen=True, slots=True)
class KeyParseError:
    """Why a text is not a UUIDv7."""

    fault: KeyFault
    """The first fault in the text."""

    position: int
    """Index of the faulty character; the text's length for `LENGTH`."""

    def __str__(self) -> str:
        """Returns the message for callers."""
        return f"Idempotency-Key, position {self.position}: {self.fault.value}"


class RequestKey:
    """An idempotency key.

    >>> key = RequestKey.parse("018bcfe5-6800-7000-8000-000000000001").ok
    >>> key.issued_ms, key.slot
    (1700000000000, 28)
    """

    __slots__ = ("_issued_ms", "_raw", "_slot")

    def __init__(self, raw: bytes) -> None:
        """Creates a key from the 16 bytes of a UUIDv7.

        Args:
            raw: The UUID in network byte order.

        Raises:
            ValueError: If raw is not a UUIDv7.
        """
        if len(raw) != 16 or raw[6] >> 4 != 7 or raw[8] >> 6 != 2:
            raise ValueError(f"{raw.hex()!r} is not a UUIDv7")
        self._raw = raw
        self._issued_ms = int.from_bytes(raw[:6], "big")
        self._slot = crc32(raw) % SLOT_COUNT

    @property
    def raw(self) -> bytes:
        """The 16 bytes of the UUID."""
        return self._raw

    @property
    def issued_ms(self) -> int:
        """Issue time in milliseconds since the Unix epoch."""
        return self._issued_ms

    @property
    def slot(self) -> int:
        """Slot of the key, 0 to 63; the same in every process."""
        return self._slot

    @classmethod
    def parse(cls, text: str) -> Result[Self, KeyParseError]:
        """Parses the canonical text form in upper or lower case.

        Args:
            text: The value of `Idempotency-Key`.

        Returns:
            The key, or the first fault with its position.
        """
        lowered = text.lower() if text.isascii() else text
        if not _UUID_PATTERN.fullmatch(lowered):
            return Error(_format_error(lowered))
        if lowered[14] != "7":
            return Error(KeyParseError(KeyFault.VERSION, 14))
        if lowered[19] not in "89ab":
            return Error(KeyParseError(KeyFault.VARIANT, 19))
        return Ok(cls(bytes.fromhex(lowered.replace("-", ""))))

    @classmethod
    def generate(cls, clock: Clock, rng: Random) -> Self:
        """Returns a fresh key issued at the clock's wall time."""
        issued_ms = min(max(clock.wall_ms(), 0), _MAX_ISSUED_MS)
        return cls(_compose(issued_ms.to_bytes(6, "big"), rng.randbytes(10)))

    @classmethod
    def derive(
        cls,
        parent: "RequestKey",
        service: str,
        method: str,
        path: str,
        body: bytes,
        call_name: str = "",
    ) -> Self:
        """Returns the key of a nested call; equal arguments give equal keys.

        Args:
            parent: Key of the request that makes the call.
            service: Called service.
            method: HTTP method of the call.
            path: Path and query of the call.
            body: Body of the call.
            call_name: Distinguishes calls that are otherwise equal.

        Returns:
            A key with the parent's issue time.
        """
        digest = hashlib.sha256(parent.raw)
        for text in (service, method, path, call_name):
            _hash_field(digest, text.encode())
        _hash_field(digest, body)
        return cls(_compose(parent.raw[:6], digest.digest()[:10]))

    def __eq__(self, other: object) -> bool:
        """Compares the 16 bytes."""
        return isinstance(other, RequestKey) and self._raw == other._raw

    def __hash__(self) -> int:
        """Returns the hash of the 16 bytes."""
        return hash(self._raw)

    def __str__(self) -> str:
        """Returns the canonical lower-case text."""
        text = self._raw.hex()
        return "-".join(
            (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
        )

    def __repr__(self) -> str:
        """Returns the text form for logs and test output."""
        return f"RequestKey({self})"


def _compose(time_bytes: bytes, rest: bytes) -> bytes:
    raw = bytearray(time_bytes + rest)
    raw[6] = 0x70 | raw[6] & 0x0F
    raw[8] = 0x80 | raw[8] & 0x3F
    return bytes(raw)


def _hash_field(digest: "hashlib._Hash", field: bytes) -> None:
    # The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
    digest.update(len(field).to_bytes(8, "big"))
    digest.update(field)


def _format_error(text: str) -> KeyParseError:
    if len(text) != _TEXT_LENGTH:
        return KeyParseError(KeyFault.LENGTH, len(text))
    for position, character in enumerate(text):
        if position in _HYPHENS:
            if character != "-":
                return KeyParseError(KeyFault.HYPHEN, position)
        elif _NOT_HEX.match(character):
            return KeyParseError(KeyFault.CHARACTER, position)
    raise AssertionError(f"{text!r} has the format of a UUID")
