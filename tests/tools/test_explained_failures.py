"""Guards against failures that count as explained without a log line."""

from __future__ import annotations

import json

from explained_failures import failures_in, is_explained

from apricotcart.observability.story import read_request_events

_ID = '9a0388b68e621828'
_DAY = [
    "not served, last try '503': 425; the first:\n",
    f'    2.239 s  request {_ID} (review, a.example/b/) sent to edge-1\n',
    '    3.129 s  the client gets 503, signature none, body whole\n',
    '\n',
    'seen\n',
    '- 3 request 5d9c1453a0a3d4a5 of others\n',
]


def _line(event: str, **fields: str) -> str:
    record = {'event': event, 'request_id': _ID, 'host': 'edge-1', **fields}
    return f'2.2 edge-1 {json.dumps(record)}\n'


def test_failures_are_read_from_their_headings() -> None:
    found = failures_in(_DAY)
    assert [(failure.request_id, failure.kind) for failure in found] == [
        (_ID, '503')
    ]


def test_request_without_an_outcome_is_not_explained() -> None:
    lines = [_line('request_sent', endpoint='i-1')]
    assert not is_explained(read_request_events(lines, _ID))
    lines.append(_line('send_failed', reason='endpoint_silent'))
    assert is_explained(read_request_events(lines, _ID))


def test_request_whose_caller_left_is_explained() -> None:
    lines = [_line('request_sent'), _line('caller_left')]
    assert is_explained(read_request_events(lines, _ID))
