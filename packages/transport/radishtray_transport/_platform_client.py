"""Client of the platform's object API.

Objects are written with optimistic concurrency control: a write states the
version that it expects. A version is an opaque string.

Every operation returns a Deferred that fires with a Result, also in case of an
error. Only cancelling it makes it fail, with CancelledError.
"""

import json
from collections.abc import Callable, Sequence
from typing import Any, Final, Generic, TypeVar
from urllib.parse import quote, urlsplit

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from radishtray_transport._http_client import HttpClient
from radishtray_transport._http_exchange import (
    HttpResponse,
    PendingRequest,
    RequestFailure,
)

ABSENT_VERSION: Final = "0"
"""Version of an object that does not exist."""

DEFAULT_TIMEOUT_S: Final = 5.0
# Each waiting watch occupies one connection.
_MAX_CONNECTIONS: Final = 8
# The first attempt may fail because the server closed an idle connection.
_MIN_ATTEMPTS: Final = 2

T = TypeVar("T")


class PlatformFault:
    """Why an operation failed; the error type of its Result."""

    __slots__ = ("message",)

    def __init__(self, message: str) -> None:
        """Creates a fault.

        Args:
            message: Description in one line.
        """
        self.message = message

    def __repr__(self) -> str:
        """Returns the class name and the message."""
        return f"{type(self).__name__}({self.message!r})"


class Conflict(PlatformFault):
    """The object's version is not the expected one; nothing was written."""

    __slots__ = ()


class NotFound(PlatformFault):
    """The object does not exist."""

    __slots__ = ()


class Unreachable(PlatformFault):
    """The platform sent no valid response; a write had no effect."""

    __slots__ = ()


class OutcomeUnknown(PlatformFault):
    """The write may or may not have taken effect.

    Callers read the object again to find out.
    """

    __slots__ = ()


class Rejected(PlatformFault):
    """The platform rejected the request; nothing was written."""

    __slots__ = ("status",)

    def __init__(self, status: int, message: str) -> None:
        """Creates a fault from a response.

        Args:
            status: HTTP status of the response.
            message: Start of the response body.
        """
        super().__init__(message)
        self.status = status


class PlatformObject:
    """An object at one version."""

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: str, value: bytes) -> None:
        """Creates the result of a read.

        Args:
            name: Name of the object.
            version: Version of the value.
            value: Content of the object.
        """
        self.name = name
        self.version = version
        self.value = value


class ListedObject:
    """Name and version of an object, as returned by `PlatformClient.list`."""

    __slots__ = ("name", "version")

    def __init__(self, name: str, version: str) -> None:
        """Creates an entry of a list.

        Args:
            name: Name of the object.
            version: Current version of the object.
        """
        self.name = name
        self.version = version


PlatformResult = Result[T, PlatformFault]


class _Operation(Generic[T]):
    """One operation, which is retried at the next address after a failure.

    A write is retried only if the failed attempt had no effect.
    """

    __slots__ = (
        "_attempts_left",
        "_body",
        "_client",
        "_deferred",
        "_headers",
        "_is_write",
        "_method",
        "_parse_response",
        "_pending",
        "_request_target",
        "_timeout_s",
        "_timer",
    )

    def __init__(
        self,
        client: "PlatformClient",
        method: str,
        request_target: str,
        parse_response: Callable[[HttpResponse], PlatformResult[T]],
        *,
        timeout_s: float,
        headers: Sequence[str] = (),
        body: bytes = b"",
    ) -> None:
        self._client = client
        self._method = method
        self._request_target = request_target
        self._parse_response = parse_response
        self._timeout_s = timeout_s
        self._headers = [*client.headers, *headers]
        self._body = body
        self._is_write = method != "GET"
        self._attempts_left = max(client.address_count, _MIN_ATTEMPTS)
        self._pending: PendingRequest | None = None
        self._timer: IDelayedCall | None = None
        self._deferred: Deferred[PlatformResult[T]] = Deferred(
            lambda _: self._cancel()
        )

    def start(self) -> Deferred[PlatformResult[T]]:
        self._start_attempt()
        return self._deferred

    def _start_attempt(self) -> None:
        self._attempts_left -= 1
        self._timer = self._client.reactor.callLater(
            self._timeout_s, self._on_timeout
        )
        self._pending = self._client.http_client.request(
            self._method,
            self._request_target,
            self._headers,
            self._body,
            self._on_response,
            self._on_failure,
        )

    def _on_response(self, response: HttpResponse) -> None:
        if response.status >= 500 or response.status == 429:
            message = f"the platform responded with status {response.status}"
            # A 5xx may be sent after the write took effect; a 429 is sent
            # before the write.
            self._retry_or_fail(message, response.status != 429)
            return
        self._finish(self._parse_response(response))

    def _on_failure(self, failure: RequestFailure) -> None:
        if failure is RequestFailure.CANCELLED:
            # `_on_timeout` and `_cancel` cancel the request themselves.
            return
        self._retry_or_fail(
            f"{self._client.address}: {failure.value}",
            failure is not RequestFailure.NOT_CONNECTED,
        )

    def _on_timeout(self) -> None:
        pending = self._pending
        was_sent = pending is not None and pending.was_sent
        if pending is not None:
            pending.cancel()
        self._retry_or_fail(
            f"{self._client.address}: no response within {self._timeout_s:g} s",
            was_sent,
        )

    def _retry_or_fail(self, message: str, may_have_effect: bool) -> None:
        """Starts an attempt at the next address, or reports the failure.

        Args:
            message: Description of the failure.
            may_have_effect: Whether a write may have taken effect.
        """
        self._cancel_timer()
        if self._deferred.called:
            return
        if self._is_write and may_have_effect:
            self._finish(Error(OutcomeUnknown(message)))
            return
        self._client.use_next_address()
        if self._attempts_left > 0:
            self._start_attempt()
        else:
            self._finish(Error(Unreachable(message)))

    def _finish(self, result: PlatformResult[T]) -> None:
        self._cancel_timer()
        if not self._deferred.called:
            self._deferred.callback(result)

    def _cancel(self) -> None:
        self._cancel_timer()
        self._attempts_left = 0
        if self._pending is not None:
            self._pending.cancel()

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class PlatformClient:
    """Reads, writes and watches objects.

    All operations use the same address. After a failed attempt, unless it
    leaves the outcome of a write unknown, they use the next address.

    Attributes:
        reactor: The Twisted reactor.
        headers: Headers of every request, names and values alternating.
    """

    __slots__ = (
        "_current_index",
        "_http_clients",
        "_timeout_s",
        "headers",
        "reactor",
    )

    def __init__(
        self,
        reactor: Any,
        base_urls: Sequence[str],
        *,
        token: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Configures a client; connections are opened on demand.

        Args:
            reactor: The Twisted reactor.
            base_urls: `http://<IP address>:<port>` of each address, used in
                turn.
            token: Bearer token; empty for none.
            timeout_s: Seconds to wait for the response to one attempt.

        Raises:
            ValueError: If a URL is malformed or there is none.
        """
        if not base_urls:
            raise ValueError("the platform needs at least one URL")
        self.reactor = reactor
        self.headers = ["Authorization", f"Bearer {token}"] if token else []
        self._timeout_s = timeout_s
        self._http_clients = [
            HttpClient(reactor, *parse_base_url(url), _MAX_CONNECTIONS)
            for url in base_urls
        ]
        self._current_index = 0

    @property
    def address_count(self) -> int:
        """The number of platform addresses."""
        return len(self._http_clients)

    @property
    def http_client(self) -> HttpClient:
        """The HTTP client of the address in use."""
        return self._http_clients[self._current_index]

    @property
    def address(self) -> str:
        """The address in use, as `host:port`."""
        host, port = self.http_client.address
        return f"{host}:{port}"

    def use_next_address(self) -> None:
        """Selects the next address for all further requests."""
        self._current_index = (self._current_index + 1) % len(
            self._http_clients
        )

    def get(self, name: str) -> Deferred[PlatformResult[PlatformObject]]:
        """Reads one object.

        Args:
            name: Name of the object.
        """
        return _Operation(
            self,
            "GET",
            _object_path(name),
            lambda response: _parse_object(name, response),
            timeout_s=self._timeout_s,
        ).start()

    def list(self, prefix: str) -> Deferred[PlatformResult[list[ListedObject]]]:
        """Lists the names and versions of objects.

        Args:
            prefix: Prefix of the names.
        """
        return _Operation(
            self,
            "GET",
            f"/objects?prefix={quote(prefix, safe='')}",
            _parse_list,
            timeout_s=self._timeout_s,
        ).start()

    def put(
        self, name: str, value: bytes, *, if_version: str
    ) -> Deferred[PlatformResult[str]]:
        """Writes one object if its version is the expected one.

        Args:
            name: Name of the object.
            value: New value.
            if_version: Expected version, or `ABSENT_VERSION` to create the
                object.

        Returns:
            The new version.
        """
        return _Operation(
            self,
            "PUT",
            _object_path(name),
            _parse_version,
            timeout_s=self._timeout_s,
            headers=_precondition_headers(if_version),
            body=value,
        ).start()

    def delete(
        self, name: str, *, if_version: str
    ) -> Deferred[PlatformResult[str]]:
        """Deletes one object if its version is the expected one.

        Args:
            name: Name of the object.
            if_version: Expected version.
        """
        return _Operation(
            self,
            "DELETE",
            _object_path(name),
            _parse_version,
            timeout_s=self._timeout_s,
            headers=_precondition_headers(if_version),
        ).start()

    def watch(
        self, name: str, version: str, wait_s: float
    ) -> Deferred[PlatformResult[PlatformObject | None]]:
        """Waits until an object has another version (long polling).

        Args:
            name: Name of the object.
            version: Version already known, or `ABSENT_VERSION`.
            wait_s: Seconds that the platform waits before it responds.

        Returns:
            The object, or None if it did not change; `NotFound` if it was
            deleted.
        """
        query = f"?watch={quote(version)}&timeout_s={wait_s:g}"
        return _Operation(
            self,
            "GET",
            _object_path(name) + query,
            lambda response: _parse_watch(name, response),
            timeout_s=wait_s + self._timeout_s,
        ).start()

    def close(self) -> None:
        """Closes all connections."""
        for client in self._http_clients:
            client.close()


def parse_base_url(url: str) -> tuple[str, int]:
    """Returns the host and port of a platform URL.

    >>> parse_base_url("http://127.0.0.1:8080")
    ('127.0.0.1', 8080)

    Args:
        url: `http://<IP address>:<port>`.

    Raises:
        ValueError: If the URL has another form.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname or not parts.port:
        raise ValueError(f"{url!r} is not of the form http://<IP>:<port>")
    if parts.path.strip("/") or parts.query or parts.username:
        raise ValueError(f"{url!r} must not have a path, query or user")
    return parts.hostname, parts.port


def _object_path(name: str) -> str:
    return f"/objects/{quote(name)}"


def _precondition_headers(version: str) -> list[str]:
    if version == ABSENT_VERSION:
        return ["If-None-Match", "*"]
    return ["If-Match", f'"{version}"']


def _parse_object(
    name: str, response: HttpResponse
) -> PlatformResult[PlatformObject]:
    parsed = _parse_version(response)
    return parsed.map(
        lambda version: PlatformObject(name, version, response.body)
    )


def _parse_watch(
    name: str, response: HttpResponse
) -> PlatformResult[PlatformObject | None]:
    if response.status == 304:
        return Ok(None)
    parsed = _parse_version(response)
    return parsed.map(
        lambda version: PlatformObject(name, version, response.body)
    )


def _parse_list(response: HttpResponse) -> PlatformResult[list[ListedObject]]:
    if response.status != 200:
        return Error(_error_from_response(response))
    try:
        return Ok(
            [
                ListedObject(str(entry["name"]), str(entry["version"]))
                for entry in json.loads(response.body)["objects"]
            ]
        )
    except (ValueError, KeyError, TypeError) as error:
        return Error(
            Unreachable(f"the platform sent a malformed object list: {error!r}")
        )


def _parse_version(response: HttpResponse) -> PlatformResult[str]:
    if response.status not in (200, 201, 204):
        return Error(_error_from_response(response))
    return Ok((response.header("etag") or "").strip('"'))


def _error_from_response(response: HttpResponse) -> PlatformFault:
    text = response.body[:200].decode(errors="replace")
    if response.status == 404:
        return NotFound(text)
    if response.status == 412:
        return Conflict(text)
    return Rejected(response.status, text)
