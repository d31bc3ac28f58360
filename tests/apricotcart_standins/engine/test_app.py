"""Tests of the engine stand-in over HTTP."""

from __future__ import annotations

import queue
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest
import urllib3
from standin_calls import (
    CHAT_PATH,
    HTTP,
    call,
    chat_body,
    join_tokens,
    read_stream,
)

from apricotcart_standins.engine.text import answer_text

if TYPE_CHECKING:
    from standin_calls import ServeFixture

FAST = ('engine', '--first-token-s', '0', '--interval-s', '0.001')


def test_engine_unstreamed_answer(serve: ServeFixture) -> None:
    """Guards against answers that do not identify their request."""
    url = serve(*FAST)
    fields = chat_body('hello', 5)
    answer = call('POST', url + CHAT_PATH, fields, X_Request_Id='r1')
    text = answer['choices'][0]['message']['content']
    assert text == answer_text(fields['messages'], 5)
    assert answer['request_id'] == 'r1'
    assert answer['usage']['completion_tokens'] == 5


def test_engine_stream(serve: ServeFixture) -> None:
    """Guards against a stream without its usage or end marker."""
    url = serve(*FAST)
    fields = chat_body('hello', 5)
    events = read_stream(url, fields, 'r1')
    assert join_tokens(events) == answer_text(fields['messages'], 5)
    assert events[-1] == '[DONE]'
    assert events[-2]['usage']['completion_tokens'] == 5


@pytest.mark.parametrize('clean', [False, True])
def test_engine_resume(serve: ServeFixture, clean: bool) -> None:
    """Guards against a resumed stream that repeats or skips tokens."""
    url = serve(*FAST)
    fields = chat_body('hello', 6)
    fault = {'truncate': 2, 'truncate_clean': clean, 'count': 1}
    call('POST', f'{url}/fault', fault)
    first = read_stream(url, fields, 'r1')
    assert '[DONE]' not in first
    rest = read_stream(url, {**fields, 'resume_from': 2}, 'r1')
    whole = join_tokens(first) + join_tokens(rest)
    assert whole == answer_text(fields['messages'], 6)


def test_engine_resume_unknown(serve: ServeFixture) -> None:
    """Guards against resuming a stream that the engine does not know."""
    url = serve(*FAST)
    fields = chat_body('hello', 6, resume_from=2)
    answer = call('POST', url + CHAT_PATH, fields, X_Request_Id='r1')
    assert answer['error']['code'] == 'resume_unknown'


def test_engine_swap(serve: ServeFixture) -> None:
    """Guards against a swapped answer that cannot be recognized."""
    url = serve(*FAST)
    call('POST', url + CHAT_PATH, chat_body('one', 3), X_Request_Id='r1')
    call('POST', f'{url}/fault', {'swap': True})
    fields = chat_body('two', 3)
    answer = call('POST', url + CHAT_PATH, fields, X_Request_Id='r2')
    text = answer['choices'][0]['message']['content']
    assert answer['request_id'] == 'r1'
    assert text != answer_text(fields['messages'], 3)


def test_engine_priority(serve: ServeFixture) -> None:
    """Guards against a queue that ignores X-Priority."""
    url = serve(*FAST, '--slots', '1', '--load-lag-s', '0')
    running: queue.Queue[tuple[str, urllib3.BaseHTTPResponse]] = queue.Queue()

    def start(priority: str) -> None:
        answer = _start_endless_stream(url, X_Priority=priority)
        running.put((priority, answer))

    # Each stream holds the only slot until it is closed. Both others are
    # queued before the first one is closed.
    holder = _start_endless_stream(url)
    for waiting, priority in enumerate(('5', '1'), start=1):
        threading.Thread(target=start, args=(priority,)).start()
        _wait_for_load(url, 'queue', waiting)
    holder.close()
    order = []
    for _ in range(2):
        priority, answer = running.get()
        order.append(priority)
        answer.close()
    assert order == ['1', '5']


def test_engine_cancel(serve: ServeFixture) -> None:
    """Guards against a slot that is not freed after a disconnect."""
    url = serve(*FAST, '--load-lag-s', '0')
    answer = _start_endless_stream(url)
    _wait_for_load(url, 'slots_used', 1)
    answer.close()
    _wait_for_load(url, 'slots_used', 0)


def test_engine_prefix_cache(serve: ServeFixture) -> None:
    """Guards against an unbounded cache and missing eviction events."""
    url = serve(*FAST, '--cache-blocks', '4', '--cache-event-delay-s', '0')
    cached = []
    prompt = ' '.join(f'w{index}' for index in range(63))
    for text in (prompt, prompt, 'x ' * 63):
        answer = call('POST', url + CHAT_PATH, chat_body(text, 1))
        cached.append(answer['usage']['prompt_tokens_details']['cached_tokens'])
    assert cached == [0, 64, 0]
    kinds = [
        event['kind'] for event in call('GET', f'{url}/cache-events')['events']
    ]
    assert kinds.count('stored') == 8
    assert kinds.count('evicted') == 4


def test_engine_kv_transfer(serve: ServeFixture) -> None:
    """Guards against a KV import that does not avoid prefill."""
    source, target = serve(*FAST), serve(*FAST)
    fields = chat_body('a b c ' * 11, 1)
    call('POST', source + CHAT_PATH, fields)
    blob = HTTP.request('POST', f'{source}/kv/export', json=fields).data
    HTTP.request('POST', f'{target}/kv/import', body=blob)
    answer = call('POST', target + CHAT_PATH, fields)
    assert answer['usage']['prompt_tokens_details']['cached_tokens'] == 32
    damaged = HTTP.request('POST', f'{target}/kv/import', body=blob[:-1])
    assert damaged.status == 400


@pytest.mark.parametrize(('option', 'status'), [('', 409), ('ignore', 200)])
def test_engine_fencing(serve: ServeFixture, option: str, status: int) -> None:
    """Guards against stale commands that are accepted without the option."""
    more = ('--ignore-fencing',) if option else ()
    url = serve(*FAST, '--load-s', '0', *more)
    for fencing, expected in ((2, 200), (1, status)):
        command = {'fencing': fencing, 'action': 'load', 'model': 'm'}
        answer = HTTP.request('POST', f'{url}/orders', json=command)
        assert answer.status == expected
    assert 'm' in [
        model['id'] for model in call('GET', f'{url}/v1/models')['data']
    ]


def test_engine_weight_store(serve: ServeFixture) -> None:
    """Guards against loads that ignore the weight store rate limit."""
    store = serve('platform', '--weight-rate', '0.01', '--weight-burst', '1')
    url = serve(*FAST, '--load-s', '0', '--weight-store', store)
    statuses = [
        HTTP.request(
            'POST',
            f'{url}/orders',
            json={'fencing': 1, 'action': 'load', 'model': model},
        ).status
        for model in ('m', 'n')
    ]
    assert statuses == [200, 503]
    models = call('GET', f'{url}/v1/models')['data']
    assert [model['id'] for model in models] == ['chat', 'm']


def test_engine_received(serve: ServeFixture) -> None:
    """Guards against a journal that omits headers such as Authorization."""
    url = serve(*FAST)
    call('POST', url + CHAT_PATH, chat_body('a', 1), Authorization='Bearer k')
    received = call('GET', f'{url}/received')['received']
    assert ['Authorization', 'Bearer k'] in received[0]['headers']


def test_engine_load_lags(serve: ServeFixture) -> None:
    """Guards against a load report that is fresher than the option says."""
    url = serve(*FAST, '--load-lag-s', '0.3')
    time.sleep(0.4)
    lag_s = 0.3
    assert call('GET', f'{url}/load')['age_s'] >= lag_s


def test_engine_freeze(serve: ServeFixture) -> None:
    """Guards against a frozen engine that still answers."""
    url = serve(*FAST)
    call('POST', f'{url}/fault', {'freeze': True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('GET', f'{url}/load', timeout=0.2)
    call('POST', f'{url}/fault', {})
    assert call('GET', f'{url}/load')['slots'] == 8


def _start_endless_stream(url: str, **headers: str) -> urllib3.BaseHTTPResponse:
    answer = HTTP.request(
        'POST',
        url + CHAT_PATH,
        json=chat_body('hello', 10_000_000, stream=True),
        headers={key.replace('_', '-'): headers[key] for key in headers},
        preload_content=False,
    )
    assert answer.read(10)
    return answer


def _wait_for_load(url: str, field: str, expected: Any) -> None:
    while call('GET', f'{url}/load')[field] != expected:
        time.sleep(0.01)
