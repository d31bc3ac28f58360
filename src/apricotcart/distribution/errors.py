"""Errors raised by checks against the configuration copy."""

from __future__ import annotations

from apricotcart.errors.tree import MayHaveRunError, NotRunError


class ConfigStaleError(NotRunError):
    """The copy may be out of date, so no request may be accepted."""

    code = 'config_stale'


class UnauthorizedError(NotRunError):
    """The request has no API key, or an unknown one."""

    code = 'unauthorized'
    http_status = 401


class KeyWithdrawnError(NotRunError):
    """The API key of the request was revoked."""

    code = 'key_withdrawn'
    http_status = 401


class RouteUnknownError(NotRunError):
    """There is no such route, or the customer may not use it."""

    code = 'unknown_route'
    http_status = 404


class RunningKeyWithdrawnError(MayHaveRunError):
    """The API key of a running request was revoked or reassigned."""

    code = 'key_withdrawn'
    http_status = 401


class RunningConfigStaleError(MayHaveRunError):
    """The API key of a running request may have been revoked."""

    code = 'config_stale'
    http_status = 503
