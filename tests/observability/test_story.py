"""Guards against a request that cannot be followed through the logs."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from apricotcart.observability.story import read_request_events
from apricotcart.run import run


def _line(time: str, host: str, event: str, request_id: str = 'x1') -> str:
    fields = {
        'time': time,
        'host': host,
        'event': event,
        'request_id': request_id,
        'reason': 'busy',
    }
    return f'  3.1 {host} {orjson.dumps(fields).decode()}\n'


def test_read_story_orders_lines_of_all_hosts_by_time() -> None:
    lines = [
        _line('10:02', 'b', 'request_sent'),
        _line('10:01', 'a', 'request_refused'),
        _line('10:01', 'a', 'request_sent', 'x2'),
        'no json x1\n',
        '{"broken": x1\n',
    ]
    events = [line.fields['event'] for line in read_request_events(lines, 'x1')]
    assert events == ['request_refused', 'request_sent']


def test_read_story_keeps_host_order_if_its_clock_steps_back() -> None:
    lines = [
        _line('10:05', 'a', 'first'),
        _line('10:01', 'a', 'second'),
        _line('10:06', 'b', 'third'),
    ]
    events = [line.fields['event'] for line in read_request_events(lines, 'x1')]
    assert events == ['first', 'second', 'third']


def test_explain_shows_lines(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'log'
    path.write_text(_line('10:01', 'a', 'request_refused'))
    assert run(['explain', '--file', str(path), 'x1']) == 0
    assert '10:01 a request_refused' in capsys.readouterr().out
    assert run(['explain', '--file', str(path), 'x9'])
    assert run(['explain', '--file', str(tmp_path / 'none'), 'x1'])
