"""Fixtures for tests of the replicated state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.machine import ClusterState

Send = Callable[..., dict[str, Any]]


@pytest.fixture
def state() -> ClusterState:
    """Return an empty state."""
    return ClusterState()


@pytest.fixture
def send(state: ClusterState) -> Send:
    """Return a function that applies a command and decodes the reply."""

    def apply_and_decode(
        kind: str, at_ms: int = 1000, **fields: Any
    ) -> dict[str, Any]:
        command = pack({'kind': kind, 'at_ms': at_ms, **fields})
        index = state.tables.applied_index + 1
        reply: dict[str, Any] = unpack(state.apply(index, command))
        return reply

    return apply_and_decode


@pytest.fixture
def put(send: Send) -> Send:
    """Return a function that applies a batch of resources."""

    def apply_batch(*changes: tuple[Any, ...], **fields: Any) -> dict[str, Any]:
        batch = [
            {
                'kind': change[0],
                'name': change[1],
                'spec': change[2],
                'expected_version': change[3] if len(change) > 3 else None,
            }
            for change in changes
        ]
        return send('apply', changes=batch, **fields)

    return apply_batch


@pytest.fixture
def site(put: Send) -> dict[str, Any]:
    """Apply the resources of `SAMPLE_RESOURCES`, of all kinds."""
    return put(*SAMPLE_RESOURCES)


SAMPLE_RESOURCES: tuple[tuple[str, str, Any], ...] = (
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
