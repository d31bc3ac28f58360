"""Guards against more rejections than a brittle endpoint withstands."""

from __future__ import annotations

import socket
import threading
import time
from typing import Final

from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, response_bytes

from apricotcart.errors.tree import ApricotcartError

# Slots of the endpoints of the bench.
_SLOTS: Final = 4
_RUN_S: Final = 0.1
_LOAD_S: Final = 3.0
# Twice what the endpoint can run.
_INTERVAL_S: Final = _RUN_S / _SLOTS / 2
# Time from the first answer on in which requests that were on their way are
# still rejected.
_GRACE_S: Final = 0.5


class BrittleEndpoint:
    """Runs as many requests as it has slots and rejects the others."""

    def __init__(self, rejections: str) -> None:
        self._rejections = rejections
        self._lock = threading.Lock()
        self._running = 0
        self.first_at: float = 0
        self.ran_at: list[float] = []
        self.rejected_at: list[float] = []

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        now = time.monotonic()
        with self._lock:
            self.first_at = self.first_at or now
            is_full = self._running >= _SLOTS
            if is_full:
                self.rejected_at.append(now)
            else:
                self.ran_at.append(now)
                self._running += 1
        if is_full:
            conn.sendall(
                response_bytes(
                    request,
                    status='503 Service Unavailable',
                    Not_Executed='1',
                    Server_Brittle=self._rejections,
                )
            )
            return True
        time.sleep(_RUN_S)
        with self._lock:
            self._running -= 1
        conn.sendall(response_bytes(request, Server_Brittle=self._rejections))
        return True


def _ask(bench: Bench, statuses: list[int]) -> None:
    try:
        statuses.append(bench.forwarder.forward(bench.call()).status)
    except ApricotcartError as exc:
        statuses.append(exc.http_status)


def test_endpoint_rejects_no_more_than_it_says(bench: Bench) -> None:
    """Without a queue, it rejects half of what it gets at twice its load."""
    endpoint = BrittleEndpoint('1')
    bench.serve(endpoint)
    statuses: list[int] = []
    threads = []
    end = time.monotonic() + _LOAD_S
    while time.monotonic() < end:
        thread = threading.Thread(target=_ask, args=(bench, statuses))
        thread.start()
        threads.append(thread)
        time.sleep(_INTERVAL_S)
    for thread in threads:
        thread.join()
    counted = [
        at for at in endpoint.rejected_at if at > endpoint.first_at + _GRACE_S
    ]
    assert len(counted) <= 1
    assert set(statuses) <= {200, 503}
    # The shared machine may run a third of the requests late.
    assert len(endpoint.ran_at) > _LOAD_S / _RUN_S * _SLOTS * 2 / 3
