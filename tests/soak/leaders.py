"""Losses of leaders right after an acknowledgement, and what gateways obey."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
from threading import Event, Thread
from typing import Any, Final

import urllib3

from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.leader_client import LeaderClient
from apricotcart.coordinator.leader_search import LeaderSearch
from apricotcart.coordinator.messages import KIND, VIEW, cluster_sealer
from apricotcart.transport.redialing import RedialingClients
from soak.fleet import (
    CALLER_PORT,
    FIRST_LINK_PORT,
    OPERATOR_PORT,
    ManagedProcess,
)
from soak.operators import HOST, desired_state
from soak.world import World

_OK: Final = 200
_ROUTE: Final = 'withdrawn'
WATCHED_PATH: Final = f'/{_ROUTE}/x'
_POLL_S: Final = 0.03
_CALL_TIMEOUT_S: Final = 3.0
_CHANGE_TIMEOUT_S: Final = 20.0
_VIEW_TIMEOUT_S: Final = 5.0
_HOST_TIMEOUT_S: Final = 0.4


class Leaders:
    """Coordinators that stand still once they lead and have acknowledged.

    Parameters
    ----------
    coordinators : iterable of ManagedProcess
        All coordinators.
    """

    def __init__(self, coordinators: Iterable[ManagedProcess]) -> None:
        self._running = {process.ip: process for process in coordinators}
        self._search = LeaderSearch(self._running)
        self._client = LeaderClient(
            Ports(FIRST_LINK_PORT),
            RedialingClients(cluster_sealer()),
            self._search,
        )

    def find(self) -> str:
        """Return the IP address of the leader.

        Raises
        ------
        ClusterError
            If no host leads.
        """
        self._client.call_until_answered(
            {KIND: VIEW}, _VIEW_TIMEOUT_S, _HOST_TIMEOUT_S
        )
        return self._search.leader

    def freeze(self) -> None:
        """Let the leader stand still.

        Raises
        ------
        ClusterError
            If no host leads.
        """
        self._running.pop(self.find()).send(signal.SIGSTOP)

    def replace(self, document: Mapping[str, Any]) -> float:
        """Replace the desired state; ask all hosts that run at once.

        Returns
        -------
        float
            When the change was acknowledged, in seconds of the monotonic
            clock.
        """
        acknowledged_at: SimpleQueue[float] = SimpleQueue()
        for ip in self._running:
            Thread(
                target=_replace,
                args=(ip, document, acknowledged_at),
                daemon=True,
            ).start()
        return acknowledged_at.get(timeout=_CHANGE_TIMEOUT_S)


class RouteWatch:
    """Sends requests on a route to all gateways, from threads of its own."""

    def __init__(self, world: World) -> None:
        self._ips = [gateway.ip for gateway in world.fleet.gateways]
        self._last_served: dict[str, float] = {}
        self._is_stopping = Event()
        self._threads = ThreadPoolExecutor(len(self._ips))
        for ip in self._ips:
            self._threads.submit(self._watch, ip)

    def await_served(self) -> None:
        """Wait until each gateway has served the route."""
        while len(self._last_served) < len(self._ips):
            time.sleep(_POLL_S)

    def stop(self) -> Mapping[str, float]:
        """Return when each gateway began the last request that it served."""
        self._is_stopping.set()
        self._threads.shutdown()
        return self._last_served

    def _watch(self, ip: str) -> None:
        pool = urllib3.PoolManager(retries=False)
        number = 0
        while not self._is_stopping.wait(_POLL_S):
            number += 1
            sent_at = time.monotonic()
            try:
                response = pool.request(
                    'POST',
                    f'http://{ip}:{CALLER_PORT}{WATCHED_PATH}',
                    headers={
                        'Host': HOST,
                        'Attempt-Id': f'{ip}-{number}',
                        'Deadline-Ms': '1000',
                    },
                    timeout=_CALL_TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == _OK:
                self._last_served[ip] = sent_at


def with_route(version: int) -> dict[str, Any]:
    """Return a document with the watched route; other ones have none."""
    document = desired_state(version)
    document['routes'].append(
        {
            **document['routes'][-1],
            'name': _ROUTE,
            'path_prefix': f'/{_ROUTE}/',
        }
    )
    return document


def _replace(
    ip: str, document: Mapping[str, Any], acknowledged_at: SimpleQueue[float]
) -> None:
    pool = urllib3.PoolManager(retries=False)
    give_up_at = time.monotonic() + _CHANGE_TIMEOUT_S
    while time.monotonic() < give_up_at:
        if _is_acknowledged(pool, ip, document):
            acknowledged_at.put(time.monotonic())
            return
        time.sleep(_POLL_S)


def _is_acknowledged(
    pool: urllib3.PoolManager, ip: str, document: Mapping[str, Any]
) -> bool:
    try:
        response = pool.request(
            'POST',
            f'http://{ip}:{OPERATOR_PORT}/v1/Config.Replace',
            json=document,
            timeout=_CALL_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == _OK
