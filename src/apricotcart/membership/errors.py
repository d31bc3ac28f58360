"""Failures of the answer to which host to use."""

from __future__ import annotations

from apricotcart.errors.tree import NotRunError


class HostsUnknownError(NotRunError):
    """No host can be named: there is none, or the list is too old."""

    code = 'hosts_unknown'
