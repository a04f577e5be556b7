"""Tests a client of an upstream that answers a request twice.

The second answer arrives late, whole or in part, before or after the next
request was sent. Each request must get only its own complete answer or a
failure, never the answer of another request or parts of two.
"""

import random
from typing import Any

import pytest

from radishtray_transport import HttpResponse, RequestFailure, ResponseFault
from radishtray_transport.tests.answer_builders import (
    ClientServerPair,
    build_response,
)

_STEP_S = 0.02
_SEED = 20261204
_RANDOM_SEQUENCES = 400


def signed(request_id: str, label: str, **options: Any) -> bytes:
    """Returns an answer with a signature and a body that name it."""
    headers = b"X-Signature: %s\r\n" % label.encode()
    headers += options.pop("extra_headers", b"")
    body = b"body of %s" % label.encode()
    return build_response(request_id, body, headers, **options)


def summary(result: HttpResponse | RequestFailure) -> Any:
    """Returns status, signature and body of a response, or the failure."""
    if isinstance(result, RequestFailure):
        return result
    return result.status, result.header("X-Signature"), result.body


OWN_ANSWERS = [(200, f"own-{i}", b"body of own-%d" % i) for i in range(9)]
FAILED = b"500 Failed"
NOT_RUN = b"X-Not-Run: 1\r\n"

# Name: bytes that the upstream sends after its answer to request `1`.
SECOND_ANSWERS = {
    "success": signed("1", "late"),
    "failure": signed("1", "late", status=FAILED),
    "chunks": signed("1", "late", framing="chunks"),
    "no_length": signed("1", "late", framing="none"),
    "connection_close": signed(
        "1", "late", extra_headers=b"Connection: close\r\n"
    ),
    "interim_first": b"HTTP/1.1 100 Go\r\n\r\n" + signed("1", "late"),
    "three_in_a_row": signed("1", "late") * 3,
    "success_then_failure": signed("1", "late")
    + signed("1", "late", status=FAILED),
    "no_id": signed(None, "late"),
    "no_id_failure": signed(None, "late", status=FAILED),
    "no_id_empty_failure": build_response(None, b"", status=FAILED),
    "no_id_not_run": build_response(None, b"", NOT_RUN, b"503 Busy"),
    "no_id_not_run_with_body": signed(
        None, "late", extra_headers=NOT_RUN, status=b"503 Busy"
    ),
    "no_id_chunks": signed(None, "late", framing="chunks"),
    "no_id_no_length": signed(None, "late", framing="none"),
    "no_id_in_three": signed("1", "late")
    + signed(None, "late")
    + signed("1", "late"),
    "empty_id": signed("", "late"),
    "two_ids": signed("1", "late", extra_headers=b"X-Id: 2\r\n"),
    "id_as_trailer": signed(None, "late", framing="chunks")[:-2]
    + b"X-Id: 2\r\n\r\n",
    "only_bytes": b"no answer at all\r\n\r\n",
    "empty_lines": b"\r\n\r\n",
}


class AnsweringTwice:
    """Three requests, of which the upstream answers the first one twice."""

    def __init__(self) -> None:
        """Creates the client and the upstream."""
        self.pair = ClientServerPair()
        self._first_transport: Any = None

    def run(
        self,
        with_first: bytes,
        while_idle: bytes,
        with_second: list[bytes],
        closes: bool = False,
        second_id: str = "2",
    ) -> list[Any]:
        """Returns the results of the requests.

        The second and third request get their own answers if they open a new
        connection.

        Args:
            with_first: Bytes right after the first answer.
            while_idle: Bytes after the first answer was processed.
            with_second: Bytes after the second request, one read each; the
                last of them include its answer.
            closes: Whether the upstream then closes the connection.
            second_id: Id of the second request.
        """
        pair = self.pair

        def answer_first(transport: Any) -> None:
            self._first_transport = transport
            transport.write(signed("1", "own-1") + with_first)
            pair.network.callLater(_STEP_S, transport.write, while_idle)

        def answer_second(transport: Any) -> None:
            if transport is not self._first_transport:
                transport.write(signed(second_id, "own-2"))
                return
            for number, part in enumerate(with_second):
                pair.network.callLater(number * _STEP_S, transport.write, part)
            if closes:
                end_s = len(with_second) * _STEP_S
                pair.network.callLater(end_s, transport.loseConnection)

        def answer_third(transport: Any) -> None:
            transport.write(signed("3", "own-3"))

        pair.send("1", answer_first, 3 * _STEP_S)
        second = pair.send(second_id, answer_second, 10 * _STEP_S)
        if not second.is_settled:
            second.cancel()
        third = pair.send("3", answer_third, 4 * _STEP_S)
        if not third.is_settled:
            third.cancel()
        return [summary(result) for result in pair.responses]


def is_own_or_failed(number: int, result: Any) -> bool:
    """Returns whether a request got its own answer or none of another."""
    return (
        isinstance(result, RequestFailure)
        or result == OWN_ANSWERS[number]
        or result == (503, None, b"")
    )


def check(results: list[Any], context: Any) -> None:
    """Checks that each of three requests is settled with its own answer."""
    assert len(results) == 3, (context, results)
    for number, result in enumerate(results, 1):
        assert is_own_or_failed(number, result), (context, number, result)
    assert results[0] == OWN_ANSWERS[1], (context, results)
    assert results[2] == OWN_ANSWERS[3], (context, results)


@pytest.mark.parametrize("closes", [False, True], ids=["keeps", "closes"])
@pytest.mark.parametrize("name", SECOND_ANSWERS)
def test_second_answer_split_at_each_position(name: str, closes: bool) -> None:
    late, own = SECOND_ANSWERS[name], signed("2", "own-2")
    stream = late + own
    for cut in range(len(late) + 1):
        head, tail = late[:cut], late[cut:]
        check(
            AnsweringTwice().run(head, b"", [tail + own], closes),
            ("with the first answer", cut),
        )
        check(
            AnsweringTwice().run(b"", head, [tail + own], closes),
            ("while idle", cut),
        )
    for cut in range(len(stream) + 1):
        parts = [stream[:cut], stream[cut:]]
        check(
            AnsweringTwice().run(b"", b"", parts, closes),
            ("after the second request", cut),
        )


@pytest.mark.parametrize("closes", [False, True], ids=["keeps", "closes"])
@pytest.mark.parametrize("name", SECOND_ANSWERS)
def test_second_answer_cut_off_at_each_position(
    name: str, closes: bool
) -> None:
    late = SECOND_ANSWERS[name]
    for own in (
        signed("2", "own-2"),
        signed("2", "own-2", framing="chunks"),
        signed("2", "own-2", framing="none"),
    ):
        for cut in range(len(late)):
            for parts in ([late[:cut] + own], [late[:cut], own]):
                check(AnsweringTwice().run(b"", b"", parts, closes), cut)


# Name: body of an answer to request `2`.
BODIES_WITH_HTTP = {
    "status_line": b"HTTP/1.1 200 OK\r\nDate: now\r\n\r\nX-Id: 1\r\n",
    "request": b"GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n",
    "id_above": b"X-Id: 1\r\nHTTP/1.1 200 OK\r\n\r\n",
    "response": build_response("1", b"quoted"),
}


@pytest.mark.parametrize("name", BODIES_WITH_HTTP)
def test_body_may_quote_http(name: str) -> None:
    body = BODIES_WITH_HTTP[name]
    pair = ClientServerPair()
    for framing in ("length", "chunks"):
        answer = build_response("2", body, framing=framing)
        pair.send("2", lambda transport, a=answer: transport.write(a))
    assert pair.results == [body, body]


def test_second_answer_is_not_taken_for_a_repeat_of_the_request() -> None:
    late = signed("1", "late", status=FAILED)
    for cut in range(len(late) + 1):
        parts = [late[:cut], late[cut:] + signed("1", "own-2")]
        check(AnsweringTwice().run(b"", b"", parts, second_id="1"), cut)


def test_queued_repeat_is_sent_on_another_connection() -> None:
    pair = ClientServerPair(max_connections=1)
    late = signed("1", "late", status=FAILED)
    transports: list[Any] = []

    def answer(transport: Any) -> None:
        transports.append(transport)
        data = signed("1", f"own-{len(transports)}")
        pair.network.callLater(_STEP_S, transport.write, data)
        pair.network.callLater(2 * _STEP_S, transport.write, late)

    pair.send("1", answer, 0)
    pair.send("1", answer, 10 * _STEP_S)
    assert [summary(response) for response in pair.responses] == OWN_ANSWERS[
        1:3
    ]
    assert transports[0] is not transports[1]


@pytest.mark.parametrize("max_connections", [1, 3])
def test_a_repeat_does_not_wait_for_connections_that_sent_its_id(
    max_connections: int,
) -> None:
    pair = ClientServerPair(max_connections)
    answer = signed("1", "own-1")
    for _ in range(2 * max_connections + 1):
        pair.send("1", lambda transport: transport.write(answer))
    assert [summary(response) for response in pair.responses] == OWN_ANSWERS[
        1:2
    ] * (2 * max_connections + 1)


def test_random_sequences_of_second_answers() -> None:
    rng = random.Random(_SEED)
    for number in range(_RANDOM_SEQUENCES):
        late = b""
        for _ in range(rng.randint(1, 3)):
            answer = SECOND_ANSWERS[rng.choice(sorted(SECOND_ANSWERS))]
            late += answer[: rng.choice((len(answer), rng.randrange(99)))]
        stream = late + signed("2", "own-2")
        cuts = sorted(rng.choices(range(len(stream) + 1), k=3))
        first, idle, *rest = cuts
        parts = [stream[idle : rest[0]], stream[rest[0] :]]
        with_first, while_idle = (
            (stream[:first], stream[first:idle])
            if rng.random() < 0.2
            else (b"", b"")
        )
        if not with_first and not while_idle:
            parts = [stream[: rest[0]], stream[rest[0] :]]
        check(
            AnsweringTwice().run(
                with_first, while_idle, parts, rng.random() < 0.5
            ),
            (number, stream),
        )


def test_trailers_are_not_reported_as_headers() -> None:
    answer = signed("2", "own-2", framing="chunks")[:-2]
    answer += b"X-Signature: late\r\nX-Other: 1\r\n\r\n"
    pair = ClientServerPair()
    pair.send("2", lambda transport: transport.write(answer))
    response = pair.responses[0]
    assert isinstance(response, HttpResponse)
    assert response.headers == ["X-Id", "2", "X-Signature", "own-2"]


# Name: bytes of an answer to request `2` that states no id, result.
UNIDENTIFIED_ANSWERS = {
    "success": (signed(None, "x"), RequestFailure.INVALID_ANSWER),
    "empty_success": (
        build_response(None, b""),
        RequestFailure.INVALID_ANSWER,
    ),
    "no_content": (
        b"HTTP/1.1 204 No\r\n\r\n",
        RequestFailure.INVALID_ANSWER,
    ),
    "failure": (
        build_response(None, b"", status=FAILED),
        RequestFailure.INVALID_ANSWER,
    ),
    "not_found": (
        build_response(None, b"", status=b"404 No"),
        RequestFailure.INVALID_ANSWER,
    ),
    "misdirected": (
        build_response(None, b"", NOT_RUN, b"421 Other"),
        RequestFailure.INVALID_ANSWER,
    ),
    "busy": (build_response(None, b"", NOT_RUN, b"503 Busy"), (503, None, b"")),
    "busy_with_body": (
        build_response(None, b"x", NOT_RUN, b"503 Busy"),
        RequestFailure.INVALID_ANSWER,
    ),
    "busy_in_chunks": (
        build_response(None, b"x", b"", b"503 Busy", "chunks"),
        RequestFailure.INVALID_ANSWER,
    ),
    "busy_without_length": (
        build_response(None, b"x", b"", b"503 Busy", "none"),
        RequestFailure.INVALID_ANSWER,
    ),
}


@pytest.mark.parametrize("name", UNIDENTIFIED_ANSWERS)
def test_answer_without_id_carries_nothing_to_the_caller(name: str) -> None:
    data, expected = UNIDENTIFIED_ANSWERS[name]
    pair = ClientServerPair()
    pair.send("2", lambda transport: transport.write(data))
    pair.send("3", lambda transport: transport.write(signed("3", "own-3")))
    assert [summary(result) for result in pair.responses] == [
        expected,
        OWN_ANSWERS[3],
    ]
    response = pair.responses[0]
    assert isinstance(response, RequestFailure) or not response.headers
    assert pair.faults == [ResponseFault.NO_REQUEST_ID]
    assert pair.factory.opened_connections == 2


def test_cancelling_an_ended_request_keeps_the_next_one() -> None:
    pair = ClientServerPair()
    own = signed("2", "own-2")
    first = pair.send("1", lambda transport: transport.write(signed("1", "x")))
    pair.send(
        "2",
        lambda transport: pair.network.callLater(0.1, transport.write, own),
        0.05,
    )
    first.cancel()
    pair.network.run(0.2)
    assert summary(pair.responses[-1]) == OWN_ANSWERS[2]
    assert pair.factory.opened_connections == 1
