"""Connections whose responses are checked for a valid head and framing.

The HTTP library treats a connection that ends within the headers as their end,
and misreads some sizes of chunks, so that a truncated response looks complete.
"""

from __future__ import annotations

from http.client import HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from apricotcart.responses.framing import Framing
from apricotcart.responses.reader import ResponseReader


class ClosingReader(ResponseReader):
    """Reader of a single response, which closes with it."""

    __slots__ = ()

    def close(self) -> None:
        """Close the buffered reader."""
        self._reader.close()
        self.closed = True


class StrictResponse(HTTPResponse):
    """A response whose headers and framing are checked.

    Raises
    ------
    ConnectionResetError
        If the connection ends within the headers.
    FramingError
        If the framing is invalid or ambiguous.
    """

    def __init__(self, sock: Any, **options: Any) -> None:
        super().__init__(sock, **options)
        self._strict_reader = ClosingReader(self.fp)
        reader: Any = self._strict_reader
        self.fp = reader

    def begin(self) -> None:
        """Read the status line and headers."""
        super().begin()
        self._strict_reader.end_head(is_chunked=self.chunked)
        Framing.of_response(self)


class StrictConnection(HTTPConnection):
    """A connection with such responses."""

    response_class = StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = StrictConnection


def strict_pools(**options: Any) -> urllib3.PoolManager:
    """Return pools of such connections; the options are those of urllib3."""
    pools = urllib3.PoolManager(retries=False, **options)
    pools.pool_classes_by_scheme = {'http': StrictConnectionPool}
    return pools
