"""The exception hierarchy, whose base class is ApricotcartError."""

from __future__ import annotations

from typing import Any, ClassVar

NOT_RUN = 'not_run'
MAY_HAVE_RUN = 'may_have_run'


class ApricotcartError(Exception):
    """Base class of every exception that the project raises.

    Attributes
    ----------
    code : str
        Error code in messages and answers.
    http_status : int
        HTTP status of the answer to the caller.
    run_state : str or None
        Whether the request was run: ``not_run`` or ``may_have_run``; None if
        the error does not concern a request to an endpoint.
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
        """Initialize the error; the message defaults to its code.

        Parameters
        ----------
        message : str
            What failed.
        retry_after_s : float or None
            Time in seconds after which the caller may retry.
        **context : Any
            Further fields that describe the failure.
        """
        super().__init__(message or self.code)
        self.message = message or self.code
        self.retry_after_s = retry_after_s
        self.context = context


class NotRunError(ApricotcartError):
    """The request was rejected before any of it was sent to an endpoint."""

    code = 'refused'
    http_status = 503
    run_state = NOT_RUN


class MayHaveRunError(ApricotcartError):
    """The request may have reached an endpoint; its outcome is unknown."""

    code = 'outcome_unknown'
    http_status = 502
    run_state = MAY_HAVE_RUN


class CodecError(ApricotcartError):
    """A message is invalid: it is malformed, not authentic or unknown."""

    code = 'bad_message'
    http_status = 400


class ClusterError(ApricotcartError):
    """The control hosts cannot process the request."""

    code = 'cluster'
    http_status = 503


class NotLeaderError(ClusterError):
    """This host is not the leader; ``context['leader']`` may name it."""

    code = 'not_leader'


class UnavailableError(ClusterError):
    """No control host committed the request in time."""

    code = 'unavailable'


class StorageError(ApricotcartError):
    """The data folder cannot be read or written."""

    code = 'storage'


class SettingsError(ApricotcartError):
    """A settings file is invalid; ``context['faults']`` lists the faults."""

    code = 'settings'
    http_status = 400


class InvalidResourceError(ApricotcartError):
    """A resource is invalid; ``context['faults']`` lists the faults."""

    code = 'invalid'
    http_status = 400


class VersionConflictError(ApricotcartError):
    """The version of the resource differs from the expected version."""

    code = 'version_conflict'
    http_status = 409


class NotFoundError(ApricotcartError):
    """The resource does not exist."""

    code = 'not_found'
    http_status = 404
