"""Stand-in of the platform's API, which lists the endpoints."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from contextlib import closing, suppress

from soak.endpoints import StandInEndpoint
from soak.messages import encode_with_length, read_head, skip_body


class StandInPlatform:
    """Lists endpoints and accepts all calls of duties."""

    def __init__(
        self, address: str, endpoints: Sequence[StandInEndpoint]
    ) -> None:
        self.address = address
        self._endpoints = endpoints

    async def start(self) -> None:
        """Listen for connections."""
        ip, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            closing(writer),
            suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            while True:
                head = await read_head(reader)
                await skip_body(reader, head)
                writer.write(self._response())
                await writer.drain()

    def _response(self) -> bytes:
        listed = [endpoint.listed() for endpoint in self._endpoints]
        return encode_with_length(
            'HTTP/1.1 200 OK',
            {'Content-Type': 'application/json'},
            json.dumps({'instances': listed, 'next': None}).encode(),
        )
