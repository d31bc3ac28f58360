"""Answers of the operator API, and the errors that they stand for."""

from __future__ import annotations

import json
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from urllib3 import BaseHTTPResponse

from apricotcart.errors.tree import (
    ApricotcartError,
    ClusterError,
    InvalidResourceError,
    NotFoundError,
    VersionConflictError,
)

_TRY_NEXT: Final = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)

_NO_FAULT: Final = MappingProxyType({'path': '', 'message': ''})


class AccessDeniedError(ApricotcartError):
    """The control host does not accept the operator token."""

    code = 'access_denied'
    http_status = 401


_ErrorTypes = Mapping[int, type[ApricotcartError]]

_ERRORS: _ErrorTypes = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: InvalidResourceError,
        HTTPStatus.UNPROCESSABLE_ENTITY: InvalidResourceError,
        HTTPStatus.UNAUTHORIZED: AccessDeniedError,
        HTTPStatus.FORBIDDEN: AccessDeniedError,
        HTTPStatus.NOT_FOUND: NotFoundError,
        HTTPStatus.CONFLICT: VersionConflictError,
    }
)


def should_try_next(answer: BaseHTTPResponse) -> bool:
    """Tell whether another control host, or a later try, may succeed."""
    return answer.status in _TRY_NEXT


def leader_url(answer: BaseHTTPResponse) -> str | None:
    """Give the leader's URL if the answer names it."""
    leader = _error_of(answer.read() or answer.data).get('leader')
    if isinstance(leader, str) and leader.startswith(('http://', 'https://')):
        return leader.rstrip('/')
    return None


def decode(answer: BaseHTTPResponse) -> Any:
    """Give the document of a successful answer.

    Raises
    ------
    ApricotcartError
        The error that the answer stands for.
    """
    body = answer.data
    if answer.status < HTTPStatus.BAD_REQUEST:
        return _document(body)
    error = _error_of(body)
    message = str(error.get('message') or f'answered {answer.status}')
    faults = error.get('faults') or []
    lines = [message]
    lines.extend(
        line for line in map(_fault_line, faults) if line not in message
    )
    kind = _ERRORS.get(answer.status, ClusterError)
    raise kind('\n'.join(lines), faults=faults)


def _document(body: bytes) -> Any:
    try:
        return json.loads(body or b'{}')
    except ValueError as exc:
        raise ClusterError(f'the answer is not JSON: {exc}') from exc


def _error_of(body: bytes) -> Mapping[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    error = document.get('error') if isinstance(document, dict) else None
    return error if isinstance(error, dict) else {}


def _fault_line(fault: Any) -> str:
    if isinstance(fault, dict):
        return '{path}: {message}'.format_map({**_NO_FAULT, **fault})
    return str(fault)
