"""Gateways of which only the syncs are real."""

from __future__ import annotations

import random
import threading
import time
import uuid
from collections.abc import Sequence
from contextlib import closing
from typing import Any, Final

from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.exchange_messages import GatewayFigures
from apricotcart.coordinator.messages import KIND, SYNC, cluster_sealer
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.errors.tree import ApricotcartError
from apricotcart.transport.redialing import RedialingClients
from soak.fleet import FIRST_LINK_PORT

INTERVAL_S: Final = 0.3
# Timeout of a host that is asked for a sync.
TIMEOUT_S: Final = 0.4
_ENDPOINTS: Final = 100
_OWN_ENDPOINTS: Final = 12
_CUSTOMERS: Final = 40


class SyncingGateways:
    """Threads that synchronize with one host at fixed intervals.

    Parameters
    ----------
    leader : str
        IP address of the host.
    count : int
        Number of gateways.

    Attributes
    ----------
    durations_s : list of float
        Times until the answers.
    failures : list of str
        Reasons why there was none, or another one.
    """

    def __init__(self, leader: str, count: int) -> None:
        self._address = Ports(FIRST_LINK_PORT).request_address(leader)
        self._count = count
        self.durations_s: list[float] = []
        self.failures: list[str] = []

    def run(self, seconds: float) -> None:
        """Let all gateways synchronize for some time."""
        end = time.monotonic() + seconds
        threads = [
            threading.Thread(target=self._run, args=(number, end))
            for number in range(self._count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run(self, number: int, end: float) -> None:
        rng = random.Random(number)
        message = _message(number, rng)
        next_at = time.monotonic() + rng.uniform(0, INTERVAL_S)
        with closing(RedialingClients(cluster_sealer())) as clients:
            while next_at < end:
                time.sleep(max(0, next_at - time.monotonic()))
                next_at = time.monotonic() + INTERVAL_S
                self._sync(clients, message)

    def _sync(self, clients: RedialingClients, message: dict[str, Any]) -> None:
        started_at = time.monotonic()
        try:
            reply = clients.call(self._address, dict(message), TIMEOUT_S)
        except ApricotcartError as exc:
            self.failures.append(exc.message)
            return
        if not reply.get('ok'):
            self.failures.append(str(reply.get('code')))
        self.durations_s.append(time.monotonic() - started_at)


def _message(number: int, rng: random.Random) -> dict[str, Any]:
    names = [
        f'10.4.{endpoint}.3:8646'
        for endpoint in rng.sample(range(_ENDPOINTS), _OWN_ENDPOINTS)
    ]
    customers = [f'customer-{customer}' for customer in range(_CUSTOMERS)]
    figures = GatewayFigures(
        fetches_state=True,
        reads_deflated=True,
        customer_loads={
            'app': {name: _figures(rng, 6) for name in customers[::5]}
        },
        endpoint_reports={name: _figures(rng, 3) for name in names},
    )
    sync = SyncRequest(
        host=f'g{number}',
        incarnation=uuid.uuid4().hex,
        address=f'10.0.0.{number}:80',
        zone='z',
        is_serving=True,
        version=1,
        list_mark=0,
        loads={name: _figures(rng, 3) for name in names},
        outcomes={name: _figures(rng, 2) for name in names},
        waiting={},
        usage={0: dict.fromkeys(customers, 7)},
        exchange=figures.to_wire(),
    )
    return {KIND: SYNC, **sync.to_wire()}


def _figures(rng: random.Random, count: int) -> Sequence[int]:
    return [rng.randrange(1000) for _ in range(count)]
