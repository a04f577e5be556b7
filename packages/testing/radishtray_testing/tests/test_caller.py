"""Tests outcomes, resends and idempotency keys of the load tool.

They guard against failures that are not counted as such and against a resend
with another key after an unknown outcome.
"""

import random
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet.task import Clock

from radishtray_state import ManualClock, RequestKey
from radishtray_testing.caller import Caller
from radishtray_testing.load_plan import KindLoad, LoadPhase, LoadPlan
from radishtray_transport import HttpResponse, RequestFailure

FRESH_KEY = str(RequestKey.generate(ManualClock(), random.Random(9)))
NOT_RUN = (503, ["Radishtray-Outcome", "not_run", "Radishtray-Reason", "shed"])
RETRY_KEY = (503, [*NOT_RUN[1], "Radishtray-Retry-Key", FRESH_KEY])
UNKNOWN = (502, ["Radishtray-Outcome", "outcome_unknown",
                 "Radishtray-Reason", "node_lost"])  # fmt: skip
GOOD = (200, [])


class FakeEntry:
    """Entry node that answers each attempt with the next step of a script.

    The last step answers all further attempts. The step None never answers.
    """

    def __init__(self, script: list[Any]) -> None:
        """Creates an entry that answers with `script`."""
        self.script = script
        self.keys: list[str] = []
        self.sends: list[str] = []

    def request(
        self,
        method: str,
        path: str,
        headers: list[str],
        body: bytes,
        on_answer: Callable[[HttpResponse], None],
        on_failure: Callable[[RequestFailure], None],
    ) -> None:
        named = dict(zip(headers[::2], headers[1::2], strict=True))
        self.keys.append(named.get("Idempotency-Key", ""))
        self.sends.append(named.get("Radishtray-Send", ""))
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, RequestFailure):
            on_failure(step)
        elif step is not None:
            on_answer(HttpResponse(step[0], step[1], b""))


def run_single_request(
    script: list[Any], keyed: bool, idempotent: bool
) -> tuple[FakeEntry, dict[str, Any]]:
    """Runs a load of one request and returns the entry and the results."""
    clock = Clock()
    kind = KindLoad("s/k", "POST", "/s/k", 1.0, 1.0, 1.0, keyed, idempotent)
    plan = LoadPlan([kind], [LoadPhase(1.0, 1.0)])
    # Seed 10 draws one arrival, early enough for two resends.
    caller = Caller(clock, ManualClock(), plan, [("127.0.0.1", 1)], seed=10)
    entry = FakeEntry(script)
    caller._entry_clients = [entry]  # type: ignore[list-item]
    results: list[dict[str, Any]] = []
    caller.start(results.append)
    clock.pump([0.005] * 800)
    return entry, results[0]["kinds"][0]


# Name, script, keyed, idempotent, final outcome, attempts, distinct keys.
CASES = [
    ("good", [GOOD], True, False, "good", 1, 1),
    ("not_run_then_good", [NOT_RUN, GOOD], True, False, "good", 2, 1),
    ("not_run_for_ever", [NOT_RUN], True, False, "not_run:shed", 3, 1),
    ("retry_key", [RETRY_KEY, GOOD], True, False, "good", 2, 2),
    ("unknown_keeps_the_key", [UNKNOWN, GOOD], True, False, "good", 2, 1),
    ("unknown_ignores_retry_key", [UNKNOWN, RETRY_KEY], True, False,
     "outcome_unknown:node_lost", 3, 1),
    ("unknown_without_key", [UNKNOWN], False, False,
     "outcome_unknown:node_lost", 1, 1),
    ("unknown_idempotent", [UNKNOWN, GOOD], False, True, "good", 2, 1),
    ("failed", [(502, [])], True, False, "failed:502", 1, 1),
    ("silent", [None], True, False, "late", 1, 1),
    ("lost", [RequestFailure.CONNECTION_LOST, GOOD], True, False, "good", 2, 1),
]  # fmt: skip


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_outcome_attempts_and_keys_of_one_request(
    case: tuple[str, list[Any], bool, bool, str, int, int],
) -> None:
    """A resend with another key could run the request twice.

    Only `not_run` allows another key, unless an earlier attempt may have run.
    """
    _, script, keyed, idempotent, outcome, attempts, keys = case
    entry, result = run_single_request(list(script), keyed, idempotent)
    assert result["outcomes"] == {outcome: 1}
    assert (len(entry.keys), len(set(entry.keys))) == (attempts, keys)
    if keyed:
        assert entry.sends == ["first"] + ["resend"] * (attempts - 1)
    assert sum(result["arrivals"]) == 1
    assert sum(result["served"]) == (outcome == "good")


def test_plan_is_unchanged_by_encoding_and_parsing() -> None:
    kind = KindLoad("s/k", "GET", "/s/{}", 2.0, keyed=True)
    plan = LoadPlan([kind], [LoadPhase(1.0, 3.0)], max_resends=5)
    copy = LoadPlan.parse(plan.encode())
    assert copy.encode() == plan.encode()
    assert (copy.factor_at(0.5), copy.factor_at(1.5)) == (3.0, 0.0)
