"""Errors of desired states."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.errors.tree import ApricotcartError
from apricotcart.web.errors import RequestError


class InvalidDesiredStateError(RequestError):
    """A desired state is invalid; ``context['faults']`` lists the faults."""

    code = 'invalid_desired_state'


class NoDesiredStateError(ApricotcartError):
    """No desired state is known yet."""

    code = 'no_desired_state'
    http_status = 503


def invalid_state_error(faults: Sequence[str]) -> InvalidDesiredStateError:
    """Return an error that lists all faults."""
    return InvalidDesiredStateError('; '.join(faults), faults=list(faults))
