"""Callers of a soak, independent of the product's own HTTP code."""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

from radishtray_state import RequestKey, SystemClock
from radishtray_testing.processes import LOOPBACK

KEYED_KINDS = ("buy", "order")
_KINDS = ("read", "slow", "write", *KEYED_KINDS)
_KIND_WEIGHTS = (6, 1, 3, 4, 2)
# Far above all deadlines and pauses: an entry node has to answer by then.
_ANSWER_TIMEOUT_S = 60.0
_MAX_SENDS = 4
_RESEND_DELAY_S = 0.2
_MAX_THINK_TIME_S = 0.1
_MAX_BODY_BYTES = 16_384


@dataclass(slots=True)
class Send:
    """One send of a request, and what the caller saw of its answer.

    Resends share the request's id. Times are wall times in seconds. `fault`
    says what is wrong with an answer that breaks a promise by itself.
    """

    request_id: str
    send_id: str
    kind: str
    key: str
    entry: str
    is_resend: bool = False
    started_s: float = field(default_factory=time.time)
    ended_s: float = 0.0
    status: int = 0
    outcome: str = ""
    reason: str = ""
    answer: dict[str, Any] = field(default_factory=dict)
    fault: str = ""

    def __str__(self) -> str:
        """Returns one line for reports."""
        return (
            f"{self.kind} {self.send_id} {self.key} at {self.entry}"
            f" {self.started_s:.3f}-{self.ended_s:.3f}:"
            f" {self.status} {self.outcome} {self.reason} {self.fault}"
        )

    def check_answer(self, payload: bytes, target: str, body: str) -> None:
        """Records a fault if a success is not the answer to this request."""
        try:
            self.answer = json.loads(payload)
        except ValueError:
            self.fault = f"answer is not whole: {payload[:80]!r}"
            return
        answered_send = str(self.answer.get("send_id"))
        # A resend gets the answer of the send that has run.
        answered = (
            answered_send.partition("/")[0],
            self.answer.get("target"),
            self.answer.get("body"),
        )
        if answered != (self.request_id, target, body):
            self.fault = f"answer of {answered_send}, {len(payload)} bytes"


class SoakCaller:
    """Sends one request after another on kept connections.

    Attributes:
        sends: All sends so far.
    """

    def __init__(self, name: str, entries: dict[str, int], home: str) -> None:
        """Creates a caller whose first sends go to the node `home`.

        The name, unique in the soak, is the seed of its random choices.
        """
        self._name = name
        self._entries = entries
        self._home = home
        self._rng = random.Random(name)
        self._request_count = 0
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self.sends: list[Send] = []

    def run_until(self, stopped: threading.Event) -> None:
        """Sends requests until the event is set."""
        while not stopped.wait(self._rng.uniform(0.0, _MAX_THINK_TIME_S)):
            self.send_request(self._rng.choices(_KINDS, _KIND_WEIGHTS)[0])
        self.close()

    def send_request(self, kind: str) -> Send:
        """Sends a request, with resends if it has a key.

        Returns:
            The last send.
        """
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        target, key, body = f"/{kind}", "", ""
        if kind in (*KEYED_KINDS, "write"):
            size = int(_MAX_BODY_BYTES * self._rng.random() ** 3)
            body = request_id.ljust(size, ".")
        # Half of the reads are equal, as those of one page are.
        if body or self._rng.random() < 0.5:
            target += f"?{request_id}"
        if kind in KEYED_KINDS:
            key = str(RequestKey.generate(SystemClock(), self._rng))
        entry, is_resend = self._home, False
        for number in range(_MAX_SENDS):
            send_id = f"{request_id}/{number}"
            send = Send(request_id, send_id, kind, key, entry, is_resend)
            self.sends.append(send)
            retry_key = self._exchange(send, target, body)
            send.ended_s = time.time()
            if send.status == 200 or not key:
                break
            key, is_resend = retry_key or key, not retry_key
            entry = self._rng.choice([self._home, *self._entries])
            time.sleep(_RESEND_DELAY_S)
        return send

    def _exchange(self, send: Send, target: str, body: str) -> str:
        """Sends once, records the answer and returns its retry key, if any."""
        headers = {"Test-Run-Id": send.send_id}
        if send.key:
            headers["Idempotency-Key"] = send.key
            headers["Radishtray-Send"] = "resend" if send.is_resend else "first"
        if send.entry not in self._connections:
            self._connections[send.entry] = http.client.HTTPConnection(
                LOOPBACK, self._entries[send.entry], timeout=_ANSWER_TIMEOUT_S
            )
        connection = self._connections[send.entry]
        method = "POST" if body else "GET"
        try:
            connection.request(method, f"/shop{target}", body or None, headers)
            response = connection.getresponse()
            payload = response.read()
        except TimeoutError:
            send.fault = "no answer in time"
        except (OSError, http.client.IncompleteRead) as error:
            send.reason = type(error).__name__
        except http.client.HTTPException as error:
            send.fault = f"malformed answer: {error!r}"
        else:
            send.status = response.status
            send.outcome = response.getheader("Radishtray-Outcome") or ""
            send.reason = response.getheader("Radishtray-Reason") or ""
            if send.status == 200:
                send.check_answer(payload, target, body)
            return response.getheader("Radishtray-Retry-Key") or ""
        self._connections.pop(send.entry).close()
        return ""

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
