"""Guards against refusals of earlier requests that are taken for new ones."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, response_bytes
from gateway.served_gateway import ServedGateway

_REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n{id}\r\n'
)


@pytest.fixture
def gateway(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway that serves callers on loopback."""
    served = ServedGateway(bench)
    yield served
    served.stop()


def _refusal(attempt_id: str) -> bytes:
    line = f'Attempt-Id: {attempt_id}\r\n' if attempt_id else ''
    return _REFUSAL.replace(b'{id}', line.encode())


class Repeating:
    """Runs every request; repeats a refusal on connections that are kept."""

    def __init__(self, refused_id: str) -> None:
        self.refused_id = refused_id
        self.ran: list[str] = []
        self._kept: set[socket.socket] = set()

    def answer(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        self.ran.append(request.attempt_id)
        repeated = _refusal(self.refused_id) if conn in self._kept else b''
        self._kept.add(conn)
        conn.sendall(repeated + response_bytes(request))
        return True


def test_refusal_without_id_on_a_kept_connection_is_not_believed(
    bench: Bench, gateway: ServedGateway
) -> None:
    endpoint = Repeating('')
    bench.serve(endpoint.answer)
    assert gateway.ask('once').status == 200
    received = gateway.ask('once')
    assert received.status == 502
    assert b'may_have_run' in received.body
    assert len(endpoint.ran) == 2


def test_request_with_a_repeated_refusal_runs_once(
    bench: Bench, gateway: ServedGateway
) -> None:
    """The second endpoint is sound; a retry there would be a second run."""
    endpoints = [Repeating(''), Repeating('')]
    bench.serve(*(endpoint.answer for endpoint in endpoints))
    for _ in range(6):
        gateway.ask('once')
    runs = [name for endpoint in endpoints for name in endpoint.ran]
    assert len(runs) == len(set(runs)) == 6


def test_refusal_of_another_attempt_is_skipped(
    bench: Bench, gateway: ServedGateway
) -> None:
    endpoint = Repeating('other')
    bench.serve(endpoint.answer)
    assert gateway.ask('once').status == 200
    assert gateway.ask('once').status == 200


def test_first_refusal_on_a_connection_needs_no_id(
    bench: Bench, gateway: ServedGateway
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(_refusal(''))
        return True

    bench.serve(script)
    received = gateway.ask('once')
    assert received.status == 503
    assert b'not_run' in received.body


def test_refused_attempt_is_not_sent_to_its_endpoint_again(
    bench: Bench, gateway: ServedGateway
) -> None:
    """Its id could not tell a second response from a repeated refusal."""

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(_refusal(request.attempt_id))
        return True

    endpoints = bench.serve(script, script)
    assert gateway.ask('once').status == 503
    assert [len(endpoint.received) for endpoint in endpoints] == [1, 1]
