"""Guards against rotations that lock nodes out and against weak settings."""

import pytest

from radishtray_protocol import ClusterKeys, ClusterKeysFault

A, B = "a:" + "0a" * 16, "b:" + "0b" * 16

FAULTS = {
    "empty": ("", [(1, ClusterKeysFault.EMPTY)]),
    "no colon": ("0a0b", [(1, ClusterKeysFault.NO_COLON)]),
    "empty id": (":" + "0a" * 16, [(1, ClusterKeysFault.BAD_ID)]),
    "not hex": ("a:zz", [(1, ClusterKeysFault.NOT_HEX)]),
    "too short": ("a:0a", [(1, ClusterKeysFault.TOO_SHORT)]),
    "all faults are reported": (
        f"{A},{A},x",
        [(2, ClusterKeysFault.DUPLICATE_ID), (3, ClusterKeysFault.NO_COLON)],
    ),
}


@pytest.mark.parametrize("case", FAULTS.values(), ids=FAULTS.keys())
def test_faulty_setting_is_rejected_without_showing_the_key(
    case: tuple[str, list[tuple[int, ClusterKeysFault]]],
) -> None:
    text, expected = case
    errors = ClusterKeys.parse(text).error
    assert [(error.entry, error.fault) for error in errors] == expected
    assert not any("0a0a" in str(error) for error in errors)


def test_rotation_keeps_both_sides_verifying() -> None:
    old = ClusterKeys.parse(A).ok
    node = ClusterKeys.parse(A).ok
    for setting, accepts_old in ((f"{A},{B}", True), (f"{B}\n{A}\n", True)):
        assert node.reload(setting).is_ok()
        key_id, tag = old.sign(b"m")
        assert node.verify(key_id, tag, b"m") is accepts_old
    assert node.sign(b"m")[0] == "b"
    assert node.reload(B).is_ok()
    assert not node.verify(*old.sign(b"m"), b"m")


def test_faulty_reload_keeps_the_keys_in_use() -> None:
    node = ClusterKeys.parse(A).ok
    assert node.reload("x").is_error()
    assert node.verify(*node.sign(b"m"), b"m")


def test_changed_message_or_tag_is_rejected() -> None:
    node = ClusterKeys.parse(A).ok
    key_id, tag = node.sign(b"m")
    assert not node.verify(key_id, tag, b"n")
    assert not node.verify(key_id, tag[:-1], b"m")
