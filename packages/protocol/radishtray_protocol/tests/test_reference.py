"""Checks that docs/configuration.md agrees with the key specifications."""

from pathlib import Path

import pytest

from radishtray_protocol import (
    DEFAULTS_KEYS,
    KIND_KEYS,
    KeySpec,
    KeyType,
    parse_document,
)

DOCS = Path(__file__).parents[4] / "docs"


def build_table_row(spec: KeySpec) -> str:
    """Returns the row of a key in the page's table."""
    allowed = spec.key_type.value
    if spec.key_type is KeyType.CHOICE:
        allowed = ", ".join(spec.choices)
    elif spec.maximum:
        allowed = f"{allowed}, {spec.minimum:g} to {spec.maximum:,.0f}"
    default = "required" if spec.required else str(spec.default).lower()
    if spec.default in (None, ()):
        default = "required" if spec.required else "see text"
    if spec.default == ():
        default = "none"
    cells = [f"`{spec.name}`", allowed, spec.unit or "-", default]
    return f"| {' | '.join([*cells, spec.description])} |"


@pytest.mark.parametrize("keys", [DEFAULTS_KEYS, KIND_KEYS], ids=["d", "k"])
def test_every_key_is_documented_with_unit_and_default(keys: dict) -> None:
    text = (DOCS / "configuration.md").read_text("utf-8")
    rows = "\n".join(build_table_row(spec) for spec in keys.values())
    assert rows in text, f"expected this table:\n{rows}"


def test_yaml_examples_of_the_page_are_valid() -> None:
    text = (DOCS / "configuration.md").read_text("utf-8")
    blocks = [part.split("```")[0] for part in text.split("```yaml\n")[1:]]
    assert len(blocks) >= 2
    for block in blocks:
        parsed = parse_document({"page": block}, partial=True)
        assert parsed.is_ok(), parsed.error
