"""Errors of requests to the control hosts."""

from __future__ import annotations

from apricotcart.errors.tree import ApricotcartError
from apricotcart.web.errors import RequestError


class UnknownZoneError(RequestError):
    """No availability zone has this name."""

    code = 'unknown_zone'


class CallerGoneError(ApricotcartError):
    """Nobody waits for the answer; nothing has changed."""

    code = 'caller_gone'
    http_status = 503
