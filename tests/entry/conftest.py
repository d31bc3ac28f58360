"""A cluster of real processes shared by the tests of entry hosts."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from entry.fakes import EntryHarness, Script, SocketEndpoint, route_view
from support.cluster import Cluster
from support.demo import start


class Caller:
    """Client that calls one entry host with one API key."""

    def __init__(self, cluster: Cluster, entry: str, secret: str) -> None:
        self.cluster = cluster
        self.url = cluster.entry_addresses[entry].url
        self.secret = secret

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request."""
        extra_headers = {
            name.replace('_', '-'): headers[name] for name in headers
        }
        return self.cluster.http.request(
            method,
            f'{self.url}{path}',
            json=body,
            headers={'Authorization': f'Bearer {self.secret}', **extra_headers},
            timeout=30,
        )

    def chat(self, prompt: str, **fields: Any) -> urllib3.BaseHTTPResponse:
        """Request a chat completion."""
        message = {'role': 'user', 'content': prompt}
        body = {'model': 'draft', 'messages': [message], **fields}
        return self.request('POST', '/v1/chat/completions', body)

    def stream(self, tokens: int) -> urllib3.BaseHTTPResponse:
        """Start a streamed chat completion without reading it."""
        return self.cluster.http.request(
            'POST',
            f'{self.url}/v1/chat/completions',
            json={
                'model': 'draft',
                'messages': [{'role': 'user', 'content': 'a long answer'}],
                'stream': True,
                'max_tokens': tokens,
                'ignore_eos': True,
            },
            headers={'Authorization': f'Bearer {self.secret}'},
            preload_content=False,
            timeout=30,
        )

    def book(self, key: str, body: Any) -> urllib3.BaseHTTPResponse:
        """Book an order."""
        return self.request(
            'POST',
            '/v1/services/dies/bookings',
            body,
            Idempotency_Key=key,
        )


@pytest.fixture
def harness() -> Iterator[EntryHarness]:
    """Return a harness with a chat, an order and a stock route."""
    built = EntryHarness(
        route_view('draft', 'chat'),
        route_view('dies', 'service', is_idempotent=False),
        route_view('stock', 'service'),
    )
    yield built
    built.close()


@pytest.fixture
def endpoint() -> Iterator[Callable[..., SocketEndpoint]]:
    """Return a function that starts an endpoint with the given scripts."""
    started: list[SocketEndpoint] = []

    def start_one(*scripts: Script) -> SocketEndpoint:
        started.append(SocketEndpoint(*scripts))
        return started[-1]

    yield start_one
    for server in started:
        server.close()


@pytest.fixture(scope='session')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[Cluster, str]]:
    """Run a cluster for the whole session."""
    folder: Path = tmp_path_factory.mktemp('cluster')
    cluster, secret = start(folder)
    yield cluster, secret
    cluster.stop()


@pytest.fixture
def caller(running: tuple[Cluster, str]) -> Caller:
    """Return a caller of the first entry host."""
    cluster, secret = running
    return Caller(cluster, 'e1', secret)


@pytest.fixture
def other_caller(running: tuple[Cluster, str]) -> Caller:
    """Return a caller of the second entry host with the same key."""
    cluster, secret = running
    return Caller(cluster, 'e2', secret)


def until(condition: Any, timeout_s: float) -> float:
    """Wait for a condition and return how many seconds it took."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            pytest.fail(f'the condition did not hold within {timeout_s} s')
        time.sleep(0.02)
    return time.monotonic() - started
