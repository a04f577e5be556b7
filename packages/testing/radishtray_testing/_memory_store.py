"""In-memory platform with outages, slowness and lost answers."""

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

_GIVE_UP_S = 5.0  # As long as the platform client waits for an answer.


class StoredObject:
    """One object at one version."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Takes name, version and content."""
        self.name = name
        self.version = version
        self.value = value


class MemoryStore:
    """The objects, the faults and the load of all clients."""

    __slots__ = (
        "_changed",
        "_last_version",
        "delay_s",
        "down",
        "lost_answers",
        "objects",
        "reactor",
        "reads",
        "rng",
        "watches",
        "writes",
    )

    def __init__(self, reactor: IReactorTime, rng: random.Random) -> None:
        """Starts empty, up and fast.

        Args:
            reactor: Time of the platform.
            rng: Source of delays and losses.
        """
        self.reactor = reactor
        self.rng = rng
        self.objects: dict[str, StoredObject] = {}
        self.down = False
        """Whether no call has an effect or an answer."""
        self.delay_s = 0.005
        """Mean time of a call."""
        self.lost_answers = 0.0
        """Probability that a write takes effect and its answer is lost."""
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._last_version = 0
        self._changed: list[Callable[[], None]] = []

    def client(self, reactor: IReactorTime) -> "MemoryStoreClient":
        """Returns the client of a node.

        Args:
            reactor: Time of the node; answers wait while it stands still.
        """
        return MemoryStoreClient(self, reactor)

    def read(self, name: str) -> Result[Any, Any]:
        """Reads an object at once."""
        found = self.objects.get(name)
        return Ok(found) if found else Error(NotFound(name))

    def write(
        self, name: str, value: bytes | None, version: int | None
    ) -> Result[Any, Any]:
        """Writes or, with value None, deletes an object at once."""
        present = self.objects.get(name)
        if (present.version if present else None) != version:
            return Error(Conflict(name))
        self._last_version += 1
        if value is None:
            del self.objects[name]
        else:
            stored = StoredObject(name, self._last_version, value)
            self.objects[name] = stored
        waiting, self._changed = self._changed, []
        for wake in waiting:
            wake()
        return Ok(self._last_version)

    def on_change(self, wake: Callable[[], None]) -> None:
        """Calls wake after the next write of any object."""
        self._changed.append(wake)


class MemoryStoreClient:
    """One node's client of a `MemoryStore`."""

    __slots__ = ("_reactor", "_store", "cut")

    def __init__(self, store: MemoryStore, reactor: IReactorTime) -> None:
        """Takes the store and the node's time."""
        self._store = store
        self._reactor = reactor
        self.cut = False
        """Whether this node alone cannot reach the platform."""

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object."""
        self._store.reads += 1
        return self._call(lambda: self._store.read(name))

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists objects."""
        self._store.reads += 1
        return self._call(lambda: Ok(self._listed(prefix)))

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Writes at a version; None creates."""
        self._store.writes += 1
        return self._call(
            lambda: self._store.write(name, value, version), is_write=True
        )

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes at a version."""
        self._store.writes += 1
        return self._call(
            lambda: self._store.write(name, None, version), is_write=True
        )

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits for another version."""
        self._store.watches += 1
        answer: Deferred[Result[Any, Any]] = Deferred(_ignore)
        end = self._store.reactor.seconds() + timeout_s
        timer = self._store.reactor.callLater(
            timeout_s, self._answer, answer, Ok(None)
        )

        def look() -> None:
            if self._store.reactor.seconds() >= end or answer.called:
                return
            found = self._store.read(name)
            present = found.ok.version if found.is_ok() else None
            if present == version:
                self._store.on_change(look)
                return
            timer.cancel()
            self._answer(answer, found)

        self._store.reactor.callLater(self._delay(), look)
        return answer

    def _listed(self, prefix: str) -> Any:
        return [
            found
            for name, found in self._store.objects.items()
            if name.startswith(prefix)
        ]

    def _call(
        self, effect: Callable[[], Result[Any, Any]], is_write: bool = False
    ) -> "Deferred[Result[Any, Any]]":
        answer: Deferred[Result[Any, Any]] = Deferred(_ignore)
        if self._is_cut:
            failure = Error(Unreachable("no answer"))
            self._store.reactor.callLater(
                _GIVE_UP_S, self._answer, answer, failure
            )
        else:
            self._store.reactor.callLater(
                self._delay(), self._arrive, answer, effect, is_write
            )
        return answer

    @property
    def _is_cut(self) -> bool:
        return self.cut or self._store.down

    def _arrive(
        self,
        answer: "Deferred[Result[Any, Any]]",
        effect: Callable[[], Result[Any, Any]],
        is_write: bool,
    ) -> None:
        result = effect()
        delay_s = self._delay()
        lost = self._store.rng.random() < self._store.lost_answers
        if is_write and (lost or self._is_cut):
            result, delay_s = Error(OutcomeUnknown("no answer")), _GIVE_UP_S
        self._store.reactor.callLater(delay_s, self._answer, answer, result)

    def _answer(
        self, answer: "Deferred[Result[Any, Any]]", result: Result[Any, Any]
    ) -> None:
        self._reactor.callLater(0, _fire, answer, result)

    def _delay(self) -> float:
        return self._store.rng.uniform(0.2, 1.0) * self._store.delay_s


def _fire(
    answer: "Deferred[Result[Any, Any]]", result: Result[Any, Any]
) -> None:
    if not answer.called:
        answer.callback(result)


def _ignore(_answer: "Deferred[Result[Any, Any]]") -> None:
    """Lets a call that its caller gave up take effect later."""
