"""Builds what makes second attempts."""

from __future__ import annotations

from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.endpoint_upstream import EndpointUpstream
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.hedging.figures import HedgeFigures
from apricotcart.gateway.hedging.hedger import (
    EndpointHedger,
    Hedger,
    NoHedger,
)
from apricotcart.gateway.hedging.policy import HedgePolicy, HedgeSettings
from apricotcart.gateway.sender import Sender
from apricotcart.settings.fleet import FleetConfig


class Hedging:
    """Second attempts of one host.

    Attributes
    ----------
    figures : HedgeFigures
        Shares the answer times with the other hosts.
    """

    __slots__ = ('_hedger', '_policy', 'figures')

    def __init__(self, cfg: FleetConfig) -> None:
        self._policy = HedgePolicy(HedgeSettings.from_config(cfg))
        self._hedger: Hedger = NoHedger()
        self.figures = HedgeFigures(self._policy)

    def build_forwarder(
        self, sender: Sender, endpoints: EndpointUpstream
    ) -> Forwarder:
        """Return a forwarder whose requests have second attempts.

        Parameters
        ----------
        sender : Sender
            Sends first attempts.
        endpoints : EndpointUpstream
            Sends second attempts.
        """
        attempts = AttemptRunner(sender)
        if self._policy.is_enabled:
            self._hedger = EndpointHedger(self._policy, endpoints, attempts)
        return Forwarder(sender, attempts, self._hedger)

    def start(self) -> None:
        """Start the thread that begins second attempts."""
        self._hedger.start()

    def stop(self) -> None:
        """Make no more second attempts."""
        self._hedger.stop()
