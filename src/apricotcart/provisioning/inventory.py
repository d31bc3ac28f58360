"""Endpoints and prices that the platform reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from apricotcart.provisioning.api import LeaderTask

if TYPE_CHECKING:
    from apricotcart.provisioning.api import Answer
    from apricotcart.provisioning.outbox import Outbox

READ_INTERVAL_S = 2.0
# No endpoint is ordered or released based on an older list.
MAX_AGE_S = 10.0

RUNNING = 'running'
STARTING = 'starting'
RECLAIMING = 'reclaiming'


class Inventory(LeaderTask):
    """Reads the endpoints and prices at the platform every 2 s.

    Parameters
    ----------
    outbox : Outbox
        Queue of outgoing reads.

    Attributes
    ----------
    endpoints : list of dict
        Endpoints at the platform: ``name``, ``pool``, ``zone``, ``cheap``
        (whether it is a spot endpoint), ``url`` and ``state``.
    prices : dict
        ``regular`` and ``cheap`` (spot) price by zone.
    started_at : float
        Start of the read that returned the endpoints. Endpoints ordered
        later may be missing.
    """

    __slots__ = (
        '_next_read_at',
        '_outbox',
        'endpoints',
        'prices',
        'started_at',
    )

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._next_read_at: float | None = None
        self.endpoints: list[dict[str, Any]] = []
        self.prices: dict[str, dict[str, float]] = {}
        self.started_at: float | None = None

    def tick(self, now: float) -> None:
        """Start a read when one is due."""
        if self._next_read_at is not None and now < self._next_read_at:
            return
        self._next_read_at = now + READ_INTERVAL_S
        self._read('/prices', self._on_prices)
        self._outbox.send(
            lambda _, answer: self._on_endpoints(now, answer),
            path='/endpoints',
            method='GET',
            body={},
            fenced=False,
        )

    def reset(self) -> None:
        """Discard what was read under an earlier fencing token."""
        self._next_read_at = None
        self.started_at = None

    def is_fresh(self, now: float, after: float) -> bool:
        """Return whether the list is recent and was read after a given time.

        False until the prices have been read as well.
        """
        if self.started_at is None or not self.prices:
            return False
        return self.started_at > after and now < self.started_at + MAX_AGE_S

    def _read(self, path: str, on_answer: Any) -> None:
        self._outbox.send(
            on_answer,
            path=path,
            method='GET',
            body={},
            fenced=False,
        )

    def _on_endpoints(self, started_at: float, answer: Answer) -> None:
        if not answer.is_ok:
            return
        if self.started_at is None or started_at > self.started_at:
            self.endpoints = list(answer.body.get('endpoints', ()))
            self.started_at = started_at

    def _on_prices(self, now: float, answer: Answer) -> None:
        if answer.is_ok:
            self.prices = dict(answer.body.get('zones', {}))
