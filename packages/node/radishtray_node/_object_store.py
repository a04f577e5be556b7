"""Platform objects whose versions are integers.

`PlatformClient` treats versions as opaque text. The versions of this platform
API are increasing integers, so nodes can tell which of two tables received
from different peers is newer.
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


class VersionedObject:
    """An object and its integer version.

    Attributes:
        name: Name of the object.
        version: Increases with each change.
        value: Content; empty in a list.
    """

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: bytes) -> None:
        """Takes the fields of a decoded object."""
        self.name = name
        self.version = version
        self.value = value


def _to_versioned_object(result: "Result[Any, Any]") -> "Result[Any, Any]":
    if result.is_error() or not isinstance(result.ok, PlatformObject):
        return result
    found = result.ok
    if not found.version.isdigit():
        message = f"version {found.version!r} of {found.name} is not an integer"
        return Result.Error(Rejected(400, message))
    return Ok(VersionedObject(found.name, int(found.version), found.value))


def _to_integer_version(result: "Result[str, Any]") -> "Result[Any, Any]":
    if result.is_error() or not result.ok.isdigit():
        return result
    return Ok(int(result.ok))


def _to_versioned_objects(result: "Result[Any, Any]") -> "Result[Any, Any]":
    return result.map(
        lambda items: [
            VersionedObject(item.name, int(item.version), b"")
            for item in items
            if item.version.isdigit()
        ]
    )


def _version_text(version: int | None) -> str:
    return ABSENT_VERSION if version is None else str(version)


class PlatformObjectStore:
    """Converts the versions of a `PlatformClient` to integers.

    Errors of the client are passed on unchanged.
    """

    __slots__ = ("_client",)

    def __init__(self, client: PlatformClient) -> None:
        """Wraps the client, which `close` closes."""
        self._client = client

    @property
    def restore_count(self) -> int:
        """0: this store loses nothing."""
        return 0

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads a `VersionedObject`."""
        return self._client.get(name).addCallback(_to_versioned_object)

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Replaces an object if it has the version; None creates it.

        Fires with the new version.
        """
        written = self._client.put(
            name, value, if_version=_version_text(version)
        )
        return written.addCallback(_to_integer_version)

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes an object if it has the version."""
        deleted = self._client.delete(name, if_version=_version_text(version))
        return deleted.addCallback(_to_integer_version)

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits for another version of an object.

        Fires with None if the version is still the same after the timeout.
        """
        watched = self._client.watch(name, _version_text(version), timeout_s)
        return watched.addCallback(_to_versioned_object)

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists names and versions; skips versions that are not integers."""
        return self._client.list(prefix).addCallback(_to_versioned_objects)

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()
