"""The metrics of one process and the page that shows them."""

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
_STATM: Final = '/proc/self/statm'
_NO_LABELS: Final[Mapping[str, str]] = MappingProxyType({})


class MetricError(ApricotcartError):
    """A metric was given labels that it does not declare."""

    code = 'metric'


class Metrics:
    """Counts, gauges and histograms, safe to use from several threads."""

    __slots__ = ('_collectors', '_lock', '_registry', '_sources')

    def __init__(self) -> None:
        """Create every declared metric."""
        # The library reads and writes a value in two steps, and renders
        # while iterating over its values, so both need the lock.
        self._lock = Lock()
        self._registry = Registry()
        self._sources: list[Callable[[], None]] = []
        self._collectors = {
            metric.name: self._collector(metric) for metric in METRICS
        }

    def count(
        self,
        metric: Metric,
        labels: Mapping[str, str] = _NO_LABELS,
        amount: float = 1,
    ) -> None:
        """Add to a counter."""
        collector = self._checked(metric, labels)
        with self._lock:
            collector.add(dict(labels), amount)

    def gauge(
        self,
        metric: Metric,
        level: float,
        labels: Mapping[str, str] = _NO_LABELS,
    ) -> None:
        """Set a gauge."""
        collector = self._checked(metric, labels)
        with self._lock:
            collector.set(dict(labels), level)

    def observe(
        self,
        metric: Metric,
        seconds: float,
        labels: Mapping[str, str] = _NO_LABELS,
    ) -> None:
        """Add an observation to a histogram."""
        collector = self._checked(metric, labels)
        with self._lock:
            collector.observe(dict(labels), seconds)

    def total(self, metric: Metric, amount: float) -> None:
        """Set a counter without labels that is counted elsewhere."""
        collector = self._checked(metric, _NO_LABELS)
        with self._lock:
            collector.set({}, amount)

    def add_source(self, update: Callable[[], None]) -> None:
        """Have something set its metrics whenever the page is read."""
        self._sources.append(update)

    def page(self) -> tuple[bytes, str]:
        """Give the page in Prometheus text form, and its content type."""
        self.gauge(RESIDENT_BYTES, _resident_bytes())
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
        """Serve the page at ``/metrics``; a WSGI application."""
        if environ.get('PATH_INFO') != _PAGE_PATH:
            start_response('404 Not Found', [('Content-Length', '0')])
            return []
        body, content_type = self.page()
        start_response(
            '200 OK',
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _collector(self, metric: Metric) -> Any:
        common = {'registry': self._registry}
        if metric.form == COUNTER:
            return Counter(metric.name, metric.meaning, **common)
        if metric.form == GAUGE:
            return Gauge(metric.name, metric.meaning, **common)
        buckets = list(LATENCY_BUCKETS_S)
        return Histogram(metric.name, metric.meaning, buckets=buckets, **common)

    def _checked(self, metric: Metric, labels: Mapping[str, str]) -> Any:
        if labels.keys() != metric.labels:
            raise MetricError(
                f'{metric.name} takes the labels {sorted(metric.labels)},'
                f' not {sorted(labels)}',
            )
        return self._collectors[metric.name]


def _resident_bytes() -> int:
    with open(_STATM, encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()
