"""What all attempts at one request share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotcart.gateway.hedging.race import HedgeLostError, HedgeRace

if TYPE_CHECKING:
    from apricotcart.gateway.call import Call


class AttemptState:
    """State that the first and the second attempt at a request share.

    Attributes
    ----------
    may_have_run : bool
        Whether an endpoint may have run the request.
    race : HedgeRace or None
        The attempts, if there may be a second one.
    """

    __slots__ = ('may_have_run', 'race')

    def __init__(self) -> None:
        self.may_have_run = False
        self.race: HedgeRace | None = None

    @property
    def has_second(self) -> bool:
        """Whether there is a second attempt."""
        return self.race is not None and self.race.has_second

    def claim_answer(self, call: Call) -> None:
        """Let an attempt count, and cancel the other one.

        Raises
        ------
        HedgeLostError
            If the other attempt was answered first.
        """
        if self.race is not None and not self.race.claim(call):
            raise HedgeLostError

    def is_lost(self, call: Call) -> bool:
        """Return whether the other attempt was answered first."""
        return self.race is not None and self.race.is_lost(call)

    def second_of(self, call: Call) -> Call | None:
        """Return the second attempt if a call is the first one of two."""
        if self.race is None or self.race.second is call:
            return None
        return self.race.second
