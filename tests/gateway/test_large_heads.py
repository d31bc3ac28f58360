"""Guards against heads beyond the limit of the desired state."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import respond_with
from gateway.served_gateway import ServedGateway

_LIMIT_BYTES = 16_384


@pytest.fixture
def served(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway whose state allows heads of 16,384 bytes."""
    gateway = ServedGateway(bench)
    yield gateway
    gateway.stop()


def test_large_head_is_refused_before_it_runs(
    served: ServedGateway, bench: Bench
) -> None:
    endpoint = bench.serve(respond_with())[0]
    refused = served.ask('once', f'X-Large: {"x" * _LIMIT_BYTES}')
    assert refused.status == 431
    assert json.loads(refused.body)['error']['run_state'] == 'not_run'
    assert not endpoint.received
    assert served.ask('once', f'X-Large: {"x" * 15_000}').status == 200
