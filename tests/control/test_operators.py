"""Tests of the HTTP API for operators."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest
from control.fakes import FakeLoop, not_leader_error, unknown_outcome_error

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.operators import OperatorApplication
from apricotcart.control.reports import Reports

TOKEN = 'operator-token'
APPLY = '/v1/apply'
ACME = '/v1/resources/customer/acme'


class Client:
    """Client that calls the WSGI application directly."""

    def __init__(self, loop: FakeLoop) -> None:
        """Initialize the application with a loop."""
        fake: Any = loop
        reports = Reports(fake, loop.state, EntryHosts(0))
        self.app = OperatorApplication(
            fake, loop.state, TOKEN.encode(), reports
        )

    def call(
        self, method: str, path: str, body: Any = None, token: str = TOKEN
    ) -> tuple[int, Any]:
        """Return status and decoded body."""
        path, _, query = path.partition('?')
        blob = b'' if body is None else json.dumps(body).encode()
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(blob)),
            'HTTP_AUTHORIZATION': f'Bearer {token}',
            'wsgi.input': io.BytesIO(blob),
        }
        statuses: list[str] = []
        chunks = self.app(environ, lambda line, _: statuses.append(line))
        text = b''.join(chunks)
        return int(statuses[0].split()[0]), json.loads(text or b'null')


@pytest.fixture
def client(loop: FakeLoop) -> Client:
    """Return a client of a leader that commits at once."""
    return Client(loop)


def customer(
    name: str, weight: float, version: int | None = None
) -> dict[str, Any]:
    """Return a change of a customer."""
    return {
        'kind': 'customer',
        'name': name,
        'spec': {'weight': weight},
        'expected_version': version,
    }


@pytest.mark.parametrize('token', ['', 'operator-toke', 'OPERATOR-TOKEN', 'é'])
@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/status'),
        ('GET', ACME),
        ('PUT', ACME),
        ('DELETE', ACME),
        ('POST', APPLY),
        ('GET', '/v1/watch'),
        ('POST', '/v1/members'),
        ('GET', '/v1/nothing'),
    ],
)
def test_wrong_token(
    client: Client, loop: FakeLoop, method: str, path: str, token: str
) -> None:
    """Guards against a path that is served without the operator token."""
    status, _ = client.call(method, path, {}, token=token)
    assert status == 401
    assert not loop.proposed
    assert not loop.barriers


def test_put_race(client: Client) -> None:
    """Guards against two concurrent updates of the same version."""
    first = {'spec': {'weight': 1}, 'expected_version': 0}
    assert client.call('PUT', ACME, first)[0] == 200
    second = {'spec': {'weight': 2}, 'expected_version': 1}
    third = {'spec': {'weight': 3}, 'expected_version': 1}
    assert client.call('PUT', ACME, second)[0] == 200
    assert client.call('PUT', ACME, third)[0] == 409
    assert client.call('PUT', ACME, {**third, 'expected_version': 0})[0] == 409
    assert client.call('DELETE', f'{ACME}?expected_version=1')[0] == 409
    assert client.call('GET', ACME)[1]['version'] == 2
    assert client.call('DELETE', f'{ACME}?expected_version=2')[0] == 200
    assert client.call('GET', ACME)[0] == 404


def test_resend_same_reply(client: Client, loop: FakeLoop) -> None:
    """Guards against a resend after a lost reply that is applied twice."""
    body = {'op_id': 'op-1', 'changes': [customer('acme', 2, 0)]}
    loop.lost_reply = unknown_outcome_error()
    status, reply = client.call('POST', APPLY, body)
    assert (status, reply['error']['code']) == (503, 'unavailable')
    loop.lost_reply = None
    status, reply = client.call('POST', APPLY, body)
    assert (status, reply['versions'][0]['version']) == (200, 1)
    assert client.call('POST', APPLY, body) == (200, reply)
    other = {**body, 'changes': [customer('acme', 3, 1)]}
    assert client.call('POST', APPLY, other)[0] == 409
    assert client.call('GET', ACME)[1]['spec'] == {'weight': 2}


def test_not_leader_is_not_executed(client: Client, loop: FakeLoop) -> None:
    """Guards against a reply of a follower that looks like an outcome."""
    loop.error = not_leader_error()
    status, reply = client.call('PUT', ACME, {'spec': {'weight': 1}})
    assert status == 503
    assert reply['error']['code'] == 'not_leader'
    assert reply['error']['leader'] == 'b.0'
    assert client.call('GET', ACME)[0] == 503
    assert client.call('GET', '/v1/watch')[0] == 503


def test_apply_reports_all_faults(client: Client) -> None:
    """Guards against faults reported one by one and a partial batch."""
    changes = [
        customer('acme', 1),
        customer('b', -1),
        {'kind': 'key', 'name': 'k', 'spec': {'sha256': 'y', 'withdrawn': 1}},
    ]
    status, reply = client.call('POST', APPLY, {'changes': changes})
    assert status == 400
    paths = {fault['path'] for fault in reply['error']['faults']}
    assert paths >= {
        'changes[1].spec.weight',
        'changes[2].spec.customer',
        'changes[2].spec.sha256',
        'changes[2].spec.withdrawn',
    }
    listed = client.call('GET', '/v1/resources/customer')[1]
    assert listed == {'revision': 0, 'items': []}


@pytest.mark.parametrize(
    'query',
    ['from=x', 'from=-1', 'from=nan', 'from=inf', 'timeout_s=nan'],
)
def test_watch_bad_number(client: Client, query: str) -> None:
    """Guards against an internal error on an invalid number."""
    assert client.call('GET', f'/v1/watch?{query}')[0] == 400


@pytest.mark.parametrize('kind', ['promote', 'retire', 'x', ''])
def test_members_refused_change(
    client: Client, loop: FakeLoop, kind: str
) -> None:
    """Guards against changes by operators that only a leader may make.

    An early promotion would give a vote to a node without the log.
    """
    body = {'kind': kind, 'node_id': 'b.1'}
    assert client.call('POST', '/v1/members', body)[0] == 400
    assert not loop.changes


def test_members_change(client: Client, loop: FakeLoop) -> None:
    """Guards against a change of another node than requested."""
    body = {'kind': 'join', 'node_id': 'b.1', 'replaces': 'b.0'}
    assert client.call('POST', '/v1/members', body)[0] == 200
    assert [change.to_wire() for change in loop.changes] == [body]
