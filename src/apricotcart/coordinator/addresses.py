"""Addresses of control hosts, derived from their IP addresses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from apricotcart.consensus.identity import host_name


class Ports:
    """Ports of the cluster's own links, the same on all hosts.

    Parameters
    ----------
    first_port : int
        Port of the replicated log; the next one answers requests.
    """

    __slots__ = ('_first_port',)

    def __init__(self, first_port: int) -> None:
        self._first_port = first_port

    def peer_address(self, ip: str) -> str:
        """Return the address that receives replicated log messages."""
        return f'tcp://{ip}:{self._first_port}'

    def request_address(self, ip: str) -> str:
        """Return the address that answers requests."""
        port = self._first_port + 1
        return f'tcp://{ip}:{port}'


def ip_of(address: str) -> str:
    """Return the IP address of ``IP:PORT``."""
    return address.rpartition(':')[0]


class ControlHosts(Mapping[str, str]):
    """Peer addresses by host name, where host names are IP addresses.

    Iterates over the known hosts, which are the seeds and the members.

    Parameters
    ----------
    ports : Ports
        Builds the addresses of the hosts.
    """

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._seeds: tuple[str, ...] = ()
        self._members: tuple[str, ...] = ()

    def __getitem__(self, name: str) -> str:
        """Return the address of any host, known or not."""
        if not name:
            raise KeyError(name)
        return self._ports.peer_address(name)

    def __iter__(self) -> Iterator[str]:
        """Return an iterator over the names of the known hosts."""
        return iter(dict.fromkeys(self._seeds + self._members))

    def __len__(self) -> int:
        """Return the number of known hosts."""
        return len(set(self._seeds + self._members))

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds by addresses of the form ``IP:PORT``."""
        self._seeds = tuple(ip_of(address) for address in addresses)

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Replace the members by the hosts of the given identities."""
        self._members = tuple(host_name(node_id) for node_id in node_ids)
