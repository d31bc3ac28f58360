"""Msgpack encoding of wire mappings."""

from __future__ import annotations

from typing import Any

import msgpack

from apricotcart.errors.tree import CodecError


def pack(message: Any) -> bytes:
    """Encode a wire mapping.

    Raises
    ------
    CodecError
        If the mapping holds what msgpack cannot encode, such as an integer
        above 64 bits or too many levels.
    """
    try:
        packed: bytes = msgpack.packb(message, use_bin_type=True)
    except (OverflowError, TypeError, ValueError) as exc:
        raise CodecError(f'cannot be encoded: {exc}') from exc
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
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        # A map with a list as its key gives a TypeError.
        raise CodecError(f'not a msgpack document: {exc}') from exc
