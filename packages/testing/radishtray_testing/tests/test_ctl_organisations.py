"""Tests `radishtrayctl organisations` on the metrics of simulated gateways.

The command repeats the names of metrics and labels, since it does not depend on
the node; a renamed metric would silently show zeros.
"""

import io
import json
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from radishtray_ctl._arguments import build_parser
from radishtray_ctl.main import run_command
from radishtray_organisations import Organisation, digest_key
from radishtray_testing.gateway_builders import (
    GatewayFleet,
    build_route,
    build_route_table,
)

_KEY = "key-that-is-shown-nowhere"
_NODES = ("n0", "n1", "n2")


def run_fleet() -> GatewayFleet:
    """Runs three gateways that get more requests than the allotment."""
    organisation = Organisation(
        "acme", [digest_key(_KEY.encode())], rate_per_s=5.0, burst=5.0
    )
    table = build_route_table(
        build_route("read", "s"), organisations=[organisation]
    )
    fleet = GatewayFleet(table)
    for name in _NODES:
        fleet.add(name, "s")
    fleet.run(4)
    authorization = ("Authorization", f"Bearer {_KEY}")
    for index in range(60):
        fleet.send(
            _NODES[index % 3], "/read/x", f"r{index}", headers=authorization
        )
    fleet.run(2)
    return fleet


def show_organisations(*arguments: str) -> str:
    options = build_parser().parse_args(["organisations", *arguments])
    output = io.StringIO()
    Deferred.fromCoroutine(run_command(options, None, {}, output, output))
    return output.getvalue()


def test_every_column_is_filled_from_the_metrics_of_gateways(
    tmp_path: Path,
) -> None:
    paths = []
    for name, gateway in run_fleet().gateways.items():
        path = tmp_path / name
        path.write_bytes(gateway.metrics.exposition())
        paths.append(str(path))
    row: dict[str, Any]
    (row,) = json.loads(show_organisations("--json", *paths))["organisations"]
    assert row["organisation"] == "acme"
    assert row["limits_per_s"] == [5.0]
    assert row["answered"] + sum(row["rejected"].values()) == 60
    assert row["answered"] > 0
    assert row["rejected"]["allotment_exhausted"] > 0
    assert row["tokens_granted"] >= row["answered"]
    assert row["tokens_denied"] > 0
    assert row["oldest_key_s"] >= row["newest_key_s"] > 0
    for text in (show_organisations(*paths), json.dumps(row)):
        assert _KEY not in text
        assert digest_key(_KEY.encode()).hex() not in text
