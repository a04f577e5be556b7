"""Tests the operators' commands against a real node and the API page."""

import json
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path

from radishtray_testing.processes import LOOPBACK, LocalDeployment
from radishtray_testing.reference import PAGES_DIRECTORY

CONFIGURATION = """format: 1
services:
  pagos:
    owner: pagos
    kinds:
      cobrar: {method: POST, path: /cobros, class: critical,
               deadline_ms: 600000}
"""
WORK_PLAN = '{"cobros": {"ms": 600000, "calls": []}}'
EXPECTED_OUTCOME = {
    "kind": "pagos/cobrar",
    "key": None,
    "reason": "upstream_lost",
}


def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        time.sleep(0.05)


def test_status_lists_an_unknown_outcome_and_drain_ends_the_node(
    tmp_path: Path,
) -> None:
    """Kills the upstream of a running request, then reads the status.

    The node must list the request, whose outcome is unknown, with keys that the
    API page describes; the command must report it, and an unreachable node, by
    its exit code. A drain must end the node with exit code 0.
    """
    deployment = LocalDeployment(tmp_path / "logs")
    try:
        node = deployment.start_node("pagos-1", "cr-a")
        upstream = deployment.start_upstream(
            *("pagos-1", "--service", "pagos", "--slots", "1"),
            *("--plan", WORK_PLAN, "--distribution", "fixed"),
        )
        configuration_file = tmp_path / "document.yaml"
        configuration_file.write_text(CONFIGURATION, encoding="utf-8")
        code, output = deployment.run_ctl(
            "config", "apply", str(configuration_file)
        )
        assert code == 0, output
        deployment.wait_until_ready(1, 1)
        address = f"{LOOPBACK}:{node.port('operator')}"
        code, output = deployment.run_ctl("status", "--node", address)
        assert code == 0, output
        assert "generation: 1\n" in output
        assert "draining: false\n" in output

        url = f"http://{LOOPBACK}:{node.port('caller')}/pagos/cobros"
        outcome_headers: list[str | None] = []

        def send_request() -> None:
            try:
                urllib.request.urlopen(
                    urllib.request.Request(url, method="POST")
                ).close()
            except urllib.error.HTTPError as error:
                outcome_headers.append(error.headers["Radishtray-Outcome"])

        caller = threading.Thread(target=send_request)
        caller.start()
        wait_until(lambda: node.status()["in_flight"] == 1)
        upstream.close()
        caller.join()
        assert outcome_headers == ["outcome_unknown"]

        code, output = deployment.run_ctl("status", "--node", address, "--json")
        assert code == 1, output
        report = json.loads(output)
        status = report["nodes"][0]["status"]
        (outcome,) = status["unknown_outcomes"]
        assert outcome.items() >= EXPECTED_OUTCOME.items()
        page = (PAGES_DIRECTORY / "api.md").read_text("utf-8")
        for key in (*status, *outcome):
            assert f"`{key}`" in page, key
        code, output = deployment.run_ctl(
            *("status", "--node", address, "--node", f"{LOOPBACK}:1")
        )
        assert code == 3, output
        assert f"request_id={outcome['request_id']}" in output
        assert f"finding: node {LOOPBACK}:1 gave no answer" in output

        code, output = deployment.run_ctl("drain", "--node", address)
        assert code == 0, output
        assert node.wait_for_exit() == 0
    finally:
        deployment.close()
