"""What gateways and the leader tell each other about reaching endpoints."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from apricotcart.codec.record import Record


class ReachReport(Record):
    """What a gateway reports with a sync about reaching endpoints.

    Attributes
    ----------
    is_suspect : bool
        Whether its connections fail, so that what it reports about endpoints
        may be its own fault; also true while it is cut off.
    is_cut_off : bool
        Whether it believes that it reaches no endpoint while others do.
    reached_s : float or None
        Time since it has reached an endpoint, in seconds; None if that is
        more than about a second.
    reached : list of str
        Addresses of a few endpoints that it has reached just now.
    relay_address : str
        Address for requests that other gateways pass on, as ``IP:PORT``;
        empty if it takes none.
    wants_peers : bool
        Whether the reply shall name other gateways and reached endpoints.
    """

    __slots__ = (
        'is_cut_off',
        'is_suspect',
        'reached',
        'reached_s',
        'relay_address',
        'wants_peers',
    )

    def __init__(
        self,
        *,
        is_suspect: bool = False,
        is_cut_off: bool = False,
        reached_s: float | None = None,
        reached: Sequence[str] = (),
        relay_address: str = '',
        wants_peers: bool = False,
    ) -> None:
        self.is_suspect = is_suspect
        self.is_cut_off = is_cut_off
        self.reached_s = reached_s
        self.reached = reached
        self.relay_address = relay_address
        self.wants_peers = wants_peers


class ReachReply(Record):
    """What the leader tells a gateway about the other gateways.

    Attributes
    ----------
    others_reach : bool or None
        Whether another gateway has reached an endpoint lately; None if the
        leader does not know yet.
    reached_s : float or None
        Time since then in seconds.
    reached : list of str
        Addresses of a few endpoints that other gateways have just reached.
    peers : list or None
        Gateways that take requests, in wire form; None if not asked for.
    """

    __slots__ = ('others_reach', 'peers', 'reached', 'reached_s')

    def __init__(
        self,
        *,
        others_reach: bool | None = None,
        reached_s: float | None = None,
        reached: Sequence[str] = (),
        peers: Sequence[Mapping[str, Any]] | None = None,
    ) -> None:
        self.others_reach = others_reach
        self.reached_s = reached_s
        self.reached = reached
        self.peers = peers
