"""Fixtures of the replicated state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.machine import ClusterState

Send = Callable[..., dict[str, Any]]


@pytest.fixture
def state() -> ClusterState:
    """Give an empty state."""
    return ClusterState()


@pytest.fixture
def send(state: ClusterState) -> Send:
    """Give a function that applies one command and unpacks the reply."""

    def applied(kind: str, at_ms: int = 1000, **fields: Any) -> dict[str, Any]:
        command = pack({'kind': kind, 'at_ms': at_ms, **fields})
        index = state.tables.applied_index + 1
        reply: dict[str, Any] = unpack(state.apply(index, command))
        return reply

    return applied


@pytest.fixture
def put(send: Send) -> Send:
    """Give a function that puts resources in one batch."""

    def applied(*changes: tuple[Any, ...], **fields: Any) -> dict[str, Any]:
        listed = [
            {
                'kind': change[0],
                'name': change[1],
                'spec': change[2],
                'expected_version': change[3] if len(change) > 3 else None,
            }
            for change in changes
        ]
        return send('apply', changes=listed, **fields)

    return applied


@pytest.fixture
def site(put: Send) -> dict[str, Any]:
    """Put one resource of each kind."""
    return put(*SITE)


SITE: tuple[tuple[str, str, Any], ...] = (
    ('customer', 'acme', {'weight': 1}),
    ('key', 'k1', {'customer': 'acme', 'sha256': 'a' * 64}),
    (
        'class',
        'gold',
        {
            'tier': 0,
            'first_token_s': 0.5,
            'between_tokens_s': 0.05,
            'total_s': 60,
            'max_wait_s': 5,
        },
    ),
    ('model', 'small', {'context_tokens': 8192}),
    ('pool', 'gpu', {'kind': 'engine', 'max_queue': 100}),
    ('pool', 'press', {'kind': 'service', 'max_queue': 100}),
    (
        'endpoint',
        'e1',
        {
            'pool': 'gpu',
            'url': 'http://127.0.0.1:9001',
            'zone': 'a',
            'slots': 8,
            'models': ['small'],
        },
    ),
    (
        'route',
        'draft',
        {
            'kind': 'chat',
            'class': 'gold',
            'pool': 'gpu',
            'model': 'small',
            'idempotent': True,
            'customers': ['acme'],
        },
    ),
    (
        'route',
        'booking',
        {
            'kind': 'service',
            'class': 'gold',
            'pool': 'press',
            'idempotent': False,
        },
    ),
)
