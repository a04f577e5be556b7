"""Checks a recorded history of at-most-once requests.

The rules use only what callers and upstreams see. This module imports nothing
of the code under test, so a fault there cannot hide itself here.
"""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum


class ReplyKind(Enum):
    """What a caller learned about one send."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Body:
    """Content of an upstream's answer; it names the request it belongs to."""

    key: str
    """Idempotency key that the upstream received."""

    digest: str
    """Digest of the request that the upstream received."""

    text: str
    """Different for every run."""


@dataclass(frozen=True, slots=True)
class Send:
    """A caller sent a request."""

    send_id: int
    """Identity of this send."""

    operation: int
    """What the caller wants done once, under one or several keys."""

    key: str
    """Idempotency key."""

    digest: str
    """Digest of the request."""


@dataclass(frozen=True, slots=True)
class Effect:
    """An upstream ran a request."""

    send_id: int
    """The send that was run."""

    body: Body
    """The complete answer of this run."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A caller received a reply."""

    send_id: int
    """The send that it belongs to."""

    kind: ReplyKind
    """What it says."""

    body: Body | None = None
    """The answer, for `ANSWERED`."""


Event = Send | Effect | Reply


class Rule(Enum):
    """What every history must satisfy."""

    ONE_EFFECT_PER_KEY = "a key has at most one effect"
    ONE_EFFECT_PER_OPERATION = "an operation has at most one effect"
    NOT_RUN_IS_TRUE = "a send that was answered not_run has no effect"
    WHOLE_ANSWER = "an answer is the complete one of the key's run"
    OWN_ANSWER = "an answer carries the identity of its request"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: Rule
    """The rule."""

    position: int
    """Index of the event that breaks it."""

    detail: str
    """What was seen."""


def check(events: list[Event]) -> list[Violation]:
    """Returns every violation in a history.

    Args:
        events: Events in order of time.

    Returns:
        Violations by rule; empty for a correct history.
    """
    sends = {e.send_id: e for e in events if isinstance(e, Send)}
    effects = [
        (place, e) for place, e in enumerate(events) if isinstance(e, Effect)
    ]
    replies = [
        (place, e) for place, e in enumerate(events) if isinstance(e, Reply)
    ]
    return [
        *_repeated_effects(sends, effects),
        *_untrue_refusals(effects, replies),
        *_wrong_answers(sends, effects, replies),
    ]


def _repeated_effects(
    sends: dict[int, Send], effects: list[tuple[int, Effect]]
) -> list[Violation]:
    found = []
    keys: set[str] = set()
    operations: set[int] = set()
    for place, effect in effects:
        send = sends[effect.send_id]
        if send.key in keys:
            rule = Rule.ONE_EFFECT_PER_KEY
            found.append(Violation(rule, place, send.key))
        elif send.operation in operations:
            rule = Rule.ONE_EFFECT_PER_OPERATION
            found.append(Violation(rule, place, f"{send.operation}"))
        keys.add(send.key)
        operations.add(send.operation)
    return found


def _untrue_refusals(
    effects: list[tuple[int, Effect]], replies: list[tuple[int, Reply]]
) -> list[Violation]:
    refused = {r.send_id for _, r in replies if r.kind is ReplyKind.NOT_RUN}
    return [
        Violation(Rule.NOT_RUN_IS_TRUE, place, f"send {effect.send_id}")
        for place, effect in effects
        if effect.send_id in refused
    ]


def _wrong_answers(
    sends: dict[int, Send],
    effects: list[tuple[int, Effect]],
    replies: list[tuple[int, Reply]],
) -> list[Violation]:
    runs: dict[str, list[Body]] = defaultdict(list)
    for _, effect in effects:
        runs[sends[effect.send_id].key].append(effect.body)
    found = []
    for place, reply in replies:
        if reply.kind is not ReplyKind.ANSWERED:
            continue
        send, body = sends[reply.send_id], reply.body
        if body is None or (body.key, body.digest) != (send.key, send.digest):
            found.append(Violation(Rule.OWN_ANSWER, place, f"{body}"))
        elif body != next(iter(runs[send.key]), None):
            found.append(Violation(Rule.WHOLE_ANSWER, place, f"{body}"))
    return found
