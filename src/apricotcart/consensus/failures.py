"""Failures of the replicated log."""

from __future__ import annotations

from apricotcart.errors.tree import ApricotcartError, ClusterError


class MembershipError(ClusterError):
    """The membership change cannot be made now or at all."""

    code = 'membership'
    http_status = 409


class LogConflictError(ApricotcartError):
    """A leader contradicts committed entries of this node.

    The node stops rather than overwrite what it may have acknowledged.
    """

    code = 'log_conflict'
