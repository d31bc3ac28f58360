"""Reads one trace from span files and formats it as a tree."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from apricotcart.errors.tree import NotFoundError

_INDENT = '  '


class SpanRecord:
    """One span of a trace, as read from a span file."""

    __slots__ = (
        'attributes',
        'duration_s',
        'host',
        'name',
        'parent_id',
        'service',
        'span_id',
        'start_s',
        'status',
    )

    def __init__(self, fields: dict[str, Any]) -> None:
        """Initialize the span from its decoded JSON object."""
        resource_attributes = fields['resource']['attributes']
        self.name: str = fields['name']
        self.span_id: str = fields['context']['span_id']
        self.parent_id: str | None = fields['parent_id']
        self.start_s = _unix_seconds(fields['start_time'])
        self.duration_s = _unix_seconds(fields['end_time']) - self.start_s
        self.status: dict[str, str] = fields['status']
        self.attributes: dict[str, Any] = fields['attributes']
        self.host: str = resource_attributes.get('host.name', '?')
        self.service: str = resource_attributes.get('service.name', '?')

    def format_line(self, trace_start_s: float) -> str:
        """Return the span formatted as one line.

        Parameters
        ----------
        trace_start_s : float
            Unix time of the start of the trace in seconds; the start of the
            span is shown as an offset from it.
        """
        offset_ms = (self.start_s - trace_start_s) * 1000
        duration_ms = self.duration_s * 1000
        parts = [
            self.name,
            f'{self.service}@{self.host}',
            f'+{offset_ms:.1f}ms',
            f'{duration_ms:.1f}ms',
        ]
        if self.status['status_code'] == 'ERROR':
            code = self.status.get('description', '')
            parts.append(f'error={code}')
        attributes = sorted(self.attributes.items())
        parts.extend(f'{name}={field}' for name, field in attributes)
        return ' '.join(parts)


class Trace:
    """The spans of one trace, grouped by parent span."""

    __slots__ = ('_children', '_spans')

    def __init__(self, spans: Iterable[SpanRecord]) -> None:
        """Sort the spans by start time and group them by parent."""
        self._spans = sorted(spans, key=lambda span: span.start_s)
        span_ids = {span.span_id for span in self._spans}
        self._children: dict[str | None, list[SpanRecord]] = {}
        for span in self._spans:
            # A span whose parent is not in the given files becomes a root.
            parent_id = span.parent_id if span.parent_id in span_ids else None
            self._children.setdefault(parent_id, []).append(span)

    def format_tree(self) -> str:
        """Return the trace, one span per line, indented below its parent."""
        return '\n'.join(self._tree_lines(None, 0))

    def _tree_lines(self, parent_id: str | None, depth: int) -> Iterator[str]:
        start_s = self._spans[0].start_s
        for span in self._children.get(parent_id, []):
            yield _INDENT * depth + span.format_line(start_s)
            yield from self._tree_lines(span.span_id, depth + 1)


def read_trace(paths: Iterable[str], trace_id: str) -> Trace:
    """Read the spans of one trace.

    Parameters
    ----------
    paths : iterable of str
        Paths of the span files, one per host.
    trace_id : str
        Trace id of 32 hexadecimal digits, or a ``traceparent`` header.

    Raises
    ------
    NotFoundError
        If no file contains a span of the trace.
    OSError
        If a file cannot be read.
    """
    wanted_id = _bare_trace_id(trace_id)
    spans = [
        span for path in paths for span in _read_spans(Path(path), wanted_id)
    ]
    if not spans:
        raise NotFoundError(f'no span of trace {wanted_id} in the given files')
    return Trace(spans)


def _read_spans(path: Path, wanted_id: str) -> Iterator[SpanRecord]:
    with path.open(encoding='utf-8') as span_file:
        for line in span_file:
            # Skips decoding of lines that belong to other traces.
            if wanted_id in line:
                yield from _decode_span(line, wanted_id)


def _decode_span(line: str, wanted_id: str) -> Iterator[SpanRecord]:
    try:
        fields = json.loads(line)
    except ValueError:
        # The last line of a host that was killed may be incomplete.
        return
    if fields['context']['trace_id'] == f'0x{wanted_id}':
        yield SpanRecord(fields)


def _bare_trace_id(trace_id: str) -> str:
    parts = trace_id.lower().split('-')
    bare_id = parts[1] if len(parts) > 1 else parts[0]
    return bare_id.removeprefix('0x')


def _unix_seconds(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()
