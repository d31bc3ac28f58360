"""The exception tree, rooted at ApricotcartError."""

from __future__ import annotations

from typing import Any, ClassVar

NOT_RUN = 'not_run'
MAY_HAVE_RUN = 'may_have_run'


class ApricotcartError(Exception):
    """Root of every failure that the project raises.

    Attributes
    ----------
    code : str
        Name of the failure on the wire.
    http_status : int
        Status of the answer when the failure reaches a caller.
    run_state : str or None
        Whether the request was run: ``not_run``, ``may_have_run`` or None
        where no request is concerned.
    """

    code: ClassVar[str] = 'internal'
    http_status: ClassVar[int] = 500
    run_state: ClassVar[str | None] = None

    def __init__(
        self,
        message: str = '',
        *,
        retry_after_s: float | None = None,
        **context: Any,
    ) -> None:
        """Keep the message and the fields that describe the failure."""
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after_s = retry_after_s
        self.context = context


class NotRunError(ApricotcartError):
    """The request was refused before any of it was sent to an endpoint."""

    code = 'refused'
    http_status = 503
    run_state = NOT_RUN


class MayHaveRunError(ApricotcartError):
    """The request may have reached an endpoint; its outcome is unknown."""

    code = 'outcome_unknown'
    http_status = 502
    run_state = MAY_HAVE_RUN


class CodecError(ApricotcartError):
    """A message could not be decoded or its seal does not match."""

    code = 'bad_message'
    http_status = 400


class ClusterError(ApricotcartError):
    """The control hosts cannot take the request."""

    code = 'cluster'
    http_status = 503


class NotLeaderError(ClusterError):
    """This control host does not lead; ``context['leader']`` may name it."""

    code = 'not_leader'


class UnavailableError(ClusterError):
    """No control host could commit the request in time."""

    code = 'unavailable'


class StorageError(ApricotcartError):
    """The data folder cannot be read or written."""

    code = 'storage'


class SettingsError(ApricotcartError):
    """A settings file has faults; ``context['faults']`` lists them."""

    code = 'settings'
    http_status = 400


class InvalidResourceError(ApricotcartError):
    """A resource has invalid fields; ``context['faults']`` lists them."""

    code = 'invalid'
    http_status = 400


class VersionConflictError(ApricotcartError):
    """The resource has another version than the caller expects."""

    code = 'version_conflict'
    http_status = 409


class NotFoundError(ApricotcartError):
    """The resource does not exist."""

    code = 'not_found'
    http_status = 404
