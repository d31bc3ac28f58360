"""Replies kept for repeated operation ids."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.errors import OperationReusedError
from apricotcart.state.limits import Limits

_DIGEST_BYTES: Final = 16
MAX_REFUSAL_BYTES: Final = 65_536
#: Fields that differ between a command and its resend.
_UNCOMPARED: Final = frozenset(('at_ms',))


class OperationTable:
    """The latest operation ids with a digest of the command and the reply.

    The oldest are dropped at a bound on count and on bytes of replies.
    """

    __slots__ = ('_bytes', '_limits', '_operations')

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self._limits = limits
        self._operations: OrderedDict[str, tuple[bytes, bytes]] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Count the operation ids kept."""
        return len(self._operations)

    def reply_to(
        self,
        op_id: str,
        digest: bytes,
    ) -> dict[str, Any] | None:
        """Give the reply to an earlier command, None if it is new.

        Raises
        ------
        OperationReusedError
            If the earlier command was another one.
        """
        known = self._operations.get(op_id)
        if known is None:
            return None
        known_digest, reply = known
        if known_digest != digest:
            raise OperationReusedError('op_id belongs to another command')
        decoded: dict[str, Any] = unpack(reply)
        return decoded

    def keep(
        self,
        op_id: str,
        digest: bytes,
        reply: Mapping[str, Any],
    ) -> None:
        """Keep a reply and drop the oldest ones beyond the bounds.

        A long list of faults is not kept: it would drop the replies to
        commands that did change something.
        """
        packed = pack(reply)
        if len(packed) > MAX_REFUSAL_BYTES and not reply['ok']:
            return
        self._operations[op_id] = (digest, packed)
        self._bytes += len(packed)
        while self._is_over() and len(self._operations) > 1:
            _, (_, dropped) = self._operations.popitem(last=False)
            self._bytes -= len(dropped)

    def to_wire(self) -> list[Any]:
        """Give the table as a list."""
        return [
            [op_id, digest, reply]
            for op_id, (digest, reply) in self._operations.items()
        ]

    def load(self, wire: list[Any]) -> None:
        """Fill an empty table from ``to_wire``."""
        for op_id, digest, reply in wire:
            self._operations[op_id] = (digest, reply)
            self._bytes += len(reply)

    def _is_over(self) -> bool:
        if self._bytes > self._limits.max_operation_bytes:
            return True
        return len(self._operations) > self._limits.max_operations


def command_digest(command: Mapping[str, Any]) -> bytes:
    """Give a digest of a command without its time."""
    compared = sorted(
        (name, field)
        for name, field in command.items()
        if name not in _UNCOMPARED
    )
    digest = hashlib.blake2b(pack(compared), digest_size=_DIGEST_BYTES)
    return digest.digest()
