"""Export and import of cached blocks as opaque bytes."""

from __future__ import annotations

import zlib

_MAGIC = b'APKV1'
_CHECKSUM_BYTES = 4
_SEPARATOR = b'\n'
# Simulates the size of the blocks of a real cache in transfers.
_FILLER = b'\0' * 1024


def export_blocks(blocks: list[str]) -> bytes:
    """Encode block hashes with a checksum and 1 KiB of filler each."""
    names = _SEPARATOR.join(block.encode() for block in blocks)
    body = names + _SEPARATOR * 2 + _FILLER * len(blocks)
    checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, 'big')
    return _MAGIC + checksum + body


def import_blocks(blob: bytes) -> list[str] | None:
    """Decode exported blocks; return None if the bytes are corrupt."""
    start = len(_MAGIC) + _CHECKSUM_BYTES
    checksum = int.from_bytes(blob[len(_MAGIC) : start], 'big')
    body = blob[start:]
    if not blob.startswith(_MAGIC) or zlib.crc32(body) != checksum:
        return None
    names, _, _ = body.partition(_SEPARATOR * 2)
    return [name.decode() for name in names.split(_SEPARATOR) if name]
