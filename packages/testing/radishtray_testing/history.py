"""Checks a recorded history of at-most-once requests.

The rules use only what callers and upstreams observe. This module imports no
code under test, so a fault there cannot change the check.
"""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum


class ReplyKind(Enum):
    """Outcome of one send as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Body:
    """Body of an upstream's answer; it identifies the request it answers."""

    key: str
    """Idempotency key that the upstream received."""

    digest: str
    """Digest of the request that the upstream received."""

    text: str
    """Text that is unique to one run."""


@dataclass(frozen=True, slots=True)
class Send:
    """Event: a caller sent a request."""

    send_id: int
    """Unique number of this send."""

    operation_id: int
    """Unique number of the operation that the caller wants to run once.

    Its sends may carry different keys.
    """

    key: str
    """Idempotency key."""

    digest: str
    """Digest of the request."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Event: an upstream ran a request."""

    send_id: int
    """Number of the send that was run."""

    body: Body
    """Complete answer of this run."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Event: a caller received a reply, or its wait timed out."""

    send_id: int
    """Number of the send that is answered."""

    kind: ReplyKind
    """Outcome that the reply states."""

    body: Body | None = None
    """Answer as received; set for `ANSWERED`."""


Event = Send | Effect | Reply


class Rule(Enum):
    """Invariants of every history."""

    ONE_EFFECT_PER_KEY = "a key has at most one effect"
    ONE_EFFECT_PER_OPERATION = "an operation has at most one effect"
    NOT_RUN_IS_TRUE = "a send that was answered not_run has no effect"
    WHOLE_ANSWER = "an answer is the complete one of the key's run"
    OWN_ANSWER = "an answer carries the identity of its request"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: Rule
    """Rule that is broken."""

    event_index: int
    """Index of the event that breaks the rule."""

    detail: str
    """Key, operation, send or body that was observed."""


def check_history(events: list[Event]) -> list[Violation]:
    """Returns every violation in a history.

    Args:
        events: Events in order of time.

    Returns:
        Violations, grouped by kind of check; empty for a correct history.
    """
    sends_by_id = {e.send_id: e for e in events if isinstance(e, Send)}
    effects = [
        (event_index, e)
        for event_index, e in enumerate(events)
        if isinstance(e, Effect)
    ]
    replies = [
        (event_index, e)
        for event_index, e in enumerate(events)
        if isinstance(e, Reply)
    ]
    return [
        *_find_repeated_effects(sends_by_id, effects),
        *_find_false_refusals(effects, replies),
        *_find_wrong_answers(sends_by_id, effects, replies),
    ]


def _find_repeated_effects(
    sends_by_id: dict[int, Send], effects: list[tuple[int, Effect]]
) -> list[Violation]:
    violations = []
    keys: set[str] = set()
    operation_ids: set[int] = set()
    for event_index, effect in effects:
        send = sends_by_id[effect.send_id]
        if send.key in keys:
            rule = Rule.ONE_EFFECT_PER_KEY
            violations.append(Violation(rule, event_index, send.key))
        elif send.operation_id in operation_ids:
            rule = Rule.ONE_EFFECT_PER_OPERATION
            violations.append(
                Violation(rule, event_index, f"{send.operation_id}")
            )
        keys.add(send.key)
        operation_ids.add(send.operation_id)
    return violations


def _find_false_refusals(
    effects: list[tuple[int, Effect]], replies: list[tuple[int, Reply]]
) -> list[Violation]:
    not_run_ids = {r.send_id for _, r in replies if r.kind is ReplyKind.NOT_RUN}
    return [
        Violation(Rule.NOT_RUN_IS_TRUE, event_index, f"send {effect.send_id}")
        for event_index, effect in effects
        if effect.send_id in not_run_ids
    ]


def _find_wrong_answers(
    sends_by_id: dict[int, Send],
    effects: list[tuple[int, Effect]],
    replies: list[tuple[int, Reply]],
) -> list[Violation]:
    bodies_by_key: dict[str, list[Body]] = defaultdict(list)
    for _, effect in effects:
        bodies_by_key[sends_by_id[effect.send_id].key].append(effect.body)
    violations = []
    for event_index, reply in replies:
        if reply.kind is not ReplyKind.ANSWERED:
            continue
        send, body = sends_by_id[reply.send_id], reply.body
        if body is None or (body.key, body.digest) != (send.key, send.digest):
            violations.append(
                Violation(Rule.OWN_ANSWER, event_index, f"{body}")
            )
        elif body != next(iter(bodies_by_key[send.key]), None):
            violations.append(
                Violation(Rule.WHOLE_ANSWER, event_index, f"{body}")
            )
    return violations
