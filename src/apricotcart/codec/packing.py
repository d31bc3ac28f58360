"""Msgpack encoding of messages."""

from __future__ import annotations

from typing import Any

import msgpack

from apricotcart.errors.tree import CodecError


def pack(message: Any) -> bytes:
    """Encode a message with msgpack.

    Raises
    ------
    CodecError
        If msgpack cannot encode the message, for example because of an
        integer above 64 bits or too many nested levels.
    """
    try:
        packed: bytes = msgpack.packb(message, use_bin_type=True)
    except (OverflowError, TypeError, ValueError) as exc:
        raise CodecError(f'message cannot be encoded: {exc}') from exc
    return packed


def unpack(blob: bytes) -> Any:
    """Decode a message from msgpack.

    Raises
    ------
    CodecError
        If the bytes are not a msgpack document.
    """
    try:
        return msgpack.unpackb(blob, raw=False, strict_map_key=False)
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        # msgpack raises TypeError for a map that has a list as a key.
        raise CodecError(f'message is not a msgpack document: {exc}') from exc
