"""What the failed attempts of one request say together."""

from __future__ import annotations

from apricotcart.errors.tree import (
    MAY_HAVE_RUN,
    NOT_RUN,
    ApricotcartError,
    MayHaveRunError,
)


class PastAttempts:
    """Failed attempts of one request.

    Attributes
    ----------
    may_have_run : bool
        Whether one of them may have run on an endpoint.
    """

    __slots__ = ('may_have_run',)

    def __init__(self) -> None:
        """Start without any attempt."""
        self.may_have_run = False

    def note(self, failure: ApricotcartError) -> None:
        """Add a failed attempt."""
        if failure.run_state == MAY_HAVE_RUN:
            self.may_have_run = True

    def truthful(self, failure: ApricotcartError) -> ApricotcartError:
        """Give the failure that is true of all attempts together.

        The last attempt's `not_run` says nothing of the earlier ones.
        """
        if not self.may_have_run or failure.run_state != NOT_RUN:
            return failure
        return MayHaveRunError(
            f'an earlier attempt may have run; then: {failure.message}',
            retry_after_s=failure.retry_after_s,
            reason=failure.code,
        )
