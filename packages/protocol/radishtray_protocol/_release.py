"""The release: the current generation of the configuration and its history.

The platform object `release/current` holds it as JSON.
"""

import json
import re
from collections.abc import Iterable, Mapping
from typing import Any, Final

from expression import Error, Ok, Result

from radishtray_protocol._document_keys import NAME_PATTERN

RELEASE_OBJECT: Final = "release/current"
MAX_VALUE_BYTES: Final = 1_000_000  # The platform's limit for a value.
MAX_HISTORY_CHANGES: Final = 200
_MAX_TEXT_CHARS: Final = 200
_DIGEST: Final = re.compile(r"[0-9a-f]{64}\Z")
_CHANGE_ID: Final = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")


def section_object_name(section: str, digest: str) -> str:
    """Returns the name of the object that holds a section text."""
    return f"sections/{section}/{digest}"


class ReleaseError:
    """Why a text is not accepted as a release."""

    __slots__ = ("key_path", "message")

    def __init__(self, key_path: str, message: str) -> None:
        """Describes the error.

        Args:
            key_path: Dotted path of the invalid key in the JSON text, or
                empty for the whole text.
            message: What is wrong.
        """
        self.key_path = key_path
        self.message = message

    def __str__(self) -> str:
        """Returns the key path, if there is one, and the message."""
        return (
            f"{self.key_path}: {self.message}"
            if self.key_path
            else self.message
        )


class DigestChange:
    """One section's digests before and after a change."""

    __slots__ = ("new", "old")

    def __init__(self, old: str | None, new: str | None) -> None:
        """Creates a digest change.

        Args:
            old: Digest before the change, or None if the section was absent.
            new: Digest after the change, or None if the section was removed.
        """
        self.old = old
        self.new = new


class Change:
    """One entry of the release history."""

    __slots__ = (
        "author",
        "change_id",
        "generation",
        "note",
        "sections",
        "time_ms",
    )

    def __init__(
        self,
        generation: int,
        change_id: str,
        author: str,
        *,
        time_ms: int,
        note: str,
        sections: Mapping[str, DigestChange],
    ) -> None:
        """Creates an entry.

        Args:
            generation: Generation that the change created.
            change_id: Unique id of the change.
            author: Who made the change.
            time_ms: Wall-clock time in milliseconds since the epoch. It is
                informative only.
            note: Free text, such as the generation that a rollback restores.
            sections: Digests of the changed sections by section name.
        """
        self.generation = generation
        self.change_id = change_id
        self.author = author
        self.time_ms = time_ms
        self.note = note
        self.sections = dict(sections)

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "generation": self.generation,
            "change_id": self.change_id,
            "author": self.author,
            "time_ms": self.time_ms,
            "note": self.note,
            "sections": {
                name: [digests.old, digests.new]
                for name, digests in self.sections.items()
            },
        }


class Release:
    """One generation of the configuration: its sections and their history."""

    __slots__ = ("change_id", "generation", "history", "sections")

    def __init__(
        self,
        generation: int,
        change_id: str,
        sections: Mapping[str, str],
        history: Iterable[Change] = (),
    ) -> None:
        """Creates a release with at most `MAX_HISTORY_CHANGES` changes.

        Args:
            generation: Number of the generation, from 1.
            change_id: Id of the change that created it.
            sections: Digest of each section by section name.
            history: Changes, newest first. The oldest ones beyond the limit
                are dropped.

        Raises:
            ValueError: If the generation is below 1.
        """
        if generation < 1:
            raise ValueError(f"generation {generation} is below 1")
        self.generation = generation
        self.change_id = change_id
        self.sections = dict(sections)
        self.history = tuple(history)[:MAX_HISTORY_CHANGES]

    def find_change(self, change_id: str) -> Change | None:
        """Returns the change with the given id, or None."""
        for change in self.history:
            if change.change_id == change_id:
                return change
        return None

    def last_change(self, section: str) -> Change | None:
        """Returns a section's newest change, or None if it is not in history.

        The history may no longer hold the last change of an old section.
        """
        for change in self.history:
            if section in change.sections:
                return change
        return None

    def sections_at(self, generation: int) -> dict[str, str] | None:
        """Reverts changes of the history to get the sections of a generation.

        Args:
            generation: Number of the generation.

        Returns:
            Digests by section name, or None if the generation is older than
            the history or newer than this release.
        """
        sections = dict(self.sections)
        reached_generation = self.generation
        for change in self.history:
            if reached_generation <= generation:
                break
            for name, digests in change.sections.items():
                if digests.old is None:
                    sections.pop(name, None)
                else:
                    sections[name] = digests.old
            reached_generation = change.generation - 1
        return (
            sections
            if reached_generation == generation and generation
            else None
        )

    def referenced_objects(self) -> set[str]:
        """Returns the names of the section objects that must be kept.

        These are the objects of the current sections and of the history.
        """
        names = {section_object_name(*item) for item in self.sections.items()}
        for change in self.history:
            for name, digests in change.sections.items():
                for digest in (digests.old, digests.new):
                    if digest is not None:
                        names.add(section_object_name(name, digest))
        return names

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "generation": self.generation,
            "change_id": self.change_id,
            "sections": self.sections,
            "history": [change.to_json() for change in self.history],
        }

    def encode(self) -> bytes:
        """Returns the JSON text, without the oldest changes if it is too long.

        Raises:
            ValueError: If the text exceeds the platform's limit even with
                only the newest change.
        """
        content = self.to_json()
        while True:
            text = json.dumps(content, separators=(",", ":")).encode()
            if len(text) <= MAX_VALUE_BYTES:
                return text
            change_count = len(content["history"])
            if change_count <= 1:
                raise ValueError(
                    f"the release has {len(text)} bytes, which exceeds the"
                    " platform's limit for a value"
                )
            # Shortens the history in proportion to the excess length.
            target_count = change_count * MAX_VALUE_BYTES // len(text)
            content["history"] = content["history"][
                : max(1, min(target_count, change_count - 1))
            ]


def next_release(
    current: Release | None,
    changes: Mapping[str, str | None],
    *,
    change_id: str,
    author: str,
    time_ms: int,
    note: str = "",
) -> Release:
    """Returns the release that results from changing sections.

    Args:
        current: Release to change, or None to create the first one.
        changes: New digest by section name; None removes the section.
        change_id: Unique id of the change.
        author: Who makes the change.
        time_ms: Wall-clock time in milliseconds since the epoch.
        note: Free text.
    """
    sections = dict(current.sections) if current else {}
    digest_changes: dict[str, DigestChange] = {}
    for name, new_digest in changes.items():
        digest_changes[name] = DigestChange(sections.get(name), new_digest)
        if new_digest is None:
            sections.pop(name, None)
        else:
            sections[name] = new_digest
    generation = current.generation + 1 if current else 1
    change = Change(
        generation,
        change_id,
        author[:_MAX_TEXT_CHARS],
        time_ms=time_ms,
        note=note[:_MAX_TEXT_CHARS],
        sections=digest_changes,
    )
    history = current.history if current else ()
    return Release(
        generation,
        change_id,
        dict(sorted(sections.items())),
        (change, *history),
    )


def decode_release(
    data: bytes, above_generation: int = 0
) -> Result[Release, ReleaseError]:
    """Parses and validates the JSON text of a release.

    Args:
        data: JSON text.
        above_generation: Generation in effect. Only a higher one is accepted,
            so that the generation never decreases.
    """
    if len(data) > MAX_VALUE_BYTES:
        return Error(ReleaseError("", f"exceeds {MAX_VALUE_BYTES} bytes"))
    try:
        release = _read_release(json.loads(data))
    except _ReleaseDecodeError as decode_error:
        return Error(decode_error.error)
    except (ValueError, RecursionError) as error:
        return Error(ReleaseError("", f"not JSON: {error}"))
    if release.generation <= above_generation:
        return Error(
            ReleaseError(
                "generation",
                f"{release.generation} is not above {above_generation}",
            )
        )
    return Ok(release)


class _ReleaseDecodeError(Exception):
    """Carries a ReleaseError out of nested calls."""

    def __init__(self, key_path: str, message: str) -> None:
        super().__init__(message)
        self.error = ReleaseError(key_path, message)


def _read_release(value: Any) -> Release:
    _require_keys(value, "", ("generation", "change_id", "sections", "history"))
    history = value["history"]
    if not isinstance(history, list) or len(history) > MAX_HISTORY_CHANGES:
        raise _ReleaseDecodeError(
            "history", f"expected a list of at most {MAX_HISTORY_CHANGES}"
        )
    changes = [
        _read_change(change, f"history.{index}")
        for index, change in enumerate(history)
    ]
    generation = _read_integer(value["generation"], "generation", 1)
    expected = [generation - index for index in range(len(changes))]
    if [change.generation for change in changes] != expected:
        raise _ReleaseDecodeError(
            "history", "its generations are not consecutive"
        )
    return Release(
        generation,
        _read_matching_text(value["change_id"], "change_id", _CHANGE_ID),
        _read_sections(value["sections"]),
        changes,
    )


def _read_sections(value: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        raise _ReleaseDecodeError("sections", "expected a mapping")
    return {
        _read_matching_text(
            name, "sections", NAME_PATTERN
        ): _read_matching_text(digest, f"sections.{name}", _DIGEST)
        for name, digest in value.items()
    }


def _read_change(value: Any, key_path: str) -> Change:
    _require_keys(value, key_path, Change.__slots__)
    sections = value["sections"]
    if not isinstance(sections, dict):
        raise _ReleaseDecodeError(f"{key_path}.sections", "expected a mapping")
    return Change(
        _read_integer(value["generation"], f"{key_path}.generation", 1),
        _read_matching_text(
            value["change_id"], f"{key_path}.change_id", _CHANGE_ID
        ),
        _read_text(value["author"], f"{key_path}.author"),
        time_ms=_read_integer(value["time_ms"], f"{key_path}.time_ms", 0),
        note=_read_text(value["note"], f"{key_path}.note"),
        sections={
            _read_matching_text(
                name, f"{key_path}.sections", NAME_PATTERN
            ): _read_digests(digests, f"{key_path}.sections.{name}")
            for name, digests in sections.items()
        },
    )


def _read_digests(value: Any, key_path: str) -> DigestChange:
    if not isinstance(value, list) or len(value) != 2:
        raise _ReleaseDecodeError(
            key_path, "expected the old and the new digest"
        )
    old, new = (
        None
        if digest is None
        else _read_matching_text(digest, key_path, _DIGEST)
        for digest in value
    )
    return DigestChange(old, new)


def _require_keys(value: Any, key_path: str, keys: Iterable[str]) -> None:
    if not isinstance(value, dict):
        raise _ReleaseDecodeError(key_path, "expected a mapping")
    for key in keys:
        if key not in value:
            raise _ReleaseDecodeError(
                f"{key_path}.{key}".lstrip("."), "is missing"
            )


def _read_integer(value: Any, key_path: str, minimum: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise _ReleaseDecodeError(key_path, "expected a whole number")
    if not minimum <= value < 2**63:
        raise _ReleaseDecodeError(key_path, f"{value} is out of range")
    return value


def _read_matching_text(
    value: Any, key_path: str, pattern: re.Pattern[str]
) -> str:
    if not isinstance(value, str) or not pattern.match(value):
        raise _ReleaseDecodeError(key_path, f"{value!r} is malformed")
    return value


def _read_text(value: Any, key_path: str) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARS:
        raise _ReleaseDecodeError(
            key_path, f"expected text of at most {_MAX_TEXT_CHARS} characters"
        )
    return value
