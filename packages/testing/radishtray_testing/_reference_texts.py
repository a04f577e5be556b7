"""Descriptions in the operators' reference tables, by the name described.

The tests compare the names with those that the code exports.
"""

from typing import Final

from radishtray_state import RefusalReason, RetryDenial


class ReasonAdvice:
    """What callers and operators should do about a refusal reason.

    Attributes:
        caller_advice: What a caller should do after the refusal.
        operator_advice: What an operator should do when the reason is frequent.
    """

    __slots__ = ("caller_advice", "operator_advice")

    def __init__(self, caller_advice: str, operator_advice: str) -> None:
        """Creates the advice for one reason."""
        self.caller_advice = caller_advice
        self.operator_advice = operator_advice


_RETRY_LATER = "Send again after a pause that grows."
_RESEND_SAME_KEY = "Send again with the same key and `Radishtray-Send: resend`."
_ASK_SERVICE = "Do not assume either outcome; ask the service, or resend a keyed request with its key."
_CORRECT_REQUEST = "Correct the request; sending it again does not help."

REASON_ADVICE: Final = {
    RefusalReason.SHED: ReasonAdvice(_RETRY_LATER, "Expected in overload; see [overload](overload.md). Add upstreams if it lasts."),
    RefusalReason.QUEUE_FULL: ReasonAdvice(_RETRY_LATER, "Look for a slow upstream: the stage `upstream` rises."),
    RefusalReason.DEADLINE_EXPECTED: ReasonAdvice(_RETRY_LATER, "Compare `deadline_ms` of the kind with the stage `upstream`; else as `shed`."),
    RefusalReason.DEADLINE_QUEUED: ReasonAdvice(_RETRY_LATER, "As `queue_full`."),
    RefusalReason.DRAINING: ReasonAdvice("Send again at once, to another node.", "None during a planned stop. Otherwise find out who drained the node."),
    RefusalReason.NO_UPSTREAM: ReasonAdvice(_RETRY_LATER, "Check that upstreams of the service run and announce themselves; see [install](install.md)."),
    RefusalReason.UPSTREAM_REFUSED: ReasonAdvice(_RETRY_LATER, "Check the upstream process and the announced address."),
    RefusalReason.UPSTREAM_BUSY: ReasonAdvice(_RETRY_LATER, "The upstream refuses work that its node gave it: compare its announced slots with what it runs."),
    RefusalReason.UPSTREAM_REPLACED: ReasonAdvice("Send again at once, to another node.", "Brief after an upstream was replaced. If it lasts, check which process listens at the announced address."),
    RefusalReason.NO_CONFIGURATION: ReasonAdvice(_RETRY_LATER, "Check that the node reaches the platform and that a release exists: `radishtrayctl config history`."),
    RefusalReason.UNKNOWN_SERVICE: ReasonAdvice(_CORRECT_REQUEST, "Check the section of the service: `radishtrayctl config show`."),
    RefusalReason.UNKNOWN_KIND: ReasonAdvice(_CORRECT_REQUEST, "Compare the method and path with the kinds of the service."),
    RefusalReason.BAD_REQUEST: ReasonAdvice(_CORRECT_REQUEST, "Find the caller; the path must be ASCII and start with a service."),
    RefusalReason.TOO_LARGE: ReasonAdvice(_CORRECT_REQUEST, "No node sends this reason: the listeners answer 413 without one; see `body_too_large`."),
    RefusalReason.TOO_DEEP: ReasonAdvice(_CORRECT_REQUEST, "Look for services that call each other in a circle; the limit is 32 calls."),
    RefusalReason.CANCELLED_QUEUED: ReasonAdvice("None; the caller has disconnected.", "Many of them mean that callers wait less than `deadline_ms`."),
    RefusalReason.CRASH_SUSPECT: ReasonAdvice("Do not send this content again; a gateway refuses it for an hour after it last came.", "Find the request content that ends upstream processes; see [failures](failures.md)."),
    RefusalReason.NEVER_ARRIVED: ReasonAdvice(_RETRY_LATER, "Check the network between nodes and `radishtray_node_connections_rejected_total`."),
    RefusalReason.UNAUTHENTICATED: ReasonAdvice("Send a key that the configuration holds; do not repeat the request as it is.", "Compare the age of the organisation's keys with the release that withdrew one; see [organisations](organisations.md)."),
    RefusalReason.CONFIGURATION_STALE: ReasonAdvice(_RETRY_LATER, "The node and its peers do not reach the platform; see `radishtray_configuration_age_seconds`."),
    RefusalReason.ALLOTMENT_EXHAUSTED: ReasonAdvice("Wait for `Retry-After`.", "Compare the organisation's use with its limit; see [organisations](organisations.md)."),
    RefusalReason.ALLOTMENT_UNKNOWN: ReasonAdvice(_RETRY_LATER, "Brief while nodes end. If it lasts, check the links between nodes."),
    RefusalReason.KEY_MISSING: ReasonAdvice(_CORRECT_REQUEST, "Tell the caller's team to send an `Idempotency-Key`."),
    RefusalReason.KEY_INVALID: ReasonAdvice(_CORRECT_REQUEST, "As `key_missing`; other UUID versions are refused."),
    RefusalReason.KEY_REUSED: ReasonAdvice("Use a fresh key for each different request.", "A fault of the caller: one key with two contents."),
    RefusalReason.KEY_TOO_NEW: ReasonAdvice("Correct the clock, then send with a fresh key.", "Compare the clocks of the caller and of the node; the limit is 5 s."),
    RefusalReason.KEY_NOT_OWNED: ReasonAdvice(_RESEND_SAME_KEY, "Brief while slots move. If it lasts, check the platform and `key_slots_owned`."),
    RefusalReason.KEY_OWNER_SILENT: ReasonAdvice("Send again with the key in `Radishtray-Retry-Key`; without that header, later with a fresh key.", "A node that owns slots ended or cannot be reached; see [failures](failures.md)."),
    RefusalReason.KEY_STORE_FULL: ReasonAdvice(_RESEND_SAME_KEY + " Pause first.", "More keys than 200,000 records or 32 MiB in 10 min: add upstreams of the service."),
    RefusalReason.KEY_EXPIRED: ReasonAdvice("Ask the service what happened; a resend gets the same refusal.", "Callers resend later than the record is kept (10 min to 1 h)."),
    RefusalReason.KEY_OWNER_GONE: ReasonAdvice("Ask the service what happened; a resend may get the same refusal.", "A node ended without a drain, or its records were not taken. Check each listed key at the service."),
    RefusalReason.KEY_UNKNOWN: ReasonAdvice("Ask the service what happened; a resend gets the same refusal.", "Check each listed key at the service."),
    RefusalReason.NODE_LOST: ReasonAdvice(_ASK_SERVICE, "Check the lost node and its VM; check each listed request at the service."),
    RefusalReason.UPSTREAM_LOST: ReasonAdvice(_ASK_SERVICE, "Check why the upstream ended or closed the connection; check each listed request."),
    RefusalReason.DEADLINE_RUNNING: ReasonAdvice(_ASK_SERVICE, "Compare `deadline_ms` with the stage `upstream`; check each listed request."),
    RefusalReason.CANCELLED_RUNNING: ReasonAdvice("None; the caller has disconnected. It may resend a keyed request.", "Many of them mean that callers wait less than `deadline_ms`."),
}  # fmt: skip

DENIAL_TEXTS: Final = {
    RetryDenial.FINAL: "The reason is never retried by the nodes.",
    RetryDenial.NOT_IDEMPOTENT: "The attempt may have run, and the kind is not `idempotent`.",
    RetryDenial.AT_MOST_ONCE: "The attempt may have run, and the kind is `at_most_once`.",
    RetryDenial.CRASHES: "Two attempts of the call ended with a crash of their upstream.",
    RetryDenial.DEADLINE: "The deadline would pass before another attempt could end.",
    RetryDenial.BUDGET: "The request's `retry_budget` has no unit left.",
    RetryDenial.THROTTLED: "The node has sent more than 100 retries beyond a tenth of its first attempts.",
}  # fmt: skip

# Label names, unit and meaning of each counter. The label names are repeated
# here because a counter without samples does not export them.
COUNTER_TEXTS: Final = {
    "radishtray_requests_total": ("kind", "requests", "Classified requests on the caller listener."),
    "radishtray_upstream_calls_total": ("-", "calls", "Calls that the upstream makes through its node."),
    "radishtray_attempts_total": ("-", "attempts", "One for each request and each upstream's call that was sent on."),
    "radishtray_retries_total": ("reason", "attempts", "Further attempts, by the reason of the failed one."),
    "radishtray_retry_denials_total": ("reason", "attempts", "Failed attempts that were not followed by another one."),
    "radishtray_key_redirects_total": ("-", "attempts", "Keyed calls sent to another owner of their slot; not a retry, since nothing ran."),
    "radishtray_refusals_total": ("reason, outcome", "refusals", "Refusals that this node decided, for its upstream or for its callers."),
    "radishtray_refusals_delivered_total": ("reason, outcome", "refusals", "Refusals that callers of this node received."),
    "radishtray_rejected_input_total": ("listener, reason", "requests or connections", "Input that a TCP listener for HTTP rejected."),
    "radishtray_node_connections_rejected_total": ("reason", "connections", "Connections between nodes that this node ended, and duplicate attempts and unmatched answers on them."),
    "radishtray_reports_rejected_total": ("reason", "reports", "Heartbeats and deregistrations that were rejected, without any effect, as they are not of the upstream of this node; forwarding by route only."),
    "radishtray_upstream_response_faults_total": ("fault", "responses", "Faults in what the upstream sent; forwarding by route only. `other_request` and `extra_bytes`: the upstream answers twice."),
    "radishtray_organisation_requests_total": ("`organisation`, `outcome`", "requests", "Requests of organisations at this node, by `answered` or the reason of the refusal. The 100 organisations with the highest limits have a label of their own; all others share `(others)`."),
    "radishtray_answers_mismatched_total": ("-", "answers", "Answers of nodes that were not delivered because they state the id of another request; forwarding by route only. Not zero: report a fault of radishtray."),
}  # fmt: skip

INPUT_REASON_TEXTS: Final = {
    "body_too_large": "Answered 413; see `--max-body-bytes`.",
    "head_too_large": "Answered 431; the head exceeds `--max-head-bytes` or 100 headers.",
    "malformed_request": "Answered 400; not HTTP/1.1.",
    "no_memory": "Answered 503 with Retry-After, forwarding by route only: there was no memory for the request, which has not run; see `OPERATIONS.md`.",
    "slow_body": "Answered 408: while room was short, the body arrived at less than 1 KiB/s for 6 s.",
    "slow_request": "Answered 408; the request did not arrive within `--request-time`.",
    "too_many_connections": "The connection was closed at once; see `--max-connections`.",
    "unauthorized": "Answered 401; the operators' listener got another token.",
    "unread_response": "The connection was reset; its client left responses unread for `--request-time`, or for 6 s while room was short.",
    "unused_connection": "The connection was closed for a new one; it had no request for over 1 s.",
}  # fmt: skip

REPORT_REASON_TEXTS: Final = {
    "field_missing": "A field is missing that every such report has.",
    "field_type": "A field has another type.",
    "field_value": "A field has a value that cannot be, such as a negative number.",
    "other_address": "It names another address than the settings of the node.",
    "other_failure_domain": "It names another failure domain than the settings of the node.",
    "other_service": "It names another service than the settings of the node.",
    "unknown_state": "Its state is none that an upstream can have.",
    "unreadable": "The id of the process or the body cannot be decoded.",
}  # fmt: skip

CONNECTION_REASON_TEXTS: Final = {
    "silent_connection": "No reply to a ping for 0.8 s while attempts wait; the node reconnects.",
    "fenced": "The sender opened a newer connection, which replaces this one. The usual follower of `silent_connection` at the other node.",
    "duplicate_attempt": "An attempt arrived twice or out of turn and was ignored.",
    "unmatched_answer": "An answer arrived whose attempt had ended or belongs to another connection; it was ignored.",
    "handshake_timeout": "The peer did not authenticate within 5 s; it may be paused or overloaded.",
    "handshake_invalid": "The first frame was no valid greeting.",
    "handshake_unauthenticated": "The peer has no key in common with this node; compare `--cluster-keys`.",
    "too_many_half_open": "The oldest connection that had not authenticated was closed for a new one.",
    "too_many_connections": "The node listener holds its largest number of connections.",
    "old_incarnation": "A newer process of the same node has connected. If it lasts, two processes use one `--node-id`.",
    "old_epoch": "A newer connection of the same process exists.",
    "too_many_senders": "The node's table of senders is full.",
    "frame_malformed": "A frame cannot be read; look for nodes of different versions.",
    "frame_oversized": "A frame, or a part of a compressed stream, exceeds the size limit.",
    "frame_undecompressible": "A compressed stream cannot be decompressed; the node reconnects.",
    "frame_nested_compression": "A compressed frame holds another one; the peer is faulty.",
    "frame_unexpected_compression": "A compressed frame arrived that this node had not offered to read; the peer is faulty.",
}  # fmt: skip

STAGE_TEXTS: Final = {
    "entry": "At the entry node: from the whole request's arrival to the answer, with all attempts.",
    "queue": "Beside the upstream: from the call's arrival to the moment it is sent to the upstream.",
    "upstream": "At the upstream: from sending to its whole answer, or to the end of the run.",
}  # fmt: skip
