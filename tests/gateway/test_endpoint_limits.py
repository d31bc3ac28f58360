"""Guards against more requests than an endpoint says it takes."""

from __future__ import annotations

import socket
import threading
import time
from statistics import median
from typing import Any, Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, respond_with, response_bytes

from apricotcart.desired.records import RouteKind
from apricotcart.errors.tree import ApricotcartError

# Window of the limit, and what an endpoint may get in it: 1.5 times the limit
# and 5 requests.
_WINDOW_S: Final = 4.0
_RATIO: Final = 1.5
_EXTRA: Final = 5
# Requests that arrive this soon after the first one do not count: the host has
# not had the response long enough.
_GRACE_S: Final = 0.5
_LOAD_S: Final = 5.5
_INTERVAL_S: Final = 0.06
# Bounds on refusals while endpoints that take 1.5 requests a second get 16: the
# first in the queue waits for a third of its 2 s and a tick of the queue, most
# are refused at once.
_REFUSED_WITHIN_S: Final = 0.8
_MOST_REFUSED_WITHIN_S: Final = 0.1
_RETRY_AFTER_MIN_S: Final = 0.6


class LimitedEndpoint:
    """Names a limit in each response and records when requests arrive."""

    def __init__(self, limit: str) -> None:
        self._limit = limit
        self.arrivals: list[float] = []

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        self.arrivals.append(time.monotonic())
        conn.sendall(response_bytes(request, Server_Limit=self._limit))
        return True

    def most_in_window(self) -> int:
        counted = [
            at for at in self.arrivals if at > self.arrivals[0] + _GRACE_S
        ]
        return max(
            (
                sum(start <= at < start + _WINDOW_S for at in counted)
                for start in counted
            ),
            default=0,
        )


def _allowed(limit: str) -> float:
    return _RATIO * _WINDOW_S * float(limit) + _EXTRA


class Load:
    """Requests of callers, one after the other in short intervals."""

    def __init__(self, bench: Bench, kind: RouteKind) -> None:
        self._bench = bench
        self._kind = kind
        self.answers: list[tuple[int, float, float | None]] = []

    def run(self) -> None:
        threads = []
        end = time.monotonic() + _LOAD_S
        while time.monotonic() < end:
            thread = threading.Thread(target=self._ask)
            thread.start()
            threads.append(thread)
            time.sleep(_INTERVAL_S)
        for thread in threads:
            thread.join()

    @property
    def statuses(self) -> set[int]:
        return {status for status, _, _ in self.answers}

    def _ask(self) -> None:
        call = self._bench.call(self._kind)
        started_at = time.monotonic()
        retry_after_s = None
        try:
            status = self._bench.forwarder.forward(call).status
        except ApricotcartError as exc:
            status = exc.http_status
            retry_after_s = exc.retry_after_s
        took_s = time.monotonic() - started_at
        self.answers.append((status, took_s, retry_after_s))


@pytest.mark.parametrize('kind', [RouteKind.IDEMPOTENT, RouteKind.ONCE])
@pytest.mark.parametrize('limit', ['0.5', '1', '2'])
def test_endpoint_gets_no_more_than_the_limit_it_names(
    bench: Bench, limit: str, kind: RouteKind
) -> None:
    """Seen on csft-sealdesk: 17 requests in 4 s at a limit of 1 a second."""
    endpoint = LimitedEndpoint(limit)
    bench.serve(endpoint)
    load = Load(bench, kind)
    load.run()
    assert endpoint.most_in_window() <= _allowed(limit)
    assert load.statuses <= {200, 503}


def test_load_goes_to_the_endpoints_without_a_limit(bench: Bench) -> None:
    """Guards against callers that are refused while others have room."""
    endpoint = LimitedEndpoint('1')
    bench.serve(endpoint, respond_with())
    load = Load(bench, RouteKind.ONCE)
    load.run()
    assert endpoint.most_in_window() <= _allowed('1')
    assert load.statuses == {200}


def test_callers_are_refused_early_while_all_endpoints_are_limited(
    bench: Bench,
) -> None:
    """Guards against callers that are held until they give up."""
    bench.serve(LimitedEndpoint('1'), LimitedEndpoint('0.5'))
    load = Load(bench, RouteKind.ONCE)
    load.run()
    refusals: list[Any] = [
        (took_s, retry_after_s)
        for status, took_s, retry_after_s in load.answers
        if status == 503
    ]
    assert refusals
    waits_s = [took_s for took_s, _ in refusals]
    assert max(waits_s) < _REFUSED_WITHIN_S
    assert median(waits_s) < _MOST_REFUSED_WITHIN_S
    retry_after_s = [seconds for _, seconds in refusals]
    assert min(retry_after_s) >= _RETRY_AFTER_MIN_S
