"""Gateways in one process that share endpoints, some of them cut off."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from gateway.conftest import Bench
from gateway.endpoints import RawEndpoint, Script
from gateway.served_gateway import Received, ServedGateway, start_listener

from apricotcart.codec.envelope import Sealer
from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.errors import UnreachableEndpointError
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.hedging.hedger import NoHedger
from apricotcart.gateway.reachability.api import Reach, ReachView
from apricotcart.gateway.relay.application import RelayApplication
from apricotcart.gateway.relay.choice import PeerChoice
from apricotcart.gateway.relay.pool import PeerPool
from apricotcart.gateway.relay.tickets import TicketAuthority
from apricotcart.gateway.relay.upstream import PeerUpstream
from apricotcart.gateway.sender import Sender
from apricotcart.gateway.usage import UsageCounter
from apricotcart.membership.peers import PeerDirectory, PeerGateway
from apricotcart.platform.headers import PlatformHeaderCodec
from apricotcart.timers.clock import SteadyUnixClock
from apricotcart.timers.repeating import RepeatingTimer

SECRET = b'secret of the cluster'
_TICK_S = 0.05
_WINDOW_S = 5
_TIMEOUT_S = 5
_STOP_S = 10


class Belief(ReachView):
    """A belief that the test sets."""

    def __init__(self) -> None:
        self.current = Reach.REACHED

    def reach(self, now: float) -> Reach:
        return self.current


class CutPool(ConnectionPool):
    """Connections to endpoints that fail while the host is cut off."""

    __slots__ = ('delay_s', 'failures', 'is_cut')

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = False
        self.delay_s: float = 0
        self.failures = 0

    def acquire(self, address: str) -> EndpointConnection:
        if self.is_cut:
            self.failures += 1
            time.sleep(self.delay_s)
            raise UnreachableEndpointError('cut off by the test')
        return super().acquire(address)


class CountingUsage(UsageCounter):
    """Counts all runs, also those of public routes."""

    __slots__ = ('runs',)

    def __init__(self) -> None:
        super().__init__(SteadyUnixClock.from_host(), _WINDOW_S)
        self.runs = 0

    def record_run(self, customer: str, began_at: float) -> None:
        self.runs += 1
        super().record_run(customer, began_at)


class FleetGateway:
    """A gateway with the listeners for callers and for other gateways."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.pool = CutPool()
        self.bench = Bench(self.pool)
        self.usage = CountingUsage()
        self.bench.upstream._usage = self.usage
        self.belief = Belief()
        self.directory = PeerDirectory()
        self.tickets = TicketAuthority(
            Sealer(SECRET), name, SteadyUnixClock.from_host()
        )
        self.choice = PeerChoice(self.directory, zone)
        self.peers = PeerUpstream(
            view=self.belief,
            choice=self.choice,
            tickets=self.tickets,
            pool=PeerPool(),
            header_codec=PlatformHeaderCodec(),
            memory=self.bench.upstream.response_memory,
        )
        self.bench.sender = Sender(self.bench.upstream, self.peers)
        self.bench.forwarder = Forwarder(
            self.bench.sender, AttemptRunner(self.bench.sender), NoHedger()
        )
        self.served = ServedGateway(self.bench)
        self._relay_server = start_listener(
            RelayApplication(
                tickets=self.tickets, view=self.belief, **self.served.parts
            )
        )
        self._timers = [
            RepeatingTimer('tick', _TICK_S, self.bench.dispatcher.tick),
            RepeatingTimer('relay', _TICK_S, self.peers.tick),
        ]
        for timer in self._timers:
            timer.start()

    @property
    def relay_address(self) -> tuple[str, int]:
        """Address of the listener for other gateways."""
        address: tuple[str, int] = self._relay_server.bind_addr
        return address

    def as_peer(
        self, requests: int = 0, address: tuple[str, int] | None = None
    ) -> PeerGateway:
        host, port = address or self.relay_address
        return PeerGateway(
            host=self.name,
            zone=self.zone,
            address=f'{host}:{port}',
            requests=requests,
        )

    def cut_off(self, reach: Reach = Reach.CUT_OFF) -> None:
        """Let all connections to endpoints fail, and let the host know."""
        self.pool.is_cut = True
        self.belief.current = reach

    def ask(self, route: str, *extra: str, **options: Any) -> Received:
        return self.served.ask(route, *extra, **options)

    def runs(self) -> int:
        """Return how many requests this gateway counts as usage."""
        return self.usage.runs

    def stop_relay(self) -> None:
        self._relay_server.stop()

    def stop(self) -> None:
        for timer in self._timers:
            timer.stop()
        self.served.stop()
        self._relay_server.stop()


class Fleet:
    """Gateways ``g0``, ``g1`` and ``g2``; the first one is to be cut off."""

    def __init__(self) -> None:
        self.endpoints: list[RawEndpoint] = []
        self.gateways = [
            FleetGateway(f'g{number}', 'a' if number < 2 else 'b')
            for number in range(3)
        ]
        self._links: list[Link] = []
        for gateway in self.gateways:
            gateway.directory.replace(
                peer.as_peer() for peer in self.gateways if peer is not gateway
            )

    @property
    def sender(self) -> FleetGateway:
        """The gateway that is to be cut off."""
        return self.gateways[0]

    def serve(self, *scripts: Script, versions: tuple[str, ...] = ()) -> None:
        self.endpoints = [RawEndpoint(script) for script in scripts]
        for gateway in self.gateways:
            gateway.bench.software_versions = versions
            gateway.bench.share(self.endpoints)

    def received(self) -> int:
        """Return how many requests the endpoints have received."""
        return sum(len(endpoint.received) for endpoint in self.endpoints)

    def use_peers(self, *peers: PeerGateway) -> None:
        """Let the sender know these gateways only."""
        self.sender.directory.replace(peers)

    def link(
        self, gateway: FleetGateway, cut: Cut, requests: int = 0
    ) -> PeerGateway:
        """Return a gateway behind a link that may break."""
        link = Link(gateway.relay_address, cut)
        self._links.append(link)
        return gateway.as_peer(requests, link.address)

    def stop(self) -> None:
        for link in self._links:
            link.close()
        # The thread pool of a listener may wait without end for a thread that
        # it starts while it stops.
        stops = [
            threading.Thread(target=gateway.stop, daemon=True)
            for gateway in self.gateways
        ]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join(_STOP_S)
        for endpoint in self.endpoints:
            endpoint.close()


# Returns how many bytes of a response, as far as it has arrived, are let
# through; None for all of them.
Cut = Callable[[bytes], int | None]


class Link:
    """Passes bytes between two gateways until its cut says otherwise."""

    def __init__(self, target: tuple[str, int], cut: Cut) -> None:
        self._target = target
        self._cut = cut
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._join, args=(conn,), daemon=True
            ).start()

    def _join(self, near: socket.socket) -> None:
        far = socket.create_connection(self._target, _TIMEOUT_S)
        threading.Thread(target=_copy, args=(near, far), daemon=True).start()
        received = b''
        sent = 0
        with suppress(OSError), near, far:
            while chunk := far.recv(65536):
                received += chunk
                limit = self._cut(received)
                near.sendall(received[sent:limit])
                sent = len(received)
                if limit is not None:
                    break
            near.shutdown(socket.SHUT_RDWR)
            far.shutdown(socket.SHUT_RDWR)


def _copy(near: socket.socket, far: socket.socket) -> None:
    with suppress(OSError):
        while chunk := near.recv(65536):
            far.sendall(chunk)
        far.shutdown(socket.SHUT_WR)
