"""Guards against malformed keys being accepted and derived keys colliding.

Requests would then share a record that must not, or a resent request would get
another key and run again.
"""

from random import Random

import pytest

from radishtray_state import KeyFault, ManualClock, RequestKey

VALID_TEXT = "018bcfe5-6800-7abc-8def-0123456789ab"

FAULTS = {
    "empty": ("", KeyFault.LENGTH, 0),
    "quoted": (f'"{VALID_TEXT}"', KeyFault.LENGTH, 38),
    "braces": ("{" + VALID_TEXT[1:-1] + "}", KeyFault.CHARACTER, 0),
    "no hyphens": (VALID_TEXT.replace("-", "0"), KeyFault.HYPHEN, 8),
    "not hexadecimal": (VALID_TEXT[:-1] + "g", KeyFault.CHARACTER, 35),
    "version 4": (
        VALID_TEXT[:14] + "4" + VALID_TEXT[15:],
        KeyFault.VERSION,
        14,
    ),
    "variant c": (
        VALID_TEXT[:19] + "c" + VALID_TEXT[20:],
        KeyFault.VARIANT,
        19,
    ),
    "full-width digit": ("\uff10" + VALID_TEXT[1:], KeyFault.CHARACTER, 0),
    "line end": (VALID_TEXT[:-1] + "\n", KeyFault.CHARACTER, 35),
}


@pytest.mark.parametrize(
    ("text", "fault", "position"), FAULTS.values(), ids=FAULTS
)
def test_faulty_text_is_refused(
    text: str, fault: KeyFault, position: int
) -> None:
    error = RequestKey.parse(text).error
    assert (error.fault, error.position) == (fault, position)


def test_letter_case_does_not_change_the_key() -> None:
    lower, upper = (
        RequestKey.parse(VALID_TEXT).ok,
        RequestKey.parse(VALID_TEXT.upper()),
    )
    assert lower == upper.ok and str(upper.ok) == VALID_TEXT
    assert lower.issued_ms == 1_700_000_000_000


def test_generated_keys_parse_and_use_all_slots() -> None:
    clock, rng = ManualClock(), Random(1)
    keys = [RequestKey.generate(clock, rng) for _ in range(2000)]
    assert {key.slot for key in keys} == set(range(64))
    assert all(RequestKey.parse(str(key)).ok == key for key in keys)


CHANGED_CALLS = {
    "service": ("b", "POST", "/x", b"1", ""),
    "method": ("a", "PUT", "/x", b"1", ""),
    "path": ("a", "POST", "/y", b"1", ""),
    "body": ("a", "POST", "/x", b"2", ""),
    "call name": ("a", "POST", "/x", b"1", "second"),
    "field boundary": ("aP", "OST", "/x", b"1", ""),
}


@pytest.mark.parametrize("call", CHANGED_CALLS.values(), ids=CHANGED_CALLS)
def test_each_part_of_a_call_changes_the_derived_key(
    call: tuple[str, str, str, bytes, str],
) -> None:
    parent = RequestKey.parse(VALID_TEXT).ok
    base = RequestKey.derive(parent, "a", "POST", "/x", b"1")
    assert base == RequestKey.derive(parent, "a", "POST", "/x", b"1", "")
    assert base != RequestKey.derive(parent, *call)
    assert base.issued_ms == parent.issued_ms
    assert RequestKey.parse(str(base)).is_ok()
