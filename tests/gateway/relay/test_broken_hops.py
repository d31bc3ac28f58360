"""Guards against requests that run twice when the way between hosts breaks."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from itertools import repeat
from typing import Any

import pytest
from gateway.endpoints import (
    RawEndpoint,
    ReceivedRequest,
    respond_with,
    response_bytes,
)
from gateway.relay.fleet import Cut, Fleet
from gateway.relay.proofs import after_event, resumable_stream

from apricotcart.gateway.call import Call
from apricotcart.gateway.relay.upstream import PeerUpstream

_BODY = b'b' * 5000
# When a request with a deadline of 0.6 s is answered at the latest.
_LATE_S = 1.1


def _before_head(received: bytes) -> int | None:
    return 0


def _in_head(received: bytes) -> int | None:
    return 20


def _after_head(received: bytes) -> int | None:
    return received.find(b'\r\n\r\n') + 4


def _in_body(received: bytes) -> int | None:
    return received.find(b'\r\n\r\n') + 104


_BREAKS = (_before_head, _in_head, _after_head, _in_body)


@pytest.mark.parametrize('cut', _BREAKS)
def test_unsafe_request_runs_once(fleet: Fleet, cut: Cut) -> None:
    fleet.serve(*repeat(respond_with(body=_BODY), 2))
    fleet.use_peers(
        fleet.link(fleet.gateways[1], cut), fleet.link(fleet.gateways[2], cut)
    )
    fleet.sender.cut_off()
    received = fleet.sender.ask('once')
    assert received.status == 502
    assert b'"run_state":"may_have_run"' in received.body
    assert fleet.received() == 1


def test_proof_fails_if_a_broken_hop_counts_as_not_run(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against links that break before the request has passed."""
    on_failure = PeerUpstream.on_failure

    def forget(
        self: PeerUpstream, call: Call, exchange: Any, exc: BaseException
    ) -> None:
        on_failure(self, call, exchange, exc)
        call.may_have_run = False

    monkeypatch.setattr(PeerUpstream, 'on_failure', forget)
    with pytest.raises(AssertionError):
        test_unsafe_request_runs_once(fleet, _before_head)
    assert fleet.received() == 2


@pytest.mark.parametrize('cut', _BREAKS)
def test_idempotent_request_is_repeated_at_another_gateway(
    fleet: Fleet, cut: Cut
) -> None:
    fleet.serve(*repeat(respond_with(body=_BODY), 2))
    fleet.use_peers(
        fleet.link(fleet.gateways[1], cut), fleet.gateways[2].as_peer()
    )
    fleet.sender.cut_off()
    for _ in range(4):
        received = fleet.sender.ask('idempotent')
        assert (received.status, received.body) == (200, _BODY)
        fleet.sender.choice._avoided.clear()
    assert fleet.received() <= 8


def test_idempotent_request_reaches_as_many_endpoints_as_allowed(
    fleet: Fleet,
) -> None:
    """Guards against a budget of endpoints that begins anew at each host."""
    fleet.serve(*repeat(respond_with(body=_BODY), 6))
    fleet.use_peers(
        *(fleet.link(gateway, _before_head) for gateway in fleet.gateways[1:])
    )
    fleet.sender.cut_off()
    assert fleet.sender.ask('idempotent').status == 502
    assert fleet.received() == 2


@pytest.mark.parametrize('route', ['stream', 'resumable'])
def test_broken_stream_never_looks_complete(fleet: Fleet, route: str) -> None:
    fleet.serve(*repeat(resumable_stream, 2))
    fleet.use_peers(
        *(fleet.link(gateway, after_event(2)) for gateway in fleet.gateways[1:])
    )
    fleet.sender.cut_off()
    received = fleet.sender.ask(route)
    if route == 'stream':
        assert not received.is_complete
        assert fleet.received() == 1
    else:
        # The second link sees the events 3 and 4 only, and so stays whole.
        assert received.is_complete
        assert fleet.received() == 2


def test_gateway_that_dies_with_the_request_is_not_followed_by_another(
    fleet: Fleet,
) -> None:
    """Guards against a second run after a break on the receiving side."""
    dying = threading.Event()

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        dying.set()
        time.sleep(0.3)
        conn.sendall(response_bytes(request))
        return True

    fleet.serve(*repeat(script, 2))
    fleet.sender.cut_off()
    cut = threading.Event()

    def end_all() -> None:
        dying.wait(2)
        for gateway in fleet.gateways[1:]:
            gateway.served.stop_state.end_all()
        cut.set()

    threading.Thread(target=end_all, daemon=True).start()
    received = fleet.sender.ask('once')
    assert cut.is_set()
    assert received.status == 502
    assert fleet.received() == 1


def _silent_listener() -> tuple[socket.socket, Callable[[], int]]:
    listener = socket.create_server(('127.0.0.1', 0))
    accepted: list[socket.socket] = []

    def accept() -> None:
        while True:
            try:
                accepted.append(listener.accept()[0])
            except OSError:
                return

    threading.Thread(target=accept, daemon=True).start()
    return listener, lambda: len(accepted)


def test_response_of_a_foreign_process_is_not_believed(fleet: Fleet) -> None:
    """Guards against an address that another program uses by now."""
    fleet.serve(respond_with())
    foreign = RawEndpoint(respond_with(body=b'foreign'))
    host, _, port = foreign.address.rpartition(':')
    fleet.use_peers(fleet.gateways[1].as_peer(address=(host, int(port))))
    fleet.sender.cut_off()
    received = fleet.sender.ask('once')
    foreign.close()
    assert received.status == 502
    assert b'foreign' not in received.body


def test_silent_gateway_takes_no_longer_than_the_deadline(
    fleet: Fleet,
) -> None:
    fleet.serve(respond_with())
    listener, accepted = _silent_listener()
    fleet.use_peers(fleet.gateways[1].as_peer(address=listener.getsockname()))
    fleet.sender.cut_off()
    began_at = time.monotonic()
    received = fleet.sender.ask('once', wait_ms=600)
    listener.close()
    assert accepted() == 1
    assert received.status == 504
    assert time.monotonic() - began_at < _LATE_S
