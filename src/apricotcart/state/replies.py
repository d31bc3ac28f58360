"""Conversion between errors of commands and error replies."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

from apricotcart.errors.tree import (
    ApricotcartError,
    CodecError,
    InvalidResourceError,
    NotFoundError,
    VersionConflictError,
)
from apricotcart.state import errors as state_errors
from apricotcart.state.records import Fault

_ERROR_TYPES: Final = (
    CodecError,
    InvalidResourceError,
    NotFoundError,
    state_errors.OperationReusedError,
    state_errors.OrderRecordsFullError,
    state_errors.ReferencedError,
    state_errors.ReportsBacklogError,
    state_errors.SequenceGapError,
    state_errors.StaleAttemptError,
    state_errors.TableFullError,
    VersionConflictError,
    state_errors.UsageTooOldError,
    state_errors.WindowOpenError,
)
_ERROR_TYPES_BY_CODE: Final = MappingProxyType(
    {error_type.code: error_type for error_type in _ERROR_TYPES},
)


def invalid(faults: Iterable[Fault]) -> InvalidResourceError:
    """Return the error for a command with invalid fields."""
    return InvalidResourceError(
        'the command has invalid fields',
        faults=[fault.to_wire() for fault in faults],
    )


def conflict(faults: Iterable[Fault]) -> VersionConflictError:
    """Return the error for a command whose expected versions differ."""
    return VersionConflictError(
        'the expected version differs from the current one',
        faults=[fault.to_wire() for fault in faults],
    )


def error_reply(exc: ApricotcartError) -> dict[str, Any]:
    """Return the reply that reports an error."""
    faults = exc.context.get('faults')
    if faults is None:
        faults = [{'path': '', 'message': exc.message}]
    return {'ok': False, 'code': exc.code, 'faults': faults}


def error_from_reply(reply: Mapping[str, Any]) -> ApricotcartError | None:
    """Return the error reported by a reply, or None if it succeeded."""
    if reply['ok']:
        return None
    error_type = _ERROR_TYPES_BY_CODE.get(reply['code'], ApricotcartError)
    faults = reply['faults']
    message = '; '.join(
        '{path}: {message}'.format_map(fault) for fault in faults
    )
    return error_type(message.removeprefix(': '), faults=faults)
