"""Writes ended spans to a file as JSON lines."""

from __future__ import annotations

import logging
from datetime import UTC, datetime
from pathlib import Path
from queue import Empty, Full, Queue
from threading import Thread
from typing import Any, Final

import orjson
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor
from opentelemetry.trace import format_span_id, format_trace_id

# Spans that wait for the writer. A request never waits for a slow disk:
# further spans are dropped and counted.
_MAX_WAITING_SPANS: Final = 1024
_MAX_BATCH: Final = 256

_NS_A_S: Final = 1_000_000_000
_NS_A_US: Final = 1000

_log = logging.getLogger(__name__)


class SpanWriter(SpanProcessor):
    """Takes ended spans and has a thread write them.

    Parameters
    ----------
    path : str
        The file, which is opened for appending. If it cannot be written,
        its spans are dropped and counted.
    """

    def __init__(self, path: str) -> None:
        """Start the thread."""
        self.dropped = 0
        self._path = Path(path)
        self._queue: Queue[ReadableSpan | None] = Queue(_MAX_WAITING_SPANS)
        self._thread = Thread(
            target=self._write_all, name='span-writer', daemon=True
        )
        self._thread.start()

    def on_end(self, span: ReadableSpan) -> None:
        """Queue the span, or count it as dropped."""
        try:
            self._queue.put_nowait(span)
        except Full:
            self.dropped += 1

    def shutdown(self) -> None:
        """Write the spans that wait, and end the thread."""
        self._queue.put(None)
        self._thread.join()

    def _write_all(self) -> None:
        running = True
        while running:
            batch = [self._queue.get()]
            self._take_more(batch)
            running = batch[-1] is not None
            self._write([span for span in batch if span is not None])

    def _take_more(self, batch: list[ReadableSpan | None]) -> None:
        while batch[-1] is not None and len(batch) < _MAX_BATCH:
            try:
                batch.append(self._queue.get_nowait())
            except Empty:
                return

    def _write(self, batch: list[ReadableSpan]) -> None:
        lines = [span_line(span) for span in batch]
        try:
            self._append(lines)
        except OSError as exc:
            self.dropped += len(lines)
            _log.warning('spans could not be written: %s', exc.strerror)

    def _append(self, lines: list[bytes]) -> None:
        with self._path.open('ab') as spans:
            spans.writelines(lines)


def span_line(span: ReadableSpan) -> bytes:
    """Give a span as a JSON line in the library's own form.

    The library's ``to_json`` took 91 us a span, which the request threads
    wait for, since they share the interpreter lock with the writer.
    """
    context: Any = span.get_span_context()
    parent = span.parent
    document: dict[str, Any] = {
        'name': span.name,
        'context': {
            'trace_id': f'0x{format_trace_id(context.trace_id)}',
            'span_id': _span_id(context.span_id),
            'trace_state': '[]',
        },
        'kind': str(span.kind),
        'parent_id': _span_id(parent.span_id) if parent else None,
        'start_time': _time_text(span.start_time),
        'end_time': _time_text(span.end_time),
        'status': _status(span),
        'attributes': dict(span.attributes or {}),
        'events': [],
        'links': [],
        'resource': {
            'attributes': dict(span.resource.attributes),
            'schema_url': '',
        },
    }
    return orjson.dumps(document, option=orjson.OPT_APPEND_NEWLINE)


def _span_id(number: int) -> str:
    return f'0x{format_span_id(number)}'


def _time_text(at_ns: int | None) -> str | None:
    if at_ns is None:
        return None
    seconds, rest_ns = divmod(at_ns, _NS_A_S)
    at = datetime.fromtimestamp(seconds, tz=UTC)
    at = at.replace(microsecond=rest_ns // _NS_A_US)
    return at.isoformat(timespec='microseconds').replace('+00:00', 'Z')


def _status(span: ReadableSpan) -> dict[str, str]:
    status = {'status_code': span.status.status_code.name}
    if span.status.description:
        status['description'] = span.status.description
    return status
