"""Tests that the operators' pages agree with the names in the code.

A reason, counter or stage could be added or renamed without its description, or
a page could be edited without the code.
"""

import ast
import re
from collections.abc import Collection
from pathlib import Path

import pytest

from radishtray_node import ReportRejection
from radishtray_state import ConnectionRejection, RefusalReason, RetryDenial
from radishtray_testing import _reference_texts as texts
from radishtray_testing.reference import (
    PAGES_DIRECTORY,
    TABLES,
    counter_names,
    render_page,
)

PACKAGES_DIRECTORY = Path(__file__).parents[3]
NODE_SOURCES = PACKAGES_DIRECTORY / "node" / "radishtray_node"
TRANSPORT_SOURCES = PACKAGES_DIRECTORY / "transport" / "radishtray_transport"


def find_rejection_reasons(*paths: Path) -> set[str]:
    """Returns the reasons for rejections that are written in source files.

    A reason is the last string literal among the positional arguments of a call
    that contains an attribute whose name has "reject" in it.
    """
    reasons = set()
    for path in paths:
        for call in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(call, ast.Call) and any(
                isinstance(node, ast.Attribute) and "reject" in node.attr
                for node in ast.walk(call)
            ):
                literals = [
                    argument.value
                    for argument in call.args
                    if isinstance(argument, ast.Constant)
                    and isinstance(argument.value, str)
                ]
                reasons.update(literals[-1:])
    return reasons


INPUT_REASONS = find_rejection_reasons(
    TRANSPORT_SOURCES / "_http_server.py",
    TRANSPORT_SOURCES / "_http_channel.py",
    NODE_SOURCES / "_operator_api.py",
)
CONNECTION_REASONS = {
    *find_rejection_reasons(
        TRANSPORT_SOURCES / "_node_connection.py",
        NODE_SOURCES / "_peer_link.py",
        NODE_SOURCES / "_node_server.py",
    ),
    *(rejection.value for rejection in ConnectionRejection),
    "frame_malformed",
    "frame_oversized",
    "frame_undecompressible",
    "frame_nested_compression",
    "frame_unexpected_compression",
}
REPORT_REASONS = {rejection.value for rejection in ReportRejection}
STAGE_NAMES = {
    name
    for path in NODE_SOURCES.glob("*.py")
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
        (texts.STAGE_TEXTS, STAGE_NAMES),
        (texts.INPUT_REASON_TEXTS, INPUT_REASONS),
        (texts.CONNECTION_REASON_TEXTS, CONNECTION_REASONS),
        (texts.REPORT_REASON_TEXTS, REPORT_REASONS),
    ],
    ids=[
        "reason",
        "denial",
        "counter",
        "stage",
        "input",
        "connection",
        "report",
    ],
)
def test_texts_describe_exactly_the_names_in_the_code(
    described: Collection, existing: Collection
) -> None:
    assert set(described) == set(existing)


@pytest.mark.parametrize("page", sorted(PAGES_DIRECTORY.glob("*.md")), ids=str)
def test_committed_page_equals_the_generated_one(page: Path) -> None:
    text = page.read_text("utf-8")
    assert render_page(text) == text, "run `make reference`"


def test_every_table_is_on_a_page() -> None:
    pages = "".join(
        page.read_text("utf-8") for page in PAGES_DIRECTORY.glob("*.md")
    )
    for name in TABLES:
        assert f"<!-- table: {name} -->" in pages, name


def test_readme_links_every_operators_page() -> None:
    readme = (PAGES_DIRECTORY.parents[1] / "README.md").read_text("utf-8")
    for page in PAGES_DIRECTORY.glob("*.md"):
        assert f"(docs/operators/{page.name})" in readme, page.name
