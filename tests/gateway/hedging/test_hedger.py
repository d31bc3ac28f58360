"""Guards against wrong answers and leaked slots of second attempts."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    Script,
    chunk,
    event,
    respond_with,
    response_bytes,
    stream_head,
)

from apricotcart.desired.records import RouteKind
from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import CallerLeftError
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.hedging.hedger import EndpointHedger
from apricotcart.gateway.hedging.policy import (
    HedgePolicy,
    HedgeSettings,
    kind_of,
)
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.web.response import WebResponse

_LATE_S = 0.05
_SILENT_S = 1.5
_WAIT_S = 3.0


class HedgedBench:
    """A test bench whose forwarder makes second attempts."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.policy = HedgePolicy(HedgeSettings(share=1))
        attempts = AttemptRunner(bench.sender)
        self.hedger = EndpointHedger(self.policy, bench.upstream, attempts)
        self.hedger.start()
        self.forwarder = Forwarder(bench.sender, attempts, self.hedger)

    def serve(self, *scripts: Script) -> None:
        self.bench.serve(*scripts)

    def call(self, kind: RouteKind = RouteKind.IDEMPOTENT) -> Call:
        call = self.bench.call(
            kind, resumable=kind is RouteKind.STREAM, wait_s=_WAIT_S
        )
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        for _ in range(30):
            self.policy.on_answer(now, kind_of(call.route, 0), _LATE_S)
        return call

    def requests(self) -> int:
        return sum(len(each.received) for each in self.bench.endpoints)

    def await_idle(self) -> None:
        deadline = time.monotonic() + _WAIT_S
        while self.bench.running() and time.monotonic() < deadline:
            time.sleep(0.01)
        assert not self.bench.running()


@pytest.fixture
def hedged(bench: Bench) -> Iterator[HedgedBench]:
    """Return a test bench with second attempts."""
    created = HedgedBench(bench)
    yield created
    created.hedger.stop()


def _body(response: WebResponse) -> bytes:
    return b''.join(response.chunks)


class FirstIs:
    """The first request, at whichever endpoint, gets another script."""

    def __init__(self, first: Script, others: Script) -> None:
        self._scripts = [first]
        self._others = others
        self._lock = threading.Lock()

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        with self._lock:
            script = self._scripts.pop() if self._scripts else self._others
        return script(conn, request)


def _stay_silent(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.settimeout(_SILENT_S)
    try:
        conn.recv(1)
    except TimeoutError:
        conn.sendall(response_bytes(request, b'late'))
    return False


def _stream(events: int) -> Script:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(stream_head(request))
        for number in range(events):
            conn.sendall(chunk(event(number)))
        conn.sendall(LAST_CHUNK)
        return True

    return script


def test_late_read_is_answered_by_another_endpoint(hedged: HedgedBench) -> None:
    script = FirstIs(_stay_silent, respond_with(body=b'second'))
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'second'
    hedged.await_idle()
    assert hedged.requests() == 2
    counts = hedged.bench.usage.counts()
    assert sum(sum(each.values()) for each in counts.values()) == 1


def test_late_stream_is_whole_and_of_one_endpoint(hedged: HedgedBench) -> None:
    script = FirstIs(_stay_silent, _stream(2))
    hedged.serve(script, script)
    response = hedged.forwarder.forward(hedged.call(RouteKind.STREAM))
    assert _body(response) == event(0) + event(1)
    hedged.await_idle()


def test_slow_endpoint_that_answers_first_is_used(hedged: HedgedBench) -> None:
    def slow(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(_LATE_S * 6)
        conn.sendall(response_bytes(request, b'first'))
        return True

    script = FirstIs(slow, _stay_silent)
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'first'
    hedged.await_idle()
    assert hedged.requests() == 2


def test_both_answer_at_once(hedged: HedgedBench) -> None:
    together = threading.Barrier(2)

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        together.wait(_WAIT_S)
        conn.sendall(response_bytes(request, b'same'))
        return True

    hedged.serve(script, script)
    for _ in range(5):
        assert _body(hedged.forwarder.forward(hedged.call())) == b'same'
        hedged.await_idle()


def test_endpoint_of_the_second_attempt_ends(hedged: HedgedBench) -> None:
    def slow(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(_LATE_S * 6)
        conn.sendall(response_bytes(request, b'first'))
        return True

    def end(conn: socket.socket, request: ReceivedRequest) -> bool:
        return False

    script = FirstIs(slow, end)
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'first'
    hedged.await_idle()


def test_endpoint_of_the_first_attempt_ends(hedged: HedgedBench) -> None:
    def end_late(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(_LATE_S * 4)
        return False

    def slow(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(_LATE_S * 6)
        conn.sendall(response_bytes(request, b'second'))
        return True

    script = FirstIs(end_late, slow)
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'second'
    hedged.await_idle()
    # A third endpoint would be more than the route allows.
    assert hedged.requests() == 2


def test_cancel_that_the_endpoint_ignores(hedged: HedgedBench) -> None:
    def ignore(conn: socket.socket, request: ReceivedRequest) -> bool:
        time.sleep(_LATE_S * 8)
        conn.sendall(response_bytes(request, b'late'))
        return True

    script = FirstIs(ignore, respond_with(body=b'second'))
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'second'
    hedged.await_idle()
    time.sleep(_LATE_S * 8)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'second'


def test_caller_that_leaves_ends_both(hedged: HedgedBench) -> None:
    hedged.serve(_stay_silent, _stay_silent)
    call = hedged.call()
    threading.Timer(_LATE_S * 6, call.on_caller_gone).start()
    with pytest.raises(CallerLeftError):
        hedged.forwarder.forward(call)
    assert hedged.requests() == 2
    hedged.await_idle()


def test_no_second_attempt_without_a_retry_budget(hedged: HedgedBench) -> None:
    hedged.bench.upstream.retry_policy = RetryPolicy(0, 0)
    script = FirstIs(_stay_silent, respond_with(body=b'second'))
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call())) == b'late'
    assert hedged.requests() == 1
    hedged.await_idle()


@pytest.mark.parametrize('kind', [RouteKind.ONCE])
def test_orders_have_one_attempt(hedged: HedgedBench, kind: RouteKind) -> None:
    script = FirstIs(_stay_silent, respond_with(body=b'second'))
    hedged.serve(script, script)
    assert _body(hedged.forwarder.forward(hedged.call(kind))) == b'late'
    assert hedged.requests() == 1
