"""Errors of streams that cannot be resumed."""

from __future__ import annotations

from apricotcart.errors.tree import NotRunError


class StreamOriginUnknownError(NotRunError):
    """It is not known which endpoints began the stream."""

    code = 'stream_origin_unknown'


class StreamVersionGoneError(NotRunError):
    """No endpoint of the version that began the stream serves any longer."""

    code = 'stream_version_gone'
