"""Assembles what one host needs to pass requests on and to take them over."""

from __future__ import annotations

from typing import Any, Final

from apricotcart.codec.envelope import Sealer
from apricotcart.coordinator.messages import CLUSTER_SECRET
from apricotcart.gateway.api import HeaderCodec
from apricotcart.gateway.reachability.api import ReachView
from apricotcart.gateway.relay.application import RelayApplication
from apricotcart.gateway.relay.choice import PeerChoice
from apricotcart.gateway.relay.pool import PeerPool
from apricotcart.gateway.relay.tickets import TicketAuthority
from apricotcart.gateway.relay.upstream import PeerUpstream
from apricotcart.membership.peers import PeerSource
from apricotcart.responses.memory import ResponseMemory
from apricotcart.settings.fleet import FleetHostSettings
from apricotcart.timers.clock import SteadyUnixClock
from apricotcart.timers.repeating import RepeatingTimer

# Interval at which queued requests are withdrawn from a host that is cut off.
_TICK_INTERVAL_S: Final = 0.1


class Relay:
    """Passes requests on to other gateways, and takes theirs over.

    Parameters
    ----------
    host : FleetHostSettings
        This host.
    view : ReachView
        Tells whether this host reaches endpoints.
    source : PeerSource
        Lists the gateways that requests may be passed on to.
    clock : SteadyUnixClock
        Tells the time of the tickets.
    header_codec : HeaderCodec
        Builds and parses the headers.
    memory : ResponseMemory
        Memory of all responses of this process.

    Attributes
    ----------
    upstream : PeerUpstream
        Passes requests on.
    """

    __slots__ = ('_tickets', '_view', 'upstream')

    def __init__(
        self,
        *,
        host: FleetHostSettings,
        view: ReachView,
        source: PeerSource,
        clock: SteadyUnixClock,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
    ) -> None:
        self._view = view
        self._tickets = TicketAuthority(
            Sealer(CLUSTER_SECRET), host.name, clock
        )
        self.upstream = PeerUpstream(
            view=view,
            choice=PeerChoice(source, host.zone),
            tickets=self._tickets,
            pool=PeerPool(),
            header_codec=header_codec,
            memory=memory,
        )

    def start(self) -> None:
        """Start the timer."""
        tick = self.upstream.tick
        RepeatingTimer('relay', _TICK_INTERVAL_S, tick).start()

    def application(self, **parts: Any) -> RelayApplication:
        """Return the application that takes requests over.

        Parameters
        ----------
        **parts : Any
            Arguments of `GatewayApplication`.
        """
        return RelayApplication(tickets=self._tickets, view=self._view, **parts)
