"""The release object: codec, size limit, history and generation order.

The tests guard against a release that exceeds the platform's limit for a
value, a history that reverts to the wrong sections, malformed input that is
accepted, and an older release that replaces a newer one.
"""

import json
from typing import Any

import pytest

from radishtray_protocol import (
    MAX_HISTORY_CHANGES,
    MAX_VALUE_BYTES,
    Release,
    decode_release,
    next_release,
)


def digest(number: int) -> str:
    return f"{number:064x}"


def release_after(
    current: Release | None, changes: dict[str, str | None]
) -> Release:
    number = current.generation + 1 if current else 1
    return next_release(
        current, changes, change_id=f"c{number}", author="a", time_ms=number
    )


def build_release_with_history(count: int, sections: int = 1) -> Release:
    release = None
    for number in range(count):
        release = release_after(
            release, {f"s{n}": digest(number) for n in range(sections)}
        )
    assert release
    return release


def test_round_trip_preserves_a_release_and_its_last_200_changes() -> None:
    release = build_release_with_history(250)
    decoded = decode_release(release.encode()).ok
    assert decoded.to_json() == release.to_json()
    assert len(decoded.history) == MAX_HISTORY_CHANGES
    assert decoded.find_change("c51") and not decoded.find_change("c50")


def test_encoding_drops_the_oldest_changes_above_the_size_limit() -> None:
    release = build_release_with_history(200, sections=131)
    text = release.encode()
    assert len(text) <= MAX_VALUE_BYTES
    kept = decode_release(text).ok.history
    assert [change.change_id for change in kept[:2]] == ["c200", "c199"]
    assert len(kept) > 40


def test_sections_at_undoes_changes_back_to_a_generation() -> None:
    release = release_after(None, {"a": digest(1)})
    release = release_after(release, {"b": digest(2)})
    release = release_after(release, {"a": digest(3), "b": None})
    assert release.sections_at(3) == {"a": digest(3)}
    assert release.sections_at(2) == {"a": digest(1), "b": digest(2)}
    assert release.sections_at(1) == {"a": digest(1)}
    assert release.sections_at(0) is None
    assert release.sections_at(4) is None
    assert build_release_with_history(250).sections_at(49) is None
    assert len(release.referenced_objects()) == 3


# By name: (path in the JSON, value to set there, key path of the error).
INVALID_FIELDS: dict[str, tuple[list[Any], Any, str]] = {
    "generation_text": (["generation"], "1", "generation"),
    "generation_zero": (["generation"], 0, "generation"),
    "digest": (["sections", "s0"], "abc", "sections.s0"),
    "section_name": (["sections"], {"a/b": digest(1)}, "sections"),
    "change_id": (["change_id"], "", "change_id"),
    "history_type": (["history"], {}, "history"),
    "history_long": (["history"], [{}] * 201, "history"),
    "history_order": (["history", 0, "generation"], 7, "history"),
    "old_digest": (
        ["history", 1, "sections", "s0"],
        [1, None],
        "history.1.sections.s0",
    ),
    "author": (["history", 0, "author"], "x" * 201, "history.0.author"),
}


@pytest.mark.parametrize("name", INVALID_FIELDS)
def test_malformed_release_is_an_error_with_its_key_path(name: str) -> None:
    path, value, key_path = INVALID_FIELDS[name]
    content = json.loads(build_release_with_history(3).encode())
    inner = content
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    assert (
        decode_release(json.dumps(content).encode()).error.key_path == key_path
    )


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"\xff", b"{}", b"[" * 9999, b" " * 1_000_001]
)
def test_arbitrary_bytes_are_an_error(data: bytes) -> None:
    assert decode_release(data).is_error()


def test_lower_or_equal_generation_is_rejected() -> None:
    text = build_release_with_history(3).encode()
    assert decode_release(text, above_generation=2).is_ok()
    assert (
        decode_release(text, above_generation=3).error.key_path == "generation"
    )
