"""Redaction and text format of log records."""

from __future__ import annotations

import logging
import traceback
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any, Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.redaction import (
    ALLOWED_FIELDS,
    safe_argument,
    safe_text,
)

_STANDARD_ATTRIBUTES: Final = frozenset(
    logging.makeLogRecord({}).__dict__,
) | frozenset(('message', 'asctime', 'taskName'))
_ARGUMENTS = 'args'


class RedactionFilter(logging.Filter):
    """Removes keys, prompts and answers from log records.

    The record is changed in place: its arguments and fields are redacted.
    A traceback keeps its code locations; the message of an exception is
    kept only for the project's own errors and ``OSError``, since another
    message may quote a request body.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record; return True, since no record is rejected."""
        record.msg = safe_text(str(record.msg))
        if isinstance(record.args, Mapping):
            record.args = {
                name: safe_argument(argument)
                for name, argument in record.args.items()
            }
        elif record.args:
            record.args = tuple(map(safe_argument, record.args))
        self._redact_message(record)
        self._redact_exception(record)
        self._redact_fields(record)
        return True

    def _redact_message(self, record: logging.LogRecord) -> None:
        # A secret may be split over the template and several arguments, so
        # the formatted message is redacted again.
        try:
            record.msg = safe_text(record.getMessage())
        except (TypeError, ValueError):
            record.msg = (
                f'{record.msg} (log arguments do not match the message format)'
            )
        record.args = ()

    def _redact_exception(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            record.exc_text = exception_text(record.exc_info[1])
        elif record.exc_text:
            record.exc_text = safe_text(record.exc_text)
        record.exc_info = None
        record.stack_info = None

    def _redact_fields(self, record: logging.LogRecord) -> None:
        for name in set(record.__dict__) - _STANDARD_ATTRIBUTES:
            if name in ALLOWED_FIELDS:
                setattr(record, name, safe_argument(getattr(record, name)))
            else:
                record.__dict__.pop(name)


class TextFormatter(logging.Formatter):
    """Formats a record as one line: time, level, logger, message, fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the lines of any traceback."""
        parts = [
            utc_time(record.created),
            record.levelname,
            record.name,
            record.getMessage().replace('\n', ' '),
        ]
        fields = extra_fields(record)
        parts.extend(f'{name}={fields[name]}' for name in sorted(fields))
        line = ' '.join(parts)
        return f'{line}\n{record.exc_text}' if record.exc_text else line


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Return the allowed fields passed as ``extra`` to the log call."""
    return {
        name: field
        for name, field in record.__dict__.items()
        if name in ALLOWED_FIELDS and name not in _STANDARD_ATTRIBUTES
    }


def exception_text(exc: BaseException) -> str:
    """Return an exception's code locations, type and redacted message."""
    frames = traceback.extract_tb(exc.__traceback__)
    lines = [
        f'  {frame.filename}:{frame.lineno} in {frame.name}' for frame in frames
    ]
    lines.append(_exception_line(exc))
    if exc.__cause__ is not None:
        lines.append('caused by:')
        lines.append(exception_text(exc.__cause__))
    return '\n'.join(lines)


def utc_time(unix_s: float) -> str:
    """Return a Unix time as ISO text in UTC with milliseconds."""
    utc_datetime = datetime.fromtimestamp(unix_s, UTC)
    return utc_datetime.isoformat(timespec='milliseconds').replace(
        '+00:00', 'Z'
    )


def _exception_line(exc: BaseException) -> str:
    name = type(exc).__qualname__
    if isinstance(exc, (ApricotcartError, OSError)):
        message = safe_text(str(exc))
        return f'{name}: {message}'
    return name
