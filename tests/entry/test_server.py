"""Tests of entry host processes from the caller's side."""

from __future__ import annotations

import hashlib
import secrets
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
import psutil
import pytest
from entry.conftest import Caller, until
from openai import OpenAI
from support.cluster import Cluster

pytestmark = pytest.mark.xdist_group('cluster')


def _error(reply: Any) -> Any:
    return reply.json()['error']


def test_openai_client_unchanged(running: tuple[Cluster, str]) -> None:
    """Guards against an interface that the OpenAI client cannot use."""
    cluster, secret = running
    client = OpenAI(
        base_url=f'{cluster.entry_addresses["e1"].url}/v1', api_key=secret
    )
    assert [model.id for model in client.models.list()] == ['draft']
    messages: Any = [{'role': 'user', 'content': 'A motto'}]
    whole = client.chat.completions.create(
        model='draft',
        messages=messages,
        max_tokens=6,
    )
    streamed = client.chat.completions.create(
        model='draft',
        messages=messages,
        max_tokens=6,
        stream=True,
    )
    pieces = [
        chunk.choices[0].delta.content or ''
        for chunk in streamed
        if chunk.choices
    ]
    assert whole.choices[0].message.content == ''.join(pieces)


def test_chat_refusals(caller: Caller) -> None:
    """Guards against refusals that do not name the fault."""
    unknown = caller.request(
        'POST',
        '/v1/chat/completions',
        {'model': 'nothing', 'messages': [{'role': 'user'}]},
    )
    assert (unknown.status, _error(unknown)['code']) == (404, 'unknown_route')
    faulty = caller.chat('x', max_tokens=-1, max_completion_tokens='many')
    paths = [fault['path'] for fault in _error(faulty)['faults']]
    assert paths == ['max_completion_tokens', 'max_tokens']
    caller.secret = ''
    assert caller.chat('x').status == 401
    caller.secret = 'guess'
    refused = caller.chat('x')
    assert (refused.status, _error(refused)['run_state']) == (401, 'not_run')


def test_key_does_not_reach_endpoints(caller: Caller) -> None:
    """Guards against a caller's key that reaches an endpoint."""
    caller.chat('no key for the engine')
    caller.book(secrets.token_hex(8), {'die': 'oak'})
    for site in caller.cluster.standin_addresses.values():
        received = caller.cluster.http.request('GET', f'{site.url}/received')
        assert caller.secret.encode() not in received.data


def test_order_runs_once_across_hosts(
    caller: Caller, other_caller: Caller
) -> None:
    """Guards against an order that runs once on each host."""
    key = secrets.token_hex(8)
    with ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(
                lambda client: client.book(key, {'n': 1}),
                (caller, other_caller) * 4,
            ),
        )
    statuses = {reply.status for reply in replies}
    assert 200 in statuses
    assert statuses <= {200, 409}
    again = other_caller.book(key, {'n': 1})
    assert again.json() == {'n': 1}
    assert _count(caller.cluster, f'guild/{key}') == 1
    conflict = other_caller.book(key, {'n': 2})
    assert _error(conflict)['code'] == 'idempotency_key_reused'


def test_order_without_key(caller: Caller) -> None:
    """Guards against a non-idempotent call without an idempotency key."""
    reply = caller.request('POST', '/v1/services/dies/bookings', {})
    assert _error(reply)['code'] == 'idempotency_key_required'
    assert _error(reply)['run_state'] == 'not_run'


def test_key_of_other_customer(caller: Caller) -> None:
    """Guards against a route that is open to customers it does not name."""
    secret = _declare_key(caller.cluster, 'school')
    caller.cluster.apply(
        (
            'route',
            'guild-only',
            {
                'kind': 'chat',
                'class': 'drafts',
                'pool': 'drafting',
                'model': 'writer',
                'public': False,
                'idempotent': True,
                'customers': ['guild'],
            },
        ),
    )
    until(lambda: len(_models(caller)) == 2, 8)
    other_customer = Caller(caller.cluster, 'e1', secret)
    until(lambda: _models(other_customer) == ['draft'], 8)
    reply = other_customer.request(
        'POST',
        '/v1/chat/completions',
        {'model': 'guild-only', 'messages': [{'role': 'user'}]},
    )
    assert (reply.status, _error(reply)['code']) == (404, 'unknown_route')


def test_key_withdrawal(running: tuple[Cluster, str]) -> None:
    """Guards against a withdrawn key that works after 5 s or in a stream."""
    cluster, _ = running
    secret = _declare_key(cluster, 'charity')
    callers = [
        Caller(cluster, entry, secret) for entry in cluster.entry_addresses
    ]
    for caller in callers:
        _wait_until_accepted(caller)
    stream = callers[0].stream(2000)
    events = stream.stream(4096)
    next(events)
    spec = cluster.request_as_operator('GET', '/v1/resources/key/charity-key')[
        'spec'
    ]
    cluster.apply(('key', 'charity-key', {**spec, 'withdrawn': True}))
    for caller in callers:
        _wait_until_refused(caller)
    rest = b''.join(events)
    assert b'[DONE]' not in rest
    last = orjson.loads(rest.strip().rpartition(b'data: ')[2])
    assert last['error']['code'] == 'key_withdrawn'


def test_metrics_page(caller: Caller) -> None:
    """Guards against metrics that are declared but never set."""
    caller.chat('counted')
    site = caller.cluster.entry_addresses['e1']
    port = caller.cluster.metrics['e1']
    url = f'http://{site.host}:{port}/metrics'
    page = caller.cluster.http.request('GET', url).data.decode()
    counted = 'apricotcart_requests_total{class="drafts",outcome="ok"}'
    assert counted in page
    assert 'apricotcart_config_revision' in page
    assert caller.secret not in page


def test_oversized_requests(caller: Caller) -> None:
    """Guards against requests that use unbounded memory."""
    process = psutil.Process(caller.cluster.children['e1'].pid)
    before = process.memory_info().rss
    url = f'{caller.url}/v1/chat/completions'
    headers = {'Authorization': f'Bearer {caller.secret}'}
    large = caller.cluster.http.request(
        'POST',
        url,
        body=b'x' * 100_000_000,
        headers=headers,
    )
    assert _error(large)['code'] == 'body_too_large'
    chunked = caller.cluster.http.request(
        'POST',
        url,
        body=(b'x' * 1_000_000 for _ in range(100)),
        headers=headers,
    )
    assert chunked.status == 413
    broken = caller.cluster.http.request(
        'POST',
        url,
        body=b'{"model":',
        headers=headers,
    )
    assert _error(broken)['code'] == 'invalid_json'
    flood = {f'X-{number}': 'v' * 1000 for number in range(1000)}
    flooded = caller.cluster.http.request('GET', url, headers=flood)
    assert flooded.status == 413
    assert process.memory_info().rss - before < 16 * 1024 * 1024


def test_graceful_stop(running: tuple[Cluster, str]) -> None:
    """Guards against a planned stop that aborts a running stream."""
    cluster, secret = running
    stream = Caller(cluster, 'e2', secret).stream(400)
    codes: list[int] = []
    stopper = threading.Thread(
        target=lambda: codes.append(cluster.children['e2'].stop()),
    )
    stopper.start()
    body = b''.join(stream.stream(65536))
    stopper.join()
    assert body.rstrip().endswith(b'[DONE]')
    assert codes == [0]
    cluster.start_entry('e2')
    cluster.wait_serving('e2', cluster.entry_addresses['e2'])


def _wait_until_accepted(caller: Caller) -> None:
    until(lambda: _models(caller) == ['draft'], 8)


def _wait_until_refused(caller: Caller) -> None:
    until(lambda: caller.chat('x').status == 401, 5)


def _models(caller: Caller) -> list[str]:
    reply = caller.request('GET', '/v1/models')
    if reply.status != 200:
        return []
    return [model['id'] for model in reply.json()['data']]


def _count(cluster: Cluster, order_key: str) -> int:
    site = cluster.standin_addresses['service-1']
    counts = cluster.http.request('GET', f'{site.url}/counts').json()
    count: int = counts['counts'][order_key]
    return count


def _declare_key(cluster: Cluster, customer: str) -> str:
    secret = secrets.token_urlsafe()
    digest = hashlib.sha256(secret.encode()).hexdigest()
    cluster.apply(
        ('customer', customer, {'weight': 1}),
        ('key', f'{customer}-key', {'customer': customer, 'sha256': digest}),
    )
    return secret
