"""Stand-in for the platform's object API, over HTTP.

`python -m radishtray_testing.platform_standin --port 0` prints one JSON line
with its port and serves until it is ended. docs/cli.md names the routes.
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
_OBJECTS: Final = "/objects"

Request = Any  # twisted.web.server.Request has few annotations.


class Faults:
    """The faults in effect; set by `PUT /faults`.

    `outage` closes every connection without effect or answer; `refuse`
    answers 503 without effect; `delay_ms` delays each call, and
    a delayed write takes effect even if its client has given up;
    `lose_next_answers` is the number of writes that take effect and whose
    connections close without an answer.
    """

    __slots__ = ("delay_ms", "lose_next_answers", "outage", "refuse")

    def __init__(
        self,
        outage: bool = False,
        refuse: bool = False,
        delay_ms: int = 0,
        lose_next_answers: int = 0,
    ) -> None:
        """Sets the faults; all are off by default."""
        self.outage = outage
        self.refuse = refuse
        self.delay_ms = delay_ms
        self.lose_next_answers = lose_next_answers


class _Watch:
    """One waiting watch."""

    __slots__ = ("name", "request", "timer", "version")

    def __init__(self, request: Request, name: str, version: int) -> None:
        self.request = request
        self.name = name
        self.version = version
        self.timer: IDelayedCall | None = None


class PlatformStandin(Resource):
    """Versioned objects in memory; the root resource of its site."""

    isLeaf = True

    def __init__(self, reactor: IReactorTime, token: str = "") -> None:
        """Starts without objects.

        Args:
            reactor: For delays and the timeouts of watches.
            token: Bearer token to require, or empty.
        """
        super().__init__()
        self._reactor = reactor
        self._token = token
        self._objects: dict[str, tuple[int, bytes]] = {}
        # One counter for all objects, so a new object never reuses a version.
        self._last_version = 0
        self._watches: list[_Watch] = []
        self._delayed: list[IDelayedCall] = []
        self.faults = Faults()
        self.counters = dict.fromkeys(
            ("reads", "writes", "watches", "conflicts", "lost_answers"), 0
        )

    @property
    def waiting_watches(self) -> int:
        """The number of watches that wait now."""
        return len(self._watches)

    @property
    def objects(self) -> dict[str, bytes]:
        """A copy of all values by name."""
        return {name: value for name, (_, value) in self._objects.items()}

    def render(self, request: Request) -> int:
        """Answers one call, now or later."""
        path = unquote(request.path.decode("ascii", "replace"))
        if path in ("/faults", "/counters"):
            self._admin(request, path)
        elif self.faults.delay_ms:
            self._delay(request, path)
        else:
            self._object_call(request, path)
        return int(NOT_DONE_YET)

    def close(self) -> None:
        """Drops all delayed calls and ends all watches without answers."""
        for timer in self._delayed:
            if timer.active():
                timer.cancel()
        for watch in list(self._watches):
            self._end_watch(watch)

    def _delay(self, request: Request, path: str) -> None:
        self._delayed = [timer for timer in self._delayed if timer.active()]
        self._delayed.append(
            self._reactor.callLater(
                self.faults.delay_ms / 1000, self._object_call, request, path
            )
        )

    def _admin(self, request: Request, path: str) -> None:
        if path == "/counters":
            shown = {**self.counters, "waiting_watches": len(self._watches)}
            _answer_json(request, shown)
            return
        if request.method == b"PUT":
            try:
                self.faults = Faults(**json.load(request.content))
            except (TypeError, ValueError) as error:
                _answer(request, 400, str(error).encode())
                return
            if self.faults.outage:
                for watch in list(self._watches):
                    self._end_watch(watch)
                    _abort(watch.request)
        _answer_json(
            request,
            {name: getattr(self.faults, name) for name in Faults.__slots__},
        )

    def _object_call(self, request: Request, path: str) -> None:
        if request.channel is None and request.method == b"GET":
            return  # A delayed write takes effect although nobody waits.
        if self.faults.outage:
            _abort(request)
            return
        if self.faults.refuse:
            _answer(request, 503, b"refused")
            return
        given = request.getHeader("authorization") or ""
        if self._token and given != f"Bearer {self._token}":
            _answer(request, 401, b"bearer token required")
            return
        if path != _OBJECTS and not path.startswith(f"{_OBJECTS}/"):
            _answer(request, 404, b"no such route")
            return
        name = path[len(_OBJECTS) + 1 :]
        handlers: dict[bytes, Callable[[Request, str], None]] = {
            b"GET": self._read if name else self._list,
            b"PUT": self._write,
            b"DELETE": self._write,
        }
        handler = handlers.get(request.method)
        if handler is None or (handler == self._write and not name):
            _answer(request, 405, b"method not allowed")
            return
        handler(request, name)

    def _list(self, request: Request, _: str) -> None:
        self.counters["reads"] += 1
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        _answer_json(
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
        self._answer_object(request, name)

    def _watch(self, request: Request, name: str, version: int) -> None:
        self.counters["watches"] += 1
        try:
            known = int(request.args[b"watch"][0])
            timeout_s = float(request.args.get(b"timeout_s", [b"30"])[0])
        except ValueError:
            _answer(request, 400, b"watch and timeout_s must be numbers")
            return
        if known != version:
            self._answer_object(request, name)
            return
        watch = _Watch(request, name, known)
        watch.timer = self._reactor.callLater(
            min(timeout_s, MAX_WATCH_S), self._watch_timeout, watch
        )
        self._watches.append(watch)
        request.notifyFinish().addErrback(lambda _: self._end_watch(watch))

    def _watch_timeout(self, watch: _Watch) -> None:
        self._end_watch(watch)
        watch.request.setHeader("etag", f'"{watch.version}"')
        _answer(watch.request, 304, b"")

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
        if watch.timer is not None and watch.timer.active():
            watch.timer.cancel()

    def _write(self, request: Request, name: str) -> None:
        self.counters["writes"] += 1
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            _answer(request, 413, b"the value exceeds 1 MB")
            return
        version, _ = self._objects.get(name, (0, b""))
        if not self._precondition_holds(request, version):
            self.counters["conflicts"] += 1
            request.setHeader("etag", f'"{version}"')
            _answer(request, 412, b"the version differs")
            return
        if request.method == b"DELETE" and not version:
            _answer(request, 404, b"no such object")
            return
        self._last_version += 1
        if request.method == b"PUT":
            self._objects[name] = (self._last_version, value)
        else:
            del self._objects[name]
        self._notify(name)
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            self.counters["lost_answers"] += 1
            _abort(request)
            return
        request.setHeader("etag", f'"{self._last_version}"')
        _answer(request, 200 if version else 201, b"")

    def _precondition_holds(self, request: Request, version: int) -> bool:
        expected = request.getHeader("if-match")
        if expected is not None:
            return bool(version) and expected.strip('"') == str(version)
        if request.getHeader("if-none-match") == "*":
            return not version
        return True

    def _notify(self, name: str) -> None:
        for watch in [w for w in self._watches if w.name == name]:
            self._end_watch(watch)
            self._answer_object(watch.request, name)

    def _answer_object(self, request: Request, name: str) -> None:
        if name not in self._objects:
            _answer(request, 404, b"no such object")
            return
        version, value = self._objects[name]
        request.setHeader("etag", f'"{version}"')
        _answer(request, 200, value)


def _abort(request: Request) -> None:
    if request.channel is not None:
        request.transport.abortConnection()


def _answer(request: Request, status: int, body: bytes) -> None:
    if request.channel is None:
        return
    request.setResponseCode(status)
    request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()


def _answer_json(request: Request, shown: Any) -> None:
    request.setHeader("content-type", "application/json")
    _answer(request, 200, json.dumps(shown).encode())


def main(
    argv: list[str] | None = None,
    reactor: Any = default_reactor,
    output: TextIO = sys.stdout,
) -> None:
    """Serves until the process is ended.

    Args:
        argv: Arguments; those of the process by default.
        reactor: The reactor to run.
        output: Receives the JSON line with the port.
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
