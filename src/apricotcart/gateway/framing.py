"""Framing of response bodies: what says where a body ends."""

from __future__ import annotations

import enum
from http.client import HTTPResponse


class Framing(enum.StrEnum):
    """What says where the body of a response ends."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    # The end of the connection.
    CLOSE = 'close'

    @classmethod
    def of_response(cls, response: HTTPResponse) -> Framing:
        """Return the framing of a response whose headers have been read."""
        if response.chunked:
            return cls.CHUNKED
        return cls.CLOSE if response.length is None else cls.LENGTH
