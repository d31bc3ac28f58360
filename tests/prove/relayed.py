"""Cluster whose hosts connect to each other through relays."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from support.cluster import Cluster

from apricotcart_standins.relay.control import RelayControl

_RELAY_HOST = '127.0.0.60'


class RelayedCluster(Cluster):
    """Places a relay stand-in on each connection between two hosts."""

    def __init__(self, folder: Path, **options: Any) -> None:
        """Write all settings with the relays' addresses."""
        self.relays: dict[tuple[str, str], RelayControl] = {}
        super().__init__(folder, **options)

    def set_faults(self, first: str, second: str, **fields: Any) -> None:
        """Set faults on connections between two hosts or groups, both ways."""
        ends = (self.members(first), self.members(second))
        for (source, target), relay in self.relays.items():
            directions = ((source, target), (target, source))
            if any(
                direction[0] in ends[0] and direction[1] in ends[1]
                for direction in directions
            ):
                relay.set_faults(dict(fields))

    def heal(self) -> None:
        """Remove all faults."""
        for relay in self.relays.values():
            relay.set_faults({'cut': '', 'delay_s': 0})

    def members(self, group: str) -> list[str]:
        """Return the hosts of a group, or the host of this name."""
        if group == 'controls':
            return list(self.control_addresses)
        if group == 'entries':
            return list(self.entry_addresses)
        return [group]

    def _write(self, name: str, sections: dict[str, dict[str, str]]) -> None:
        peers = sections.get('peers', {})
        for peer, address in peers.items():
            if peer not in {'listen', name}:
                peers[peer] = self._relay_address(name, peer, address)
        links = sections.get('control')
        if links is not None:
            relay_addresses = [
                self._relay_address(name, control, address)
                for control, address in self.rpc_addresses().items()
            ]
            links['addresses'] = ', '.join(relay_addresses)
        super()._write(name, sections)

    def _relay_address(self, source: str, target: str, address: str) -> str:
        direction = (source, target)
        if direction not in self.relays:
            host, _, port = address.removeprefix('tcp://').rpartition(':')
            self.relays[direction] = RelayControl(
                (_RELAY_HOST, 0), (host, int(port))
            )
        return f'tcp://{_RELAY_HOST}:{self.relays[direction].port}'
