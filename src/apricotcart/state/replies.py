"""Error replies of commands, and the errors that they stand for."""

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
from apricotcart.state import errors as refusals
from apricotcart.state.records import Fault

_ERRORS: Final = (
    CodecError,
    InvalidResourceError,
    NotFoundError,
    refusals.OperationReusedError,
    refusals.OrderRecordsFullError,
    refusals.ReferencedError,
    refusals.ReportsBacklogError,
    refusals.SequenceGapError,
    refusals.StaleAttemptError,
    refusals.TableFullError,
    VersionConflictError,
    refusals.UsageTooOldError,
    refusals.WindowOpenError,
)
_ERRORS_BY_CODE: Final = MappingProxyType(
    {kind.code: kind for kind in _ERRORS},
)


def invalid(faults: Iterable[Fault]) -> InvalidResourceError:
    """Build the error of a command with invalid fields."""
    return InvalidResourceError(
        'invalid fields',
        faults=[fault.to_wire() for fault in faults],
    )


def conflict(faults: Iterable[Fault]) -> VersionConflictError:
    """Build the error of a command with outdated versions."""
    return VersionConflictError(
        'version differs',
        faults=[fault.to_wire() for fault in faults],
    )


def reply_of(exc: ApricotcartError) -> dict[str, Any]:
    """Give the reply that reports an error."""
    faults = exc.context.get('faults')
    if faults is None:
        faults = [{'path': '', 'message': exc.message}]
    return {'ok': False, 'code': exc.code, 'faults': faults}


def error_of(reply: Mapping[str, Any]) -> ApricotcartError | None:
    """Give the error that a reply reports, or None if it reports none."""
    if reply['ok']:
        return None
    kind = _ERRORS_BY_CODE.get(reply['code'], ApricotcartError)
    faults = reply['faults']
    message = '; '.join(
        '{path}: {message}'.format_map(fault) for fault in faults
    )
    return kind(message.removeprefix(': '), faults=faults)
