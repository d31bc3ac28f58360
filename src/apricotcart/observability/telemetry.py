"""Tracer and metrics of one process, handed to what uses them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any, Final

from opentelemetry.trace import Span

from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.catalogue import (
    DROPPED_LOG_RECORDS,
    DROPPED_SPANS,
)
from apricotcart.observability.logs import dropped_records
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.tracing import (
    Tracer,
    end_hop,
    traceparent_of,
)

_NONE: Final[Mapping[str, Any]] = MappingProxyType({})


class Hop:
    """One span that is open.

    Attributes
    ----------
    fields : dict
        Attributes added when the span ends.
    """

    __slots__ = ('fields', 'span', 'tracer')

    def __init__(self, tracer: Tracer, span: Span) -> None:
        """Keep the span."""
        self.tracer = tracer
        self.span = span
        self.fields: dict[str, Any] = {}

    def traceparent(self) -> str:
        """Give the header that makes the next hop a child of this one."""
        return traceparent_of(self.span)

    def end(self, error_code: str | None = None) -> None:
        """End the span."""
        end_hop(self.span, self.fields, error_code)

    @contextmanager
    def child(
        self,
        name: str,
        attributes: Mapping[str, Any] = _NONE,
    ) -> Iterator[Hop]:
        """Open a child span; a typed failure marks it."""
        span = self.tracer.start_child(self.span, name, attributes)
        hop = Hop(self.tracer, span)
        try:
            yield hop
        except ApricotcartError as exc:
            hop.end(exc.code)
            raise
        except BaseException:
            hop.end('cancelled')
            raise
        hop.end()


class Telemetry:
    """Tracer and metrics."""

    __slots__ = ('metrics', 'tracer')

    def __init__(self, tracer: Tracer, metrics: Metrics) -> None:
        """Keep both."""
        self.tracer = tracer
        self.metrics = metrics
        metrics.add_source(self._count_dropped)

    def open_hop(
        self,
        name: str,
        traceparent: str | None,
        attributes: Mapping[str, Any] = _NONE,
    ) -> Hop:
        """Open the span of a request that came in."""
        span = self.tracer.start_hop(name, traceparent, attributes)
        return Hop(self.tracer, span)

    def _count_dropped(self) -> None:
        self.metrics.total(DROPPED_SPANS, self.tracer.dropped)
        self.metrics.total(DROPPED_LOG_RECORDS, dropped_records())
