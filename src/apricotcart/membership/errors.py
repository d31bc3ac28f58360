"""Errors of host discovery."""

from __future__ import annotations

from apricotcart.errors.tree import NotRunError


class HostsUnknownError(NotRunError):
    """No entry host is known, or the host list has expired."""

    code = 'hosts_unknown'
