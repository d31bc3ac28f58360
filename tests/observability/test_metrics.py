"""Tests of the metrics and their page."""

from __future__ import annotations

import re
from threading import Thread
from typing import Any

import pytest
import urllib3

from apricotcart.observability.catalogue import (
    FIRST_TOKEN_S,
    METRICS,
    QUEUED,
    REQUESTS,
)
from apricotcart.observability.metrics import MetricError, Metrics
from apricotcart.observability.metrics_server import MetricsServer


def test_metrics_page_values() -> None:
    """Guards against a page whose values differ from the recorded ones."""
    metrics = Metrics()
    labels = {'class': 'chat', 'outcome': 'ok'}
    metrics.count(REQUESTS, labels)
    metrics.count(REQUESTS, labels, 2)
    metrics.set_gauge(QUEUED, 7, {'class': 'chat'})
    metrics.observe(FIRST_TOKEN_S, 0.05, {'class': 'chat'})
    body, content_type = metrics.render()
    page = body.decode()
    assert content_type.startswith('text/plain')
    name = 'apricotcart_requests_total'
    assert f'{name}{{class="chat",outcome="ok"}} 3' in page
    assert 'apricotcart_queued_requests{class="chat"} 7' in page
    bucket = 'apricotcart_first_token_seconds_bucket'
    assert f'{bucket}{{class="chat",le="0.047"}} 0' in page
    assert f'{bucket}{{class="chat",le="0.1"}} 1' in page
    assert re.search('apricotcart_resident_bytes [1-9][0-9]{6,}', page)


def test_metrics_all_declared() -> None:
    """Guards against a declared metric that is missing on the page."""
    page = Metrics().render()[0].decode()
    for metric in METRICS:
        assert f'# TYPE {metric.name} ' in page


def test_metrics_wrong_labels() -> None:
    """Guards against series whose labels differ from the declared ones."""
    with pytest.raises(MetricError, match='outcome'):
        Metrics().count(REQUESTS, {'customer': 'acme'})


def test_metrics_counts_from_threads() -> None:
    """Guards against lost counts and rendering errors under concurrency."""
    metrics = Metrics()
    errors: list[Exception] = []

    def count(number: int) -> None:
        try:
            for index in range(40):
                labels = {'class': f'c{index}', 'outcome': str(number)}
                metrics.count(REQUESTS, labels)
                metrics.render()
        except Exception as exc:
            errors.append(exc)

    threads = [Thread(target=count, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    page = metrics.render()[0].decode()
    assert not errors
    counts = re.findall('apricotcart_requests_total{.*} ([0-9]+)', page)
    assert sum(map(int, counts)) == 320


def test_metrics_wsgi_app() -> None:
    """Guards against a page that a scraper cannot fetch."""
    seen: list[Any] = []
    metrics = Metrics()

    def start_response(status: str, headers: Any, exc: Any = None) -> Any:
        seen.append((status, dict(headers)))

    body = metrics.wsgi_app({'PATH_INFO': '/metrics'}, start_response)
    metrics.wsgi_app({'PATH_INFO': '/other'}, start_response)
    assert [status for status, _ in seen] == ['200 OK', '404 Not Found']
    assert seen[0][1]['Content-Length'] == str(len(b''.join(body)))


def test_metrics_server_serves_page() -> None:
    """Guards against a page that is not served over the network."""
    metrics = Metrics()
    metrics.count(REQUESTS, {'class': 'chat', 'outcome': 'ok'})
    server = MetricsServer(metrics, '127.0.0.1', 0).start()
    url = f'http://127.0.0.1:{server.port}'
    with urllib3.PoolManager(retries=False) as http:
        page = http.request('GET', f'{url}/metrics')
        other = http.request('GET', f'{url}/')
    server.stop()
    assert page.status == 200
    assert b'apricotcart_requests_total{class="chat"' in page.data
    assert other.status == 404
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request('GET', url, retries=False)


def test_metrics_server_port_taken() -> None:
    """Guards against a host that runs without its page: its port is in use."""
    first = MetricsServer(Metrics(), '127.0.0.1', 0).start()
    with pytest.raises(OSError, match='No socket could be created'):
        MetricsServer(Metrics(), '127.0.0.1', first.port).start()
    first.stop()
