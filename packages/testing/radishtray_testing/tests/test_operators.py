"""Guards the operators' commands against nodes that differ from the pages."""

import json
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path

from radishtray_testing.processes import LOOPBACK, LocalDeployment
from radishtray_testing.reference import PAGES

DOCUMENT = """format: 1
services:
  pagos:
    owner: pagos
    kinds:
      cobrar: {method: POST, path: /cobros, class: critical,
               deadline_ms: 600000}
"""
PLAN = '{"cobros": {"ms": 600000, "calls": []}}'
OUTCOME = {"kind": "pagos/cobrar", "key": None, "reason": "upstream_lost"}


def wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        time.sleep(0.05)


def test_status_lists_an_unknown_outcome_and_drain_ends_the_node(
    tmp_path: Path,
) -> None:
    deployment = LocalDeployment(tmp_path / "logs")
    try:
        node = deployment.start_node("pagos-1", "cr-a")
        upstream = deployment.start_upstream(
            *("pagos-1", "--service", "pagos", "--slots", "1"),
            *("--plan", PLAN, "--distribution", "fixed"),
        )
        file = tmp_path / "document.yaml"
        file.write_text(DOCUMENT, encoding="utf-8")
        code, output = deployment.control("config", "apply", str(file))
        assert code == 0, output
        deployment.wait_until_ready(1, 1)
        address = f"{LOOPBACK}:{node.port('operator')}"
        code, output = deployment.control("status", "--node", address)
        assert code == 0, output
        assert "generation: 1\n" in output
        assert "draining: false\n" in output

        url = f"http://{LOOPBACK}:{node.port('caller')}/pagos/cobros"
        answers: list[str | None] = []

        def charge() -> None:
            try:
                urllib.request.urlopen(
                    urllib.request.Request(url, method="POST")
                ).close()
            except urllib.error.HTTPError as error:
                answers.append(error.headers["Radishtray-Outcome"])

        caller = threading.Thread(target=charge)
        caller.start()
        wait_until(lambda: node.status()["in_flight"] == 1)
        upstream.close()
        caller.join()
        assert answers == ["outcome_unknown"]

        code, output = deployment.control("status", "--node", address, "--json")
        assert code == 1, output
        shown = json.loads(output)
        status = shown["nodes"][0]["status"]
        (outcome,) = status["unknown_outcomes"]
        assert outcome.items() >= OUTCOME.items()
        page = (PAGES / "api.md").read_text("utf-8")
        for key in (*status, *outcome):
            assert f"`{key}`" in page, key
        code, output = deployment.control(
            *("status", "--node", address, "--node", f"{LOOPBACK}:1")
        )
        assert code == 3, output
        assert f"request_id={outcome['request_id']}" in output
        assert f"finding: node {LOOPBACK}:1 gave no answer" in output

        code, output = deployment.control("drain", "--node", address)
        assert code == 0, output
        assert node.wait() == 0
    finally:
        deployment.close()
