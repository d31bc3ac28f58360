"""Guards against processes that do not stop in time, or lose answers."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Final

import pytest
from gateway.started_process import (
    StartedProcess,
    read_response,
    read_to_end,
)

_STOP_S: Final = 6
# An idle gateway ends at half of the time for its stop.
_END_S: Final = _STOP_S / 2
# Time before and after the end of an idle gateway.
_MARGIN_S: Final = 0.5
# More than the threads that a gateway starts with.
_CALLERS: Final = 40
_HEAD: Final = b'POST /x HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 200\r\n'
_END_OF_HEAD: Final = b'Content-Length: 0\r\n\r\n'
_REQUEST: Final = _HEAD + _END_OF_HEAD
# Time after the thaw until callers send the rest of a head. A whole request
# would be counted in time by chance, and hold the process up for the others.
_SECOND_PART_S: Final = 0.1
_REFUSAL: Final = b'HTTP/1.1 503'


@pytest.mark.parametrize('role', ['gateway', 'coordinator'])
def test_process_ends_before_it_is_killed(tmp_path: Path, role: str) -> None:
    """Guards against HTTP server threads that keep a process alive.

    Seen on the recorded day of csft-sealdesk: 6 processes had to be killed.
    """
    with StartedProcess(tmp_path, role, _STOP_S) as started:
        started.signal(signal.SIGTERM)
        lines = started.wait(_STOP_S)
    assert started.process.returncode == 0
    stopped = [line for line in lines if line.get('event') == 'process_stopped']
    assert [line['reason'] for line in stopped] == ['idle']
    assert stopped[0]['connections'] == 0


def test_coordinator_answers_what_was_sent_before_its_stop(
    tmp_path: Path,
) -> None:
    """Guards against a change that is committed and not acknowledged.

    A coordinator ended with the requests of operators that it was reading or
    answering.
    """
    with StartedProcess(tmp_path, 'coordinator', _STOP_S) as started:
        with started.connect() as conn:
            conn.sendall(_HEAD)
            started.signal(signal.SIGTERM)
            time.sleep(_MARGIN_S)
            conn.sendall(_END_OF_HEAD)
            assert read_to_end(conn).startswith(b'HTTP/1.1 404')
        lines = started.wait(_STOP_S)
    assert started.process.returncode == 0
    assert lines[-1]['message'] == 'coordinator a stopped'


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[StartedProcess]:
    """Return a running gateway."""
    with StartedProcess(tmp_path, 'gateway', _STOP_S) as started:
        yield started


class FrozenStop:
    """A stop whose process is frozen when it would end."""

    def __init__(self, gateway: StartedProcess) -> None:
        self._gateway = gateway

    def __enter__(self) -> None:
        """Freeze the process shortly before it ends."""
        self._gateway.signal(signal.SIGTERM)
        time.sleep(_END_S - _MARGIN_S)
        self._gateway.signal(signal.SIGSTOP)

    def __exit__(self, *_args: object) -> None:
        """Thaw the process after it would have ended."""
        time.sleep(2 * _MARGIN_S)
        self._gateway.signal(signal.SIGCONT)


def _send_head(conn: socket.socket) -> socket.socket:
    conn.sendall(_HEAD)
    return conn


def test_unaccepted_requests_are_answered(gateway: StartedProcess) -> None:
    """Guards against requests that end with the process.

    Connections in the accept queue or in the queue of the threads were reset
    at the exit. Seen with 24 callers on kept connections: 10 to 18 of them
    at each SIGTERM.
    """
    with ExitStack() as stack:
        with FrozenStop(gateway):
            callers = [
                _send_head(stack.enter_context(gateway.connect()))
                for _ in range(_CALLERS)
            ]
        time.sleep(_SECOND_PART_S)
        for caller in callers:
            caller.sendall(_END_OF_HEAD)
        answers = [read_to_end(caller)[: len(_REFUSAL)] for caller in callers]
    assert len(answers) == _CALLERS
    assert set(answers) == {_REFUSAL}


@pytest.mark.parametrize('is_kept', [False, True], ids=['new', 'kept'])
def test_request_whose_head_is_being_read_is_answered(
    gateway: StartedProcess, *, is_kept: bool
) -> None:
    """Guards against an exit between two parts of a request's head."""
    conn = gateway.connect()
    if is_kept:
        conn.sendall(_REQUEST)
        assert read_response(conn).startswith(_REFUSAL)
    gateway.signal(signal.SIGTERM)
    time.sleep(_END_S - _MARGIN_S)
    if not is_kept:
        conn.close()
        conn = gateway.connect()
    with conn:
        conn.sendall(_HEAD)
        time.sleep(_MARGIN_S + _SECOND_PART_S)
        conn.sendall(_END_OF_HEAD)
        assert read_to_end(conn).startswith(_REFUSAL)


def test_unfinished_head_does_not_hold_the_stop_up(
    gateway: StartedProcess,
) -> None:
    """Guards against a caller that keeps a process until it is killed."""
    with gateway.connect() as conn, gateway.connect():
        gateway.signal(signal.SIGTERM)
        conn.sendall(_HEAD)
        lines = gateway.wait(_STOP_S)
    assert gateway.process.returncode == 0
    assert lines[-1]['message'] == 'gateway a stopped'
