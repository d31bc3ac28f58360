"""Tests of requests from entry hosts."""

from __future__ import annotations

from typing import Any

import pytest
from control.fakes import (
    FakeLoop,
    not_leader_error,
    sync_message,
    unknown_outcome_error,
)

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.rpc import ControlRequests, ReplacedHostError
from apricotcart.errors.tree import ApricotcartError, CodecError
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.telemetry import Telemetry
from apricotcart.observability.tracing import Tracer

USAGE = {
    'kind': 'usage_add',
    'host': 'h1',
    'incarnation': 1,
    'seq': 1,
    'figures': [],
}


@pytest.fixture
def hosts() -> EntryHosts:
    """Return the table of a new leader."""
    return EntryHosts(0)


@pytest.fixture
def requests(loop: FakeLoop, hosts: EntryHosts) -> ControlRequests:
    """Return the handler of a leader that commits at once."""
    fake: Any = loop
    telemetry = Telemetry(Tracer('control', 'a', None), Metrics())
    return ControlRequests(fake, loop.state, hosts, telemetry)


def command(**fields: Any) -> dict[str, Any]:
    """Return a command request."""
    return {'kind': 'command', 'command': fields}


@pytest.mark.parametrize('error', [not_leader_error(), unknown_outcome_error()])
def test_sync_unconfirmed(
    requests: ControlRequests,
    loop: FakeLoop,
    hosts: EntryHosts,
    error: ApricotcartError,
) -> None:
    """Guards against a replaced leader that confirms an outdated copy."""
    loop.error = error
    with pytest.raises(type(error)):
        requests.answer(sync_message())
    assert not hosts.demands(0)
    loop.error = None
    assert requests.answer(sync_message())['ok']
    assert loop.barriers == 1


def test_sync_replaced_host(requests: ControlRequests) -> None:
    """Guards against two processes that both serve as the same host."""
    requests.answer(sync_message(incarnation=2))
    with pytest.raises(ReplacedHostError):
        requests.answer(sync_message(incarnation=1))


@pytest.mark.parametrize(
    'kind',
    [
        'apply',
        'delete',
        'set_status',
        'fencing_take',
        'usage_close',
        'usage_reported',
        None,
        'x',
    ],
)
def test_command_not_for_entry_hosts(
    requests: ControlRequests, loop: FakeLoop, kind: Any
) -> None:
    """Guards against an entry host that commits commands of operators."""
    with pytest.raises(CodecError):
        requests.answer(command(kind=kind))
    assert not loop.proposed


@pytest.mark.parametrize(
    'message', [{}, {'kind': 'x'}, {'kind': 'command', 'command': 'apply'}]
)
def test_request_unknown(
    requests: ControlRequests, message: dict[str, Any]
) -> None:
    """Guards against a malformed request that is not rejected."""
    with pytest.raises(CodecError):
        requests.answer(message)


def test_command_outcomes(requests: ControlRequests, loop: FakeLoop) -> None:
    """Guards against an unknown outcome that is reported as not executed."""
    assert requests.answer(command(**USAGE))['ok']
    loop.lost_reply = unknown_outcome_error()
    with pytest.raises(ApricotcartError) as caught:
        requests.answer(command(**USAGE))
    assert caught.value.code == 'unavailable'
    loop.error = not_leader_error()
    with pytest.raises(ApricotcartError) as caught:
        requests.answer(command(**USAGE))
    assert caught.value.code == 'not_leader'
    assert len(loop.proposed) == 2
