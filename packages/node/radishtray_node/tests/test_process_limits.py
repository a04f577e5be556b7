"""Guards against shares that exceed the limits of a process."""

import pytest

from radishtray_node._process_limits import ProcessLimits


@pytest.mark.parametrize("descriptors", [600, 4096, 8192])
@pytest.mark.parametrize("memory_mb", [100, 200, 552])
def test_the_shares_stay_within_the_limits(
    memory_mb: int, descriptors: int
) -> None:
    limits = ProcessLimits(memory_mb * 1_000_000, descriptors)
    account_bytes = max(limits.account.max_by_purpose().values())
    assert 0 < account_bytes < 0.8 * memory_mb * 1_000_000
    sockets = (
        limits.caller_connections
        + 2 * limits.node_connections
        + limits.upstream_connections
        + 3 * limits.control_limits().connections
    )
    # 200 are reserved for files; some are left for the store.
    assert sockets <= descriptors - 200 - 32
    assert limits.caller_connections > 100
