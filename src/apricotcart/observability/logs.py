"""Log of a process: text or JSON lines, written by a thread."""

from __future__ import annotations

import logging
import sys
import threading
from contextlib import suppress
from logging.handlers import QueueHandler, QueueListener, WatchedFileHandler
from queue import Full, Queue
from types import MappingProxyType
from typing import Any, Final, Self, TextIO

from pythonjsonlogger.json import JsonFormatter

from apricotcart.observability.log_records import (
    RedactionFilter,
    TextFormatter,
    utc_time,
)
from apricotcart.settings.common import LogSettings

# Capacity of the queue of records to write. Requests must not wait for a slow
# log, so records beyond it are dropped and counted.
_MAX_QUEUED_RECORDS: Final = 2000
# Time for the last records once the log is closed: to queue the end, and then
# to write.
_CLOSE_TIMEOUT_S: Final = 0.1
_JSON_FIELDS: Final = ('levelname', 'name', 'message')
_RENAMED_FIELDS: Final = MappingProxyType(
    {
        'levelname': 'level',
        'name': 'logger',
        'exc_info': 'exception',
    }
)

_log = logging.getLogger(__name__)


class DroppingQueueHandler(QueueHandler):
    """Queues records for the writer thread without blocking."""

    def __init__(self, queue: Queue[Any]) -> None:
        """Initialize the handler with a count of 0 dropped records."""
        super().__init__(queue)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record, or count it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the filter has formatted it."""
        return record


class BoundedListener(QueueListener):
    """Writes queued records on a thread, which `stop` does not wait for long.

    A process that ends must not wait for an output that nobody reads.
    """

    queue: Any
    _sentinel: Any
    _thread: Any

    def stop(self) -> None:
        """Write what is queued, for a short time."""
        thread = self._thread
        if thread is None:
            return
        with suppress(Full):
            self.queue.put(self._sentinel, timeout=_CLOSE_TIMEOUT_S)
        thread.join(_CLOSE_TIMEOUT_S)
        self._thread = None


class HostJsonFormatter(JsonFormatter):
    """Formats a record as one JSON line with the host's name."""

    def __init__(self, host: str) -> None:
        """Initialize the formatter for the host of that name."""
        super().__init__(_JSON_FIELDS, rename_fields=dict(_RENAMED_FIELDS))
        self._host = host

    def add_fields(
        self,
        log_data: dict[str, Any],  # noqa: WPS110 (the library's name)
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the time and the host's name."""
        log_data['time'] = utc_time(record.created)
        super().add_fields(log_data, record, message_dict)
        log_data.setdefault('host', self._host)


class Log:
    """The installed log of the process.

    Parameters
    ----------
    queue_handler : DroppingQueueHandler
        Handler of the root logger, which queues the records.
    target : logging.Handler
        Handler that writes the queued records.
    """

    __slots__ = ('_queue_handler', '_listener', '_target')

    def __init__(
        self, queue_handler: DroppingQueueHandler, target: logging.Handler
    ) -> None:
        """Start the writer thread."""
        self._queue_handler = queue_handler
        self._target = target
        self._listener = BoundedListener(queue_handler.queue, target)
        self._listener.start()

    @classmethod
    def from_config(
        cls,
        cfg: LogSettings,
        host: str,
        stream: TextIO | None = None,
    ) -> Self:
        """Install the configured log on the root logger.

        Parameters
        ----------
        cfg : LogSettings
            Format, level and file of the log.
        host : str
            Name of the host, written with each JSON record.
        stream : TextIO or None
            Output used if no file is configured; standard error by default.
        """
        target = _file_or_stream_handler(cfg.file, stream)
        json_lines = cfg.format == 'json'
        target.setFormatter(
            HostJsonFormatter(host) if json_lines else TextFormatter(),
        )
        queue_handler = DroppingQueueHandler(Queue(_MAX_QUEUED_RECORDS))
        queue_handler.addFilter(RedactionFilter())
        root = logging.getLogger()
        for handler in tuple(root.handlers):
            root.removeHandler(handler)
        root.addHandler(queue_handler)
        _redirect_stderr_output()
        root.setLevel(cfg.level.upper())
        return cls(queue_handler, target)

    @property
    def dropped(self) -> int:
        """Number of records dropped because the queue was full."""
        return self._queue_handler.dropped

    def close(self) -> None:
        """Write the queued records and detach from the root logger."""
        logging.captureWarnings(capture=False)
        logging.getLogger().removeHandler(self._queue_handler)
        self._listener.stop()
        self._target.close()


def dropped_records() -> int:
    """Return the number of dropped log records of this process."""
    return sum(
        queue_handler.dropped
        for queue_handler in logging.getLogger().handlers
        if isinstance(queue_handler, DroppingQueueHandler)
    )


def _redirect_stderr_output() -> None:
    # By default, exceptions that end a thread, failures of logging itself and
    # warnings bypass the redaction filter and go to standard error.
    threading.excepthook = _log_thread_exception
    logging.raiseExceptions = False
    logging.captureWarnings(capture=True)


def _log_thread_exception(hook_args: threading.ExceptHookArgs) -> None:
    if hook_args.exc_value is None:
        return
    name = hook_args.thread.name if hook_args.thread else 'unknown'
    exc_info = (
        hook_args.exc_type,
        hook_args.exc_value,
        hook_args.exc_traceback,
    )
    _log.error(
        'thread %s ended by an uncaught exception', name, exc_info=exc_info
    )


def _file_or_stream_handler(
    path: str | None, stream: TextIO | None
) -> logging.Handler:
    if path is None:
        return logging.StreamHandler(stream or sys.stderr)
    return WatchedFileHandler(path, encoding='utf-8', delay=True)
