"""Tests of the log and its redaction."""

from __future__ import annotations

import io
import json
import logging
import sys
import threading
import time
import warnings
from collections.abc import Callable, Iterator
from pathlib import Path
from queue import Queue
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.errors.tree import NotFoundError
from apricotcart.observability.log_records import RedactionFilter
from apricotcart.observability.logs import DroppingQueueHandler, Log
from apricotcart.observability.redaction import safe_text

_BLOCKED_S = 4.0
_PROMPT = 'Draft the seal for the Caledonian ceremony'
_KEY = 'ack_q0w9e8r7t6y5u4i3o2p1'

Written = Callable[[str], str]


@pytest.fixture
def write_log(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Callable[..., str]]:
    """Return a function that logs in one format and returns the output."""
    path = tmp_path / 'log'
    original_handlers = list(logging.getLogger().handlers)

    def run(form: str, call: Callable[[logging.Logger], Any]) -> str:
        cfg: Any = SimpleNamespace(format=form, level='info', file=str(path))
        log = Log.from_config(cfg, 'entry-1')
        call(logging.getLogger('apricotcart.test'))
        log.close()
        return path.read_text()

    monkeypatch.setattr(threading, 'excepthook', threading.excepthook)
    monkeypatch.setattr(logging, 'raiseExceptions', logging.raiseExceptions)
    yield run
    logging.captureWarnings(capture=False)
    for handler in original_handlers:
        logging.getLogger().addHandler(handler)


def _fail() -> None:
    try:
        json.loads(f'{{"a": {_PROMPT}')
    except ValueError as exc:
        raise NotFoundError(f'bad request with Bearer {_KEY}') from exc


def _log_secrets(log: logging.Logger) -> None:
    log.info('key %s of %s', _KEY, 'acme')
    log.info('header Authorization: Bearer %s', 'sesame')
    log.info('sent %s and %r', {'messages': [_PROMPT]}, _PROMPT.encode())
    log.info('body %s', json.dumps({'messages': [{'content': _PROMPT}]}))
    log.info('lone field', extra={'prompt': _PROMPT, 'customer': 'acme'})
    log.info(f'eager {{"content": "{_PROMPT}"}}')
    log.info('wrong %d', _KEY)
    try:
        _fail()
    except NotFoundError:
        log.exception('request failed')


@pytest.mark.parametrize('form', ['text', 'json'])
def test_log_writes_no_secret(write_log: Callable[..., str], form: str) -> None:
    """Guards against a key, prompt or answer in the log file."""
    written = write_log(form, _log_secrets)
    assert _KEY not in written
    assert 'sesame' not in written
    assert _PROMPT not in written
    assert 'acme' in written
    assert 'test_logs.py' in written
    assert 'NotFoundError' in written
    assert len(written.splitlines()) >= 8


def test_log_json_fields(write_log: Callable[..., str]) -> None:
    """Guards against JSON lines that a log collector cannot index."""
    line = write_log(
        'json',
        lambda log: log.warning('shed', extra={'class': 'chat', 'tier': 2}),
    )
    fields = json.loads(line)
    assert fields.pop('time').endswith('Z')
    assert fields == {
        'level': 'WARNING',
        'logger': 'apricotcart.test',
        'message': 'shed',
        'host': 'entry-1',
        'class': 'chat',
        'tier': 2,
    }


def test_log_text_line(write_log: Callable[..., str]) -> None:
    """Guards against line breaks in a message that forge a log line."""
    line = write_log(
        'text', lambda log: log.info('a\nb %s', 'c\nd', extra={'status': 200})
    )
    assert line.endswith(' INFO apricotcart.test a b c d status=200\n')
    assert len(line.splitlines()) == 1


def test_log_captures_thread_exceptions_and_warnings(
    write_log: Callable[..., str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a body quoted by a thread's exception or a warning."""

    def fail() -> None:
        raise ValueError(f'cannot decode {_PROMPT}')

    def call(log: logging.Logger) -> None:
        thread = threading.Thread(target=fail, name='worker')
        thread.start()
        thread.join()
        warnings.warn(f'odd body {{"content": "{_PROMPT}"}}', stacklevel=1)

    written = write_log('text', call)
    captured = capsys.readouterr()
    assert 'thread worker ended' in written
    assert 'ValueError' in written
    assert 'odd body' in written
    assert _PROMPT not in written + captured.err


def test_log_full_queue_drops() -> None:
    """Guards against requests that block on a slow log."""
    handler = DroppingQueueHandler(Queue(1))
    record = logging.makeLogRecord({'msg': 'a'})
    handler.handle(record)
    handler.handle(record)
    assert handler.dropped == 1


@given(
    prompt=st.text('abcdefg \n"\\', min_size=250, max_size=900),
    template=st.sampled_from(['%s', 'answer: %s', "{'text': %r}"]),
)
def test_filter_cuts_long_text(prompt: str, template: str) -> None:
    """Guards against a prompt or answer logged whole as an argument."""
    record = logging.makeLogRecord({'msg': template, 'args': (prompt,)})
    RedactionFilter().filter(record)
    assert prompt not in record.getMessage()
    assert len(record.getMessage()) < 300


def test_safe_text_keeps_text_without_secrets() -> None:
    """Guards against redaction of text that contains no secret."""
    plain = 'endpoint press-3 refused the connection after 0.5 s'
    assert safe_text(plain) == plain


def test_log_default_target_is_stderr(
    monkeypatch: pytest.MonkeyPatch,
    write_log: Callable[..., str],
) -> None:
    """Guards against lost log output if no file is configured."""
    stream = io.StringIO()
    monkeypatch.setattr(sys, 'stderr', stream)
    cfg: Any = SimpleNamespace(format='text', level='info', file=None)
    log = Log.from_config(cfg, 'entry-1')
    logging.getLogger('apricotcart').info('started')
    log.close()
    assert 'INFO apricotcart started' in stream.getvalue()


class BlockedHandler(logging.Handler):
    """Writes nothing until it is released, as if nobody read the output."""

    def __init__(self) -> None:
        super().__init__()
        self.is_read = threading.Event()

    def emit(self, record: logging.LogRecord) -> None:
        self.is_read.wait(_BLOCKED_S)


def test_close_does_not_wait_for_a_blocked_output() -> None:
    """Guards against a process that its log keeps until it is killed."""
    target = BlockedHandler()
    handler = DroppingQueueHandler(Queue(2))
    log = Log(handler, target)
    for _ in range(10):
        handler.emit(logging.makeLogRecord({'msg': 'x'}))
    started_at = time.monotonic()
    log.close()
    duration_s = time.monotonic() - started_at
    target.is_read.set()
    assert duration_s < _BLOCKED_S / 2
