"""Seeds the random numbers of the gateways in all tests of this folder."""

from collections.abc import Iterator
from random import Random

import pytest

from radishtray_testing.seeded_nodes import seeded_nodes


@pytest.fixture(autouse=True)
def _seeded_gateways(request: pytest.FixtureRequest) -> Iterator[None]:
    """Seeds each test by its name and the option `--seed`."""
    seed = request.config.getoption("--seed")
    with seeded_nodes(Random(f"{seed} {request.node.name}")):
        yield
