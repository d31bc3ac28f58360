"""What all attempts at one request share."""

from __future__ import annotations

import threading
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

    __slots__ = ('_lock', 'may_have_run', 'race')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.may_have_run = False
        self.race: HedgeRace | None = None

    @property
    def has_second(self) -> bool:
        """Whether there is a second attempt."""
        return self.race is not None and self.race.has_second

    def mark_run(self) -> bool:
        """Record that an endpoint may have run it; return if that is new."""
        with self._lock:
            is_new = not self.may_have_run
            self.may_have_run = True
            return is_new

    def end_race(self) -> None:
        """Drop the references to the request if it has no second attempt.

        The body of the request is released with the last of them.
        """
        if self.race is not None and self.race.close():
            self.race = None

    def give_up_second(self) -> None:
        """Cancel a second attempt for which nobody waits any more."""
        if self.race is not None:
            self.race.give_up()

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
