"""Stand-in endpoints, which run requests and record them."""

from __future__ import annotations

import asyncio
from contextlib import closing, suppress
from typing import Any, Final

from soak.messages import (
    LAST_CHUNK,
    Head,
    encode,
    encode_chunk,
    encode_with_length,
    read_head,
    skip_body,
)
from soak.records import Records, Run

ENDPOINT_PORT: Final = 8080
EVENT_COUNT: Final = 8
EVENT_INTERVAL_S: Final = 0.05
SLOTS: Final = 64
HEALTH_PATH: Final = '/healthz'
# An endpoint closes a connection after so many responses.
_MAX_RESPONSES: Final = 10
_PLAIN_S: Final = 0.02
# In a path, followed by the size of the answer in KiB.
LARGE: Final = 'large-'
_KIB: Final = 1024
_LARGE_EVENT: Final = b'data: %s\n\n' % (b'x' * (_KIB - 8))
_OK: Final = 'HTTP/1.1 200 OK'


def _size_kib(path: str) -> int:
    """Return the size in KiB that a path asks for, 0 for the usual one."""
    _, _, size = path.partition(LARGE)
    return int(size) if size else 0


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


COMPLETE_STREAM: Final = b''.join(
    event(number) for number in range(1, EVENT_COUNT + 1)
)


class StandInEndpoint:
    """Serves streams under ``/stream/`` and plain responses elsewhere.

    Paths with ``large-N`` get N KiB, streams before their usual events.

    Parameters
    ----------
    ip : str
        Loopback address to listen on.
    records : Records
        Receives the requests that arrive.

    Attributes
    ----------
    slots : int
        Number of requests that it runs at once, as the list says.
    """

    __slots__ = (
        '_connections',
        '_ip',
        '_not_silent',
        '_records',
        '_silent_source',
        'address',
        'instance_id',
        'listed_address',
        'slots',
    )

    def __init__(self, ip: str, records: Records) -> None:
        self.address = f'{ip}:{ENDPOINT_PORT}'
        self.listed_address = self.address
        self.slots = SLOTS
        self.instance_id = f'i-{ip}'
        self._ip = ip
        self._records = records
        self._connections: set[EndpointConnection] = set()
        self._silent_source = ''
        self._not_silent = asyncio.Event()

    async def start(self) -> None:
        """Listen for connections."""
        await asyncio.start_server(self._serve, self._ip, ENDPOINT_PORT)

    def listed(self) -> dict[str, Any]:
        """Return the entry of this endpoint in the platform's list."""
        return {
            'id': self.instance_id,
            'service': 'app',
            'address': self.listed_address,
            'zone': 'z',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'warmup_left_ms': 0,
        }

    async def reset_connections(self, source: str) -> None:
        """Reset the open connections from an address."""
        for conn in self._connections:
            if conn.source == source:
                conn.reset()

    async def silence(self, source: str) -> None:
        """Neither read nor write on connections from an address.

        An empty address ends this.
        """
        self._silent_source = source
        self._not_silent.set()
        self._not_silent = asyncio.Event()

    async def await_heard(self, source: str) -> None:
        """Wait while connections from an address are silent."""
        while source == self._silent_source:
            await self._not_silent.wait()

    def add_run(self, attempt_id: str, source: str) -> Run:
        """Record a request that arrived."""
        run = Run(attempt_id, self.address, source)
        self._records.add_run(run)
        return run

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = EndpointConnection(self, reader, writer)
        self._connections.add(conn)
        with (
            closing(writer),
            suppress(ConnectionError, asyncio.IncompleteReadError),
        ):
            for number in range(1, _MAX_RESPONSES + 1):
                await conn.serve_one(  # noqa: WPS476 (one after another)
                    is_last=number == _MAX_RESPONSES
                )
        self._connections.discard(conn)


class EndpointConnection:
    """A connection that carries one request after another.

    Attributes
    ----------
    source : str
        Address from which it was opened.
    """

    __slots__ = ('_endpoint', '_reader', '_writer', 'source')

    def __init__(
        self,
        endpoint: StandInEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._endpoint = endpoint
        self._reader = reader
        self._writer = writer
        self.source: str = writer.get_extra_info('peername')[0]

    def reset(self) -> None:
        """End the connection at once."""
        transport: Any = self._writer.transport
        transport.abort()

    async def serve_one(self, *, is_last: bool) -> None:
        """Read a request and respond to it."""
        head = await read_head(self._reader)
        await skip_body(self._reader, head)
        await self._endpoint.await_heard(self.source)
        headers = {
            'Attempt-Id': head.headers.get('attempt-id', ''),
            'Server-Stamp': 's',
            'Instance-Id': self._endpoint.instance_id,
        }
        if is_last:
            headers['Connection'] = 'close'
        if head.path == HEALTH_PATH:
            await self._send(encode_with_length(_OK, headers, b''))
            return
        run = self._endpoint.add_run(head.headers['attempt-id'], self.source)
        await self._respond(head, headers)
        run.ended = True

    async def _respond(self, head: Head, headers: dict[str, str]) -> None:
        kib = _size_kib(head.path)
        if head.path.startswith('/stream/'):
            await self._stream(headers, kib)
            return
        await asyncio.sleep(_PLAIN_S)
        body = b'x' * kib * _KIB if kib else b'done'
        await self._send(encode_with_length(_OK, headers, body))

    async def _stream(self, headers: dict[str, str], kib: int) -> None:
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        await self._send(encode(_OK, headers))
        # Without a pause, as fast as the caller reads.
        for _ in range(kib):
            await self._send(encode_chunk(_LARGE_EVENT))  # noqa: WPS476
        for number in range(1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)  # noqa: WPS476 (paced)
            await self._send(encode_chunk(event(number)))  # noqa: WPS476
        await self._send(LAST_CHUNK)

    async def _send(self, blob: bytes) -> None:
        await self._endpoint.await_heard(self.source)
        self._writer.write(blob)
        await self._writer.drain()
