"""Collects the figures of all gateways and shares them with each."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)


class FigureStore(ABC):
    """Part of the leader that joins figures of all gateways."""

    @abstractmethod
    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Store what one gateway has sent.

        Parameters
        ----------
        incarnation : str
            Identifies the start of the gateway's process.
        figures : GatewayFigures
            What it has sent.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Set the fields that this part shares with one gateway.

        Parameters
        ----------
        incarnation : str
            Identifies the gateway, whose own figures are left out.
        shared : SharedFigures
            What is about to be sent.
        now : float
            Time in seconds.
        """


class FigureStores:
    """All figures that gateways share.

    Parameters
    ----------
    stores : sequence of FigureStore
        Parts that join figures.
    """

    __slots__ = ('_stores',)

    def __init__(self, stores: Sequence[FigureStore]) -> None:
        self._stores = tuple(stores)

    def exchange(
        self, incarnation: str, wire: Mapping[str, Any] | None, now: float
    ) -> dict[str, Any] | None:
        """Store the figures of one gateway and return those for it.

        Parameters
        ----------
        incarnation : str
            Identifies the gateway.
        wire : dict or None
            Its figures in wire form; None from an earlier build.
        now : float
            Time in seconds.

        Returns
        -------
        dict or None
            Shared figures in wire form; None for an earlier build, which
            refuses messages with unknown fields.
        """
        if wire is None:
            return None
        figures = GatewayFigures.from_wire(wire)
        shared = SharedFigures()
        for store in self._stores:
            store.on_figures(incarnation, figures, now)
            store.add_shared(incarnation, shared, now)
        return shared.to_wire()
