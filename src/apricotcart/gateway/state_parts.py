"""Builds the parts of a gateway that fetch the desired state."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable

from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.messages import cluster_sealer
from apricotcart.gateway.block_assembly import BlockAssembly
from apricotcart.gateway.block_client import BlockClient
from apricotcart.gateway.block_server import BlockServer
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_adoption import StateAdoption
from apricotcart.gateway.state_fetch import FETCH_THREADS, StateFetch
from apricotcart.gateway.state_sources import StateSources
from apricotcart.settings.fleet import FleetConfig
from apricotcart.timers.repeating import RepeatingTimer
from apricotcart.transport.redialing import RedialingClients


class StateParts:
    """Fetches the desired state in blocks and gives them to others.

    Parameters
    ----------
    cfg : FleetConfig
        Address of this host and its ports.
    state : StateCopy
        Stores the state.
    dispatcher : Dispatcher
        Learns the capacity of the engines.
    hosts : AnyHostClient
        Knows the control hosts.
    on_adopted : callable
        Called once a state is in force.

    Attributes
    ----------
    fetch : StateFetch
        Exchanges figures with the leader.
    """

    __slots__ = ('_address', '_server', 'fetch')

    def __init__(
        self,
        cfg: FleetConfig,
        state: StateCopy,
        dispatcher: Dispatcher,
        hosts: AnyHostClient,
        on_adopted: Callable[[], object],
    ) -> None:
        ports = Ports(cfg.links.first_port)
        sealer = cluster_sealer()
        rng = random.Random()
        assembly = BlockAssembly(rng)
        # Gateways do not use this port themselves.
        self._address = ports.peer_address(cfg.host.address)
        self._server = BlockServer(self._address, assembly, sealer)
        self.fetch = StateFetch(
            client_id=uuid.uuid4().hex,
            state=state,
            adoption=StateAdoption(state, dispatcher, cfg.bounds),
            assembly=assembly,
            sources=StateSources(rng),
            client=BlockClient(hosts, ports, RedialingClients(sealer)),
            on_adopted=on_adopted,
        )

    def start(self) -> None:
        """Start the threads that fetch, and the server of blocks."""
        for _ in range(FETCH_THREADS):
            RepeatingTimer('state', 0, self.fetch.run_once).start()
        if self._server.start():
            self.fetch.serve_at(self._address)
