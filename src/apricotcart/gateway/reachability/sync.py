"""Reports the reachability of this host with its syncs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.others import OthersView
from apricotcart.membership.peers import PeerDirectory, PeerGateway
from apricotcart.membership.reach_reports import ReachReply, ReachReport

# Peers are asked for again after this long, so that recent ones are known when
# this host is cut off.
_PEERS_TTL_S: Final = 2.0


class SyncedReach:
    """Builds the report of this host and applies the reply of the leader.

    Parameters
    ----------
    monitor : ReachMonitor
        Belief of this host.
    peers : PeerDirectory
        Stores the other gateways.
    relay_address : str
        Address for requests that other gateways pass on, as ``IP:PORT``.
    """

    __slots__ = ('_monitor', '_peers', '_peers_until', '_relay_address')

    def __init__(
        self, monitor: ReachMonitor, peers: PeerDirectory, relay_address: str
    ) -> None:
        self._monitor = monitor
        self._peers = peers
        self._relay_address = relay_address
        self._peers_until: float = 0

    def report(self, now: float) -> dict[str, Any]:
        """Return the report in wire form."""
        reach = self._monitor.reach(now)
        reached_s, reached = self._monitor.reached(now)
        is_doubted = reach is not Reach.REACHED or reached_s is None
        report = ReachReport(
            is_suspect=reach is not Reach.REACHED,
            is_cut_off=reach is Reach.CUT_OFF,
            reached_s=reached_s,
            reached=reached,
            relay_address=self._relay_address,
            wants_peers=is_doubted or now >= self._peers_until,
        )
        return report.to_wire()

    def apply(self, fields: Mapping[str, Any], asked_at: float) -> None:
        """Apply the reply to a report, in wire form."""
        reply = ReachReply.from_wire(fields)
        self._monitor.on_view(
            OthersView(
                reply.others_reach,
                reply.reached,
                asked_at,
                reply.reached_s or 0,
            )
        )
        if reply.peers is not None:
            self._peers.replace(
                PeerGateway.from_wire(peer) for peer in reply.peers
            )
            self._peers_until = asked_at + _PEERS_TTL_S
