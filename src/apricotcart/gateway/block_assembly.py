"""Collects the blocks of a desired state; decides which to ask for."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.coordinator.state_blocks import (
    MAX_DOCUMENT_BYTES,
    CutDocument,
    Manifest,
    digest_of,
    join,
)
from apricotcart.coordinator.state_transfer import BlockSource
from apricotcart.errors.tree import CodecError

# Blocks that are asked for in one request.
_MAX_CLAIM: Final = 12
# Time after which a block that has not arrived is asked for again, from another
# host, since the first one may be silent.
_CLAIM_S: Final = 0.6


class BlockAssembly(BlockSource):
    """Blocks that this host has, and the manifest that it completes.

    Blocks remain when the manifest changes, so that a transfer that was broken
    off by a newer version continues.

    Parameters
    ----------
    rng : random.Random
        Shuffles the blocks, so that gateways that begin at the same time
        obtain different ones and can give them to each other.
    """

    __slots__ = ('_blocks', '_claimed', '_lock', '_manifest', '_rng')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._blocks: dict[bytes, bytes] = {}
        # When blocks were asked for, in seconds.
        self._claimed: dict[bytes, float] = {}
        self._manifest: Manifest | None = None

    @property
    def version(self) -> int:
        """Version that is being completed, -1 without one."""
        manifest = self._manifest
        return manifest.version if manifest else -1

    def manifest(self) -> Manifest | None:
        """Return the manifest, which other hosts may use."""
        return self._manifest

    def block(self, digest: bytes) -> bytes | None:
        """Return a block, None if this host lacks it."""
        return self._blocks.get(digest)

    def add_document(self, document: bytes) -> None:
        """Use the blocks of a document that arrived as a whole."""
        cut = CutDocument(-1, document)
        with self._lock:
            self._manifest = None
            self._blocks = dict(cut.blocks)

    def begin(self, manifest: Manifest) -> None:
        """Complete another manifest, unless it is older.

        Raises
        ------
        CodecError
            If the document would be too long.
        """
        if manifest.length > MAX_DOCUMENT_BYTES:
            raise CodecError(f'a state of {manifest.length} bytes is too long')
        with self._lock:
            if self._manifest and manifest.version < self._manifest.version:
                return
            self._manifest = manifest
            self._blocks = {
                digest: self._blocks[digest]
                for digest in manifest.digests
                if digest in self._blocks
            }

    def drop_manifest(self) -> None:
        """Ask for another manifest, and keep the blocks."""
        with self._lock:
            self._manifest = None

    def missing(self) -> int:
        """Return the number of blocks that this host lacks."""
        with self._lock:
            return len(self._lacking())

    def claim(self, now: float) -> Sequence[bytes]:
        """Return blocks to ask for, which no other thread has just asked for.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        with self._lock:
            free = [
                digest
                for digest in self._lacking()
                if now >= self._claimed.get(digest, 0) + _CLAIM_S
            ]
            claimed = self._rng.sample(free, min(_MAX_CLAIM, len(free)))
            self._claimed.update(dict.fromkeys(claimed, now))
            return claimed

    def release(self, digests: Iterable[bytes]) -> None:
        """Let other threads ask for blocks."""
        with self._lock:
            for digest in digests:
                self._claimed.pop(digest, None)

    def store(self, blocks: Iterable[bytes]) -> int:
        """Store blocks and return the number of those that were lacking."""
        stored = 0
        for block in blocks:
            digest = digest_of(block)
            with self._lock:
                if digest in self._lacking():
                    self._blocks[digest] = block
                    stored += 1
        return stored

    def document(self) -> bytes | None:
        """Return the document once it is complete.

        Raises
        ------
        CodecError
            If the manifest does not describe its document; it is dropped.
        """
        with self._lock:
            manifest = self._manifest
            if manifest is None or self._lacking():
                return None
            try:
                return join(manifest, self._blocks)
            except CodecError:
                self._manifest = None
                raise

    def _lacking(self) -> list[bytes]:
        if self._manifest is None:
            return []
        return [
            digest
            for digest in dict.fromkeys(self._manifest.digests)
            if digest not in self._blocks
        ]
