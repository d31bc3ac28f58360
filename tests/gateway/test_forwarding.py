"""Endpoints that misbehave, and what their callers get."""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    Seen,
    answer,
    chunk,
    event,
    stream_head,
    whole,
)

from apricotcart.desired.records import RouteKind
from apricotcart.gateway.connections import ConnectionPool
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    BusyError,
    CallerLeftError,
    SilentEndpointError,
)
from apricotcart.gateway.retry_policy import RepeatPolicy
from apricotcart.web.response import WebResponse

# The caller leaves after 0.2 s; half a second later the work must have ended.
_LEFT_MAX_S = 0.7


def _body(response: WebResponse) -> bytes:
    return b''.join(response.chunks)


def _cut(conn: socket.socket, seen: Seen) -> bool:
    conn.sendall(answer(seen, b'half', length='400'))
    return False


def _gone(conn: socket.socket, seen: Seen) -> bool:
    return False


def _hang(conn: socket.socket, seen: Seen) -> bool:
    return bool(conn.recv(1))


def _refuse(conn: socket.socket, seen: Seen) -> bool:
    conn.sendall(
        answer(seen, b'', '503 Service Unavailable', Not_Executed='1'),
    )
    return True


def test_answer_passes_request_and_answer_unchanged(bench: Bench) -> None:
    endpoint = bench.serve(whole(body=b'\x00bytes', X_Note='n'))[0]
    response = bench.forwarder.answer(bench.call())
    assert response.status == 200
    assert ('Server-Stamp', 's') in response.headers
    assert ('X-Note', 'n') in response.headers
    assert _body(response) == b'\x00bytes'
    seen = endpoint.seen[0]
    assert seen.head.startswith(b'POST /a/b?c=%2F HTTP/1.1\r\n')
    assert seen.body == b'payload'
    assert seen.header('expect-instance') == 'i-0'
    assert not bench.running()


def test_answer_keeps_connection(bench: Bench) -> None:
    endpoint = bench.serve(whole())[0]
    for _ in range(5):
        _body(bench.forwarder.answer(bench.call()))
    assert len(endpoint.seen) == 5
    assert not endpoint.closed_at


def test_answer_extra_answer_belongs_to_nobody(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        conn.sendall(answer(seen, b'own') + answer(seen, b'extra'))
        return True

    bench.serve(script)
    for _ in range(4):
        assert _body(bench.forwarder.answer(bench.call())) == b'own'


def test_answer_late_answer_of_another_request_is_skipped(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        late = answer(seen, b'of another', attempt_id='other')
        conn.sendall(late + answer(seen, b'own'))
        return True

    bench.serve(script)
    assert _body(bench.forwarder.answer(bench.call())) == b'own'


def test_answer_cut_is_not_whole_and_not_repeated(bench: Bench) -> None:
    endpoints = bench.serve(_cut, _cut)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call())
    assert sum(len(each.seen) for each in endpoints) == 1
    assert bench.usage.counts()
    assert not bench.running()


def test_answer_cut_idempotent_goes_to_another(bench: Bench) -> None:
    first: list[str] = []

    def script(conn: socket.socket, seen: Seen) -> bool:
        first.append(seen.attempt_id)
        if len(first) == 1:
            return _cut(conn, seen)
        conn.sendall(answer(seen))
        return True

    bench.serve(script, script)
    response = bench.forwarder.answer(bench.call(RouteKind.IDEMPOTENT))
    assert _body(response) == b'ok'


def test_answer_without_length_ends_with_connection(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {seen.attempt_id}\r\n'
        conn.sendall(head.encode() + b'Server-Stamp: s\r\n\r\nrest')
        return False

    bench.serve(script)
    assert _body(bench.forwarder.answer(bench.call())) == b'rest'


def test_answer_no_http_is_broken(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        conn.sendall(b'\x16\x03\x01 no http\r\n\r\n')
        return False

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call())


def test_answer_encoded_body_is_not_the_endpoints(bench: Bench) -> None:
    bench.serve(whole(Content_Encoding='gzip'))
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call())


@pytest.mark.parametrize(
    'status',
    ['503 Busy', '429 Busy', '408 Late', '421 Wrong'],
)
def test_answer_promise_of_endpoint_is_not_passed_on(
    bench: Bench,
    status: str,
) -> None:
    """Guards against a refusal that says not run for what may have run."""
    bench.serve(whole(status=status))
    with pytest.raises(BrokenEndpointError) as caught:
        bench.forwarder.answer(bench.call())
    assert caught.value.http_status == 502


def test_answer_not_run_goes_to_another_endpoint(bench: Bench) -> None:
    refused: list[Seen] = []

    def script(conn: socket.socket, seen: Seen) -> bool:
        if not refused:
            refused.append(seen)
            return _refuse(conn, seen)
        conn.sendall(answer(seen))
        return True

    bench.serve(script, script)
    assert _body(bench.forwarder.answer(bench.call())) == b'ok'
    assert len(refused) == 1


def test_answer_all_refuse_says_not_run(bench: Bench) -> None:
    bench.serve(_refuse, _refuse)
    with pytest.raises(BusyError) as caught:
        bench.forwarder.answer(bench.call())
    assert caught.value.run_state == 'not_run'
    assert caught.value.retry_after_s
    assert not bench.usage.counts()


def test_answer_refused_after_a_run_does_not_say_not_run(
    bench: Bench,
) -> None:
    order: list[str] = []

    def script(conn: socket.socket, seen: Seen) -> bool:
        order.append(seen.attempt_id)
        return _gone(conn, seen) if len(order) == 1 else _refuse(conn, seen)

    bench.serve(script, script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call(RouteKind.IDEMPOTENT))
    assert len(order) == 2


def test_answer_failure_of_endpoint_is_repeated_once(bench: Bench) -> None:
    order: list[str] = []

    def script(conn: socket.socket, seen: Seen) -> bool:
        order.append(seen.attempt_id)
        status = '500 Failed' if len(order) == 1 else '200 OK'
        conn.sendall(answer(seen, status=status))
        return True

    bench.serve(script, script)
    assert bench.forwarder.answer(bench.call(RouteKind.IDEMPOTENT)).status == (
        200
    )
    order.clear()
    assert bench.forwarder.answer(bench.call()).status == 500


def test_answer_unreachable_endpoint_is_not_run(bench: Bench) -> None:
    endpoint = bench.serve(whole())[0]
    endpoint.close()
    with pytest.raises(BusyError):
        bench.forwarder.answer(bench.call(wait_s=1))


def test_answer_silent_endpoint_ends_at_deadline(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        time.sleep(2)
        return False

    bench.serve(script)
    started = time.monotonic()
    with pytest.raises(SilentEndpointError):
        bench.forwarder.answer(bench.call(wait_s=0.4))
    assert time.monotonic() - started < 1


def test_caller_that_leaves_frees_its_endpoint(bench: Bench) -> None:
    endpoint = bench.serve(_hang)[0]
    call = bench.call(wait_s=4)
    threading.Timer(0.2, call.on_left).start()
    started = time.monotonic()
    with pytest.raises(CallerLeftError):
        bench.forwarder.answer(call)
    deadline = time.monotonic() + 1
    while not endpoint.closed_at and time.monotonic() < deadline:
        time.sleep(0.01)
    assert endpoint.closed_at[0] < started + _LEFT_MAX_S
    assert not bench.running()


def _stream(conn: socket.socket, seen: Seen, numbers: range) -> None:
    conn.sendall(stream_head(seen))
    for number in numbers:
        conn.sendall(chunk(event(number)))


def test_stream_gives_whole_events(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        _stream(conn, seen, range(1, 4))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(script)
    response = bench.forwarder.answer(bench.call(RouteKind.STREAM))
    assert _body(response) == b''.join(event(n) for n in range(1, 4))
    assert not bench.running()


def test_stream_cut_is_resumed_without_gap_or_repeat(bench: Bench) -> None:
    resumed: list[str] = []

    def script(conn: socket.socket, seen: Seen) -> bool:
        last = seen.header('last-event-id')
        resumed.append(last)
        if not last:
            _stream(conn, seen, range(1, 4))
            conn.sendall(chunk(event(4)[:7]))
            return False
        _stream(conn, seen, range(int(last) + 1, 7))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(script, script)
    call = bench.call(RouteKind.STREAM, resumable=True)
    response = bench.forwarder.answer(call)
    assert _body(response) == b''.join(event(n) for n in range(1, 7))
    assert resumed == ['', '3']
    assert not bench.running()


def test_stream_cut_without_resume_breaks_off(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        _stream(conn, seen, range(1, 3))
        return False

    endpoints = bench.serve(script, script)
    response = bench.forwarder.answer(bench.call(RouteKind.STREAM))
    given_out: list[bytes] = []
    with pytest.raises(BrokenEndpointError):
        given_out.extend(response.chunks)
    assert b''.join(given_out) == event(1) + event(2)
    assert sum(len(each.seen) for each in endpoints) == 1
    assert not bench.running()


def test_stream_closed_before_it_is_read_frees_its_place(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        _stream(conn, seen, range(1, 3))
        conn.recv(1)
        return False

    bench.serve(script)
    response = bench.forwarder.answer(bench.call(RouteKind.STREAM))
    response.chunks.close()  # type: ignore[attr-defined]
    assert not bench.running()


@pytest.mark.parametrize('kept', range(12, 80, 4))
def test_answer_cut_in_its_head_is_not_whole(bench: Bench, kept: int) -> None:
    """Guards against a cut head that reads as an answer without a length.

    Seen on the day hostile-answers: a success without a receipt.
    """

    def script(conn: socket.socket, seen: Seen) -> bool:
        whole_answer = answer(seen, b'body')
        head = whole_answer[: whole_answer.index(b'\r\n\r\n') + 2]
        conn.sendall(head[:kept])
        return False

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call())


def test_answer_without_receipt_is_not_passed_on(bench: Bench) -> None:
    def script(conn: socket.socket, seen: Seen) -> bool:
        conn.sendall(answer(seen).replace(b'Server-Stamp', b'X-Stamp'))
        return True

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.answer(bench.call())


def test_answer_unreachable_endpoints_use_no_budget(bench: Bench) -> None:
    """A connection that was refused put no load on any endpoint.

    Seen on the day platform-gone: while the list was stale, endpoints that
    were gone used up the budget, and requests were refused beside others.
    """
    endpoints = bench.serve(whole(), whole(), whole())
    for endpoint in endpoints[:2]:
        endpoint.close()
    bench.sender.policy = RepeatPolicy(0, 0)
    for _ in range(6):
        assert _body(bench.forwarder.answer(bench.call())) == b'ok'


def test_endpoint_that_drains_while_it_is_connected_gets_nothing(
    bench: Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slow connection to an endpoint that leaves.

    Seen on csft-sealdesk, hunt-6bed-27: a request reached an endpoint 3.5 s
    after it was listed as draining, and one second after it was placed.
    """
    endpoints = bench.serve(whole(), whole())
    taken: list[str] = []
    take = ConnectionPool.take

    def take_slowly(pool: ConnectionPool, address: str) -> Any:
        conn = take(pool, address)
        if not taken:
            bench.drain(address)
        taken.append(address)
        return conn

    monkeypatch.setattr(ConnectionPool, 'take', take_slowly)
    assert _body(bench.forwarder.answer(bench.call())) == b'ok'
    first = next(each for each in endpoints if each.address == taken[0])
    assert not first.seen
    assert len(taken) == 2
