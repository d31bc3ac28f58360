"""Refusals of commands."""

from __future__ import annotations

from apricotcart.errors.tree import ApricotcartError, NotRunError


class ConflictError(ApricotcartError):
    """The command contradicts what was committed before it."""

    code = 'conflict'
    http_status = 409


class ReferencedError(ConflictError):
    """The resource cannot be deleted while others need it."""

    code = 'referenced'


class OperationReusedError(ConflictError):
    """The operation id was used before for another command."""

    code = 'op_id_reused'


class StaleAttemptError(ConflictError):
    """The order record belongs to another attempt, or this one is closed."""

    code = 'stale_attempt'


class WindowOpenError(ConflictError):
    """The usage window is not over, or not closed."""

    code = 'window_open'


class UsageTooOldError(ConflictError):
    """The batch may have been counted before, and that is forgotten."""

    code = 'usage_too_old'


class SequenceGapError(ConflictError):
    """Too many earlier batches of the host are missing."""

    code = 'sequence_gap'


class TableFullError(ApricotcartError):
    """A bounded table has no room."""

    code = 'table_full'
    http_status = 507


class OrderRecordsFullError(NotRunError):
    """No order record can be added for the customer."""

    code = 'order_records_full'


class ReportsBacklogError(ApricotcartError):
    """Too many closed windows wait to be reported."""

    code = 'reports_backlog'
    http_status = 503
