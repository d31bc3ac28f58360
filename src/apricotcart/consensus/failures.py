"""Errors of the replicated log."""

from __future__ import annotations

from apricotcart.errors.tree import ApricotcartError, ClusterError


class MembershipError(ClusterError):
    """The membership change is invalid or not possible now."""

    code = 'membership'
    http_status = 409


class LogConflictError(ApricotcartError):
    """Entries from a leader conflict with committed entries of this node.

    The node stops, because overwriting could lose acknowledged entries.
    """

    code = 'log_conflict'
