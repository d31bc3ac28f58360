"""Periodic report of a gateway to the leader, and its reply."""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.codec.record import Record
from apricotcart.coordinator.messages import DEFLATED_SYNC, SYNC
from apricotcart.coordinator.state_blocks import inflate
from apricotcart.transport.api import MAX_MESSAGE_BYTES

# Version in a sync to a leader of which it is not known whether it understands
# figures. No document is newer, so that the reply has none.
ANY_VERSION: Final = 9_223_372_036_854_775_807

# Compression of replies, of which the leader sends hundreds in a second.
_LEVEL: Final = 1

Versions = Mapping[str, Sequence[str]]


class _SyncMessage(Record):
    """Message that processes of an earlier build also read.

    Those refuse unknown fields, so that the figures are left out without any.
    """

    __slots__ = ()

    exchange: Mapping[str, Any] | None

    def to_wire(self) -> dict[str, Any]:
        """Return the fields as a mapping that msgpack can encode."""
        fields = super().to_wire()
        if self.exchange is None:
            fields.pop('exchange')
        return fields


class SyncRequest(_SyncMessage):
    """Periodic report of a gateway to the leader.

    Attributes
    ----------
    host : str
        Name of the host.
    incarnation : str
        Identifies one start of the process.
    address : str
        Address for callers, as ``IP:PORT``.
    zone : str
        Availability zone.
    is_serving : bool
        Whether the host accepts new callers.
    version : int
        Version of the desired state that the gateway has, -1 without one.
    list_mark : int
        Mark of the endpoint list that the gateway has.
    loads : dict
        Requests, tokens and unread prompt tokens by endpoint.
    outcomes : dict
        Recent successes and failures of requests, by endpoint.
    waiting : dict
        The same figures of queued requests, by service.
    usage : dict
        Number of requests started, by window and customer.
    suspects : list
        What may crash endpoints, as known to the gateway.
    reachability : dict
        Whether it reaches endpoints, as a ReachReport in wire form.
    exchange : dict or None
        Figures that gateways share, as a GatewayFigures in wire form; None
        until the leader is known to understand them.
    """

    __slots__ = (
        'exchange',
        'host',
        'incarnation',
        'is_serving',
        'list_mark',
        'loads',
        'address',
        'outcomes',
        'reachability',
        'suspects',
        'usage',
        'version',
        'waiting',
        'zone',
    )

    def __init__(
        self,
        *,
        host: str,
        incarnation: str,
        address: str,
        zone: str,
        is_serving: bool,
        version: int,
        list_mark: int,
        loads: Mapping[str, Sequence[int]],
        waiting: Mapping[str, Sequence[int]],
        usage: Mapping[int, Mapping[str, int]],
        suspects: Sequence[Mapping[str, Any]] = (),
        outcomes: Mapping[str, Sequence[int]] | None = None,
        reachability: Mapping[str, Any] | None = None,
        exchange: Mapping[str, Any] | None = None,
    ) -> None:
        self.exchange = exchange
        self.outcomes = outcomes or {}
        self.reachability = reachability or {}
        self.host = host
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.is_serving = is_serving
        self.version = version
        self.list_mark = list_mark
        self.loads = loads
        self.waiting = waiting
        self.usage = usage
        self.suspects = suspects


class SyncReply(_SyncMessage):
    """Reply of the leader to a sync.

    Attributes
    ----------
    document : bytes or None
        Desired state, if it is newer than that of the gateway.
    list_mark : int
        Mark of the leader's endpoint list, 0 without one.
    list_age_s : float
        Age of that list in seconds.
    instances : list or None
        Endpoint list in wire form, if its mark differs.
    loads : dict
        Load of the other gateways on each endpoint.
    failing : dict
        Successes and failures at the other gateways, of each endpoint that
        failed requests recently.
    hosts : int
        Number of serving gateways.
    members : list of str
        Identities of the control hosts in the replicated log.
    unix_s : float
        Unix time of the leader in seconds.
    suspects : list
        What may crash endpoints, as known to all gateways.
    software_versions : dict
        Versions of endpoints that served recently, by service.
    rank : int
        Number of gateways before this one among those that share limits.
    ranked_hosts : int
        Number of these gateways.
    reachability : dict
        Whether others reach endpoints, as a ReachReply in wire form.
    exchange : dict or None
        What all gateways share, as a SharedFigures in wire form; None if the
        gateway has sent none.
    """

    __slots__ = (
        'exchange',
        'document',
        'failing',
        'hosts',
        'instances',
        'list_age_s',
        'list_mark',
        'loads',
        'members',
        'rank',
        'ranked_hosts',
        'reachability',
        'software_versions',
        'suspects',
        'unix_s',
    )

    def __init__(
        self,
        *,
        document: bytes | None,
        list_mark: int,
        instances: Sequence[Mapping[str, Any]] | None,
        loads: Mapping[str, Sequence[int]],
        hosts: int,
        members: Sequence[str],
        unix_s: float,
        suspects: Sequence[Mapping[str, Any]] = (),
        software_versions: Versions | None = None,
        rank: int = 0,
        ranked_hosts: int = 1,
        failing: Mapping[str, Sequence[int]] | None = None,
        reachability: Mapping[str, Any] | None = None,
        list_age_s: float = 0,
        exchange: Mapping[str, Any] | None = None,
    ) -> None:
        self.exchange = exchange
        self.list_age_s = list_age_s
        self.failing = failing or {}
        self.reachability = reachability or {}
        self.rank = rank
        self.ranked_hosts = ranked_hosts
        self.software_versions = software_versions or {}
        self.document = document
        self.list_mark = list_mark
        self.instances = instances
        self.loads = loads
        self.hosts = hosts
        self.members = members
        self.unix_s = unix_s
        self.suspects = suspects


def wire_reply(sync: SyncRequest, reply: SyncReply) -> dict[str, Any]:
    """Return the field that holds the reply to a gateway.

    It is compressed if the gateway understands that.
    """
    fields = reply.to_wire()
    if (sync.exchange or {}).get('reads_deflated'):
        return {DEFLATED_SYNC: zlib.compress(pack(fields), _LEVEL)}
    return {SYNC: fields}


def read_reply(message: Mapping[str, Any]) -> SyncReply:
    """Return the reply that a message of the leader holds.

    Raises
    ------
    CodecError
        If it is damaged.
    """
    deflated = message.get(DEFLATED_SYNC)
    if deflated is None:
        return SyncReply.from_wire(message[SYNC])
    fields = unpack(inflate(deflated, MAX_MESSAGE_BYTES))
    return SyncReply.from_wire(fields)
