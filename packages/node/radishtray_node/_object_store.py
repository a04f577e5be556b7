"""The platform's objects with versions as numbers.

The platform gives opaque versions; those of this API are increasing integers,
which lets nodes compare tables that they learned from different peers.
"""

from typing import Any

from expression import Ok, Result
from twisted.internet.defer import Deferred

from radishtray_transport import (
    ABSENT_VERSION,
    PlatformClient,
    PlatformObject,
    Rejected,
)


class NumberedObject:
    """An object at a numbered version.

    Attributes:
        name: Name of the object.
        version: Its version.
        value: Its value.
    """

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Holds what a read returned."""
        self.name = name
        self.version = version
        self.value = value


def _numbered(result: "Result[Any, Any]") -> "Result[Any, Any]":
    if result.is_error() or not isinstance(result.ok, PlatformObject):
        return result
    found = result.ok
    if not found.version.isdigit():
        message = f"version {found.version!r} of {found.name} is no number"
        return Result.Error(Rejected(400, message))
    return Ok(NumberedObject(found.name, int(found.version), found.value))


def _number(result: "Result[str, Any]") -> "Result[Any, Any]":
    if result.is_error() or not result.ok.isdigit():
        return result
    return Ok(int(result.ok))


def _numbered_list(result: "Result[Any, Any]") -> "Result[Any, Any]":
    return result.map(
        lambda items: [
            NumberedObject(item.name, int(item.version), b"")
            for item in items
            if item.version.isdigit()
        ]
    )


def _text(version: int | None) -> str:
    return ABSENT_VERSION if version is None else str(version)


class ObjectStore:
    """Numbered versions over a `PlatformClient`."""

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        """Takes the client."""
        self._client = client

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object."""
        return self._client.get(name).addCallback(_numbered)

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Replaces the object at a version; None creates it."""
        written = self._client.put(name, value, if_version=_text(version))
        return written.addCallback(_number)

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes the object at a version."""
        deleted = self._client.delete(name, if_version=_text(version))
        return deleted.addCallback(_number)

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits until an object has another version; None if it has not."""
        watched = self._client.watch(name, _text(version), timeout_s)
        return watched.addCallback(_numbered)

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists names and versions."""
        return self._client.list(prefix).addCallback(_numbered_list)

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()
