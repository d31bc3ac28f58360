"""Refusals that follow from the configuration copy."""

from __future__ import annotations

from apricotcart.errors.tree import MayHaveRunError, NotRunError


class ConfigStaleError(NotRunError):
    """The copy is not known to be fresh, so nothing may be accepted."""

    code = 'config_stale'


class UnauthorizedError(NotRunError):
    """The request has no key, or one that is not known."""

    code = 'unauthorized'
    http_status = 401


class KeyWithdrawnError(NotRunError):
    """The request's key was revoked."""

    code = 'key_withdrawn'
    http_status = 401


class RouteUnknownError(NotRunError):
    """There is no such route, or it is not for this customer."""

    code = 'unknown_route'
    http_status = 404


class RunningKeyWithdrawnError(MayHaveRunError):
    """The key of a running request was revoked."""

    code = 'key_withdrawn'
    http_status = 401


class RunningConfigStaleError(MayHaveRunError):
    """Whether a running request's key still holds is not known."""

    code = 'config_stale'
    http_status = 503
