"""Writes ended spans to a file as JSON lines."""

from __future__ import annotations

import logging
from pathlib import Path
from queue import Empty, Full, Queue
from threading import Thread
from typing import Final

from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor

# Spans that wait for the writer. A request never waits for a slow disk:
# further spans are dropped and counted.
_MAX_WAITING_SPANS: Final = 1024
_MAX_BATCH: Final = 256

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
        lines = [span.to_json(indent=None) for span in batch]
        try:
            self._append(lines)
        except OSError as exc:
            self.dropped += len(lines)
            _log.warning('spans could not be written: %s', exc.strerror)

    def _append(self, lines: list[str]) -> None:
        with self._path.open('a', encoding='utf-8') as spans:
            spans.writelines(f'{line}\n' for line in lines)
