"""Decoding of operator API answers and the errors that they report."""

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

_RETRYABLE_STATUSES: Final = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)

_EMPTY_FAULT: Final = MappingProxyType({'path': '', 'message': ''})


class AccessDeniedError(ApricotcartError):
    """The control host does not accept the operator token."""

    code = 'access_denied'
    http_status = 401


_ErrorByStatus = Mapping[int, type[ApricotcartError]]

_ERROR_BY_STATUS: _ErrorByStatus = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: InvalidResourceError,
        HTTPStatus.UNPROCESSABLE_ENTITY: InvalidResourceError,
        HTTPStatus.UNAUTHORIZED: AccessDeniedError,
        HTTPStatus.FORBIDDEN: AccessDeniedError,
        HTTPStatus.NOT_FOUND: NotFoundError,
        HTTPStatus.CONFLICT: VersionConflictError,
    }
)


def is_retryable(answer: BaseHTTPResponse) -> bool:
    """Return whether another control host, or a later retry, may succeed."""
    return answer.status in _RETRYABLE_STATUSES


def leader_url(answer: BaseHTTPResponse) -> str | None:
    """Return the leader's URL, or None if the answer has none."""
    leader = _parse_error(answer.read() or answer.data).get('leader')
    if isinstance(leader, str) and leader.startswith(('http://', 'https://')):
        return leader.rstrip('/')
    return None


def decode(answer: BaseHTTPResponse) -> Any:
    """Return the document of a successful answer.

    Raises
    ------
    ApricotcartError
        The error that the answer reports.
    """
    body = answer.data
    if answer.status < HTTPStatus.BAD_REQUEST:
        return _parse_document(body)
    error = _parse_error(body)
    message = str(
        error.get('message')
        or f'the control host answered with status {answer.status}'
    )
    faults = error.get('faults') or []
    lines = [message]
    lines.extend(
        line for line in map(_format_fault, faults) if line not in message
    )
    error_type = _ERROR_BY_STATUS.get(answer.status, ClusterError)
    raise error_type('\n'.join(lines), faults=faults)


def _parse_document(body: bytes) -> Any:
    try:
        return json.loads(body or b'{}')
    except ValueError as exc:
        raise ClusterError(f'the answer is not JSON: {exc}') from exc


def _parse_error(body: bytes) -> Mapping[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    error = document.get('error') if isinstance(document, dict) else None
    return error if isinstance(error, dict) else {}


def _format_fault(fault: Any) -> str:
    if isinstance(fault, dict):
        return '{path}: {message}'.format_map({**_EMPTY_FAULT, **fault})
    return str(fault)
