"""Tests that the cost of the control plane does not grow with the fleet."""

from radishtray_testing import control_slopes

SIZES = (100, 1000)


def test_messages_and_bytes_per_node_do_not_grow_with_the_fleet() -> None:
    """Messages whose number or size grows with the fleet exceed the limit.

    The limit is 14 KB/s per node at 4,300 members. Digests and acknowledgements
    must therefore not grow with the number of members.
    """
    small, large = (
        control_slopes.measure_membership(size, 1, 120) for size in SIZES
    )
    assert large["sent_per_s"] < 1.1 * small["sent_per_s"]
    assert large["bytes_per_s"] < 1.5 * small["bytes_per_s"] < 14_000


def test_platform_load_does_not_grow_with_nodes_per_domain() -> None:
    """Requests by each node would exceed the platform's rate limits.

    The rate limits grow more slowly than the fleet.
    """
    few, many = (
        control_slopes.measure_platform_load(2, count, 1) for count in (6, 18)
    )
    for key in ("reads_per_s", "writes_per_s", "watches_per_s"):
        assert many[key] < 1.5 * few[key]


def test_slope_of_a_line_is_its_gradient() -> None:
    rows = [{"x": x, "y": 3 * x + 2} for x in (1, 4, 9)]
    assert abs(control_slopes.least_squares_slope(rows, "x", "y") - 3) < 1e-9
