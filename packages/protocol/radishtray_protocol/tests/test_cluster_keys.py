"""Cluster keys: invalid settings, and rotation while nodes have other keys.

A rotation that drops the old key too early, or a reload of an invalid setting,
would make nodes reject each other.
"""

import pytest

from radishtray_protocol import ClusterKeys, ClusterKeysErrorReason

KEY_A, KEY_B = "a:" + "0a" * 16, "b:" + "0b" * 16

INVALID_SETTINGS = {
    "empty": ("", [(1, ClusterKeysErrorReason.EMPTY)]),
    "no colon": ("0a0b", [(1, ClusterKeysErrorReason.NO_COLON)]),
    "empty id": (":" + "0a" * 16, [(1, ClusterKeysErrorReason.BAD_ID)]),
    "not hex": ("a:zz", [(1, ClusterKeysErrorReason.NOT_HEX)]),
    "too short": ("a:0a", [(1, ClusterKeysErrorReason.TOO_SHORT)]),
    "all errors are reported": (
        f"{KEY_A},{KEY_A},x",
        [
            (2, ClusterKeysErrorReason.DUPLICATE_ID),
            (3, ClusterKeysErrorReason.NO_COLON),
        ],
    ),
}


@pytest.mark.parametrize(
    "case", INVALID_SETTINGS.values(), ids=INVALID_SETTINGS.keys()
)
def test_invalid_setting_is_rejected_without_key_material_in_the_error(
    case: tuple[str, list[tuple[int, ClusterKeysErrorReason]]],
) -> None:
    text, expected = case
    errors = ClusterKeys.parse(text).error
    assert [(error.entry_number, error.reason) for error in errors] == expected
    assert not any("0a0a" in str(error) for error in errors)


def test_rotation_accepts_the_old_key_until_it_is_removed() -> None:
    old_node = ClusterKeys.parse(KEY_A).ok
    node = ClusterKeys.parse(KEY_A).ok
    for setting, accepts_old_node in (
        (f"{KEY_A},{KEY_B}", True),
        (f"{KEY_B}\n{KEY_A}\n", True),
    ):
        assert node.reload(setting).is_ok()
        key_id, tag = old_node.sign(b"m")
        assert node.verify(key_id, tag, b"m") is accepts_old_node
    assert node.sign(b"m")[0] == "b"
    assert node.reload(KEY_B).is_ok()
    assert not node.verify(*old_node.sign(b"m"), b"m")


def test_invalid_reload_keeps_the_current_keys() -> None:
    node = ClusterKeys.parse(KEY_A).ok
    assert node.reload("x").is_error()
    assert node.verify(*node.sign(b"m"), b"m")


def test_changed_message_or_tag_is_rejected() -> None:
    node = ClusterKeys.parse(KEY_A).ok
    key_id, tag = node.sign(b"m")
    assert not node.verify(key_id, tag, b"n")
    assert not node.verify(key_id, tag[:-1], b"m")
