"""Tests the platform client against the platform stand-in.

A write without an answer must end as an unknown outcome and not as a failure,
since the platform may have applied it. Connections are real; timeouts run on a
fake clock.
"""

import json
import subprocess
import sys
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater
from twisted.trial.unittest import TestCase
from twisted.web.server import Site

from radishtray_testing.platform_standin import Faults, PlatformStandin
from radishtray_transport import (
    ABSENT_VERSION,
    Conflict,
    NotFound,
    OutcomeUnknown,
    PlatformClient,
    Rejected,
    Unreachable,
)

# Name: (faults, whether the first address refuses connections, operation, error
# class or None for success, whether the object exists afterwards).
FAULT_CASES: dict[str, tuple[dict[str, Any], bool, str, type | None, bool]] = {
    "no_fault": ({}, False, "put", None, True),
    "lost_answer": (
        {"lose_next_answers": 1},
        False,
        "put",
        OutcomeUnknown,
        True,
    ),
    "outage_write": ({"outage": True}, False, "put", OutcomeUnknown, False),
    "outage_read": ({"outage": True}, False, "get", Unreachable, False),
    "refused_read": ({"refuse": True}, False, "get", Unreachable, False),
    "refused_write": ({"refuse": True}, False, "put", OutcomeUnknown, False),
    "slow_write": ({"delay_ms": 60_000}, False, "put", OutcomeUnknown, False),
    "slow_read": ({"delay_ms": 60_000}, False, "get", Unreachable, False),
    "delay_in_time": ({"delay_ms": 1}, False, "put", None, True),
    "absent": ({}, False, "get", NotFound, False),
    "no_list": ({}, False, "list", None, False),
    "delete_absent": ({}, False, "delete", Conflict, False),
    "first_address_down": ({}, True, "put", None, True),
    "too_large": ({}, False, "put_large", Rejected, False),
    "stale_version": ({}, False, "put_stale", Conflict, False),
}


class ManualTimerReactor:
    """Reactor with real connections whose timers run on a fake clock."""

    def __init__(self, clock: Clock) -> None:
        """Creates a reactor whose timers run on a clock."""
        self.connectTCP = reactor.connectTCP
        self.callLater = clock.callLater
        self.seconds = clock.seconds


class PlatformClientTest(TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.standin = PlatformStandin(reactor, token="secret")
        self.port = reactor.listenTCP(
            0, Site(self.standin), interface="127.0.0.1"
        )
        self.addCleanup(self.port.stopListening)
        self.addCleanup(self.standin.close)
        self.client = self.connect()

    def connect(self, *first: str, token: str = "secret") -> PlatformClient:
        url = f"http://127.0.0.1:{self.port.getHost().port}"
        client = PlatformClient(
            ManualTimerReactor(self.clock), [*first, url], token=token
        )
        self.addCleanup(deferLater, reactor, 0.02)
        self.addCleanup(client.close)
        return client

    def start_operation(
        self, client: PlatformClient, name: str
    ) -> Deferred[Any]:
        calls = {
            "get": lambda: client.get("a/b"),
            "list": lambda: client.list("a/"),
            "put": lambda: client.put("a/b", b"x", if_version=ABSENT_VERSION),
            "put_stale": lambda: client.put("a/b", b"x", if_version="7"),
            "put_large": lambda: client.put(
                "a/b", bytes(1_000_001), if_version=ABSENT_VERSION
            ),
            "delete": lambda: client.delete("a/b", if_version="7"),
        }
        return calls[name]()

    async def time_out_attempts(self, pending: Deferred[Any]) -> None:
        """Times out each attempt of a call once the stand-in has received it.

        The stand-in delays the call, so the attempt has no answer by then.
        """
        received = len(self.standin._delayed_calls)
        while not pending.called:
            if len(self.standin._delayed_calls) > received:
                received += 1
                self.clock.advance(60)
            await deferLater(reactor, 0.001)

    async def test_error_states_whether_the_call_may_have_taken_effect(
        self,
    ) -> None:
        """An unanswered write must not be reported as one without effect.

        The platform may have applied it before the answer was lost or late.
        """
        for name, case in FAULT_CASES.items():
            faults, first_refuses, operation, error, exists = case
            self.standin.faults = Faults(**faults)
            self.standin._objects.clear()
            first = ["http://127.0.0.1:1"] if first_refuses else []
            pending = self.start_operation(self.connect(*first), operation)
            if name.startswith("slow"):
                await self.time_out_attempts(pending)
            result = await pending
            found = type(result.error) if result.is_error() else None
            self.assertIs(found, error, name)
            self.assertEqual("a/b" in self.standin.objects, exists, name)

    async def test_versions_guard_every_write(self) -> None:
        """A write with a stale version must not replace a newer value.

        An object that is created again must not reuse an earlier version, or
        a stale write could match it.
        """
        put, client = self.client.put, self.client
        first = (await put("a", b"1", if_version=ABSENT_VERSION)).ok
        again = await put("a", b"2", if_version=ABSENT_VERSION)
        self.assertIsInstance(again.error, Conflict)
        second = (await put("a", b"2", if_version=first)).ok
        stale = await client.delete("a", if_version=first)
        self.assertIsInstance(stale.error, Conflict)
        found = (await client.get("a")).ok
        self.assertEqual((found.version, found.value), (second, b"2"))
        listed = (await client.list("a")).ok
        self.assertEqual([(o.name, o.version) for o in listed], [("a", second)])
        self.assertTrue((await client.delete("a", if_version=second)).is_ok())
        third = (await put("a", b"3", if_version=ABSENT_VERSION)).ok
        self.assertNotIn(third, (first, second))

    async def test_watch_waits_for_another_version(self) -> None:
        """A watch must not miss a write before or after it starts."""
        self.assertIsNone((await self.client.watch("a", "0", 0.01)).ok)
        waiting = self.client.watch("a", ABSENT_VERSION, 60)
        while not self.standin.waiting_watches:
            await deferLater(reactor, 0.001)
        version = (await self.client.put("a", b"1", if_version="0")).ok
        changed = (await waiting).ok
        self.assertEqual((changed.version, changed.value), (version, b"1"))
        past = (await self.client.watch("a", "0", 60)).ok
        self.assertEqual(past.version, version)

    async def test_cancelled_watch_leaves_the_platform(self) -> None:
        """A cancelled watch must close its connection to the platform."""
        waiting = self.client.watch("a", ABSENT_VERSION, 60)
        while not self.standin.waiting_watches:
            await deferLater(reactor, 0.001)
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        while self.standin.waiting_watches:
            await deferLater(reactor, 0.001)

    async def test_wrong_token_is_rejected(self) -> None:
        result = await self.connect(token="wrong").get("a")
        self.assertEqual(result.error.status, 401)


def test_unusable_urls_are_rejected() -> None:
    """Lists that are empty or hold an unusable address must be rejected."""
    for urls in ([], ["https://10.0.0.1:1"], ["10.0.0.1:1"], ["http://h:1/x"]):
        try:
            PlatformClient(reactor, urls)
        except ValueError:
            continue
        raise AssertionError(urls)


def test_program_prints_its_port() -> None:
    command = [sys.executable, "-m", "radishtray_testing.platform_standin"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout
        line = process.stdout.readline()
        process.terminate()
    assert json.loads(line)["port"] > 0
