"""Reads one trace from span files and shows it as a tree."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from apricotcart.errors.tree import NotFoundError

_INDENT = '  '


class SpanRow:
    """One span of a trace as read from a file."""

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
        """Take the parts from the span's JSON form."""
        origin = fields['resource']['attributes']
        self.name: str = fields['name']
        self.span_id: str = fields['context']['span_id']
        self.parent_id: str | None = fields['parent_id']
        self.start_s = _seconds(fields['start_time'])
        self.duration_s = _seconds(fields['end_time']) - self.start_s
        self.status: dict[str, str] = fields['status']
        self.attributes: dict[str, Any] = fields['attributes']
        self.host: str = origin.get('host.name', '?')
        self.service: str = origin.get('service.name', '?')

    def line(self, trace_start_s: float) -> str:
        """Show the span on one line.

        Parameters
        ----------
        trace_start_s : float
            Start of the trace, from which the span's start is counted.
        """
        offset_ms = (self.start_s - trace_start_s) * 1000
        duration_ms = self.duration_s * 1000
        words = [
            self.name,
            f'{self.service}@{self.host}',
            f'+{offset_ms:.1f}ms',
            f'{duration_ms:.1f}ms',
        ]
        if self.status['status_code'] == 'ERROR':
            code = self.status.get('description', '')
            words.append(f'error={code}')
        attributes = sorted(self.attributes.items())
        words.extend(f'{name}={field}' for name, field in attributes)
        return ' '.join(words)


class Trace:
    """The spans of one trace, by their parents."""

    __slots__ = ('_children', '_rows')

    def __init__(self, rows: Iterable[SpanRow]) -> None:
        """Sort the spans by start and group them by parent."""
        self._rows = sorted(rows, key=lambda row: row.start_s)
        known = {row.span_id for row in self._rows}
        self._children: dict[str | None, list[SpanRow]] = {}
        for row in self._rows:
            # A span whose parent is in no file given is shown at the top.
            parent = row.parent_id if row.parent_id in known else None
            self._children.setdefault(parent, []).append(row)

    def tree(self) -> str:
        """Show the trace, one span a line, indented below its parent."""
        return '\n'.join(self._lines(None, 0))

    def _lines(self, parent: str | None, depth: int) -> Iterator[str]:
        start_s = self._rows[0].start_s
        for row in self._children.get(parent, []):
            yield _INDENT * depth + row.line(start_s)
            yield from self._lines(row.span_id, depth + 1)


def read_trace(paths: Iterable[str], trace_id: str) -> Trace:
    """Read the spans of one trace.

    Parameters
    ----------
    paths : iterable of str
        Span files, one for each host.
    trace_id : str
        32 hexadecimal digits, or a ``traceparent`` header.

    Raises
    ------
    NotFoundError
        If no file has a span of the trace.
    OSError
        If a file cannot be read.
    """
    wanted = _plain_id(trace_id)
    rows = [row for path in paths for row in _rows(Path(path), wanted)]
    if not rows:
        raise NotFoundError(f'no span of trace {wanted}')
    return Trace(rows)


def _rows(path: Path, wanted: str) -> Iterator[SpanRow]:
    with path.open(encoding='utf-8') as spans:
        for line in spans:
            # Most lines are of other traces and are not decoded.
            if wanted in line:
                yield from _decode(line, wanted)


def _decode(line: str, wanted: str) -> Iterator[SpanRow]:
    try:
        fields = json.loads(line)
    except ValueError:
        # The last line of a host that was killed may be incomplete.
        return
    if fields['context']['trace_id'] == f'0x{wanted}':
        yield SpanRow(fields)


def _plain_id(trace_id: str) -> str:
    parts = trace_id.lower().split('-')
    plain = parts[1] if len(parts) > 1 else parts[0]
    return plain.removeprefix('0x')


def _seconds(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()
