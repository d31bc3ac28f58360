"""Run state of a request over all its failed attempts."""

from __future__ import annotations

from apricotcart.errors.tree import (
    MAY_HAVE_RUN,
    NOT_RUN,
    ApricotcartError,
    MayHaveRunError,
)


class AttemptHistory:
    """Failed attempts of one request.

    Attributes
    ----------
    may_have_run : bool
        Whether any of them may have run on an endpoint.
    """

    __slots__ = ('may_have_run',)

    def __init__(self) -> None:
        self.may_have_run = False

    def record(self, failure: ApricotcartError) -> None:
        """Add a failed attempt."""
        if failure.run_state == MAY_HAVE_RUN:
            self.may_have_run = True

    def overall_failure(self, failure: ApricotcartError) -> ApricotcartError:
        """Return the failure with a run state that covers all attempts.

        The `not_run` of the last attempt does not hold for earlier ones.
        """
        if not self.may_have_run or failure.run_state != NOT_RUN:
            return failure
        return MayHaveRunError(
            f'an earlier attempt may have run; the last one: {failure.message}',
            retry_after_s=failure.retry_after_s,
            reason=failure.code,
        )
