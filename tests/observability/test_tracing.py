"""Tests of spans, the span file and its reader."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.errors.tree import NotFoundError
from apricotcart.observability.span_writer import SpanWriter
from apricotcart.observability.trace_reader import read_trace
from apricotcart.observability.tracing import (
    Tracer,
    end_hop,
    trace_id_of,
    traceparent_of,
)

_TRACE = '0af7651916cd43dd8448eb211c80319c'
_PARENT = f'00-{_TRACE}-b7ad6b7169203331-00'


def _tracer(path: Path, service: str = 'entry') -> Tracer:
    return Tracer(service, f'{service}-1', SpanWriter(str(path)))


def test_trace_across_hosts(tmp_path: Path) -> None:
    """Guards against spans of several hosts that do not form one tree."""
    entry = _tracer(tmp_path / 'a')
    control = _tracer(tmp_path / 'b', 'control')
    hop = entry.start_hop('order', _PARENT, {'class': 'booking'})
    attempt = entry.start_child(hop, 'order_begin', {'prompt': 'secret'})
    remote = control.start_hop('command', traceparent_of(attempt))
    end_hop(remote, {'index': 7})
    end_hop(attempt)
    end_hop(hop, {'status': 502}, 'outcome_unknown')
    for tracer in (entry, control):
        tracer.close()
    files = [str(tmp_path / 'a'), str(tmp_path / 'b')]
    lines = read_trace(files, _PARENT).format_tree().splitlines()
    assert lines[0].startswith('order entry@entry-1 +0.0ms ')
    assert lines[0].endswith(
        'ms error=outcome_unknown class=booking status=502'
    )
    assert lines[1].startswith('  order_begin entry@entry-1 +')
    assert lines[2].startswith('    command control@control-1 +')
    assert lines[2].endswith(' index=7')
    assert len(lines) == 3
    assert 'secret' not in (tmp_path / 'a').read_text()


@given(st.text() | st.from_regex('00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]'))
def test_hop_any_traceparent(header: str) -> None:
    """Guards against an invalid ``traceparent`` that fails the request."""
    tracer = Tracer('entry', 'entry-1', None)
    propagated = traceparent_of(tracer.start_hop('chat', header))
    assert len(propagated) == len(_PARENT)
    assert int(propagated.split('-')[1], 16) > 0


def test_hop_without_file_passes_context() -> None:
    """Guards against trace context lost at a host without a span file."""
    tracer = Tracer('entry', 'entry-1', None)
    hop = tracer.start_hop('chat', _PARENT)
    assert trace_id_of(hop) == _TRACE
    assert trace_id_of(tracer.start_child(hop, 'send')) == _TRACE


def test_writer_unwritable_file(tmp_path: Path) -> None:
    """Guards against requests that fail if spans cannot be written."""
    tracer = _tracer(tmp_path / 'missing' / 'spans')
    end_hop(tracer.start_hop('chat'))
    tracer.close()
    assert tracer.dropped == 1


def test_writer_blocked_file(tmp_path: Path) -> None:
    """Guards against requests that wait for a span file that blocks."""
    path = tmp_path / 'pipe'
    os.mkfifo(path)
    tracer = _tracer(path)
    # Opening the pipe blocks the writer until a reader opens it.
    for _ in range(5000):
        end_hop(tracer.start_hop('chat'))
    assert tracer.dropped > 0
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    os.close(reader)


def test_reader_incomplete_line(tmp_path: Path) -> None:
    """Guards against a reader that fails on a truncated last line."""
    path = tmp_path / 'spans'
    tracer = _tracer(path)
    end_hop(tracer.start_hop('chat', _PARENT))
    tracer.close()
    written = path.read_text()
    path.write_text(''.join((written, written[:100])))
    assert len(read_trace([str(path)], _TRACE).format_tree().splitlines()) == 1


@pytest.mark.parametrize('wanted', [_TRACE.replace('0', '1'), 'nonsense', ''])
def test_reader_unknown_trace(tmp_path: Path, wanted: Any) -> None:
    """Guards against empty output for a trace that was not recorded."""
    path = tmp_path / 'spans'
    tracer = _tracer(path)
    end_hop(tracer.start_hop('chat', _PARENT))
    tracer.close()
    with pytest.raises(NotFoundError):
        read_trace([str(path)], wanted)
