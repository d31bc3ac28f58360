"""Tests of the platform stand-in over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import urllib3
from standin_calls import HTTP, call

if TYPE_CHECKING:
    from standin_calls import ServeFixture


def _order(fencing: int, **more: object) -> dict[str, object]:
    order = {'fencing': fencing, 'zone': 'a', 'count': 1, 'holder': 'c1'}
    return {**order, **more}


def test_cloud_fencing(serve: ServeFixture) -> None:
    """Guards against a stale request that is accepted or not recorded."""
    url = serve('platform')
    for fencing, status in ((2, 200), (1, 409)):
        answer = HTTP.request(
            'POST', f'{url}/endpoints/orders', json=_order(fencing)
        )
        assert answer.status == status
    records = call('GET', f'{url}/endpoints/orders')['orders']
    seen = [(record['fencing'], record['status']) for record in records]
    assert seen == [(2, 200), (1, 409)]
    assert records[0]['holder'] == 'c1'
    assert len(call('GET', f'{url}/endpoints')['endpoints']) == 1


def test_cloud_repeated_order(serve: ServeFixture) -> None:
    """Guards against a repeated order that starts endpoints twice."""
    url = serve('platform', '--urls', 'http://one,http://two')
    orders = f'{url}/endpoints/orders'
    first = call('POST', orders, _order(1, op_id='x'))
    assert call('POST', orders, _order(1, op_id='x')) == first
    endpoints = call('GET', f'{url}/endpoints')['endpoints']
    assert [endpoint['url'] for endpoint in endpoints] == ['http://one']


def test_cloud_reclaim(serve: ServeFixture) -> None:
    """Guards against a reclaimed zone that still has spot capacity."""
    url = serve('platform')
    order = _order(1, cheap=True)
    call('POST', f'{url}/endpoints/orders', order)
    call('POST', f'{url}/reclaim', {'zone': 'a', 'notice_s': 60})
    assert len(call('GET', f'{url}/notices')['notices']) == 1
    states = [
        endpoint['state']
        for endpoint in call('GET', f'{url}/endpoints')['endpoints']
    ]
    assert states == ['reclaiming']
    refused = call('POST', f'{url}/endpoints/orders', order)
    assert refused['error']['code'] == 'no_capacity'


def test_cloud_lost_usage_answer(serve: ServeFixture) -> None:
    """Guards against a usage report that is lost with its answer."""
    url = serve('platform')
    fault = {'fail_after': True, 'path': '/usage', 'count': 1}
    call('POST', f'{url}/fault', fault)
    report = {'fencing': 1, 'customer': 'c', 'window': 1, 'calls': 3}
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('POST', f'{url}/usage', json=report)
    call('POST', f'{url}/usage', report)
    records = call('GET', f'{url}/usage')['usage']
    assert [record['calls'] for record in records] == [3, 3]


def test_cloud_hosts_lag(serve: ServeFixture) -> None:
    """Guards against a host list without the configured lag."""
    url = serve('platform', '--host-lag-s', '60')
    call('POST', f'{url}/hosts', {'hosts': [{'name': 'h'}]})
    assert call('GET', f'{url}/hosts') == {'hosts': []}


def test_cloud_weights(serve: ServeFixture) -> None:
    """Guards against a weight store without rate limit."""
    url = serve('platform', '--weight-rate', '0.01', '--weight-burst', '1')
    assert len(HTTP.request('GET', f'{url}/weights/m').data) == 65536
    refused = HTTP.request('GET', f'{url}/weights/m')
    assert refused.status == 429
    assert int(refused.headers['Retry-After']) > 1
