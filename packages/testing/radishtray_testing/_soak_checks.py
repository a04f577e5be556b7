"""Checks of a soak, from what callers and upstreams have seen."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from radishtray_testing._soak_callers import KEYED_KINDS, Send
from radishtray_testing._soak_deployment import PLATFORM, Run
from radishtray_testing._soak_faults import Fault

# Time after a fault in which its effects are attributed to it.
_SETTLE_S = 10.0
# A request sent that long before a planned stop has been read by the node.
_READ_BY_THEN_S = 2.0
_CUT_REASONS = ("node_lost", "upstream_lost")
PAUSED_OWNER = "keys of a paused owner run 0 or 2 times"


@dataclass(slots=True)
class Violation:
    """A promise that was not kept, and the listed fault that explains it."""

    rule: str
    detail: str
    known_red: str = ""

    def __str__(self) -> str:
        """Returns one line for reports."""
        label = f"KNOWN RED ({self.known_red})" if self.known_red else "FAILED"
        return f"{label}: {self.rule}: {self.detail}"


class Observations:
    """What callers and upstreams saw, and the faults that were injected."""

    def __init__(
        self, sends: list[Send], runs: list[Run], faults: list[Fault]
    ) -> None:
        """Indexes all sends, runs and faults of a soak."""
        self._sends = sends
        self._faults = faults
        self._runs_by_send: dict[str, list[Run]] = defaultdict(list)
        self._runs_by_key: dict[str, list[Run]] = defaultdict(list)
        for run in runs:
            self._runs_by_send[run.send_id].append(run)
            self._runs_by_key[run.key].append(run)
        self._runs_by_key.pop("", None)
        self._paid_chains = {r.chain_id for r in runs if r.target == "/pay"}

    def find_violations(self) -> Iterator[Violation]:
        """Yields all violations."""
        for key, runs in self._runs_by_key.items():
            if len(runs) > 1:
                times = [run.at_s for run in runs]
                known_red = self._paused_owner(min(times), max(times))
                detail = f"{key}: {runs}"
                yield Violation("a key runs at most once", detail, known_red)
        for send in self._sends:
            yield from self._check(
                send, self._runs_by_send.get(send.send_id, [])
            )

    def _check(self, send: Send, runs: list[Run]) -> Iterator[Violation]:
        detail = f"{send}; {runs}"
        known_red = ""
        if send.key:
            known_red = self._paused_owner(send.started_s, send.ended_s)
        if send.fault:
            yield Violation("each answer is whole and its own", detail)
        if send.kind == "write" and len(runs) > 1:
            yield Violation("a write runs at most once", detail)
        if send.outcome == "not_run" and runs:
            yield Violation("what is not run never runs", detail, known_red)
        if send.status == 200 and send.kind in KEYED_KINDS:
            chain_id = send.answer.get("chain_id")
            if send.key not in self._runs_by_key:
                yield Violation("an answered purchase ran", detail, known_red)
            elif send.kind == "order" and chain_id not in self._paid_chains:
                yield Violation("an answered order paid", detail, known_red)
        for stop in self._faults:
            if stop.kind == "stop_node" and self._is_cut(send, runs, stop):
                detail = f"{detail}; {stop}"
                yield Violation("a planned stop cuts no request", detail)
        if self._has_lost_owner(send):
            yield Violation("an owner that lives answers", detail)

    def _paused_owner(self, begin_s: float, end_s: float) -> str:
        """Returns the known fault's name if a node was paused at the time."""
        for fault in self._faults:
            if fault.kind == "pause_node" and fault.overlaps(
                begin_s - _SETTLE_S, end_s
            ):
                return PAUSED_OWNER
        return ""

    def _is_cut(self, send: Send, runs: list[Run], stop: Fault) -> bool:
        """Returns whether a planned stop, and nothing else, cut a request."""
        places = {send.entry, *(run.node_id for run in runs)}
        if (
            stop.target not in places
            or send.kind == "order"
            or not stop.overlaps(send.started_s, send.ended_s)
        ):
            return False
        for fault in self._faults:
            if (
                fault is not stop
                and fault.target in (PLATFORM, *places)
                and fault.kind != "platform_publish"
                and fault.overlaps(send.started_s - _SETTLE_S, send.ended_s)
            ):
                return False
        if send.status:
            return bool(runs) and send.reason in _CUT_REASONS
        # A node may close a kept connection while a request is on its way, but
        # then it has not read the request.
        return bool(runs) or (
            send.entry == stop.target
            and send.started_s < stop.began_at_s - _READ_BY_THEN_S
        )

    def _has_lost_owner(self, send: Send) -> bool:
        """Returns whether a key lost its owner without a fault of a node."""
        if send.reason != "key_owner_gone" or send.is_resend:
            return False
        return not any(
            fault.target != PLATFORM and 0 < fault.began_at_s <= send.ended_s
            for fault in self._faults
        )
