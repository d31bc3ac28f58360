"""Operator of the soak, who replaces the desired state."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Any, Final

import urllib3

from soak.endpoints import HEALTH_PATH
from soak.records import RouteName

HOST: Final = 'soak.example'
_TIMEOUT_S: Final = 20.0
_PAUSE_S: Final = 0.1
_OK: Final = 200
_ROUTE_TYPES: Final = (
    (RouteName.STREAM, 'streaming'),
    (RouteName.IDEMPOTENT, 'safe'),
    (RouteName.ONCE, 'unsafe'),
)


def desired_state(version: int) -> dict[str, Any]:
    """Return a document with one route of each kind."""
    return {
        'version': version,
        'routes': [
            _route(name, route_type) for name, route_type in _ROUTE_TYPES
        ],
        'services': [
            {
                'name': 'app',
                'health_path': HEALTH_PATH,
                'max_conns': 500,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 65_536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }


class Operator:
    """Sends documents until a coordinator acknowledges them."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = addresses
        self._pool = urllib3.PoolManager(retries=False)

    def replace(self, version: int) -> None:
        """Replace the desired state.

        Raises
        ------
        TimeoutError
            If nobody acknowledges it.
        """
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self._addresses:
                if self._is_acknowledged(address, version):
                    return
            time.sleep(_PAUSE_S)
        raise TimeoutError(f'version {version} was not acknowledged')

    def fetch_version(self) -> int:
        """Return the version of the newest desired state.

        Raises
        ------
        TimeoutError
            If no coordinator is sure of it.
        """
        deadline = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self._addresses:
                version = self._fetched_version(address)
                if version:
                    return version
            time.sleep(_PAUSE_S)
        raise TimeoutError('no coordinator returns the desired state')

    def _fetched_version(self, address: str) -> int:
        try:
            response = self._pool.request(
                'GET', f'http://{address}/v1/Config.Fetch', timeout=2
            )
        except urllib3.exceptions.HTTPError:
            return 0
        if response.status != _OK:
            return 0
        return int(response.json()['version'])

    def _is_acknowledged(self, address: str, version: int) -> bool:
        try:
            response = self._pool.request(
                'POST',
                f'http://{address}/v1/Config.Replace',
                json=desired_state(version),
                timeout=2,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == _OK


def _route(name: str, route_type: str) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'timeout_ms': 5000,
        'goal_ms': 1000,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': True,
        'sticky': False,
        'resumable': False,
    }
