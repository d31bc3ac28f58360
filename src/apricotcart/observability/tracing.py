"""Creates one span per hop of a request, with W3C trace context."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, Self

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanLimits, TracerProvider
from opentelemetry.sdk.trace.sampling import ALWAYS_OFF, ALWAYS_ON
from opentelemetry.trace import (
    Span,
    SpanKind,
    Status,
    StatusCode,
    format_trace_id,
)
from opentelemetry.trace.propagation import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from apricotcart.observability.redaction import MAX_TEXT_CHARS, safe_fields
from apricotcart.observability.span_writer import SpanWriter
from apricotcart.settings.common import TracingSettings

_TRACEPARENT_HEADER: Final = 'traceparent'
_MAX_ATTRIBUTES: Final = 32
_NO_ATTRIBUTES: Final[Mapping[str, Any]] = MappingProxyType({})

_propagator = TraceContextTextMapPropagator()


class Tracer:
    """Creates the spans of one process.

    Parameters
    ----------
    service : str
        ``entry`` or ``control``.
    host : str
        Name of the host.
    writer : SpanWriter or None
        Receives ended spans. If it is None, no span is recorded, but the
        trace context is still propagated.
    """

    __slots__ = ('_provider', '_tracer', '_writer')

    def __init__(
        self, service: str, host: str, writer: SpanWriter | None
    ) -> None:
        self._writer = writer
        # Every request is recorded, whatever the caller's sampled flag: the
        # flag only states whether the caller records its own spans.
        self._provider = TracerProvider(
            sampler=ALWAYS_ON if writer else ALWAYS_OFF,
            resource=Resource({'service.name': service, 'host.name': host}),
            shutdown_on_exit=False,
            span_limits=SpanLimits(
                max_span_attributes=_MAX_ATTRIBUTES,
                max_span_attribute_length=MAX_TEXT_CHARS,
            ),
        )
        if writer:
            self._provider.add_span_processor(writer)
        self._tracer = self._provider.get_tracer('apricotcart')

    @classmethod
    def from_config(cls, cfg: TracingSettings, service: str, host: str) -> Self:
        """Create a tracer that writes to the configured file, if any."""
        writer = SpanWriter(cfg.file) if cfg.file else None
        return cls(service, host, writer)

    @property
    def dropped(self) -> int:
        """Number of spans that the writer dropped."""
        return self._writer.dropped if self._writer else 0

    def start_hop(
        self,
        name: str,
        traceparent: str | None = None,
        attributes: Mapping[str, Any] = _NO_ATTRIBUTES,
    ) -> Span:
        """Start the span of an incoming request.

        Parameters
        ----------
        name : str
            Name of the operation, such as ``chat``.
        traceparent : str or None
            Value of the request's header; if it is missing or invalid, a
            new trace is started.
        attributes : mapping
            Attributes of the span; names that are not allowed fields are
            left out.
        """
        carrier = {_TRACEPARENT_HEADER: traceparent} if traceparent else {}
        return self._tracer.start_span(
            name,
            context=_propagator.extract(carrier),
            kind=SpanKind.SERVER,
            attributes=safe_fields(attributes),
        )

    def start_child(
        self,
        parent: Span,
        name: str,
        attributes: Mapping[str, Any] = _NO_ATTRIBUTES,
    ) -> Span:
        """Start the span of an outgoing request made to handle ``parent``."""
        return self._tracer.start_span(
            name,
            context=set_span_in_context(parent),
            kind=SpanKind.CLIENT,
            attributes=safe_fields(attributes),
        )

    def close(self) -> None:
        """Write the queued spans and stop the writer."""
        self._provider.shutdown()


def traceparent_of(span: Span) -> str:
    """Return the ``traceparent`` header for requests below the span."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, context=set_span_in_context(span))
    return carrier[_TRACEPARENT_HEADER]


def trace_id_of(span: Span) -> str:
    """Return the span's trace id as 32 hexadecimal digits."""
    return format_trace_id(span.get_span_context().trace_id)


def end_hop(
    span: Span,
    attributes: Mapping[str, Any] = _NO_ATTRIBUTES,
    error_code: str | None = None,
) -> None:
    """Set the final attributes and error status of a span, and end it.

    Parameters
    ----------
    span : Span
        The span to end.
    attributes : mapping
        Attributes known only at the end; None values are left out.
    error_code : str or None
        Error code of the failure; None if the hop succeeded.
    """
    if error_code:
        span.set_status(Status(StatusCode.ERROR, error_code))
    for name, field in safe_fields(attributes).items():
        if field is not None:
            span.set_attribute(name, field)
    span.end()
