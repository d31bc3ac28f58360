"""Errors of rejected commands."""

from __future__ import annotations

from apricotcart.errors.tree import ApricotcartError, NotRunError


class ConflictError(ApricotcartError):
    """The command conflicts with the committed state."""

    code = 'conflict'
    http_status = 409


class ReferencedError(ConflictError):
    """The resource cannot be deleted while others refer to it."""

    code = 'referenced'


class OperationReusedError(ConflictError):
    """The operation id was already used for another command."""

    code = 'op_id_reused'


class StaleAttemptError(ConflictError):
    """The order belongs to another attempt, or the attempt is closed."""

    code = 'stale_attempt'


class WindowOpenError(ConflictError):
    """The usage window is not over or not closed yet."""

    code = 'window_open'


class UsageTooOldError(ConflictError):
    """The batch is older than the record of which batches were counted."""

    code = 'usage_too_old'


class SequenceGapError(ConflictError):
    """Too many earlier usage batches of the host are missing."""

    code = 'sequence_gap'


class TableFullError(ApricotcartError):
    """A bounded table is full."""

    code = 'table_full'
    http_status = 507


class OrderRecordsFullError(NotRunError):
    """No order record can be added for the customer."""

    code = 'order_records_full'


class ReportsBacklogError(ApricotcartError):
    """Too many closed usage figures have not been reported."""

    code = 'reports_backlog'
    http_status = 503
