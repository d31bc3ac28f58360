"""Msgpack encoding of wire mappings."""

from __future__ import annotations

from typing import Any

import msgpack

from apricotcart.errors.tree import CodecError


def pack(message: Any) -> bytes:
    """Encode a wire mapping."""
    packed: bytes = msgpack.packb(message, use_bin_type=True)
    return packed


def unpack(blob: bytes) -> Any:
    """Decode a wire mapping.

    Raises
    ------
    CodecError
        If the bytes are no msgpack document.
    """
    try:
        return msgpack.unpackb(blob, raw=False, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as exc:
        raise CodecError(f'not a msgpack document: {exc}') from exc
