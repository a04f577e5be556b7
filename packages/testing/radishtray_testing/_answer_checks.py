"""Requests of the simulation of gateways, and the checks of their answers."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from radishtray_protocol import Route
from radishtray_testing.gateway_builders import HEADER_NAMES, CallerResult

_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_OWN_STATUSES: Final = _NOT_RUN_STATUSES | {502, 504}


class Violation(NamedTuple):
    """A check that a run has failed.

    Attributes:
        check: Name of the check.
        detail: What was seen.
    """

    check: str
    detail: str


class SentRequest:
    """One request of a caller, and its runs at upstreams.

    Attributes:
        request_id: Id of the request.
        entry: Node id of the gateway that it was sent to.
        route: Route of its path.
        body: Its body.
        sent_s: When it was sent.
        due_s: When its deadline is.
        result: What its caller has got.
        has_left: Whether its caller has disconnected before an answer.
        runs: Number of times that an upstream started to run it.
        statuses: Statuses that upstreams have answered it with.
    """

    __slots__ = (
        "body",
        "due_s",
        "entry",
        "has_left",
        "request_id",
        "result",
        "route",
        "runs",
        "sent_s",
        "statuses",
    )

    def __init__(
        self,
        request_id: str,
        entry: str,
        route: Route,
        body: bytes,
        sent_s: float,
        due_s: float,
        result: CallerResult,
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.route = route
        self.body = body
        self.sent_s = sent_s
        self.due_s = due_s
        self.result = result
        self.has_left = False
        self.runs = 0
        self.statuses: set[int] = set()

    def __str__(self) -> str:
        result = self.result
        seen = result.status or result.failure or "nothing"
        return (
            f"{self.request_id} ({self.route.name}) sent to {self.entry} at "
            f"{self.sent_s:.3f} s, due at {self.due_s:.3f} s, ended at "
            f"{result.ended_s} s with {seen}, runs {self.runs}, upstream "
            f"statuses {sorted(self.statuses)}"
        )


def check_request(
    request: SentRequest, bound_s: float
) -> Iterator[tuple[str, str]]:
    """Yields the name and a detail of each check that fails.

    Args:
        request: A request whose simulation has ended.
        bound_s: Latest allowed time of its answer.
    """
    result = request.result
    if request.runs > 1 and not request.route.is_repeatable:
        yield "ran_twice", ""
    if result.answer is not None:
        yield from _check_answer(request)
    if request.has_left:
        return
    if result.ended_s is None or result.ended_s > bound_s:
        yield "late", f"later than {bound_s:.3f} s: "


def _check_answer(request: SentRequest) -> Iterator[tuple[str, str]]:
    answer = request.result.answer
    assert answer is not None
    if answer.header(HEADER_NAMES.signature) is None:
        if answer.status not in _OWN_STATUSES:
            yield "unsigned_status", ""
        if answer.status in _NOT_RUN_STATUSES and request.runs:
            yield "refused_but_ran", ""
        return
    stated_id = answer.header(HEADER_NAMES.request_id)
    if answer.body != request.body or stated_id != request.request_id:
        yield "mixed", f"got the answer to {stated_id}: "
    elif answer.status not in request.statuses:
        yield "other_status", ""
