"""Guards against requests that fail because another one ends meanwhile."""

from __future__ import annotations

import threading
from http import HTTPStatus
from typing import Any, Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import respond_with

from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    PlacedRequest,
)

_EARLIER: Final = ('earlier-1', 'earlier-2')
_WAIT_S: Final = 0.2


class EndingRequest(PlacedRequest):
    """A request that ends while the load of its endpoint is read."""

    __slots__ = ('bench', 'endpoint', 'is_read')

    bench: Bench
    endpoint: EndpointState
    is_read: threading.Event

    @property
    def prefill_tokens(self) -> int:
        """Let another request release its slot, unless that has to wait."""
        if self.is_read.is_set():
            ending = threading.Thread(
                target=self.bench.dispatcher.release,
                args=(_EARLIER[1], self.endpoint),
            )
            ending.start()
            ending.join(_WAIT_S)
        return 0

    @prefill_tokens.setter
    def prefill_tokens(self, tokens: int) -> None:
        """Ignore the size."""


def _place(bench: Bench, endpoint: EndpointState, name: str) -> EndingRequest:
    placed = EndingRequest.__new__(EndingRequest)
    placed.is_prefilled = False
    placed.cache_source = ''
    placed.requirements = bench.call().requirements()
    placed.bench = bench
    placed.endpoint = endpoint
    placed.is_read = threading.Event()
    endpoint.local_requests[name] = placed
    return placed


def test_request_does_not_fail_when_another_ends(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 500 for a request whose log line was being written.

    The load of the endpoint was read without the lock that guards it.
    """
    bench.serve(respond_with())
    endpoint = bench.placement.endpoints()[0]
    placed = [_place(bench, endpoint, name) for name in _EARLIER]
    acquire = Dispatcher.acquire

    def read_after(dispatcher: Dispatcher, request: Any) -> EndpointState:
        acquired = acquire(dispatcher, request)
        placed[0].is_read.set()
        return acquired

    monkeypatch.setattr(Dispatcher, 'acquire', read_after)
    response = bench.forwarder.forward(bench.call())
    assert response.status == HTTPStatus.OK
