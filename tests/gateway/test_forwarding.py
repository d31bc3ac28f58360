"""Guards against wrong responses and repeated runs when endpoints fail."""

from __future__ import annotations

import logging
import socket
import threading
import time
from typing import Any

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    chunk,
    event,
    respond_with,
    response_bytes,
    stream_head,
)

from apricotcart.desired.records import RouteKind
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    BusyError,
    CallerLeftError,
    SilentEndpointError,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.web.response import WebResponse

# The caller disconnects after 0.2 s; the work must end within 0.5 s of that.
_DISCONNECT_MAX_S = 0.7


def _body(response: WebResponse) -> bytes:
    return b''.join(response.chunks)


def _truncate(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(response_bytes(request, b'half', length='400'))
    return False


def _disconnect(conn: socket.socket, request: ReceivedRequest) -> bool:
    return False


def _hang(conn: socket.socket, request: ReceivedRequest) -> bool:
    return bool(conn.recv(1))


def _refuse(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(
        response_bytes(
            request, b'', '503 Service Unavailable', Not_Executed='1'
        ),
    )
    return True


def test_forward_passes_request_and_response_unchanged(bench: Bench) -> None:
    endpoint = bench.serve(respond_with(body=b'\x00bytes', X_Note='n'))[0]
    response = bench.forwarder.forward(bench.call())
    assert response.status == 200
    assert ('Server-Stamp', 's') in response.headers
    assert ('X-Note', 'n') in response.headers
    assert _body(response) == b'\x00bytes'
    request = endpoint.received[0]
    assert request.head.startswith(b'POST /a/b?c=%2F HTTP/1.1\r\n')
    assert request.body == b'payload'
    assert request.header('expect-instance') == 'i-0'
    assert not bench.running()


def test_forward_reuses_connection(bench: Bench) -> None:
    endpoint = bench.serve(respond_with())[0]
    for _ in range(5):
        _body(bench.forwarder.forward(bench.call()))
    assert len(endpoint.received) == 5
    assert not endpoint.closed_at


def test_forward_discards_unsolicited_response(bench: Bench) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(
            response_bytes(request, b'own') + response_bytes(request, b'extra')
        )
        return True

    bench.serve(script)
    for _ in range(4):
        assert _body(bench.forwarder.forward(bench.call())) == b'own'


def test_forward_skips_late_response_to_another_request(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        late_response = response_bytes(
            request, b'of another', attempt_id='other'
        )
        conn.sendall(late_response + response_bytes(request, b'own'))
        return True

    bench.serve(script)
    assert _body(bench.forwarder.forward(bench.call())) == b'own'


def test_forward_truncated_response_is_not_retried(bench: Bench) -> None:
    endpoints = bench.serve(_truncate, _truncate)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call())
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1
    assert bench.usage.counts()
    assert not bench.running()


def test_forward_truncated_idempotent_is_retried(bench: Bench) -> None:
    attempts: list[str] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        attempts.append(request.attempt_id)
        if len(attempts) == 1:
            return _truncate(conn, request)
        conn.sendall(response_bytes(request))
        return True

    bench.serve(script, script)
    response = bench.forwarder.forward(bench.call(RouteKind.IDEMPOTENT))
    assert _body(response) == b'ok'


def test_forward_response_without_length_ends_with_connection(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        head = f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
        conn.sendall(head.encode() + b'Server-Stamp: s\r\n\r\nrest')
        return False

    bench.serve(script)
    assert _body(bench.forwarder.forward(bench.call())) == b'rest'


def test_forward_invalid_http_is_broken(bench: Bench) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(b'\x16\x03\x01 no http\r\n\r\n')
        return False

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call())


def test_forward_rejects_encoded_body(bench: Bench) -> None:
    bench.serve(respond_with(Content_Encoding='gzip'))
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call())


@pytest.mark.parametrize(
    'status',
    ['503 Busy', '429 Busy', '408 Late', '421 Wrong'],
)
def test_forward_does_not_pass_on_not_run_status(
    bench: Bench,
    status: str,
) -> None:
    """Guards against reporting "not run" for a request that may have run."""
    bench.serve(respond_with(status=status))
    with pytest.raises(BrokenEndpointError) as caught:
        bench.forwarder.forward(bench.call())
    assert caught.value.http_status == 502


def test_forward_not_run_is_retried_at_another_endpoint(bench: Bench) -> None:
    refused: list[ReceivedRequest] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if not refused:
            refused.append(request)
            return _refuse(conn, request)
        conn.sendall(response_bytes(request))
        return True

    bench.serve(script, script)
    assert _body(bench.forwarder.forward(bench.call())) == b'ok'
    assert len(refused) == 1


def test_forward_all_refuse_reports_not_run(bench: Bench) -> None:
    bench.serve(_refuse, _refuse)
    with pytest.raises(BusyError) as caught:
        bench.forwarder.forward(bench.call())
    assert caught.value.run_state == 'not_run'
    assert caught.value.retry_after_s
    assert not bench.usage.counts()


def test_forward_refusal_after_a_run_does_not_report_not_run(
    bench: Bench,
) -> None:
    attempts: list[str] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        attempts.append(request.attempt_id)
        return (
            _disconnect(conn, request)
            if len(attempts) == 1
            else _refuse(conn, request)
        )

    bench.serve(script, script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call(RouteKind.IDEMPOTENT))
    assert len(attempts) == 2


def test_forward_server_error_is_retried_once(bench: Bench) -> None:
    attempts: list[str] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        attempts.append(request.attempt_id)
        status = '500 Failed' if len(attempts) == 1 else '200 OK'
        conn.sendall(response_bytes(request, status=status))
        return True

    bench.serve(script, script)
    assert bench.forwarder.forward(bench.call(RouteKind.IDEMPOTENT)).status == (
        200
    )
    attempts.clear()
    assert bench.forwarder.forward(bench.call()).status == 500


def test_forward_unreachable_endpoint_reports_not_run(bench: Bench) -> None:
    endpoint = bench.serve(respond_with())[0]
    endpoint.close()
    with pytest.raises(BusyError):
        bench.forwarder.forward(bench.call(wait_s=1))


def test_forward_silent_endpoint_ends_at_deadline(bench: Bench) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(2)
        return False

    bench.serve(script)
    started = time.monotonic()
    with pytest.raises(SilentEndpointError):
        bench.forwarder.forward(bench.call(wait_s=0.4))
    assert time.monotonic() - started < 1


def test_disconnected_caller_releases_its_endpoint(bench: Bench) -> None:
    endpoint = bench.serve(_hang)[0]
    call = bench.call(wait_s=4)
    threading.Timer(0.2, call.on_caller_gone).start()
    started = time.monotonic()
    with pytest.raises(CallerLeftError):
        bench.forwarder.forward(call)
    deadline = time.monotonic() + 1
    while not endpoint.closed_at and time.monotonic() < deadline:
        time.sleep(0.01)
    assert endpoint.closed_at[0] < started + _DISCONNECT_MAX_S
    assert not bench.running()


def _stream(
    conn: socket.socket, request: ReceivedRequest, numbers: range
) -> None:
    conn.sendall(stream_head(request))
    for number in numbers:
        conn.sendall(chunk(event(number)))


def test_stream_yields_complete_events(bench: Bench) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        _stream(conn, request, range(1, 4))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(script)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    assert _body(response) == b''.join(event(n) for n in range(1, 4))
    assert not bench.running()


def test_truncated_stream_is_resumed_without_gap_or_repeat(
    bench: Bench,
) -> None:
    resumed: list[str] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        last = request.header('last-event-id')
        resumed.append(last)
        if not last:
            _stream(conn, request, range(1, 4))
            conn.sendall(chunk(event(4)[:7]))
            return False
        _stream(conn, request, range(int(last) + 1, 7))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(script, script)
    call = bench.call(RouteKind.STREAM, resumable=True)
    response = bench.forwarder.forward(call)
    assert _body(response) == b''.join(event(n) for n in range(1, 7))
    assert resumed == ['', '3']
    assert not bench.running()


def test_truncated_stream_that_is_not_resumable_is_aborted(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        _stream(conn, request, range(1, 3))
        return False

    endpoints = bench.serve(script, script)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    received: list[bytes] = []
    with pytest.raises(BrokenEndpointError):
        received.extend(response.chunks)
    assert b''.join(received) == event(1) + event(2)
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1
    assert not bench.running()


def test_stream_closed_before_it_is_read_releases_its_slot(
    bench: Bench,
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        _stream(conn, request, range(1, 3))
        conn.recv(1)
        return False

    bench.serve(script)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    response.chunks.close()  # type: ignore[attr-defined]
    assert not bench.running()


@pytest.mark.parametrize('sent_bytes', range(12, 80, 4))
def test_forward_rejects_truncated_headers(
    bench: Bench, sent_bytes: int
) -> None:
    """Guards against accepting truncated headers.

    They were parsed as a response without a length. Seen on the day
    hostile-answers: a success without the stamp header of the endpoint.
    """

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        complete_response = response_bytes(request, b'body')
        head = complete_response[: complete_response.index(b'\r\n\r\n') + 2]
        conn.sendall(head[:sent_bytes])
        return False

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call())


def test_forward_rejects_response_without_stamp(bench: Bench) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(
            response_bytes(request).replace(b'Server-Stamp', b'X-Stamp')
        )
        return True

    bench.serve(script)
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call())


def test_forward_unreachable_endpoints_use_no_budget(bench: Bench) -> None:
    """Guards against charging refused connections to the retry budget.

    Seen on the day platform-gone: while the endpoint list was stale, failed
    connections to stopped endpoints exhausted the budget, and requests were
    refused although other endpoints had capacity.
    """
    endpoints = bench.serve(respond_with(), respond_with(), respond_with())
    for endpoint in endpoints[:2]:
        endpoint.close()
    bench.upstream.retry_policy = RetryPolicy(0, 0)
    for _ in range(6):
        assert _body(bench.forwarder.forward(bench.call())) == b'ok'


def test_forward_sends_nothing_to_endpoint_that_starts_to_drain(
    bench: Bench,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending to an endpoint that started to drain.

    The connection can take long enough for that. Seen on csft-sealdesk,
    hunt-6bed-27: a request reached an endpoint 3.5 s after it was listed as
    draining, and one second after it was placed.
    """
    endpoints = bench.serve(respond_with(), respond_with())
    addresses: list[str] = []
    acquire = ConnectionPool.acquire

    def acquire_slowly(pool: ConnectionPool, address: str) -> Any:
        conn = acquire(pool, address)
        if not addresses:
            bench.drain(address)
        addresses.append(address)
        return conn

    monkeypatch.setattr(ConnectionPool, 'acquire', acquire_slowly)
    assert _body(bench.forwarder.forward(bench.call())) == b'ok'
    first_endpoint = next(
        endpoint for endpoint in endpoints if endpoint.address == addresses[0]
    )
    assert not first_endpoint.received
    assert len(addresses) == 2


def test_log_line_of_sending_has_the_fingerprint(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    """Without it, the tries of one request cannot be found together."""
    bench.serve(respond_with())
    calls = [bench.call(), bench.call()]
    with caplog.at_level(logging.INFO):
        for call in calls:
            _body(bench.forwarder.forward(call))
    lines: list[Any] = [
        record
        for record in caplog.records
        if record.getMessage() == 'request_sent'
    ]
    assert len({line.request_id for line in lines}) == 2
    assert {line.fingerprint for line in lines} == {calls[0].fingerprint}


def test_limit_of_an_endpoint_is_logged_when_it_changes(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    """On-call must see what an endpoint has said about itself."""
    endpoint = bench.serve(respond_with(Server_Limit='50'))[0]
    with caplog.at_level(logging.INFO):
        for _ in range(2):
            _body(bench.forwarder.forward(bench.call()))
        endpoint.script = respond_with()
        _body(bench.forwarder.forward(bench.call()))
    lines: list[Any] = [
        record
        for record in caplog.records
        if record.getMessage() == 'endpoint_notice'
    ]
    assert [getattr(line, 'limit_per_s', None) for line in lines] == [50, None]


def test_endpoint_that_answers_with_errors_is_avoided(bench: Bench) -> None:
    """Its status check is good; requests that cannot be repeated are lost."""
    failing, sound = bench.serve(
        respond_with(status='500 Internal Server Error'), respond_with()
    )
    statuses = [bench.forwarder.forward(bench.call()).status for _ in range(30)]
    assert statuses.count(500) <= 3
    assert len(sound.received) >= 27
    outcomes = bench.dispatcher.load_report().outcomes
    assert sum(counts.failures for counts in outcomes.values()) == len(
        failing.received
    )


def test_endpoint_that_is_full_is_not_avoided_for_seconds(
    bench: Bench,
) -> None:
    """All hosts together would move a burst from endpoint to endpoint."""
    bench.serve(_refuse, respond_with())
    for _ in range(4):
        assert bench.forwarder.forward(bench.call()).status == 200
    outcomes = bench.dispatcher.load_report().outcomes
    assert not any(counts.failures for counts in outcomes.values())
