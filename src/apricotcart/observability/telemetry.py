"""Bundles the tracer and the metrics of one process."""

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

_NO_ATTRIBUTES: Final[Mapping[str, Any]] = MappingProxyType({})


class Hop:
    """An open span of one hop of a request.

    Attributes
    ----------
    fields : dict
        Attributes to set when the span ends.
    """

    __slots__ = ('fields', 'span', 'tracer')

    def __init__(self, tracer: Tracer, span: Span) -> None:
        self.tracer = tracer
        self.span = span
        self.fields: dict[str, Any] = {}

    def traceparent(self) -> str:
        """Return the ``traceparent`` header for requests below this hop."""
        return traceparent_of(self.span)

    def end(self, error_code: str | None = None) -> None:
        """End the span; ``error_code`` marks it as failed."""
        end_hop(self.span, self.fields, error_code)

    @contextmanager
    def child(
        self,
        name: str,
        attributes: Mapping[str, Any] = _NO_ATTRIBUTES,
    ) -> Iterator[Hop]:
        """Open a child span and end it when the block is left.

        An ``ApricotcartError`` sets its code as the error of the span; any
        other exception sets ``cancelled``.
        """
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
    """Tracer and metrics of one process."""

    __slots__ = ('metrics', 'tracer')

    def __init__(self, tracer: Tracer, metrics: Metrics) -> None:
        self.tracer = tracer
        self.metrics = metrics
        metrics.add_scrape_hook(self._update_dropped_totals)

    def open_hop(
        self,
        name: str,
        traceparent: str | None,
        attributes: Mapping[str, Any] = _NO_ATTRIBUTES,
    ) -> Hop:
        """Open the span of an incoming request."""
        span = self.tracer.start_hop(name, traceparent, attributes)
        return Hop(self.tracer, span)

    def _update_dropped_totals(self) -> None:
        self.metrics.set_total(DROPPED_SPANS, self.tracer.dropped)
        self.metrics.set_total(DROPPED_LOG_RECORDS, dropped_records())
