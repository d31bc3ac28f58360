"""Smooth weighted round robin."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping


class Rotation:
    """Chooses among weighted candidates by smooth weighted round robin.

    Each choice adds the weight of each candidate to its credit and subtracts
    the sum of the weights from the credit of the chosen one. Candidates are
    thus chosen in proportion to their weights, even over few choices.

    Parameters
    ----------
    rng : random.Random
        Draws the initial credits, so that entry hosts with the same list do
        not make the same choices.
    """

    __slots__ = ('_credits', '_rng')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, float] = {}

    def choose(self, weights: Mapping[str, float]) -> str:
        """Return one of the candidates, of which there must be at least one."""
        for name, weight in weights.items():
            credit = self._credits.get(name)
            if credit is None:
                credit = self._rng.random() * weight
            self._credits[name] = credit + weight
        chosen = max(weights, key=self._credits.__getitem__)
        self._credits[chosen] -= sum(weights.values())
        return chosen

    def retain(self, names: Iterable[str]) -> None:
        """Discard the credits of all other candidates."""
        self._credits = {
            name: self._credits[name] for name in names if name in self._credits
        }
