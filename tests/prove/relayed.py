"""A cluster whose hosts reach each other through relays."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from support.cluster import Cluster

from apricotcart_standins.relay.control import RelayControl

_RELAY_HOST = '127.0.0.60'


class RelayedCluster(Cluster):
    """Puts the relay stand-in on each way between two hosts."""

    def __init__(self, folder: Path, **options: Any) -> None:
        """Write all settings with the relays' addresses."""
        self.relays: dict[tuple[str, str], RelayControl] = {}
        super().__init__(folder, **options)

    def set_faults(self, first: str, second: str, **fields: Any) -> None:
        """Set faults on the ways between two hosts or groups."""
        ends = (self.members(first), self.members(second))
        for (source, target), relay in self.relays.items():
            ways = ((source, target), (target, source))
            if any(way[0] in ends[0] and way[1] in ends[1] for way in ways):
                relay.set_faults(dict(fields))

    def heal(self) -> None:
        """Remove all faults."""
        for relay in self.relays.values():
            relay.set_faults({'cut': '', 'delay_s': 0})

    def members(self, group: str) -> list[str]:
        """Give the hosts of a group, or the host of this name."""
        if group == 'controls':
            return list(self.api)
        if group == 'entries':
            return list(self.entry)
        return [group]

    def _write(self, name: str, sections: dict[str, dict[str, str]]) -> None:
        peers = sections.get('peers', {})
        for peer, address in peers.items():
            if peer not in {'listen', name}:
                peers[peer] = self._relayed(name, peer, address)
        links = sections.get('control')
        if links is not None:
            ways = [
                self._relayed(name, control, address)
                for control, address in self.rpc_addresses().items()
            ]
            links['addresses'] = ', '.join(ways)
        super()._write(name, sections)

    def _relayed(self, source: str, target: str, address: str) -> str:
        way = (source, target)
        if way not in self.relays:
            host, _, port = address.removeprefix('tcp://').rpartition(':')
            self.relays[way] = RelayControl((_RELAY_HOST, 0), (host, int(port)))
        return f'tcp://{_RELAY_HOST}:{self.relays[way].port}'
