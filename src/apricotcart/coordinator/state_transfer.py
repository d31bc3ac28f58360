"""Sends the blocks of the desired state to gateways that lack them."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.record import Record
from apricotcart.coordinator.messages import (
    KIND,
    STATE_BLOCKS,
    STATE_MANIFEST,
)
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_blocks import (
    CutDocument,
    Manifest,
    deflate,
)
from apricotcart.errors.tree import CodecError
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import RequestHandler, WireMessage

# Compressed bytes of one reply; a single larger block is sent alone.
MAX_REPLY_BYTES: Final = 16_384
# Gateways that one host sends blocks to at a time. Their replies together hold
# up others on a link of 5 Mbit/s by a tenth of a second.
_MAX_CLIENTS: Final = 4
# A gateway that asks for no more blocks gives its place up after this time.
_CLIENT_TTL_S: Final = 0.5
# A gateway that lacks no more than this needs no place.
_SMALL_REQUEST_BLOCKS: Final = 2


class BlockRequest(Record):
    """Request for blocks by their digests.

    Attributes
    ----------
    client : str
        Identifies the gateway.
    digests : sequence of bytes
        Blocks that it asks for, the most wanted first.
    missing : int
        Number of blocks that it lacks, with these.
    """

    __slots__ = ('client', 'digests', 'missing')

    def __init__(
        self, *, client: str, digests: Sequence[bytes], missing: int
    ) -> None:
        self.client = client
        self.digests = digests
        self.missing = missing


class BlockReply(Record):
    """Some of the blocks that were asked for.

    Attributes
    ----------
    blocks : sequence of bytes
        Compressed blocks, in any order.
    is_busy : bool
        Whether the host sends blocks to others first.
    """

    __slots__ = ('blocks', 'is_busy')

    def __init__(
        self, *, blocks: Sequence[bytes] = (), is_busy: bool = False
    ) -> None:
        self.blocks = blocks
        self.is_busy = is_busy


class BlockSource(ABC):
    """Blocks of the desired state that a host has."""

    @abstractmethod
    def manifest(self) -> Manifest | None:
        """Return the manifest of the newest version, None without one."""

    @abstractmethod
    def block(self, digest: bytes) -> bytes | None:
        """Return a block, None if this host lacks it."""


class CommittedBlocks(BlockSource):
    """Blocks of the state that the replicated log has applied.

    Parameters
    ----------
    state : CoordinatorState
        State of this host, which need not lead.
    """

    __slots__ = ('_cut', '_lock', '_state')

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self._lock = threading.Lock()
        self._cut: CutDocument | None = None

    def manifest(self) -> Manifest | None:
        """Return the manifest of the newest version, None without one."""
        cut = self._current()
        return cut.manifest if cut else None

    def block(self, digest: bytes) -> bytes | None:
        """Return a block, None if it is of another version."""
        cut = self._current()
        return cut.blocks.get(digest) if cut else None

    def _current(self) -> CutDocument | None:
        """Return the blocks of the document, which is cut once."""
        with self._lock:
            document = self._state.document
            if not document:
                return None
            if self._cut is None or self._cut.document is not document:
                self._cut = CutDocument(self._state.version, document)
            return self._cut


class TransferPlaces:
    """Limits the gateways that are sent blocks at a time."""

    __slots__ = ('_lock', '_used_at')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._used_at: dict[str, float] = {}

    def admit(self, req: BlockRequest, now: float) -> bool:
        """Return whether a gateway is sent blocks now.

        Parameters
        ----------
        req : BlockRequest
            What it asks for.
        now : float
            Time in seconds.
        """
        with self._lock:
            self._used_at = {
                client: used_at
                for client, used_at in self._used_at.items()
                if now < used_at + _CLIENT_TTL_S
            }
            if req.missing <= _SMALL_REQUEST_BLOCKS:
                return True
            has_place = req.client in self._used_at
            if not has_place and len(self._used_at) >= _MAX_CLIENTS:
                return False
            self._used_at[req.client] = now
            return True

    def release(self, client: str) -> None:
        """Give the place of a gateway to others."""
        with self._lock:
            self._used_at.pop(client, None)


class StateTransfer:
    """Answers requests for the manifest and for blocks.

    Each block is compressed once for all gateways.

    Parameters
    ----------
    source : BlockSource
        Blocks of this host.
    """

    __slots__ = ('_checksum', '_deflated', '_places', '_source')

    def __init__(self, source: BlockSource) -> None:
        self._source = source
        self._places = TransferPlaces()
        self._checksum = b''
        self._deflated: dict[bytes, bytes] = {}

    def handlers(self) -> Mapping[str, Callable[[WireMessage], WireMessage]]:
        """Return the functions that answer requests, by their kind."""
        return {
            STATE_MANIFEST: self._answer_manifest,
            STATE_BLOCKS: self._answer_blocks,
        }

    def _answer_manifest(self, _: WireMessage) -> WireMessage:
        manifest = self._source.manifest()
        return {
            'ok': True,
            'manifest': manifest.to_wire() if manifest else None,
        }

    def _answer_blocks(self, message: WireMessage) -> WireMessage:
        req = BlockRequest.from_wire(message)
        if not self._places.admit(req, boot_clock_s()):
            return {'ok': True, **BlockReply(is_busy=True).to_wire()}
        self._forget_former()
        blocks = list(self._blocks(req.digests))
        if len(blocks) >= req.missing or not blocks:
            self._places.release(req.client)
        return {'ok': True, **BlockReply(blocks=blocks).to_wire()}

    def _blocks(self, digests: Sequence[bytes]) -> Iterator[bytes]:
        room = MAX_REPLY_BYTES
        for digest in digests:
            block = self._compressed(digest)
            if block is None:
                continue
            if len(block) > room and room < MAX_REPLY_BYTES:
                return
            room -= len(block)
            yield block

    def _compressed(self, digest: bytes) -> bytes | None:
        deflated = self._deflated.get(digest)
        if deflated is None:
            block = self._source.block(digest)
            if block is None:
                return None
            deflated = deflate(block)
            self._deflated[digest] = deflated
        return deflated

    def _forget_former(self) -> None:
        """Drop the blocks that the newest version does not have."""
        manifest = self._source.manifest()
        if manifest is None or manifest.checksum == self._checksum:
            return
        self._checksum = manifest.checksum
        known: dict[bytes, Any] = self._deflated
        self._deflated = {
            digest: known[digest]
            for digest in manifest.digests
            if digest in known
        }


class StateTransferHandler(RequestHandler):
    """Answers only requests for the manifest and for blocks.

    Parameters
    ----------
    transfer : StateTransfer
        Answers them.
    """

    def __init__(self, transfer: StateTransfer) -> None:
        self._handlers = transfer.handlers()

    def answer(self, message: WireMessage) -> WireMessage:
        """Return the answer to a request.

        Raises
        ------
        CodecError
            If the kind of the request is unknown.
        """
        kind = message.pop(KIND, '')
        handler = self._handlers.get(kind)
        if handler is None:
            raise CodecError(f'unknown request {kind!r}')
        return handler(message)
