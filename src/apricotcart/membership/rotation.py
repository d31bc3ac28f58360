"""Even choice among weighted candidates."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping


class Rotation:
    """Smooth weighted round robin.

    Each choice adds its weight to the credit of each candidate and takes
    the sum from the chosen one, so that each is chosen in proportion to its
    weight over any short run.

    Parameters
    ----------
    rng : random.Random
        Gives the first credits, so that entry hosts with the same list do
        not choose in step.
    """

    __slots__ = ('_credits', '_rng')

    def __init__(self, rng: random.Random) -> None:
        """Start without candidates."""
        self._rng = rng
        self._credits: dict[str, float] = {}

    def choose(self, weights: Mapping[str, float]) -> str:
        """Choose one of the candidates, which must not be empty."""
        for name, weight in weights.items():
            credit = self._credits.get(name)
            if credit is None:
                credit = self._rng.random() * weight
            self._credits[name] = credit + weight
        chosen = max(weights, key=self._credits.__getitem__)
        self._credits[chosen] -= sum(weights.values())
        return chosen

    def keep(self, names: Iterable[str]) -> None:
        """Forget the credits of all other candidates."""
        self._credits = {
            name: self._credits[name] for name in names if name in self._credits
        }
