"""Tests of the stand-ins run as processes."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING, TypeAlias

import pytest
import urllib3
from standin_calls import (
    CHAT_PATH,
    HTTP,
    call,
    chat_body,
)

from apricotcart_standins.faults import CRASH_EXIT_STATUS

if TYPE_CHECKING:
    from collections.abc import Iterator

EXIT_TIMEOUT_S = 60

EngineProcess: TypeAlias = tuple[subprocess.Popen[str], str]


@pytest.fixture
def engine() -> Iterator[EngineProcess]:
    """Return an engine process and its base URL."""
    command = [sys.executable, '-m', 'apricotcart_standins', 'engine']
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout
    yield process, process.stdout.readline().strip()
    process.kill()
    process.wait()
    process.stdout.close()


def test_run_sigterm(engine: EngineProcess) -> None:
    """Guards against a stand-in that ignores SIGTERM and outlives its test."""
    process, url = engine
    assert call('GET', f'{url}/v1/models')['data'][0]['id'] == 'chat'
    process.terminate()
    assert process.wait(EXIT_TIMEOUT_S) == 0


def test_run_crash_on(engine: EngineProcess) -> None:
    """Guards against a crash fault that answers before the exit."""
    process, url = engine
    call('POST', f'{url}/fault', {'crash_on': 'poison'})
    call('POST', url + CHAT_PATH, chat_body('harmless', 1))
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('POST', url + CHAT_PATH, json=chat_body('poison', 1))
    assert process.wait(EXIT_TIMEOUT_S) == CRASH_EXIT_STATUS
