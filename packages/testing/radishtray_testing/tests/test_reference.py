"""Guards the operators' pages against names that the code does not have."""

import re
from collections.abc import Collection
from pathlib import Path

import pytest

from radishtray_state import ConnectionRejection, RefusalReason, RetryDenial
from radishtray_testing import _reference_texts as texts
from radishtray_testing.reference import PAGES, TABLES, counter_names, render

PACKAGES = Path(__file__).parents[3]
SOURCES = "\n".join(
    path.read_text("utf-8")
    for name in ("node", "transport")
    for path in sorted((PACKAGES / name).rglob("*.py"))
    if "tests" not in path.parts
)


def in_code(pattern: str) -> set[str]:
    return set(re.findall(pattern, SOURCES))


CONNECTION_REASONS = {
    *in_code(r'(?:connection_rejected|_reject|_on_rejected)\(\s*"(\w+)"'),
    *in_code(r'self\._reject, "(\w+)"'),
    *(rejection.value for rejection in ConnectionRejection),
    "frame_malformed",
    "frame_oversized",
}
INPUT_REASONS = {
    *in_code(r'(?:count_rejected|\.on_rejected)\("(\w+)"'),
    *in_code(r'rejected\.labels\("\w+", "(\w+)"\)'),
}


@pytest.mark.parametrize(
    ("described", "existing"),
    [
        (texts.REASON_ADVICE, RefusalReason),
        (texts.DENIAL_TEXTS, RetryDenial),
        (texts.COUNTER_TEXTS, counter_names()),
        (texts.STAGE_TEXTS, in_code(r'\.stage\("(\w+)"\)')),
        (texts.INPUT_REASON_TEXTS, INPUT_REASONS),
        (texts.CONNECTION_REASON_TEXTS, CONNECTION_REASONS),
    ],
    ids=["reason", "denial", "counter", "stage", "input", "connection"],
)
def test_every_name_of_the_code_has_its_text(
    described: Collection, existing: Collection
) -> None:
    assert set(described) == set(existing)


@pytest.mark.parametrize("page", sorted(PAGES.glob("*.md")), ids=str)
def test_committed_page_equals_the_generated_one(page: Path) -> None:
    text = page.read_text("utf-8")
    assert render(text) == text, "run `make reference`"


def test_every_table_stands_on_a_page() -> None:
    pages = "".join(page.read_text("utf-8") for page in PAGES.glob("*.md"))
    for name in TABLES:
        assert f"<!-- table: {name} -->" in pages, name


def test_readme_leads_to_every_operators_page() -> None:
    readme = (PAGES.parents[1] / "README.md").read_text("utf-8")
    for page in PAGES.glob("*.md"):
        assert f"(docs/operators/{page.name})" in readme, page.name
