"""The filter and the text form of log records."""

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

_OWN_FIELDS: Final = frozenset(
    logging.makeLogRecord({}).__dict__,
) | frozenset(('message', 'asctime', 'taskName'))
_ARGUMENTS = 'args'


class RedactionFilter(logging.Filter):
    """Makes sure that no key, prompt or answer is written.

    It changes the record in place: arguments and fields are cleaned, and a
    traceback keeps places in the code but, unless the exception is one of
    the project's own, not the exception's message, which may quote a body.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Clean the record; it is always written."""
        record.msg = safe_text(str(record.msg))
        if isinstance(record.args, Mapping):
            record.args = {
                name: safe_argument(argument)
                for name, argument in record.args.items()
            }
        elif record.args:
            record.args = tuple(map(safe_argument, record.args))
        self._clean_message(record)
        self._clean_exception(record)
        self._clean_fields(record)
        return True

    def _clean_message(self, record: logging.LogRecord) -> None:
        # A template can split a secret over several arguments, so the
        # joined message is searched again.
        try:
            record.msg = safe_text(record.getMessage())
        except (TypeError, ValueError):
            record.msg = f'{record.msg} (arguments do not fit the template)'
        record.args = ()

    def _clean_exception(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            record.exc_text = exception_text(record.exc_info[1])
        elif record.exc_text:
            record.exc_text = safe_text(record.exc_text)
        record.exc_info = None
        record.stack_info = None

    def _clean_fields(self, record: logging.LogRecord) -> None:
        for name in set(record.__dict__) - _OWN_FIELDS:
            if name in ALLOWED_FIELDS:
                setattr(record, name, safe_argument(getattr(record, name)))
            else:
                record.__dict__.pop(name)


class TextFormatter(logging.Formatter):
    """Writes a record as one line: time, level, logger, message, fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Give the line; a traceback follows on lines of its own."""
        words = [
            utc_time(record.created),
            record.levelname,
            record.name,
            record.getMessage().replace('\n', ' '),
        ]
        fields = extra_fields(record)
        words.extend(f'{name}={fields[name]}' for name in sorted(fields))
        line = ' '.join(words)
        return f'{line}\n{record.exc_text}' if record.exc_text else line


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Give the fields that the log call added."""
    return {
        name: field
        for name, field in record.__dict__.items()
        if name in ALLOWED_FIELDS and name not in _OWN_FIELDS
    }


def exception_text(exc: BaseException) -> str:
    """Give an exception's places in the code, type and safe message."""
    frames = traceback.extract_tb(exc.__traceback__)
    lines = [
        f'  {frame.filename}:{frame.lineno} in {frame.name}' for frame in frames
    ]
    lines.append(_exception_line(exc))
    if exc.__cause__ is not None:
        lines.append('caused by:')
        lines.append(exception_text(exc.__cause__))
    return '\n'.join(lines)


def utc_time(seconds: float) -> str:
    """Give a wall-clock time in UTC with milliseconds."""
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def _exception_line(exc: BaseException) -> str:
    name = type(exc).__qualname__
    if isinstance(exc, (ApricotcartError, OSError)):
        message = safe_text(str(exc))
        return f'{name}: {message}'
    return name
