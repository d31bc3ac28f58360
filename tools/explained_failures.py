"""Counts the failed requests of a simulated day that the logs explain.

Reads the output of ``fleetbench run --log all`` and checks every request that
it lists as not served. A request is explained if the lines about it name a
host and an outcome: a reason, a status, or the caller that left.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final

from apricotcart.observability.story import RequestEvent, read_request_events

_HEADING: Final = re.compile(r"not served, last try '(?P<kind>[^']*)'")
_REQUEST: Final = re.compile(r'request (?P<id>[0-9a-f]{16}) ')
_OUTCOMES: Final = ('reason=', 'status=', 'caller_left')


class Failure:
    """A request that the output lists as not served.

    Attributes
    ----------
    request_id : str
        Id of the caller's attempt.
    kind : str
        How its last attempt ended.
    """

    __slots__ = ('kind', 'request_id')

    def __init__(self, request_id: str, kind: str) -> None:
        self.request_id = request_id
        self.kind = kind


def failures_in(lines: Iterable[str]) -> list[Failure]:
    """Return the requests that are listed as not served."""
    found: list[Failure] = []
    kind = ''
    for line in lines:
        if not line.startswith(' '):
            kind = _kind_of(line)
        request = _REQUEST.search(line) if kind else None
        if request:
            found.append(Failure(request['id'], kind))
    return found


def _kind_of(line: str) -> str:
    heading = _HEADING.match(line)
    return heading['kind'] if heading else ''


def is_explained(story: Sequence[RequestEvent]) -> bool:
    """Return whether any line names an outcome."""
    return any(outcome in str(line) for line in story for outcome in _OUTCOMES)


def main(paths: Sequence[str]) -> int:
    """Print each failure and how many are explained."""
    total = 0
    explained = 0
    for path in paths:
        text = Path(path).read_text('utf-8', 'replace')
        lines = text.splitlines(keepends=True)
        for failure in failures_in(lines):
            is_found = is_explained(
                read_request_events(lines, failure.request_id)
            )
            total += 1
            explained += is_found
            verdict = 'explained' if is_found else 'NOT EXPLAINED'
            _print_line(
                f'{path} {failure.request_id} {failure.kind}: {verdict}'
            )
    _print_line(f'{explained} of {total} explained')
    return 0 if explained == total else 1


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
