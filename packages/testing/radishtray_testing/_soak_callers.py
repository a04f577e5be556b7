"""Callers of a soak, independent of the product's own HTTP code."""

import http.client
import json
import random
import threading
import time
from typing import Any

from radishtray_state import RequestKey, SystemClock
from radishtray_testing.processes import LOOPBACK

KEYED_KINDS = ("buy", "order")
_READ_KINDS = ("read", "slow")
_ANSWER_TIMEOUT_S = 60.0
"""Far above all deadlines and pauses: an entry node has to answer by then."""
_MAX_SENDS = 4
_RESEND_DELAY_S = 0.2
_MAX_THINK_TIME_S = 0.1
_FILLER = "0123456789abcdef" * 1024
_KIND_WEIGHTS = {"read": 6, "slow": 1, "write": 3, "buy": 4, "order": 2}


class Send:
    """One send of a request, and what the caller saw of its answer.

    Attributes:
        request_id: Id of the request, which its resends share.
        send_id: Id of this send.
        kind: Kind of the request.
        key: Idempotency key; empty for kinds without keys.
        entry: Id of the entry node.
        is_resend: Whether an earlier send of this request had the same key.
        started_s: Wall time of the send in seconds.
        ended_s: Wall time of the end of the answer or of the connection.
        status: HTTP status; 0 without an answer.
        outcome: `not_run` or `outcome_unknown` of a refusal, else empty.
        reason: Reason of a refusal, or error of the connection.
        answer: Parsed body of a success.
        fault: What is wrong with the answer itself; empty if nothing is.
    """

    __slots__ = (
        "answer",
        "ended_s",
        "entry",
        "fault",
        "is_resend",
        "key",
        "kind",
        "outcome",
        "reason",
        "request_id",
        "send_id",
        "started_s",
        "status",
    )

    def __init__(
        self,
        request_id: str,
        send_id: str,
        kind: str,
        key: str,
        entry: str,
        is_resend: bool,
    ) -> None:
        """Creates a send that has no answer yet."""
        self.request_id = request_id
        self.send_id = send_id
        self.kind = kind
        self.key = key
        self.entry = entry
        self.is_resend = is_resend
        self.started_s = time.time()
        self.ended_s = 0.0
        self.status = 0
        self.outcome = ""
        self.reason = ""
        self.answer: dict[str, Any] = {}
        self.fault = ""

    def __str__(self) -> str:
        """Returns one line for reports."""
        return (
            f"{self.kind} {self.send_id} at {self.entry}"
            f" {self.started_s:.3f}-{self.ended_s:.3f}:"
            f" {self.status} {self.outcome} {self.reason}".rstrip()
        )


class SoakCaller:
    """Sends one request after another on kept connections.

    Attributes:
        sends: All sends so far.
    """

    __slots__ = (
        "_connections",
        "_entries",
        "_home",
        "_name",
        "_request_count",
        "_rng",
        "sends",
    )

    def __init__(
        self, name: str, entries: list[tuple[str, int]], home: int, seed: str
    ) -> None:
        """Creates a caller without connections.

        Args:
            name: Prefix of its request ids, unique in the soak.
            entries: Node id and caller port of each entry node.
            home: Index of the entry node that it uses by default.
            seed: Seed of kinds, sizes and pauses.
        """
        self._name = name
        self._entries = entries
        self._home = home
        self._rng = random.Random(seed)
        self._request_count = 0
        self._connections: dict[int, http.client.HTTPConnection] = {}
        self.sends: list[Send] = []

    def run_until(self, stopped: threading.Event) -> None:
        """Sends requests until the event is set."""
        kinds = list(_KIND_WEIGHTS)
        weights = list(_KIND_WEIGHTS.values())
        while not stopped.is_set():
            self.send_request(self._rng.choices(kinds, weights)[0])
            stopped.wait(self._rng.uniform(0.0, _MAX_THINK_TIME_S))
        self.close()

    def send_request(self, kind: str) -> Send:
        """Sends a request, and resends it as the answers allow.

        Returns:
            The last send.
        """
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        # Half of the reads are identical, as reads of one page are.
        target = f"/shop/{kind}"
        if kind not in _READ_KINDS or self._rng.random() < 0.5:
            target += f"?{request_id}"
        body = ""
        if kind in (*KEYED_KINDS, "write"):
            size = int(len(_FILLER) * self._rng.random() ** 3)
            body = f"{request_id}:{_FILLER[:size]}"
        key = ""
        if kind in KEYED_KINDS:
            key = str(RequestKey.generate(SystemClock(), self._rng))
        is_resend = False
        entry = self._home
        for number in range(_MAX_SENDS):
            send = Send(
                request_id,
                f"{request_id}.{number}",
                kind,
                key,
                self._entries[entry][0],
                is_resend,
            )
            self.sends.append(send)
            retry_key = self._exchange(send, entry, target, body)
            send.ended_s = time.time()
            if send.status == 200 or kind not in KEYED_KINDS:
                break
            is_resend = True
            if retry_key:
                key, is_resend = retry_key, False
            entry = self._rng.choice([self._home, *range(len(self._entries))])
            time.sleep(_RESEND_DELAY_S)
        return send

    def _exchange(self, send: Send, entry: int, target: str, body: str) -> str:
        """Sends once and records the answer.

        Returns:
            The retry key that the answer offers, or an empty text.
        """
        headers = {"Test-Run-Id": send.send_id}
        if send.key:
            headers["Idempotency-Key"] = send.key
            headers["Radishtray-Send"] = "resend" if send.is_resend else "first"
        connection = self._connections.get(entry)
        if connection is None:
            connection = self._connections[entry] = http.client.HTTPConnection(
                LOOPBACK, self._entries[entry][1], timeout=_ANSWER_TIMEOUT_S
            )
        try:
            connection.request(
                "POST" if body else "GET", target, body or None, headers
            )
            response = connection.getresponse()
            payload = response.read()
        except TimeoutError:
            send.reason = send.fault = "no answer in time"
        except (OSError, http.client.IncompleteRead) as error:
            send.reason = type(error).__name__
        except http.client.HTTPException as error:
            send.reason = send.fault = f"malformed answer: {error!r}"
        else:
            send.status = response.status
            send.outcome = response.getheader("Radishtray-Outcome") or ""
            send.reason = response.getheader("Radishtray-Reason") or ""
            if send.status == 200:
                self._check_answer(send, payload, target, body)
            retry_key = response.getheader("Radishtray-Retry-Key")
            return retry_key or ""
        self._connections.pop(entry).close()
        return ""

    @staticmethod
    def _check_answer(
        send: Send, payload: bytes, target: str, body: str
    ) -> None:
        """Records a fault if a success is not the answer to this request."""
        try:
            send.answer = json.loads(payload)
        except ValueError:
            send.fault = f"answer is not whole: {payload[:80]!r}"
            return
        answer = send.answer
        answered_id = str(answer.get("send_id")).partition(".")[0]
        if (answered_id, answer.get("target"), answer.get("body")) != (
            send.request_id,
            target.removeprefix("/shop"),
            body,
        ):
            send.fault = (
                f"answer of {answer.get('send_id')} to {answer.get('target')},"
                f" {len(str(answer.get('body')))} bytes of body"
            )

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
