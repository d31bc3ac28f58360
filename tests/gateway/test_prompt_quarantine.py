"""Guards against prompts that crash one endpoint after the other."""

from __future__ import annotations

import contextlib
import socket
import time
from itertools import count
from typing import Final

from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    Script,
    chunk,
    event,
    stream_head,
)

from apricotcart.desired.records import RouteKind
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.call import Call
from apricotcart.gateway.crash_quarantine import CrashQuarantine

_ENDPOINTS: Final = 20
_REQUESTS: Final = 14
_INTERVAL_S: Final = 0.3
# Crashes after which the part must be held back, and requests with it that may
# still reach an endpoint afterwards.
_CRASHES: Final = 5
_LATE_REQUESTS: Final = 3
_BAD: Final = 'bad'
_numbers = count()


def _serve_or_crash(bench: Bench, number: int) -> Script:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if _BAD in request.header('prompt-prefix'):
            bench.endpoints[number].refuse()
            return False
        conn.sendall(stream_head(request) + chunk(event(1)) + LAST_CHUNK)
        return True

    return script


def _send(bench: Bench, *shared_parts: str) -> bool:
    """Send a request; return whether it was answered."""
    ids = [*shared_parts, f'own{next(_numbers)}']
    call = bench.call(
        RouteKind.STREAM,
        parts=[PromptPart(part_id=part_id, tokens=10) for part_id in ids],
        headers=[
            ('Host', 'h'),
            ('Prompt-Prefix', ','.join(f'{part_id}:10' for part_id in ids)),
        ],
    )
    call.message.headers = [
        *call.message.headers,
        ('Attempt-Id', call.metadata.attempt_id),
    ]
    with contextlib.suppress(ApricotcartError):
        return bool(b''.join(bench.forwarder.forward(call).chunks))
    return False


def _count_arrivals(bench: Bench) -> int:
    """Send requests and return how many with the part arrived."""
    bench.serve(
        *(_serve_or_crash(bench, number) for number in range(_ENDPOINTS))
    )
    for _ in range(_REQUESTS):
        _send(bench, 'system', _BAD)
        assert _send(bench, 'system', 'sound')
        time.sleep(_INTERVAL_S)
    return sum(
        _BAD in request.header('prompt-prefix')
        for endpoint in bench.endpoints
        for request in endpoint.received
    )


class NoQuarantine(CrashQuarantine):
    """Holds no request back."""

    def holds(self, call: Call) -> bool:
        return False

    def require_allowed(self, call: Call) -> None:
        """Allow every request."""


def test_part_that_crashes_endpoints_is_held_back(bench: Bench) -> None:
    """Seen on csft-sealdesk: 23 engines ended on one part of prompts."""
    assert _count_arrivals(bench) <= _CRASHES + _LATE_REQUESTS


def test_without_quarantine_the_part_keeps_crashing_endpoints(
    bench: Bench,
) -> None:
    """The load of the test above exceeds the bound by itself."""
    bench.upstream.quarantine = NoQuarantine()
    assert _count_arrivals(bench) > _CRASHES + _LATE_REQUESTS
