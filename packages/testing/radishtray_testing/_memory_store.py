"""In-memory stand-in for the platform's object store and its client.

It simulates outages, delays and lost answers. Versions are integers, and
errors are those of the platform client: a call that is not answered ends with
`Unreachable` or `OutcomeUnknown` after a timeout.
"""

import random
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_transport import (
    Conflict,
    NotFound,
    OutcomeUnknown,
    Unreachable,
)

_CLIENT_TIMEOUT_S = 5.0  # The same as that of the platform client.


class StoredObject:
    """A stored object at one version."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Creates an object.

        Args:
            name: Name of the object.
            version: Version that its last write created.
            value: Content.
        """
        self.name = name
        self.version = version
        self.value = value


class MemoryStore:
    """Versioned objects with simulated faults and counters of client calls.

    `read` and `write` act at once and without faults; the clients simulate the
    network.

    Attributes:
        reactor: Simulated time of the store.
        rng: Source of delays and losses.
        objects: Objects by name.
        down: Whether the store is unreachable: calls that start have no effect
            and end with `Unreachable`, writes in transit lose their answer, and
            waiting watches get none.
        max_delay_s: Longest delay of a message between client and store; each
            delay is between 20% and 100% of it.
        answer_loss_probability: Probability that a write takes effect but its
            answer is lost.
        reads: Number of reads and lists that clients started.
        writes: Number of writes and deletes that clients started.
        watches: Number of watches that clients started.
    """

    __slots__ = (
        "_last_version",
        "_write_callbacks",
        "answer_loss_probability",
        "down",
        "max_delay_s",
        "objects",
        "reactor",
        "reads",
        "rng",
        "watches",
        "writes",
    )

    def __init__(self, reactor: IReactorTime, rng: random.Random) -> None:
        """Creates an empty store without faults.

        Args:
            reactor: Simulated time of the store.
            rng: Source of delays and losses.
        """
        self.reactor = reactor
        self.rng = rng
        self.objects: dict[str, StoredObject] = {}
        self.down = False
        self.max_delay_s = 0.005
        self.answer_loss_probability = 0.0
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._last_version = 0
        self._write_callbacks: list[Callable[[], None]] = []

    def client(self, reactor: IReactorTime) -> "MemoryStoreClient":
        """Creates the client of a node.

        Args:
            reactor: Reactor of the node, which delivers answers; while it does
                not advance, the node is paused and answers are delayed.
        """
        return MemoryStoreClient(self, reactor)

    def read(self, name: str) -> Result[Any, Any]:
        """Reads an object immediately."""
        found = self.objects.get(name)
        return Ok(found) if found else Error(NotFound(name))

    def write(
        self, name: str, value: bytes | None, version: int | None
    ) -> Result[Any, Any]:
        """Writes or deletes an object immediately.

        Args:
            name: Name of the object.
            value: New content; None deletes the object.
            version: Version that the object must have; None requires that it
                does not exist.

        Returns:
            The new version, or a `Conflict`.
        """
        current = self.objects.get(name)
        if (current.version if current else None) != version:
            return Error(Conflict(name))
        self._last_version += 1
        if value is None:
            del self.objects[name]
        else:
            stored = StoredObject(name, self._last_version, value)
            self.objects[name] = stored
        callbacks, self._write_callbacks = self._write_callbacks, []
        for callback in callbacks:
            callback()
        return Ok(self._last_version)

    def on_next_write(self, callback: Callable[[], None]) -> None:
        """Registers a call after the next write to any object."""
        self._write_callbacks.append(callback)


class MemoryStoreClient:
    """A node's client of a `MemoryStore` over a simulated network.

    Attributes:
        cut: Whether the store is unreachable for this client alone, with the
            same effects as `MemoryStore.down`.
    """

    __slots__ = ("_reactor", "_store", "cut")

    def __init__(self, store: MemoryStore, reactor: IReactorTime) -> None:
        """Creates a client.

        Args:
            store: The store to call.
            reactor: Reactor of the node, which delivers answers.
        """
        self._store = store
        self._reactor = reactor
        self.cut = False

    @property
    def restore_count(self) -> int:
        """0: this store loses nothing."""
        return 0

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object; `NotFound` if it does not exist."""
        self._store.reads += 1
        return self._send_request(lambda: self._store.read(name))

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists the objects whose names start with a prefix."""
        self._store.reads += 1
        return self._send_request(lambda: Ok(self._list_objects(prefix)))

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Writes an object at the given version; None creates it."""
        self._store.writes += 1
        return self._send_request(
            lambda: self._store.write(name, value, version), is_write=True
        )

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes an object at the given version."""
        self._store.writes += 1
        return self._send_request(
            lambda: self._store.write(name, None, version), is_write=True
        )

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits until the object's version differs from a known one.

        Args:
            name: Name of the object.
            version: Known version; None if the object does not exist.
            timeout_s: Time after which the result is None.
        """
        self._store.watches += 1
        answer: Deferred[Result[Any, Any]] = Deferred(_ignore_cancellation)
        if self._is_unreachable:
            self._fail_later(answer)
            return answer
        deadline_s = self._store.reactor.seconds() + timeout_s
        timer = self._store.reactor.callLater(
            timeout_s, self._deliver_if_reachable, answer, Ok(None)
        )

        def check_version() -> None:
            if self._store.reactor.seconds() >= deadline_s or answer.called:
                return
            found = self._store.read(name)
            current = found.ok.version if found.is_ok() else None
            if current == version:
                self._store.on_next_write(check_version)
                return
            timer.cancel()
            self._deliver_if_reachable(answer, found)

        self._store.reactor.callLater(self._draw_delay_s(), check_version)
        return answer

    def _list_objects(self, prefix: str) -> Any:
        return [
            found
            for name, found in self._store.objects.items()
            if name.startswith(prefix)
        ]

    def _send_request(
        self, operation: Callable[[], Result[Any, Any]], is_write: bool = False
    ) -> "Deferred[Result[Any, Any]]":
        answer: Deferred[Result[Any, Any]] = Deferred(_ignore_cancellation)
        if self._is_unreachable:
            self._fail_later(answer)
        else:
            self._store.reactor.callLater(
                self._draw_delay_s(), self._execute, answer, operation, is_write
            )
        return answer

    def _fail_later(self, answer: "Deferred[Result[Any, Any]]") -> None:
        self._store.reactor.callLater(
            _CLIENT_TIMEOUT_S,
            self._deliver_result,
            answer,
            Error(Unreachable("no answer")),
        )

    def _deliver_if_reachable(
        self, answer: "Deferred[Result[Any, Any]]", result: Result[Any, Any]
    ) -> None:
        if not self._is_unreachable:
            self._deliver_result(answer, result)

    @property
    def _is_unreachable(self) -> bool:
        return self.cut or self._store.down

    def _execute(
        self,
        answer: "Deferred[Result[Any, Any]]",
        operation: Callable[[], Result[Any, Any]],
        is_write: bool,
    ) -> None:
        result = operation()
        delay_s = self._draw_delay_s()
        lost = self._store.rng.random() < self._store.answer_loss_probability
        if is_write and (lost or self._is_unreachable):
            result, delay_s = (
                Error(OutcomeUnknown("no answer")),
                _CLIENT_TIMEOUT_S,
            )
        self._store.reactor.callLater(
            delay_s, self._deliver_result, answer, result
        )

    def _deliver_result(
        self, answer: "Deferred[Result[Any, Any]]", result: Result[Any, Any]
    ) -> None:
        self._reactor.callLater(0, _fire, answer, result)

    def _draw_delay_s(self) -> float:
        return self._store.rng.uniform(0.2, 1.0) * self._store.max_delay_s


def _fire(
    answer: "Deferred[Result[Any, Any]]", result: Result[Any, Any]
) -> None:
    if not answer.called:
        answer.callback(result)


def _ignore_cancellation(_answer: "Deferred[Result[Any, Any]]") -> None:
    """Does nothing: a cancelled call may still take effect at the store."""
