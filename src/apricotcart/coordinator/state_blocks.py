"""Cuts a document into blocks that stay the same beside a change.

A block ends behind a comma whose preceding bytes have a certain checksum, so
that the ends of the blocks move with the text: after an insertion, only the
blocks around it differ.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from apricotcart.codec.record import Record
from apricotcart.errors.tree import CodecError

# Bounds of a block's size.
MIN_BLOCK_BYTES: Final = 8192
MAX_BLOCK_BYTES: Final = 32_768
# Bytes before a possible end whose checksum decides.
_WINDOW_BYTES: Final = 64
# One in this many commas ends a block.
_ENDS: Final = 256
_SEPARATOR: Final = b','
_DIGEST_BYTES: Final = 12
# Largest document that is accepted, which bounds the memory of a transfer.
MAX_DOCUMENT_BYTES: Final = 33_554_432


class Manifest(Record):
    """The blocks of one version of the desired state.

    Attributes
    ----------
    version : int
        Version of the desired state.
    length : int
        Length of the document in bytes.
    checksum : bytes
        Digest of the document.
    digests : sequence of bytes
        Digests of its blocks, in order.
    """

    __slots__ = ('checksum', 'digests', 'length', 'version')

    def __init__(
        self,
        *,
        version: int,
        length: int,
        checksum: bytes,
        digests: Sequence[bytes],
    ) -> None:
        self.version = version
        self.length = length
        self.checksum = checksum
        self.digests = tuple(digests)


class CutDocument:
    """A document and its blocks.

    Attributes
    ----------
    document : bytes
        The document.
    manifest : Manifest
        Names its blocks.
    blocks : dict of bytes to bytes
        Blocks by digest.
    """

    __slots__ = ('blocks', 'document', 'manifest')

    def __init__(self, version: int, document: bytes) -> None:
        """Cut the document."""
        pieces = list(_cut(document))
        digests = [digest_of(piece) for piece in pieces]
        self.document = document
        self.blocks: Mapping[bytes, bytes] = dict(
            zip(digests, pieces, strict=True)
        )
        self.manifest = Manifest(
            version=version,
            length=len(document),
            checksum=digest_of(document),
            digests=digests,
        )


def digest_of(blob: bytes) -> bytes:
    """Return the digest that identifies a block or a document."""
    return hashlib.blake2b(blob, digest_size=_DIGEST_BYTES).digest()


def join(manifest: Manifest, blocks: Mapping[bytes, bytes]) -> bytes:
    """Return the document of a manifest.

    Raises
    ------
    CodecError
        If it is not the document that was cut.
    KeyError
        If a block is missing.
    """
    document = b''.join(blocks[digest] for digest in manifest.digests)
    if digest_of(document) != manifest.checksum:
        raise CodecError('the blocks are not those of the manifest')
    return document


def deflate(blob: bytes) -> bytes:
    """Return the compressed form of a block or a document."""
    return zlib.compress(blob)


def inflate(deflated: bytes, max_bytes: int = MAX_BLOCK_BYTES) -> bytes:
    """Return what was compressed.

    Raises
    ------
    CodecError
        If it is damaged, or longer than ``max_bytes``.
    """
    decompressor = zlib.decompressobj()
    try:
        blob = decompressor.decompress(deflated, max_bytes)
    except zlib.error as exc:
        raise CodecError(f'compressed bytes are damaged: {exc}') from exc
    if not decompressor.eof:
        raise CodecError('compressed bytes are cut off or too long')
    return blob


def _cut(document: bytes) -> Iterator[bytes]:
    start = 0
    while start < len(document):
        end = _end_of_block(document, start)
        yield document[start:end]
        start = end


def _end_of_block(document: bytes, start: int) -> int:
    longest = min(start + MAX_BLOCK_BYTES, len(document))
    position = start + MIN_BLOCK_BYTES
    while True:
        position = document.find(_SEPARATOR, position, longest) + 1
        if not position:
            return longest
        window = document[position - _WINDOW_BYTES : position]
        if zlib.crc32(window) % _ENDS == 0:
            return position
