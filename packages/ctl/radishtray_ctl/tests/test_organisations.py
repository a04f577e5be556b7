"""Tests of `radishtrayctl organisations` on snapshots of metrics."""

import io
import json
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from radishtray_ctl._arguments import build_parser
from radishtray_ctl.main import run_command
from radishtray_ctl.tests.builders import (
    build_key_ages,
    build_limit,
    build_requests,
    build_snapshot,
    build_tokens,
)


def run_organisations(*arguments: str) -> tuple[int, str, str]:
    """Returns exit code, standard output and standard error."""
    options = build_parser().parse_args(["organisations", *arguments])
    output, errors = io.StringIO(), io.StringIO()
    codes: list[int] = []
    Deferred.fromCoroutine(
        run_command(options, None, {}, output, errors)
    ).addCallback(codes.append)
    return codes[0], output.getvalue(), errors.getvalue()


def write_snapshots(directory: Path, *texts: str) -> list[str]:
    paths = [directory / f"node{index}.txt" for index in range(len(texts))]
    for path, text in zip(paths, texts, strict=True):
        path.write_text(text, "utf-8")
    return [str(path) for path in paths]


# By name, which states the failure that a case guards against: the samples of
# each node, and the fields of the only organisation that they lead to.
SUMS: dict[str, tuple[list[list[str]], dict[str, Any]]] = {
    "requests_of_one_node_are_lost": (
        [
            build_requests("a", answered=5, shed=2),
            build_requests("a", answered=7, shed=1, allotment_exhausted=4),
        ],
        {"answered": 12, "rejected": {"allotment_exhausted": 4, "shed": 3}},
    ),
    "tokens_of_an_earlier_owner_are_lost": (
        [build_tokens("a", 10, 1), build_tokens("a", 30, 2)],
        {"tokens_granted": 40, "tokens_denied": 3},
    ),
    "a_limit_is_summed_over_nodes": (
        [[build_limit("a", 40.0)], [build_limit("a", 40.0)]],
        {"limits_per_s": [40.0]},
    ),
    "nodes_of_different_versions_look_equal": (
        [[build_limit("a", 40.0)], [build_limit("a", 2.5)]],
        {"limits_per_s": [2.5, 40.0]},
    ),
    "a_restarted_node_makes_keys_look_new": (
        [[build_key_ages("a", 900.0, 300.0)], [build_key_ages("a", 4.0, 4.0)]],
        {"oldest_key_s": 900.0, "newest_key_s": 300.0},
    ),
    "an_unlimited_organisation_has_a_limit": (
        [build_requests("a", answered=1)],
        {"limits_per_s": [], "oldest_key_s": None},
    ),
}


@pytest.mark.parametrize("name", SUMS)
def test_snapshots_are_summed(name: str, tmp_path: Path) -> None:
    nodes, expected = SUMS[name]
    paths = write_snapshots(tmp_path, *(build_snapshot(*n) for n in nodes))
    code, output, _ = run_organisations("--json", *paths)
    (row,) = json.loads(output)["organisations"]
    assert code == 0
    assert row["organisation"] == "a"
    assert {key: row[key] for key in expected} == expected


# By failure that a case guards against: content of the file, None if there is
# no file, and a part of the message.
UNUSABLE_FILES: dict[str, tuple[bytes | None, str]] = {
    "traceback_for_a_missing_file": (None, "No such file"),
    "empty_file_shown_as_no_organisations": (b"", "no metrics of a node"),
    "metrics_of_another_program_shown": (b"up 1\n", "no metrics of a node"),
    "error_page_of_a_proxy": (b"<html>x</html>\n", "invalid metric name"),
    "binary_file": (b"\xff\xfe\x00", "decode"),
    "truncated_snapshot": (b'radishtray_x{a="b', "could not convert"),
    "fault_without_a_message": (b"{", "not in the text exposition format"),
    "sample_that_is_not_a_number": (
        build_snapshot(build_limit("a", float("nan"))).encode(),
        "is nan",
    ),
    "sample_without_its_label": (
        build_snapshot(
            'organisation_requests_total{organisation="a"} 1'
        ).encode(),
        "lacks the label",
    ),
}


@pytest.mark.parametrize("name", UNUSABLE_FILES)
def test_an_unusable_file_is_a_usage_error_that_names_it(
    name: str, tmp_path: Path
) -> None:
    """All unusable files must be named, and no partial sum shown."""
    content, text = UNUSABLE_FILES[name]
    (good_path,) = write_snapshots(tmp_path, build_snapshot())
    path = tmp_path / "unusable.txt"
    if content is not None:
        path.write_bytes(content)
    absent = str(tmp_path / "absent.txt")
    code, output, errors = run_organisations(good_path, str(path), absent)
    assert code == 2
    assert output == ""
    assert f"{path}: " in errors
    assert text in errors
    assert absent in errors


def test_text_has_one_aligned_line_for_each_organisation(
    tmp_path: Path,
) -> None:
    """Guards against a file counted twice, and rows that are not readable."""
    snapshot = build_snapshot(
        *build_requests("(others)", answered=3),
        *build_requests("Beta", answered=120, shed=1, allotment_exhausted=9),
        *build_requests(r"x\ny", answered=1),
        build_limit("Beta", 40.0),
        *build_tokens("Beta", 130, 9),
        build_key_ages("Beta", 97200.0, 150.0),
    )
    (path,) = write_snapshots(tmp_path, snapshot)
    code, output, _ = run_organisations(path, path)
    assert code == 0
    assert output == (
        "organisation  limit/s  answered  rejected  granted  denied"
        "  oldest key  newest key  reasons\n"
        "Beta               40       120        10      130       9"
        "       1d 3h      2m 30s  allotment_exhausted 9, shed 1\n"
        r"x\ny                -         1         0        0       0"
        "           -           -  -\n"
        "(others)            -         3         0        0       0"
        "           -           -  -\n"
    )


def test_nodes_without_organisations_are_no_error(tmp_path: Path) -> None:
    """Guards against a failure at deployments without organisations."""
    paths = write_snapshots(tmp_path, build_snapshot(), build_snapshot())
    assert run_organisations(*paths) == (0, "no organisations\n", "")
