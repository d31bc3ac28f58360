"""Collects the log lines of one request from the logs of all hosts."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any, Final

import orjson

_LOG = logging.getLogger(__name__)
_JSON_START: Final = '{'
# Fields of every line, shown first and without their names.
_LEADING_FIELDS: Final = ('time', 'host', 'event')
_HIDDEN_FIELDS: Final = frozenset(
    (*_LEADING_FIELDS, 'level', 'logger', 'message')
)


class RequestEvent:
    """One log line about a request.

    Attributes
    ----------
    time : str
        Time of the line in ISO format.
    fields : mapping
        All fields of the line.
    """

    __slots__ = ('fields', 'time')

    def __init__(self, fields: Mapping[str, Any]) -> None:
        self.fields = fields
        self.time = str(fields.get('time', ''))

    def __str__(self) -> str:
        """Return time, host and event, then the other fields."""
        parts = [str(self.fields.get(name, '')) for name in _LEADING_FIELDS]
        parts.extend(
            f'{name}={text}'
            for name, text in self.fields.items()
            if name not in _HIDDEN_FIELDS
        )
        return ' '.join(parts)


def read_request_events(
    lines: Iterable[str], request_id: str
) -> list[RequestEvent]:
    """Return the lines of a request ordered by time.

    Lines of one host keep their order even if its clock steps back.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of hosts; text before the JSON object is
        skipped.
    request_id : str
        Request id of the caller's attempt.
    """
    candidates = [_fields_of(line) for line in lines if request_id in line]
    matching = [
        RequestEvent(fields)
        for fields in candidates
        if fields.get('request_id') == request_id
    ]
    return _ordered(matching)


def _ordered(lines: list[RequestEvent]) -> list[RequestEvent]:
    # Each line is sorted by the latest time seen so far on its host, so that
    # a clock that steps back does not reorder the lines of the host.
    latest_times: dict[str, str] = {}
    sort_keys: list[tuple[str, int]] = []
    for index, line in enumerate(lines):
        host = str(line.fields.get('host', ''))
        latest_times[host] = max(latest_times.get(host, ''), line.time)
        sort_keys.append((latest_times[host], index))
    return [lines[position] for _, position in sorted(sort_keys)]


def _fields_of(line: str) -> Mapping[str, Any]:
    start = line.find(_JSON_START)
    if start < 0:
        return {}
    try:
        fields = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        _LOG.debug('skipped a log line that is not valid JSON')
        return {}
    return fields if isinstance(fields, dict) else {}
