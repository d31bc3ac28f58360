"""Tests of hints from the platform's list of hosts."""

from __future__ import annotations

import pytest

from apricotcart.provisioning.api import NO_ANSWER, Answer
from apricotcart.provisioning.hosts import DRAINING, LIVE, UNKNOWN, HostHints
from apricotcart.provisioning.outbox import Outbox


@pytest.fixture
def outbox() -> Outbox:
    """Return an empty outbox."""
    return Outbox()


@pytest.fixture
def hints(outbox: Outbox) -> HostHints:
    """Return hints without a list."""
    return HostHints(outbox)


def _read(hints: HostHints, outbox: Outbox, now: float, **states: str) -> None:
    hints.tick(now)
    listed = [{'name': name, 'state': states[name]} for name in states]
    answer = Answer(status=200, body={'hosts': listed})
    for request in outbox.take_requests():
        outbox.on_answer(now, request.ticket, answer)


def test_hosts_draining(hints: HostHints, outbox: Outbox) -> None:
    """Guards against draining a host after a single outdated read."""
    _read(hints, outbox, 1, h1='draining')
    assert hints.hint(1, 'h1') == LIVE
    _read(hints, outbox, 6, h1='draining')
    assert hints.hint(6, 'h1') == DRAINING
    assert not hints.may_get_work(6, 'h1', True)


def test_hosts_never_override(hints: HostHints, outbox: Outbox) -> None:
    """Guards against a list that revives or removes a host."""
    _read(hints, outbox, 1, h1='live')
    assert not hints.may_get_work(1, 'h1', False)
    assert hints.hint(1, 'h2') == UNKNOWN
    assert hints.may_get_work(1, 'h2', True)


def test_hosts_old_list(hints: HostHints, outbox: Outbox) -> None:
    """Guards against hints from a list that is no longer read."""
    for now in (1, 6):
        _read(hints, outbox, now, h1='draining')
    hints.tick(11)
    for request in outbox.take_requests():
        outbox.on_answer(11, request.ticket, Answer(code=NO_ANSWER))
    assert hints.hint(36, 'h1') == DRAINING
    assert hints.hint(36.1, 'h1') == UNKNOWN
