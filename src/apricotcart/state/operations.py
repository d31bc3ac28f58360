"""Stored replies by operation id, for commands that are sent again."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.errors import OperationReusedError
from apricotcart.state.limits import Limits

_DIGEST_BYTES: Final = 16
MAX_ERROR_REPLY_BYTES: Final = 65_536
#: Fields that may differ between a command and its resend.
_FIELDS_NOT_COMPARED: Final = frozenset(('at_ms',))


class OperationTable:
    """The latest operation ids, with command digest and stored reply.

    The oldest ones are dropped at the bounds on the count and on the size of
    the replies.
    """

    __slots__ = ('_bytes', '_limits', '_operations')

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._operations: OrderedDict[str, tuple[bytes, bytes]] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of operation ids."""
        return len(self._operations)

    def stored_reply(
        self,
        op_id: str,
        digest: bytes,
    ) -> dict[str, Any] | None:
        """Return the stored reply to a command, or None if it is new.

        Raises
        ------
        OperationReusedError
            If the operation id was used for another command.
        """
        known = self._operations.get(op_id)
        if known is None:
            return None
        known_digest, reply = known
        if known_digest != digest:
            raise OperationReusedError(
                'op_id was already used for another command'
            )
        decoded: dict[str, Any] = unpack(reply)
        return decoded

    def store(
        self,
        op_id: str,
        digest: bytes,
        reply: Mapping[str, Any],
    ) -> None:
        """Store a reply and drop the oldest ones beyond the bounds.

        A large error reply is not stored: it would evict the replies to
        commands that changed the state.
        """
        packed = pack(reply)
        if len(packed) > MAX_ERROR_REPLY_BYTES and not reply['ok']:
            return
        self._operations[op_id] = (digest, packed)
        self._bytes += len(packed)
        while self._exceeds_limits() and len(self._operations) > 1:
            _, (_, dropped) = self._operations.popitem(last=False)
            self._bytes -= len(dropped)

    def to_wire(self) -> list[Any]:
        """Return the snapshot form of the table."""
        return [
            [op_id, digest, reply]
            for op_id, (digest, reply) in self._operations.items()
        ]

    def load(self, wire: list[Any]) -> None:
        """Load the output of ``to_wire`` into an empty table."""
        for op_id, digest, reply in wire:
            self._operations[op_id] = (digest, reply)
            self._bytes += len(reply)

    def _exceeds_limits(self) -> bool:
        if self._bytes > self._limits.max_operation_bytes:
            return True
        return len(self._operations) > self._limits.max_operations


def command_digest(command: Mapping[str, Any]) -> bytes:
    """Return the digest of a command without its time."""
    compared = sorted(
        (name, field)
        for name, field in command.items()
        if name not in _FIELDS_NOT_COMPARED
    )
    digest = hashlib.blake2b(pack(compared), digest_size=_DIGEST_BYTES)
    return digest.digest()
