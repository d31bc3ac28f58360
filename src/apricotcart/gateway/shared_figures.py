"""Exchanges figures with the other gateways through the leader."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)


class FigureUser(ABC):
    """Part of a gateway that shares figures with the other gateways."""

    @abstractmethod
    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        """Set the fields that this part shares.

        Parameters
        ----------
        figures : GatewayFigures
            What this gateway is about to send.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        """Use what the other gateways share.

        Parameters
        ----------
        shared : SharedFigures
            What the leader has sent.
        requested_at : float
            When the sync was sent, in seconds; the figures are no older.
        """

    def on_leader(self, *, is_understood: bool) -> None:  # noqa: B027
        """Learn whether the leader that answered understands figures."""


class FigureExchange:
    """The figures in the syncs of one gateway.

    None are sent until a reply has shown that the leader understands them:
    control hosts of an earlier build refuse messages with unknown fields.

    Parameters
    ----------
    users : sequence of FigureUser
        Parts that share figures.
    """

    __slots__ = ('_is_understood', '_users')

    def __init__(self, users: Sequence[FigureUser]) -> None:
        self._users = tuple(users)
        self._is_understood: bool | None = None

    @property
    def is_understood(self) -> bool | None:
        """Whether the leader understands figures, None if not known yet."""
        return self._is_understood

    def request(self, now: float) -> dict[str, Any] | None:
        """Return the figures of this gateway in wire form, None to omit them.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if not self._is_understood:
            return None
        figures = GatewayFigures(reads_deflated=True)
        for user in self._users:
            user.add_figures(figures, now)
        return figures.to_wire()

    def on_leader(self, *, is_understood: bool) -> None:
        """Record whether the leader that answered understands figures."""
        self._is_understood = is_understood
        for user in self._users:
            user.on_leader(is_understood=is_understood)

    def on_failure(self) -> None:
        """Send none to the next leader, which may be of an earlier build."""
        self._is_understood = None

    def apply(
        self, wire: Mapping[str, Any] | None, requested_at: float
    ) -> None:
        """Use the figures of a reply.

        Parameters
        ----------
        wire : dict or None
            The figures in wire form; None if the reply has none.
        requested_at : float
            When the sync was sent, in seconds.
        """
        if wire is None:
            return
        shared = SharedFigures.from_wire(wire)
        for user in self._users:
            user.apply_figures(shared, requested_at)
