"""HTTP API of a control host for operators."""

from __future__ import annotations

import hmac
import math
import uuid
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from apricotcart.consensus.members import ChangeKind, MemberChange
from apricotcart.control.loop import ConsensusLoop
from apricotcart.control.reports import Reports
from apricotcart.control.watching import Watcher
from apricotcart.errors.tree import NotFoundError
from apricotcart.state.machine import ClusterState
from apricotcart.state.replies import error_from_reply
from apricotcart.state.specs import SPECS
from apricotcart.web.application import WebApplication
from apricotcart.web.errors import (
    InvalidFieldError,
    MethodError,
    UnauthorizedError,
    UnknownPathError,
)
from apricotcart.web.request import WebRequest
from apricotcart.web.response import JSON_LINES_TYPE, WebResponse

COMMIT_TIMEOUT_S = 5.0
_MAX_BODY_BYTES = 16_777_216
_WATCH_DEFAULT_S = 3600.0
_RESOURCES = '/v1/resources/'
_KIND = 'kind'
_NAME = 'name'
_OP_ID = 'op_id'
_EXPECTED = 'expected_version'
_GET = 'GET'
_POST = 'POST'

# The other changes are made only by the leader, once a node has caught up.
_MEMBER_CHANGES = frozenset(
    (ChangeKind.ADD_LEARNER, ChangeKind.JOIN, ChangeKind.REMOVE),
)

Fields = dict[str, Any]
Responder = Callable[[WebRequest], WebResponse]


class OperatorApplication(WebApplication):
    """WSGI application to declare, read, delete and watch resources.

    Parameters
    ----------
    loop : ConsensusLoop
        Commits commands.
    state : ClusterState
        Read under the loop's lock after a barrier.
    token : bytes
        Bearer token that operators must send.
    reports : Reports
        Provides status and usage reports.
    """

    def __init__(
        self,
        loop: ConsensusLoop,
        state: ClusterState,
        token: bytes,
        reports: Reports,
    ) -> None:
        self._loop = loop
        self._state = state
        self._token = token
        self._reports = reports
        self._watcher = Watcher(loop, state)
        self._routes: dict[tuple[str, str], Responder] = {
            (_POST, '/v1/apply'): self._apply,
            (_GET, '/v1/watch'): self._watch,
            (_GET, '/v1/status'): self._status,
            (_GET, '/v1/report'): self._report,
            (_POST, '/v1/members'): self._change_members,
        }

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one request of an operator."""
        if req.path == '/healthz':
            return WebResponse.from_json({'ok': True})
        self._authenticate(req)
        if req.path.startswith(_RESOURCES):
            return self._resources(req)
        responder = self._routes.get((req.method, req.path))
        if responder is None:
            raise UnknownPathError(f'unknown path {req.path}')
        return responder(req)

    def _authenticate(self, req: WebRequest) -> None:
        given = req.bearer_token().encode()
        if not hmac.compare_digest(given, self._token):
            raise UnauthorizedError('the operator token is not valid')

    def _resources(self, req: WebRequest) -> WebResponse:
        kind, _, name = req.path.removeprefix(_RESOURCES).partition('/')
        if kind not in SPECS:
            raise UnknownPathError(f'unknown resource kind {kind!r}')
        if req.method == _GET:
            return self._read(kind, name)
        if req.method == 'PUT' and name:
            return self._put(req, kind, name)
        if req.method == 'DELETE' and name:
            return self._delete(req, kind, name)
        raise MethodError(f'{req.path} does not support {req.method}')

    def _read(self, kind: str, name: str) -> WebResponse:
        self._loop.barrier(COMMIT_TIMEOUT_S)
        if not name:
            return WebResponse.from_json(self._list_resources(kind))
        with self._loop.lock:
            resource = self._state.get(kind, name)
        if resource is None:
            raise NotFoundError(f'{kind} {name!r} does not exist')
        return WebResponse.from_json(resource.to_wire())

    def _list_resources(self, kind: str) -> Fields:
        with self._loop.lock:
            revision = self._state.revision
            resources = self._state.list(kind)
        return {
            'revision': revision,
            'items': [resource.to_wire() for resource in resources],
        }

    def _put(self, req: WebRequest, kind: str, name: str) -> WebResponse:
        fields = req.json(_MAX_BODY_BYTES)
        change = {
            _KIND: kind,
            _NAME: name,
            _EXPECTED: fields.get(_EXPECTED),
            'spec': fields.get('spec'),
        }
        return self._commit(
            {
                _KIND: 'apply',
                _OP_ID: _op_id(fields.get(_OP_ID)),
                'changes': [change],
            },
        )

    def _delete(self, req: WebRequest, kind: str, name: str) -> WebResponse:
        expected = req.query(_EXPECTED)
        if expected and not expected.isdecimal():
            raise InvalidFieldError(
                'expected_version must be an integer of at least 0, '
                f'got {expected!r}'
            )
        return self._commit(
            {
                _KIND: 'delete',
                _OP_ID: _op_id(req.query(_OP_ID)),
                'resource_kind': kind,
                _NAME: name,
                _EXPECTED: int(expected) if expected else None,
            },
        )

    def _apply(self, req: WebRequest) -> WebResponse:
        fields = req.json(_MAX_BODY_BYTES)
        return self._commit(
            {
                _KIND: 'apply',
                _OP_ID: _op_id(fields.get(_OP_ID)),
                'changes': fields.get('changes'),
            },
        )

    def _commit(self, command: Fields) -> WebResponse:
        reply = self._loop.propose(command, COMMIT_TIMEOUT_S)
        failure = error_from_reply(reply)
        if failure is not None:
            raise failure
        return WebResponse.from_json(reply)

    def _watch(self, req: WebRequest) -> WebResponse:
        revision = _parse_number(req.query('from', '0'), 'from')
        timeout_s = _parse_number(
            req.query('timeout_s', str(_WATCH_DEFAULT_S)),
            'timeout_s',
        )
        self._loop.barrier(COMMIT_TIMEOUT_S)
        lines = self._watcher.lines(int(revision), timeout_s)
        headers = [('Content-Type', JSON_LINES_TYPE)]
        return WebResponse(HTTPStatus.OK, headers, lines)

    def _status(self, req: WebRequest) -> WebResponse:
        return WebResponse.from_json(self._reports.status())

    def _report(self, req: WebRequest) -> WebResponse:
        self._loop.barrier(COMMIT_TIMEOUT_S)
        return WebResponse.from_json(self._reports.usage())

    def _change_members(self, req: WebRequest) -> WebResponse:
        fields = req.json(_MAX_BODY_BYTES)
        kind = str(fields.get(_KIND, ''))
        if kind not in _MEMBER_CHANGES:
            raise InvalidFieldError(
                f'operators cannot request a membership change of kind {kind!r}'
            )
        change = MemberChange(
            kind=kind,
            node_id=str(fields.get('node_id', '')),
            replaces=str(fields.get('replaces', '')),
        )
        members = self._loop.change_members(change, COMMIT_TIMEOUT_S)
        return WebResponse.from_json(members)


def _op_id(given: Any) -> str:
    return str(given) if given else uuid.uuid4().hex


def _parse_number(text: str, name: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise InvalidFieldError(
            f'{name} must be a number, got {text!r}'
        ) from None
    if not math.isfinite(number):
        raise InvalidFieldError(f'{name} must be finite, got {text!r}')
    if number < 0:
        raise InvalidFieldError(f'{name} must not be negative, got {text!r}')
    return number
