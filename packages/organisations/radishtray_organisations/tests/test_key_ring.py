"""Tests of keys and their look-up."""

import pytest

from radishtray_organisations import (
    KeyAges,
    KeyRing,
    Organisation,
    digest_key,
    parse_bearer,
)
from radishtray_organisations.tests.builders import build_organisation
from radishtray_state import ManualClock


def test_a_key_names_its_organisation() -> None:
    """Guards against a caller that is taken for another organisation."""
    ring = KeyRing(
        [build_organisation("a", "k1", "k2"), build_organisation("b", "k3")]
    )
    found = {key: ring.find(key.encode()) for key in ("k1", "k2", "k3", "k4")}
    assert {
        key: organisation[0].name if organisation else None
        for key, organisation in found.items()
    } == {"k1": "a", "k2": "a", "k3": "b", "k4": None}
    assert ring.holds(digest_key(b"k1"))
    assert not ring.holds(digest_key(b"k4"))


def test_no_plain_key_is_kept() -> None:
    """Guards against keys that a memory dump or a log line shows."""
    organisation = build_organisation("a", "secret-key")
    assert b"secret-key" not in b"".join(organisation.key_digests)


@pytest.mark.parametrize(
    "organisations",
    [
        pytest.param(
            [build_organisation("a", "k"), build_organisation("b", "k")],
            id="same key",
        ),
        pytest.param(
            [build_organisation("a", "k"), build_organisation("a", "l")],
            id="same name",
        ),
    ],
)
def test_ambiguous_organisations_are_rejected(
    organisations: list[Organisation],
) -> None:
    """Guards against a key that stands for two organisations."""
    with pytest.raises(ValueError, match=r"two organisations|same key"):
        KeyRing(organisations)


@pytest.mark.parametrize(
    ("changes", "match"),
    [
        ({"rate_per_s": -1.0}, "negative"),
        ({"burst": float("nan")}, "negative"),
    ],
)
def test_limits_are_validated(changes: dict[str, float], match: str) -> None:
    """Guards against a limit that never grants or always grants."""
    with pytest.raises(ValueError, match=match):
        build_organisation(**changes)


@pytest.mark.parametrize(
    ("header", "key"),
    [
        (b"Bearer k", b"k"),
        (b"bearer   k ", b"k"),
        (b"Basic k", None),
        (b"Bearer", None),
        (b"", None),
        (None, None),
    ],
)
def test_bearer_headers(header: bytes | None, key: bytes | None) -> None:
    """Guards against headers of other schemes that pass as keys."""
    assert parse_bearer(header) == key


def test_ages_of_keys_survive_a_configuration() -> None:
    """Guards against ages that restart with each new version."""
    clock = ManualClock()
    ages = KeyAges(clock)
    ages.update(KeyRing([build_organisation("a", "old")]))
    clock.advance(10)
    ages.update(KeyRing([build_organisation("a", "old", "new")]))
    clock.advance(1)
    digests = (digest_key(b"old"), digest_key(b"new"))
    assert ages.ages_s(digests) == [11, 1]
    ages.update(KeyRing([build_organisation("a", "new")]))
    assert ages.ages_s(digests) == [1]
