"""Builders of call and answer frames as forwarded requests produce them."""

import random

from radishtray_protocol import wire

_ROUTE_NAMES = ("script-lookup", "callback-book", "script-approve")
_STATUS_BY_BODY = (200, 200, 200, 200, 200, 200, 200, 503)
_WORDS = (
    *("caller", "asked", "for", "a", "call", "back", "after", "the", "hearing"),
    *("was", "moved", "no", "answer", "please", "confirm", "address", "by"),
    *("phone", "invoice", "sent", "twice", "refund", "agreed", "open", "until"),
)
_DIGEST_BYTES = 32
_ID_BITS = 63


class FrameSource:
    """Calls of several routes to one service, and the answers to them.

    Ids, digests, times and bodies differ from frame to frame; header names and
    most header values repeat.
    """

    __slots__ = ("_attempt_id", "_rng")

    def __init__(self, seed: int = 1) -> None:
        """Seeds the varying contents of the frames."""
        self._rng = random.Random(seed)
        self._attempt_id = self._rng.getrandbits(_ID_BITS - 8)

    def build_call(self, body: bytes | None = None) -> wire.Frame:
        """Builds the next call; a body of some 80 bytes if none is given."""
        rng = self._rng
        self._attempt_id += 1
        route = rng.choice(_ROUTE_NAMES)
        request_id = f"{rng.getrandbits(128):032x}"
        number = rng.randrange(10**6)
        if body is None:
            body = (
                f'{{"id":{number},"customer":"c-{rng.randrange(10**5)}",'
                f'"from":"2026-12-{rng.randrange(1, 29):02d}","limit":20}}'
            ).encode()
        headers = [
            *("Host", "scripts.internal"),
            *("User-Agent", "script-client/4.2 (linux; x86_64)"),
            *("Accept", "application/json"),
            *("Accept-Language", "en;q=0.9, de;q=0.7"),
            *("Content-Type", "application/json"),
            *("Trace-Number", request_id),
            *("X-Tenant-Id", f"organisation-{rng.randrange(20)}"),
            *("X-Caller-Service", rng.choice(("scripts", "callbacks"))),
        ]
        context = wire.Context(
            request_id=request_id.encode(),
            priority_class=rng.randrange(3),
            level=rng.randrange(32),
            deadline_ms=rng.randrange(300, 1500),
            retry_budget=0,
            depth=0,
            fingerprint=rng.getrandbits(_ID_BITS),
            crash_count=0,
        )
        call = wire.Call(
            attempt_id=self._attempt_id,
            service_name="lookup",
            kind=route,
            method="POST",
            path=f"/{route}/records/{number}?fields=all",
            headers=headers,
            body=body,
            context=context,
            generation=12,
            repeatable=True,
        )
        return wire.Frame(call=call)

    def build_body(self, size: int) -> bytes:
        """Builds a body that does not compress."""
        return self._rng.randbytes(size)

    def build_answer(
        self, call: wire.Call, body: bytes | None = None
    ) -> wire.Frame:
        """Builds the answer to a call; a body of some 180 bytes by default."""
        rng = self._rng
        if body is None:
            body = (
                f'{{"id":{rng.randrange(10**6)},"state":"open","agent":'
                f'"a-{rng.randrange(10**4)}","steps":[{rng.randrange(99)},'
                f'{rng.randrange(99)}],"updated":"2026-12-07T01:'
                f'{rng.randrange(60):02d}:{rng.randrange(60):02d}Z","text":'
                f'"{" ".join(rng.choices(_WORDS, k=8))}"}}'
            ).encode()
        headers = [
            *("Content-Type", "application/json"),
            *("Trace-Number", call.context.request_id.decode()),
            *("X-Instance-Id", "i-7f3a"),
            *("Response-Fingerprint", rng.randbytes(_DIGEST_BYTES).hex()),
        ]
        answer = wire.Answer(
            attempt_id=call.attempt_id,
            status=rng.choice(_STATUS_BY_BODY),
            headers=headers,
            body=body,
            retries_used=0,
            threshold=rng.choice((0, 0, 12, 140)),
            queue_ms=rng.randrange(40),
            in_flight=rng.randrange(41),
            chain_threshold=rng.choice((None, 9)),
        )
        return wire.Frame(answer=answer)
