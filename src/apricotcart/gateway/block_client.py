"""Asks other hosts for blocks of the desired state."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from apricotcart.consensus.identity import host_name
from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.messages import (
    KIND,
    STATE_BLOCKS,
    STATE_MANIFEST,
)
from apricotcart.coordinator.state_blocks import Manifest, inflate
from apricotcart.coordinator.state_transfer import BlockReply, BlockRequest
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.redialing import RedialingClients, WireMessage

# Timeout of one message of at most a few ten KiB. A transfer as a whole has
# none: it continues with the blocks that have not arrived.
_MESSAGE_TIMEOUT_S: Final = 2.0
# The same for another gateway, since control hosts have all blocks.
_PEER_TIMEOUT_S: Final = 0.6


class ReceivedBlocks:
    """Blocks of one reply.

    Attributes
    ----------
    blocks : sequence of bytes
        The blocks.
    length : int
        Compressed length of them together, in bytes.
    """

    __slots__ = ('blocks', 'length')

    def __init__(self, deflated: Sequence[bytes]) -> None:
        """Decompress the blocks."""
        self.blocks = [inflate(block) for block in deflated]
        self.length = sum(len(block) for block in deflated)


class BlockClient:
    """Sends requests to control hosts and to other gateways.

    Parameters
    ----------
    hosts : AnyHostClient
        Knows the control hosts.
    ports : Ports
        Builds the addresses of the hosts.
    clients : RedialingClients
        Connections that no sync uses, so that blocks do not delay any.
    """

    __slots__ = ('_clients', '_hosts', '_ports')

    def __init__(
        self, hosts: AnyHostClient, ports: Ports, clients: RedialingClients
    ) -> None:
        self._hosts = hosts
        self._ports = ports
        self._clients = clients

    @property
    def control_hosts(self) -> list[str]:
        """Addresses of the control hosts."""
        return [self._ports.request_address(ip) for ip in self._hosts.hosts]

    def address_of(self, node_id: str) -> str:
        """Return the address of a control host, by its identity."""
        return self._ports.request_address(host_name(node_id))

    def fetch_manifest(self, address: str) -> Manifest | None:
        """Return the manifest of a host's newest version, None without one.

        Raises
        ------
        UnavailableError
            If the host does not answer.
        """
        fields = self._call(address, {KIND: STATE_MANIFEST}).get('manifest')
        return None if fields is None else Manifest.from_wire(fields)

    def fetch_blocks(self, address: str, req: BlockRequest) -> ReceivedBlocks:
        """Return some of the blocks that are asked for, or none.

        Raises
        ------
        UnavailableError
            If the host does not answer.
        CodecError
            If a block is damaged.
        """
        fields = self._call(address, {KIND: STATE_BLOCKS, **req.to_wire()})
        return ReceivedBlocks(BlockReply.from_wire(fields).blocks)

    def close_unused(self) -> None:
        """Close the connections until they are needed again."""
        self._clients.close_unused()

    def _call(self, address: str, message: WireMessage) -> WireMessage:
        is_peer = address not in self.control_hosts
        timeout_s = _PEER_TIMEOUT_S if is_peer else _MESSAGE_TIMEOUT_S
        reply = self._clients.call(address, message, timeout_s)
        if not reply.get('ok'):
            raise UnavailableError(str(reply.get('message') or 'refused'))
        return reply
