"""Fixtures and hypothesis profiles shared by all tests."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable

import pytest
from hypothesis import HealthCheck, settings
from known_red import UNSTEADY, known_red_tests

_CHECKS = [HealthCheck.too_slow]

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_CHECKS,
)
settings.register_profile(
    'explore',
    deadline=None,
    suppress_health_check=_CHECKS,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def unused_tcp_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
    return port


def pytest_collection_modifyitems(items: Iterable[pytest.Item]) -> None:
    """Expect the tests in KNOWN-RED.txt to fail.

    One that passes is an error, so that its entry is removed with the fix,
    unless the entry calls it unsteady.
    """
    known = known_red_tests()
    for item in items:
        line = known.get(_listed_id(item))
        if line is not None:
            is_strict = UNSTEADY not in line
            item.add_marker(pytest.mark.xfail(strict=is_strict))


def _listed_id(item: pytest.Item) -> str:
    """Return the id of a test without the group that xdist appends to it."""
    group = item.get_closest_marker('xdist_group')
    return (
        item.nodeid
        if group is None
        else item.nodeid.removesuffix(f'@{group.args[0]}')
    )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the entries of KNOWN-RED.txt."""
    for line in known_red_tests().values():
        terminalreporter.write_line(f'known red: {line}')
