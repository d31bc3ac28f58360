"""What entry hosts report and what they are told about each other."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.record import Record

SERVING: Final = 'serving'
LEAVING: Final = 'leaving'


class HostReport(Record):
    """The part of a sync message that concerns the host itself.

    Attributes
    ----------
    incarnation : int
        Greater for a later process of the same host name.
    address : str
        ``ip:port`` for callers.
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
        """Keep the fields."""
        self.host = host
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.state = state


class HostEntry(Record):
    """A host that callers may be sent to.

    Attributes
    ----------
    weight : float
        Share of callers relative to other hosts, 0 to 1.
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
        """Keep the fields."""
        self.host = host
        self.address = address
        self.zone = zone
        self.weight = weight


class HostList(Record):
    """The host part of a sync reply.

    Attributes
    ----------
    digest : str or None
        Digest of the entries, equal on any leader; None while the leader
        does not know the hosts yet, which proves nothing.
    entries : sequence of HostEntry or None
        None if the entry host holds the list of this digest already.
    """

    __slots__ = ('digest', 'entries')

    def __init__(
        self,
        *,
        digest: str | None,
        entries: Sequence[HostEntry] | None,
    ) -> None:
        """Keep the fields."""
        self.digest = digest
        self.entries = entries

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> HostList:
        """Build the list and its entries."""
        wires = fields['entries']
        entries = None
        if wires is not None:
            entries = [HostEntry.from_wire(wire) for wire in wires]
        return cls(digest=fields['digest'], entries=entries)

    def to_wire(self) -> dict[str, Any]:
        """Give the fields as a mapping."""
        wires = None
        if self.entries is not None:
            wires = [entry.to_wire() for entry in self.entries]
        return {'digest': self.digest, 'entries': wires}


class HostAnswer(Record):
    """The answer to which host to use.

    Attributes
    ----------
    addresses : sequence of str
        In the order in which to try them.
    ttl_s : float
        How long the caller may keep the answer.
    """

    __slots__ = ('addresses', 'ttl_s')

    def __init__(self, *, addresses: Sequence[str], ttl_s: float) -> None:
        """Keep the fields."""
        self.addresses = addresses
        self.ttl_s = ttl_s
