"""Guards against documents that are accepted in part or despite faults."""

from __future__ import annotations

import copy
from typing import Any

import orjson
import pytest

from apricotcart.desired.errors import InvalidDesiredStateError
from apricotcart.desired.records import RouteKind
from apricotcart.platform.documents import PlatformDocumentFormat

_ROUTE = {
    'name': 'drafts',
    'host': 'a.example',
    'path_prefix': '/d/',
    'route_type': 'streaming',
    'timeout_ms': 12000,
    'goal_ms': 600,
    'priority': 0,
    'service': 'lm',
    'max_attempts': 1,
    'gap_goal_ms': 200,
    'sticky': True,
}
_DOCUMENT = {
    'version': 7,
    'routes': [_ROUTE],
    'services': [
        {
            'name': 'lm',
            'health_path': '/healthz',
            'max_conns': 360,
            'warmup_s': 3.0,
            'warmup_per_s': 13.0,
            'engine': {'slots': 64, 'kv_capacity': 746112},
            'scaling': {
                'min': 1,
                'max': 3,
                'boot_s': 4.0,
                'spot_price': 0.22,
                'zone_prices': {'a': 0.85, 'b': 1.2},
            },
        }
    ],
    'limits': {'max_body_bytes': 1000},
    'tenants': [{'name': 'guild', 'api_keys': ['k1'], 'priority': 1}],
}


def _encode_with(**fields: Any) -> bytes:
    document = copy.deepcopy(_DOCUMENT)
    document.update(fields)
    return orjson.dumps(document)


def _route(**fields: Any) -> dict[str, Any]:
    return {**_ROUTE, **fields}


def test_decode_reads_every_field() -> None:
    state = PlatformDocumentFormat().decode(orjson.dumps(_DOCUMENT))
    route = state.routes[0]
    assert state.version == 7
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.target_s, route.pause_s) == (12, 0.6, 0.2)
    assert route.splits[0].service == 'lm'
    service = state.services[0]
    assert service.engine is not None and service.engine.kv_tokens == 746112
    assert (service.cold_s, service.cold_per_s) == (3, 13)
    assert service.scaling is not None and service.scaling.most == 3
    assert state.limits.body_bytes == 1000
    assert state.customers is not None
    assert state.customers[0].keys == ('k1',)


def test_decode_without_customers_needs_no_keys() -> None:
    document = copy.deepcopy(_DOCUMENT)
    document.pop('tenants')
    state = PlatformDocumentFormat().decode(orjson.dumps(document))
    assert state.customers is None


@pytest.mark.parametrize(
    ('blob', 'fault'),
    [
        (b'{"version": 7, "rou', 'not JSON'),
        (b'[]', 'is not an object'),
        (_encode_with(routes=[_route(service='gone')]), 'unknown service gone'),
        (_encode_with(routes=[_ROUTE, _route(name='r2')]), 'share host'),
        (_encode_with(routes=[_route(timeout_ms=0)]), 'timeout is 0'),
        (
            _encode_with(
                routes=[_route(split=[{'service': 'lm', 'weight': 0}])],
            ),
            'add up to 0',
        ),
        (_encode_with(routes=[_route(path_prefix='d')]), 'slash'),
        (_encode_with(version=True), 'version: has the wrong type'),
        (_encode_with(version='7'), 'version: has the wrong type'),
        (
            _encode_with(
                tenants=[
                    {'name': 'a', 'api_keys': ['k']},
                    {'name': 'b', 'api_keys': ['k']},
                ],
            ),
            'share a key',
        ),
    ],
)
def test_decode_refuses_invalid(blob: bytes, fault: str) -> None:
    with pytest.raises(InvalidDesiredStateError) as caught:
        PlatformDocumentFormat().decode(blob)
    assert fault in caught.value.message


def test_decode_reports_every_fault() -> None:
    blob = _encode_with(
        routes=[_route(timeout_ms=0), _route(service='gone')],
    )
    with pytest.raises(InvalidDesiredStateError) as caught:
        PlatformDocumentFormat().decode(blob)
    assert len(caught.value.context['faults']) == 3
