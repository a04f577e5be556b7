"""HTTP server that stands in for the platform's object store in tests.

`python -m radishtray_testing.platform_standin --port 0` prints one JSON line
with its port and serves until the process is ended. docs/cli.md lists the HTTP
routes. Objects are kept in memory and have a version each; ETag, If-Match and
If-None-Match carry versions. A GET with the parameter `watch` is a long poll.
"""

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any, Final, TextIO
from urllib.parse import unquote

from twisted.internet import reactor as default_reactor
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

MAX_VALUE_BYTES: Final = 1_000_000
MAX_WATCH_S: Final = 300.0
_OBJECTS_PATH: Final = "/objects"

Request = Any  # twisted.web.server.Request lacks most type annotations.


class Faults:
    """The simulated faults in effect, as set by `PUT /faults`.

    Attributes:
        outage: Whether each call's connection is aborted, without effect or
            answer; pending watches are aborted when it is set.
        refuse: Whether calls are answered with 503, without effect.
        delay_ms: Delay of each call in milliseconds. A delayed write takes
            effect even if its client has disconnected by then.
        lose_next_answers: How many of the next successful writes take effect
            but have their connection aborted instead of an answer.
    """

    __slots__ = ("delay_ms", "lose_next_answers", "outage", "refuse")

    def __init__(
        self,
        outage: bool = False,
        refuse: bool = False,
        delay_ms: int = 0,
        lose_next_answers: int = 0,
    ) -> None:
        """Creates a set of faults; all are off by default."""
        self.outage = outage
        self.refuse = refuse
        self.delay_ms = delay_ms
        self.lose_next_answers = lose_next_answers


class _Watch:
    """A pending watch, the long poll of a client for a new version."""

    __slots__ = ("name", "request", "timer", "version")

    def __init__(self, request: Request, name: str, version: int) -> None:
        self.request = request
        self.name = name
        self.version = version
        self.timer: IDelayedCall | None = None


class PlatformStandin(Resource):
    """Root resource of the stand-in, which holds the objects in memory.

    Attributes:
        faults: Faults in effect.
        counters: Calls, conflicts and lost answers, by the names that
            `GET /counters` answers.
    """

    isLeaf = True

    def __init__(self, reactor: IReactorTime, token: str = "") -> None:
        """Creates a stand-in without objects.

        Args:
            reactor: Runs delayed calls and the timeouts of watches.
            token: Bearer token that clients must send; empty for none.
        """
        super().__init__()
        self._reactor = reactor
        self._token = token
        self._objects: dict[str, tuple[int, bytes]] = {}
        # All objects share one counter, so that an object that is deleted and
        # created again never reuses a version.
        self._last_version = 0
        self._watches: list[_Watch] = []
        self._delayed_calls: list[IDelayedCall] = []
        self.faults = Faults()
        self.counters = dict.fromkeys(
            ("reads", "writes", "watches", "conflicts", "lost_answers"), 0
        )

    @property
    def waiting_watches(self) -> int:
        """Number of pending watches."""
        return len(self._watches)

    @property
    def objects(self) -> dict[str, bytes]:
        """Copy of all values by object name."""
        return {name: value for name, (_, value) in self._objects.items()}

    def render(self, request: Request) -> int:
        """Handles a call; its answer may follow later."""
        path = unquote(request.path.decode("ascii", "replace"))
        if path in ("/faults", "/counters"):
            self._handle_admin_call(request, path)
        elif self.faults.delay_ms:
            self._delay_call(request, path)
        else:
            self._handle_object_call(request, path)
        return int(NOT_DONE_YET)

    def close(self) -> None:
        """Cancels all delayed calls and pending watches without answers."""
        for timer in self._delayed_calls:
            if timer.active():
                timer.cancel()
        for watch in list(self._watches):
            self._remove_watch(watch)

    def _delay_call(self, request: Request, path: str) -> None:
        self._delayed_calls = [
            timer for timer in self._delayed_calls if timer.active()
        ]
        self._delayed_calls.append(
            self._reactor.callLater(
                self.faults.delay_ms / 1000,
                self._handle_object_call,
                request,
                path,
            )
        )

    def _handle_admin_call(self, request: Request, path: str) -> None:
        if path == "/counters":
            payload = {**self.counters, "waiting_watches": len(self._watches)}
            _respond_json(request, payload)
            return
        if request.method == b"PUT":
            try:
                self.faults = Faults(**json.load(request.content))
            except (TypeError, ValueError) as error:
                _respond(request, 400, str(error).encode())
                return
            if self.faults.outage:
                for watch in list(self._watches):
                    self._remove_watch(watch)
                    _abort_connection(watch.request)
        _respond_json(
            request,
            {name: getattr(self.faults, name) for name in Faults.__slots__},
        )

    def _handle_object_call(self, request: Request, path: str) -> None:
        if request.channel is None and request.method == b"GET":
            return  # The client has disconnected; writes still take effect.
        if self.faults.outage:
            _abort_connection(request)
            return
        if self.faults.refuse:
            _respond(request, 503, b"refused")
            return
        authorization = request.getHeader("authorization") or ""
        if self._token and authorization != f"Bearer {self._token}":
            _respond(request, 401, b"bearer token required")
            return
        if path != _OBJECTS_PATH and not path.startswith(f"{_OBJECTS_PATH}/"):
            _respond(request, 404, b"no such route")
            return
        name = path[len(_OBJECTS_PATH) + 1 :]
        handlers: dict[bytes, Callable[[Request, str], None]] = {
            b"GET": self._read if name else self._list,
            b"PUT": self._write,
            b"DELETE": self._write,
        }
        handler = handlers.get(request.method)
        if handler is None or (handler == self._write and not name):
            _respond(request, 405, b"method not allowed")
            return
        handler(request, name)

    def _list(self, request: Request, _: str) -> None:
        self.counters["reads"] += 1
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        _respond_json(
            request,
            {
                "objects": [
                    {"name": name, "version": str(version)}
                    for name, (version, _) in sorted(self._objects.items())
                    if name.startswith(prefix)
                ]
            },
        )

    def _read(self, request: Request, name: str) -> None:
        version, _ = self._objects.get(name, (0, b""))
        if b"watch" in request.args:
            self._watch(request, name, version)
            return
        self.counters["reads"] += 1
        self._respond_with_object(request, name)

    def _watch(self, request: Request, name: str, version: int) -> None:
        self.counters["watches"] += 1
        try:
            known_version = int(request.args[b"watch"][0])
            timeout_s = float(request.args.get(b"timeout_s", [b"30"])[0])
        except ValueError:
            _respond(request, 400, b"watch and timeout_s must be numbers")
            return
        if known_version != version:
            self._respond_with_object(request, name)
            return
        watch = _Watch(request, name, known_version)
        watch.timer = self._reactor.callLater(
            min(timeout_s, MAX_WATCH_S), self._on_watch_timeout, watch
        )
        self._watches.append(watch)
        request.notifyFinish().addErrback(lambda _: self._remove_watch(watch))

    def _on_watch_timeout(self, watch: _Watch) -> None:
        self._remove_watch(watch)
        watch.request.setHeader("etag", f'"{watch.version}"')
        _respond(watch.request, 304, b"")

    def _remove_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None and watch.timer.active():
            watch.timer.cancel()

    def _write(self, request: Request, name: str) -> None:
        self.counters["writes"] += 1
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            _respond(request, 413, b"the value exceeds 1 MB")
            return
        version, _ = self._objects.get(name, (0, b""))
        if not self._precondition_holds(request, version):
            self.counters["conflicts"] += 1
            request.setHeader("etag", f'"{version}"')
            _respond(request, 412, b"the version differs")
            return
        if request.method == b"DELETE" and not version:
            _respond(request, 404, b"no such object")
            return
        self._last_version += 1
        if request.method == b"PUT":
            self._objects[name] = (self._last_version, value)
        else:
            del self._objects[name]
        self._notify_watches(name)
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            self.counters["lost_answers"] += 1
            _abort_connection(request)
            return
        request.setHeader("etag", f'"{self._last_version}"')
        _respond(request, 200 if version else 201, b"")

    def _precondition_holds(self, request: Request, version: int) -> bool:
        expected = request.getHeader("if-match")
        if expected is not None:
            return bool(version) and expected.strip('"') == str(version)
        if request.getHeader("if-none-match") == "*":
            return not version
        return True

    def _notify_watches(self, name: str) -> None:
        for watch in [w for w in self._watches if w.name == name]:
            self._remove_watch(watch)
            self._respond_with_object(watch.request, name)

    def _respond_with_object(self, request: Request, name: str) -> None:
        if name not in self._objects:
            _respond(request, 404, b"no such object")
            return
        version, value = self._objects[name]
        request.setHeader("etag", f'"{version}"')
        _respond(request, 200, value)


def _abort_connection(request: Request) -> None:
    if request.channel is not None:
        request.transport.abortConnection()


def _respond(request: Request, status: int, body: bytes) -> None:
    if request.channel is None:
        return
    request.setResponseCode(status)
    request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()


def _respond_json(request: Request, payload: Any) -> None:
    request.setHeader("content-type", "application/json")
    _respond(request, 200, json.dumps(payload).encode())


def main(
    argv: list[str] | None = None,
    reactor: Any = default_reactor,
    output: TextIO = sys.stdout,
) -> None:
    """Runs the stand-in until the process is ended.

    Args:
        argv: Command line arguments; those of the process by default.
        reactor: The reactor to run.
        output: Where the JSON line with the port is written.
    """
    parser = argparse.ArgumentParser(prog="platform_standin")
    parser.add_argument("--host", default="127.0.0.1", help="listen address")
    parser.add_argument("--port", type=int, default=0, help="0 for any port")
    parser.add_argument("--token", default="", help="bearer token to require")
    options = parser.parse_args(argv)
    root = PlatformStandin(reactor, options.token)
    site = Site(root)
    port = reactor.listenTCP(options.port, site, interface=options.host)
    print(json.dumps({"port": port.getHost().port}), file=output, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
