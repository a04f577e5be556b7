"""Guards the operators' pages against names that the code does not have."""

import ast
import re
from collections.abc import Collection
from pathlib import Path

import pytest

from radishtray_state import ConnectionRejection, RefusalReason, RetryDenial
from radishtray_testing import _reference_texts as texts
from radishtray_testing.reference import PAGES, TABLES, counter_names, render

PACKAGES = Path(__file__).parents[3]
NODE = PACKAGES / "node" / "radishtray_node"
TRANSPORT = PACKAGES / "transport" / "radishtray_transport"


def rejections(*paths: Path) -> set[str]:
    """Returns the texts passed to calls that name something rejected."""
    found = set()
    for path in paths:
        for call in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(call, ast.Call) and any(
                isinstance(part, ast.Attribute) and "reject" in part.attr
                for part in ast.walk(call)
            ):
                names = [
                    argument.value
                    for argument in call.args
                    if isinstance(argument, ast.Constant)
                    and isinstance(argument.value, str)
                ]
                found.update(names[-1:])
    return found


INPUT_REASONS = rejections(
    TRANSPORT / "_http_server.py",
    TRANSPORT / "_http_channel.py",
    NODE / "_operator_api.py",
)
CONNECTION_REASONS = {
    *rejections(
        TRANSPORT / "_node_connection.py",
        NODE / "_peer_link.py",
        NODE / "_node_server.py",
    ),
    *(rejection.value for rejection in ConnectionRejection),
    "frame_malformed",
    "frame_oversized",
}
STAGES = {
    name
    for path in NODE.glob("*.py")
    for name in re.findall(
        r'\.create_stage_timer\("(\w+)"\)', path.read_text("utf-8")
    )
}


@pytest.mark.parametrize(
    ("described", "existing"),
    [
        (texts.REASON_ADVICE, RefusalReason),
        (texts.DENIAL_TEXTS, RetryDenial),
        (texts.COUNTER_TEXTS, counter_names()),
        (texts.STAGE_TEXTS, STAGES),
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
