"""Tests that KNOWN-RED.txt excuses only the failing tests that it lists."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parents[4]
_TEST_SOURCE = (
    "def test_red():\n    assert 0\n\n\ndef test_other():\n    assert 0\n"
)


def test_only_listed_tests_are_passed_over(tmp_path: Path) -> None:
    """A failure of a test that is not listed must still fail the run."""
    (tmp_path / "conftest.py").write_text((_ROOT / "conftest.py").read_text())
    (tmp_path / "KNOWN-RED.txt").write_text("test: test_x.py::test_red\n")
    (tmp_path / "test_x.py").write_text(_TEST_SOURCE)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "."],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert "1 failed, 1 xfailed" in done.stdout
    assert "known red, failed: test_x.py::test_red" in done.stdout
    assert done.returncode == 1


def test_every_listed_test_exists() -> None:
    """An entry must not outlive its test after a rename or removal."""
    for line in (_ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line.startswith("test: "):
            path, _, name = line.removeprefix("test: ").partition("::")
            function, _, case = name.strip().partition("[")
            source = (_ROOT / path).read_text()
            assert f"def {function}(" in source
            # Cases of several parameters are joined by hyphens.
            for value in case.removesuffix("]").split("-"):
                assert not value or f'"{value}"' in source
