"""Seeds simulated nodes; passes over the tests listed in KNOWN-RED.txt.

The listed tests are printed.
"""

from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from radishtray_testing.seeded_nodes import seeded_nodes

_LIST = Path(__file__).parent / "KNOWN-RED.txt"
_PREFIX = "test: "


def _known_red() -> tuple[str, ...]:
    """Returns the ids of the listed tests."""
    if not _LIST.exists():
        return ()
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return tuple(
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    )


_KNOWN_RED = _known_red()
_failed: list[str] = []


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the seed of the simulated nodes."""
    parser.addoption(
        "--seed", type=int, default=1, help="seed of the simulated nodes"
    )


@pytest.fixture(autouse=True)
def _seeded_gateways(request: pytest.FixtureRequest) -> Iterator[None]:
    """Seeds each test by its name and the option `--seed`."""
    seed = request.config.getoption("--seed")
    with seeded_nodes(Random(f"{seed} {request.node.name}")):
        yield


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: Any) -> Iterator[None]:
    """Reports the failure of a listed test as expected."""
    del call
    outcome = yield
    report = outcome.get_result()
    if report.failed and item.nodeid in _KNOWN_RED:
        _failed.append(item.nodeid)
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the listed tests, and which of them failed in this run."""
    for test in _KNOWN_RED:
        state = "failed" if test in _failed else "passed or not run"
        terminalreporter.write_line(f"known red, {state}: {test}")
