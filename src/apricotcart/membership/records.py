"""Records that entry hosts and the leader exchange about entry hosts."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.record import Record

SERVING: Final = 'serving'
LEAVING: Final = 'leaving'


class HostReport(Record):
    """The part of a sync request in which a host reports its own state.

    Attributes
    ----------
    incarnation : int
        Greater for a later process with the same host name.
    address : str
        Address for callers as ``ip:port``.
    state : str
        ``serving`` or ``leaving``.
    """

    __slots__ = ('host', 'incarnation', 'address', 'zone', 'state')

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        address: str,
        zone: str,
        state: str,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.state = state


class HostEntry(Record):
    """A host that callers may use.

    Attributes
    ----------
    weight : float
        Proportion of callers relative to other hosts, from 0 to 1.
    """

    __slots__ = ('host', 'address', 'zone', 'weight')

    def __init__(
        self,
        *,
        host: str,
        address: str,
        zone: str,
        weight: float,
    ) -> None:
        self.host = host
        self.address = address
        self.zone = zone
        self.weight = weight


class HostList(Record):
    """The list of hosts in a sync reply.

    Attributes
    ----------
    digest : str or None
        Digest of the entries, equal on every leader; None while a new
        leader does not know the hosts yet. Such a reply confirms no list.
    entries : sequence of HostEntry or None
        None if the entry host already holds the list with this digest.
    """

    __slots__ = ('digest', 'entries')

    def __init__(
        self,
        *,
        digest: str | None,
        entries: Sequence[HostEntry] | None,
    ) -> None:
        self.digest = digest
        self.entries = entries

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> HostList:
        """Return the list and its entries."""
        wire_entries = fields['entries']
        entries = None
        if wire_entries is not None:
            entries = [
                HostEntry.from_wire(wire_entry) for wire_entry in wire_entries
            ]
        return cls(digest=fields['digest'], entries=entries)

    def to_wire(self) -> dict[str, Any]:
        """Return the fields as a mapping."""
        wire_entries = None
        if self.entries is not None:
            wire_entries = [entry.to_wire() for entry in self.entries]
        return {'digest': self.digest, 'entries': wire_entries}


class HostAnswer(Record):
    """Entry hosts for a caller.

    Attributes
    ----------
    addresses : sequence of str
        Addresses in the order in which to try them.
    ttl_s : float
        Time in seconds for which the caller may cache the answer.
    """

    __slots__ = ('addresses', 'ttl_s')

    def __init__(self, *, addresses: Sequence[str], ttl_s: float) -> None:
        self.addresses = addresses
        self.ttl_s = ttl_s
