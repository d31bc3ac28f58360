"""Guards against calls that end when another one on their connection does."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.api import RequestHandler, WireMessage
from apricotcart.transport.redialing import RedialingClients
from apricotcart.transport.requests import NngRequestServer

_SEALER = Sealer(b'secret')
_SHORT_TIMEOUT_S = 0.2
_TIMEOUT_S = 5


class SlowHandler(RequestHandler):
    """Answers each request once the test allows it."""

    def __init__(self) -> None:
        self.allowed = threading.Event()

    def answer(self, message: WireMessage) -> WireMessage:
        self.allowed.wait(_TIMEOUT_S)
        return message


def test_call_goes_on_after_another_one_has_timed_out(
    unused_tcp_port: int,
) -> None:
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    handler = SlowHandler()
    server = NngRequestServer(address, handler, _SEALER, 2).start()
    clients = RedialingClients(_SEALER)
    with ThreadPoolExecutor(1) as pool:
        patient = pool.submit(clients.call, address, {'n': 1}, _TIMEOUT_S)
        with pytest.raises(UnavailableError):
            clients.call(address, {'n': 2}, _SHORT_TIMEOUT_S)
        handler.allowed.set()
        assert patient.result() == {'n': 1}
    clients.close()
    server.close()


def test_connection_without_calls_is_closed_after_a_timeout(
    unused_tcp_port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that are kept for ever."""
    closed: list[Any] = []
    monkeypatch.setattr(
        'apricotcart.transport.redialing.NngRequestClient',
        lambda *_: _FailingClient(closed),
    )
    clients = RedialingClients(_SEALER)
    for count in (1, 2):
        with pytest.raises(UnavailableError):
            clients.call('tcp://127.0.0.1:1', {}, _SHORT_TIMEOUT_S)
        assert len(closed) == count


class _FailingClient:
    def __init__(self, closed: list[Any]) -> None:
        self._closed = closed

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        raise UnavailableError('timed out')

    def close(self) -> None:
        self._closed.append(self)
