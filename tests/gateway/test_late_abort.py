"""Guards against an abort that comes when the connection has a new user."""

from __future__ import annotations

import socket
import threading
import time
from http import HTTPStatus
from typing import Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, response_bytes

from apricotcart.gateway.exchanges.connections import EndpointConnection

_RESPONSE_S: Final = 0.3
_WAIT_S: Final = 1.0


class HeldAbort:
    """Holds the first abort up between its decision and its effect."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.has_begun = threading.Event()
        self.may_go_on = threading.Event()
        self._abort = EndpointConnection.abort
        monkeypatch.setattr(
            EndpointConnection, 'abort', lambda conn: self.run(conn)
        )

    def run(self, conn: EndpointConnection) -> None:
        self.has_begun.set()
        self.may_go_on.wait(_WAIT_S)
        self._abort(conn)


def _respond_slowly(conn: socket.socket, request: ReceivedRequest) -> bool:
    time.sleep(_RESPONSE_S)
    conn.sendall(response_bytes(request))
    return True


def test_late_abort_does_not_break_the_next_request(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that is cut for the end of another caller.

    The caller of the first one leaves while its response is complete and its
    connection goes back to the pool.
    """
    bench.serve(_respond_slowly)
    held = HeldAbort(monkeypatch)
    first = bench.call()
    exchange = bench.sender.acquire(first)
    bench.sender.send(exchange)
    exchange.body()
    leaving = threading.Thread(target=first.on_caller_gone)
    leaving.start()
    assert held.has_begun.wait(_WAIT_S)
    bench.sender.complete(first, exchange)
    threading.Timer(_RESPONSE_S / 2, held.may_go_on.set).start()
    response = bench.forwarder.forward(bench.call())
    leaving.join()
    assert response.status == HTTPStatus.OK
