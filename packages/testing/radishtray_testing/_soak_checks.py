"""Checks of a soak, from what callers and upstreams have seen."""

from collections import Counter
from collections.abc import Iterable

from radishtray_testing._soak_callers import KEYED_KINDS, Send
from radishtray_testing._soak_deployment import Run
from radishtray_testing._soak_faults import PLATFORM, Fault

_SETTLE_S = 10.0
"""Time after a fault in which its effects are attributed to it."""
_READ_BY_THEN_S = 2.0
"""A request sent that long before a planned stop has been read by the node."""
_CUT_REASONS = ("node_lost", "upstream_lost")
PAUSED_OWNER = "keys of a paused owner run 0 or 2 times"
GONE_WITHOUT_PLATFORM = "key_owner_gone while the platform is down"


class Violation:
    """A promise that was not kept.

    Attributes:
        rule: The promise.
        detail: The request with its ids, and what was seen.
        known_red: Name of the listed fault that explains it, or empty.
    """

    __slots__ = ("detail", "known_red", "rule")

    def __init__(self, rule: str, detail: str, known_red: str = "") -> None:
        """Creates a violation."""
        self.rule = rule
        self.detail = detail
        self.known_red = known_red

    def __str__(self) -> str:
        """Returns one line for reports."""
        label = f"KNOWN RED ({self.known_red})" if self.known_red else "FAILED"
        return f"{label}: {self.rule}: {self.detail}"


class Observations:
    """What callers and upstreams saw, and the faults that were injected."""

    __slots__ = (
        "_faults",
        "_run_count_by_key",
        "_runs",
        "_runs_by_send_id",
        "_sends",
        "_sends_by_key",
    )

    def __init__(
        self, sends: list[Send], runs: list[Run], faults: list[Fault]
    ) -> None:
        """Indexes the observations.

        Args:
            sends: All sends of all callers.
            runs: All runs of all upstreams.
            faults: All faults that were injected.
        """
        self._sends = sends
        self._runs = runs
        self._faults = faults
        self._runs_by_send_id: dict[str, list[Run]] = {}
        for run in runs:
            self._runs_by_send_id.setdefault(run.send_id, []).append(run)
        self._run_count_by_key = Counter(run.key for run in runs if run.key)
        self._sends_by_key: dict[str, list[Send]] = {}
        for send in sends:
            self._sends_by_key.setdefault(send.key, []).append(send)

    def find_violations(self) -> list[Violation]:
        """Returns all violations."""
        return [
            *self._check_answers(),
            *self._check_single_runs(),
            *self._check_refusals(),
            *self._check_purchases(),
            *self._check_planned_stops(),
            *self._find_lost_owners(),
        ]

    def _check_answers(self) -> Iterable[Violation]:
        for send in self._sends:
            if send.fault:
                yield Violation(
                    "each answer is whole and its own", f"{send}; {send.fault}"
                )

    def _check_single_runs(self) -> Iterable[Violation]:
        for key, count in self._run_count_by_key.items():
            if count > 1:
                runs = [run for run in self._runs if run.key == key]
                places = ", ".join(
                    f"{run.target} {run.send_id} on {run.node_id} at"
                    f" {run.at_s:.3f}"
                    for run in runs
                )
                begin_s = min(run.at_s for run in runs)
                end_s = max(run.at_s for run in runs)
                yield Violation(
                    "a key runs at most once",
                    f"{key}: {places}",
                    self._paused_owner(begin_s, end_s),
                )
        for send in self._sends:
            run_count = len(self._runs_by_send_id.get(send.send_id, ()))
            if send.kind == "write" and run_count > 1:
                yield Violation(
                    "a send of a kind that is not idempotent runs at most once",
                    f"{send}; {run_count} runs",
                )

    def _check_refusals(self) -> Iterable[Violation]:
        for send in self._sends:
            runs = self._runs_by_send_id.get(send.send_id)
            if send.outcome == "not_run" and runs:
                yield Violation(
                    "what is answered as not run never runs",
                    f"{send}; ran on {runs[0].node_id} at {runs[0].at_s:.3f}",
                    self._paused_owner(send.started_s, runs[0].at_s)
                    if send.key
                    else "",
                )

    def _check_purchases(self) -> Iterable[Violation]:
        paid_chains = {
            run.chain_id for run in self._runs if run.target == "/pay"
        }
        for send in self._sends:
            if send.kind not in KEYED_KINDS or send.status != 200:
                continue
            known_red = self._paused_owner(send.started_s, send.ended_s)
            if not self._run_count_by_key[send.key]:
                yield Violation(
                    "an answered purchase ran", f"{send} {send.key}", known_red
                )
            elif (
                send.kind == "order"
                and send.answer.get("chain_id") not in paid_chains
            ):
                yield Violation(
                    "the calls of an answered purchase ran",
                    f"{send} {send.key}",
                    known_red,
                )

    def _paused_owner(self, begin_s: float, end_s: float) -> str:
        """Returns the known fault's name if a node was paused at the time."""
        return (
            PAUSED_OWNER
            if any(
                fault.kind == "pause_node"
                and fault.overlaps(begin_s - _SETTLE_S, end_s)
                for fault in self._faults
            )
            else ""
        )

    def _check_planned_stops(self) -> Iterable[Violation]:
        for stop in self._faults:
            if stop.kind != "stop_node":
                continue
            for send in self._sends:
                if stop.overlaps(
                    send.started_s, send.ended_s
                ) and self._is_cut_by(stop, send):
                    yield Violation(
                        "a planned stop cuts no request", f"{send}; {stop}"
                    )

    def _is_cut_by(self, stop: Fault, send: Send) -> bool:
        runs = self._runs_by_send_id.get(send.send_id, [])
        places = {send.entry, *(run.node_id for run in runs)}
        if stop.target not in places or send.kind == "order":
            return False
        if any(
            fault is not stop
            and fault.target in (PLATFORM, *places)
            and fault.kind != "publish_configuration"
            and fault.overlaps(send.started_s - _SETTLE_S, send.ended_s)
            for fault in self._faults
        ):
            return False
        if send.status:
            return bool(runs) and send.reason in _CUT_REASONS
        # A node may close a kept connection while a request is on its way, but
        # then it has not read the request.
        return bool(runs) or (
            send.entry == stop.target
            and send.reason != "ConnectionRefusedError"
            and send.started_s < stop.began_at_s - _READ_BY_THEN_S
        )

    def _find_lost_owners(self) -> Iterable[Violation]:
        for send in self._sends:
            if (
                send.reason == "key_owner_gone"
                and not send.is_resend
                and any(
                    fault.kind.startswith("platform")
                    and fault.overlaps(send.started_s, send.ended_s)
                    for fault in self._faults
                )
                and not any(
                    fault.target != PLATFORM
                    and fault.began_at_s
                    and fault.began_at_s <= send.ended_s
                    for fault in self._faults
                )
            ):
                yield Violation(
                    "purchases go on without the platform",
                    str(send),
                    GONE_WITHOUT_PLATFORM,
                )
