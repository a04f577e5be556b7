"""Context of a request that is in progress at this node."""

import os
from typing import TYPE_CHECKING

from radishtray_protocol import RequestKind, wire
from radishtray_state import LEVELS_PER_CLASS, RetryLedger

if TYPE_CHECKING:
    from radishtray_node._outgoing_call import OutgoingCall

_REQUEST_ID_BYTES = 16
_HANDLE_BYTES = 8
MAX_CALL_DEPTH = 32


class RunningRequest:
    """Context of a request, from its arrival at this node to its answer.

    Attributes:
        request_id: Id that is the same at every hop of the call chain.
        priority_class: Class, set at the entry node from the request's kind.
        level: Level within the class, chosen at random at the entry node.
        deadline_s: Monotonic time by which the answer is due.
        ledger: Retry budget, shared by all calls made for this request.
        depth: Number of hops from the entry node.
        key: Idempotency key, or None.
        fingerprint: Digest of the request's content.
        crash_count: Number of upstreams that crashed while they ran a request
            with the same content.
        outgoing_calls: Calls whose result this request is waiting for.
    """

    __slots__ = (
        "crash_count",
        "deadline_s",
        "depth",
        "fingerprint",
        "key",
        "ledger",
        "level",
        "outgoing_calls",
        "priority_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: bytes,
        priority_class: int,
        level: int,
        deadline_s: float,
        ledger: RetryLedger,
        depth: int,
        key: str | None,
        fingerprint: int,
        crash_count: int = 0,
    ) -> None:
        """Creates the context of a request without outgoing calls."""
        self.request_id = request_id
        self.priority_class = priority_class
        self.level = level
        self.deadline_s = deadline_s
        self.ledger = ledger
        self.depth = depth
        self.key = key
        self.fingerprint = fingerprint
        self.crash_count = crash_count
        self.outgoing_calls: set[OutgoingCall] = set()

    @property
    def rank(self) -> int:
        """Priority: class and level combined into one number."""
        return self.priority_class * LEVELS_PER_CLASS + self.level

    @classmethod
    def at_entry(
        cls,
        kind: RequestKind,
        now_s: float,
        key: str | None,
        fingerprint: int,
        retry_budget: int,
    ) -> "RunningRequest":
        """Creates the context of a request that enters the system here.

        Args:
            kind: The request's kind.
            now_s: Current monotonic time.
            key: Idempotency key of the caller, or None.
            fingerprint: Digest of the request's content.
            retry_budget: Retries that the whole call chain may make.
        """
        request_id = os.urandom(_REQUEST_ID_BYTES)
        return cls(
            request_id,
            kind.priority_class,
            request_id[0] % LEVELS_PER_CLASS,
            now_s + kind.deadline_ms / 1000,
            RetryLedger(retry_budget),
            0,
            key,
            fingerprint,
        )

    @classmethod
    def from_wire(cls, context: wire.Context, now_s: float) -> "RunningRequest":
        """Creates the context of a request that another node sent."""
        return cls(
            context.request_id,
            context.priority_class,
            context.level,
            now_s + context.deadline_ms / 1000,
            RetryLedger(context.retry_budget),
            context.depth,
            context.key,
            context.fingerprint,
            context.crash_count,
        )

    def cancel_outgoing_calls(self) -> None:
        """Cancels the calls whose result this request is waiting for."""
        for call in list(self.outgoing_calls):
            call.cancel()


class RunningRequests:
    """Requests that this node's upstream is running, by handle.

    The upstream sends the handle back with the calls that it makes, so that the
    node can assign them to the request.
    """

    __slots__ = ("_by_handle",)

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._by_handle: dict[str, RunningRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests that have a handle."""
        return len(self._by_handle)

    def add(self, request: RunningRequest) -> str:
        """Registers a request and returns its handle, which is unguessable."""
        handle = os.urandom(_HANDLE_BYTES).hex()
        self._by_handle[handle] = request
        return handle

    def remove(self, handle: str) -> None:
        """Invalidates a handle; an unknown one is ignored."""
        self._by_handle.pop(handle, None)

    def get(self, handle: str) -> RunningRequest | None:
        """Returns the request of a handle, or None if it is not valid."""
        return self._by_handle.get(handle)
