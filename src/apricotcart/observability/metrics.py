"""The metrics of one process and their Prometheus page."""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable, Mapping
from threading import Lock
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.catalogue import (
    COUNTER,
    GAUGE,
    LATENCY_BUCKETS_S,
    METRICS,
    RESIDENT_BYTES,
    Metric,
)

if TYPE_CHECKING:
    from wsgiref.types import StartResponse, WSGIEnvironment

_PAGE_PATH: Final = '/metrics'
_STATM_PATH: Final = '/proc/self/statm'
_NO_LABELS: Final[Mapping[str, str]] = MappingProxyType({})


class MetricError(ApricotcartError):
    """The labels of a sample differ from those the metric declares."""

    code = 'metric'


class Metrics:
    """Thread-safe counters, gauges and histograms of one process."""

    __slots__ = ('_collectors', '_lock', '_registry', '_sources')

    def __init__(self) -> None:
        """Register every metric of the catalogue."""
        # aioprometheus updates a value by a separate read and write, and
        # renders while iterating over its values, so both need the lock.
        self._lock = Lock()
        self._registry = Registry()
        self._sources: list[Callable[[], None]] = []
        self._collectors = {
            metric.name: self._create_collector(metric) for metric in METRICS
        }

    def count(
        self,
        metric: Metric,
        labels: Mapping[str, str] = _NO_LABELS,
        amount: float = 1,
    ) -> None:
        """Increment a counter by ``amount``."""
        collector = self._collector_for(metric, labels)
        with self._lock:
            collector.add(dict(labels), amount)

    def set_gauge(
        self,
        metric: Metric,
        level: float,
        labels: Mapping[str, str] = _NO_LABELS,
    ) -> None:
        """Set a gauge to ``level``."""
        collector = self._collector_for(metric, labels)
        with self._lock:
            collector.set(dict(labels), level)

    def observe(
        self,
        metric: Metric,
        seconds: float,
        labels: Mapping[str, str] = _NO_LABELS,
    ) -> None:
        """Record a duration in a histogram."""
        collector = self._collector_for(metric, labels)
        with self._lock:
            collector.observe(dict(labels), seconds)

    def set_total(self, metric: Metric, amount: float) -> None:
        """Set an unlabelled counter to a total that is counted elsewhere."""
        collector = self._collector_for(metric, _NO_LABELS)
        with self._lock:
            collector.set({}, amount)

    def add_scrape_hook(self, update: Callable[[], None]) -> None:
        """Register a callback that sets metrics before each rendering."""
        self._sources.append(update)

    def render(self) -> tuple[bytes, str]:
        """Return the page in Prometheus text format and its content type."""
        self.set_gauge(RESIDENT_BYTES, _resident_bytes())
        for update in self._sources:
            update()
        with self._lock:
            body, headers = render(self._registry, ())
        return bytes(body), str(headers['Content-Type'])

    def wsgi_app(
        self,
        environ: WSGIEnvironment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve the page at ``/metrics`` as a WSGI application."""
        if environ.get('PATH_INFO') != _PAGE_PATH:
            start_response('404 Not Found', [('Content-Length', '0')])
            return []
        body, content_type = self.render()
        start_response(
            '200 OK',
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _create_collector(self, metric: Metric) -> Any:
        common = {'registry': self._registry}
        if metric.kind == COUNTER:
            return Counter(metric.name, metric.description, **common)
        if metric.kind == GAUGE:
            return Gauge(metric.name, metric.description, **common)
        buckets = list(LATENCY_BUCKETS_S)
        return Histogram(
            metric.name, metric.description, buckets=buckets, **common
        )

    def _collector_for(self, metric: Metric, labels: Mapping[str, str]) -> Any:
        if labels.keys() != metric.labels:
            raise MetricError(
                f'metric {metric.name} expects the labels'
                f' {sorted(metric.labels)}, got {sorted(labels)}',
            )
        return self._collectors[metric.name]


def _resident_bytes() -> int:
    with open(_STATM_PATH, encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()
