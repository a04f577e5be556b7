"""The document format: findings, classification, and section texts.

The tests guard against findings that point at the wrong line or are missing,
requests that get the wrong kind, sections that change when they are split and
joined, and texts that make the parser raise.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_protocol import (
    Document,
    PriorityClass,
    RequestKind,
    join_sections,
    parse_document,
    split_sections,
)

VALID = """\
format: 1
# Not kept: a comment that a blank line separates from the first section.

defaults:
  owner: plataforma
  retry_budget: 2
services:
    # Sells tickets.
    taquilla:
      owner: ventas
      kinds:
        compra: {method: POST, path: /compras, class: critical,
                 at_most_once: true, calls: [gafete/leer]}
        estado: {method: GET, path: "/compras/{compra}", class: high}
        ayer: {method: GET, path: /compras/ayer}

    gafete:
      owner: acceso  # Badge team.
      kinds:
        leer:
          method: GET
          path: /gafetes/{gafete}
          deadline_ms: 250
"""
VALID_FLOW_STYLE = (
    "{format: 1, services: {a: {owner: '1', kinds: {k: {method: GET,"
    " path: /}}}}}"
)

# By name: (text to replace, replacement, texts at which the findings are
# expected, start of the first finding's message).
INVALID_DOCUMENTS = {
    "unknown_key": (
        "deadline_ms",
        "deadline",
        ["deadline:"],
        "unknown key, did",
    ),
    "out_of_range": ("250", "0", ["0\n"], "must be 1 to 600000 ms, found"),
    "wrong_type": ("250", "fast", ["fast"], "expected a whole number"),
    "yaml_1_1_flag": ("once: true", "once: yes", ["yes"], "expected true or"),
    "bad_class": ("class: high", "class: top", ["top"], "must be one of crit"),
    "contradiction": (
        "at_most_once: true",
        "at_most_once: true, idempotent: true",
        ["true, calls"],
        "must be false",
    ),
    "no_owner": ("owner: ventas", "", ["taquilla:"], "is missing"),
    "no_method": ("method: GET\n", "\n", ["leer:"], "is missing"),
    "duplicate_kind": ("ayer:", "estado: ", ["estado:  "], "occurs twice, fir"),
    "ambiguous": ("/compras/ayer", '"/{a}/{b}"', ['"/{a}'], "is ambiguous w"),
    "bad_path": ("/gafetes/{gafete}", "/a//x?y", ["/a//"], "segment '' is ne"),
    "unknown_kind": ("te/leer", "te/no", ["gafete/no"], "service gafete has"),
    "unknown_service": ("gafete/leer", "no/leer", ["no/leer"], "there is no s"),
    "cycle": (
        "deadline_ms: 250",
        "calls: [taquilla/compra]",
        ["taquilla/"],
        "calls form a cycle: taquilla/compra -> gafete/leer -> taquilla/co",
    ),
    "format": ("format: 1", "format:  2", ["2"], "must be 1"),
    "alias": ("ventas", "&x [*x]", ["&x"], "aliases are not supported"),
    "syntax": ("gafete:\n", "gafete\n", [": acceso"], "YAML: could not "),
    "tab": ("  owner: plat", "\towner: plat", ["\towner"], "YAML: found ch"),
    "reserved": (
        "    gafete:",
        "    defaults:",
        ["gafete/leer", "defaults:\n      owner"],
        "there is no service gafete",
    ),
    "five_at_once": (
        VALID,
        VALID.replace("owner: ventas", "owner: []")
        .replace("class: critical", "class: top")
        .replace("gafete/leer", "gafete/nada")
        .replace("/compras/ayer", "compras")
        .replace("250", "700000"),
        ["[]", "top", "gafete/nada", "compras}", "700000"],
        "expected text, found a list",
    ),
}


def parse_valid(text: str) -> Document:
    return parse_document({"f": text}).default_with(pytest.fail)


@pytest.mark.parametrize("name", INVALID_DOCUMENTS)
def test_finding_points_at_the_invalid_value(name: str) -> None:
    old, new, anchors, message = INVALID_DOCUMENTS[name]
    assert old in VALID
    text = VALID.replace(old, new, 1)
    findings = parse_document({"f": text}).error
    offsets = [text.index(anchor) for anchor in anchors]
    assert [(finding.line, finding.column) for finding in findings] == [
        (text.count("\n", 0, offset) + 1, offset - text.rfind("\n", 0, offset))
        for offset in offsets
    ], findings
    assert findings[0].message.startswith(message)


def test_classify_prefers_literals_and_applies_defaults() -> None:
    document = parse_valid(VALID)
    cases = {
        ("taquilla", "POST", "/compras"): "taquilla/compra",
        ("taquilla", "GET", "/compras/7"): "taquilla/estado",
        ("taquilla", "GET", "/compras/ayer"): "taquilla/ayer",
        ("taquilla", "GET", "/compras/"): None,
        ("taquilla", "PUT", "/compras"): None,
        ("otro", "GET", "/compras"): None,
    }
    for request, expected in cases.items():
        kind = document.classify(*request)
        assert (kind and kind.qualified_name) == expected, request
    purchase = document.find_kind("taquilla", "compra")
    assert purchase and purchase.priority_class is PriorityClass.CRITICAL
    assert (purchase.retry_budget, purchase.deadline_ms) == (2, 1_000)
    assert (purchase.at_most_once, purchase.idempotent) == (True, False)
    assert document.find_kind("gafete", "leer").idempotent  # type: ignore


def test_partial_document_may_call_missing_services() -> None:
    section = split_sections(VALID)["taquilla"]
    assert parse_document({"f": section}).is_error()
    assert parse_document({"f": section}, partial=True).is_ok()


@pytest.mark.parametrize(
    "text", [VALID, VALID_FLOW_STYLE], ids=["block", "flow"]
)
def test_joined_sections_equal_the_original_document(text: str) -> None:
    sections = split_sections(text)
    joined = join_sections(sections)
    assert split_sections(joined) == sections
    original, reparsed = parse_valid(text), parse_document(sections).ok
    assert original.owners == reparsed.owners == parse_valid(joined).owners
    for name, service in original.services.items():
        expected = {n: k.to_json() for n, k in service.kinds.items()}
        kinds = reparsed.services[name].kinds
        assert {n: k.to_json() for n, k in kinds.items()} == expected


def test_section_text_keeps_its_comments() -> None:
    sections = split_sections(VALID)
    assert "# Sells tickets." in sections["taquilla"]
    assert "# Badge team." in sections["gafete"]
    assert sections["gafete"].startswith("format: 1\nservices:\n  gafete:\n")


@pytest.mark.parametrize(
    "fields",
    [
        {"deadline_ms": 0},
        {"retry_budget": True},
        {"weight": float("nan")},
        {"at_most_once": True, "idempotent": True},
        {"calls": ["x"]},
        {"path": "x"},
        {"name": "X"},
    ],
    ids=str,
)
def test_request_kind_rejects_invalid_fields(fields: dict) -> None:
    valid_fields = {"service": "s", "name": "k", "method": "GET", "path": "/"}
    with pytest.raises(ValueError):
        RequestKind(**{**valid_fields, **fields})


YAML_FRAGMENTS = st.sampled_from(
    [*VALID.splitlines(keepends=True), "- ", "? ", ": ", "{", "]", "&a ", "*a"]
    + ["!!x ", "!x ", "'", '"', "|\n", "\t", "\n", "---\n", "%YAML 9\n", "<<"]
    + ["\x00", "\ud800", "é", "  " * 30, "- " * 50, "[" * 50, "1e999", "1:30"]
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    st.text()
    | st.lists(YAML_FRAGMENTS, max_size=40).map("".join)
    | st.tuples(st.integers(0, len(VALID)), YAML_FRAGMENTS).map(
        lambda insertion: (
            VALID[: insertion[0]] + insertion[1] + VALID[insertion[0] :]
        )
    )
)
def test_parser_never_raises(text: str) -> None:
    """Any text gives a document that splits and joins, or findings."""
    result = parse_document({"f": text})
    if result.is_ok():
        sections = split_sections(text)
        assert parse_document(sections).is_ok()
        assert split_sections(join_sections(sections)) == sections
    else:
        assert result.error
        assert all(f.line > 0 and f.column > 0 for f in result.error)
