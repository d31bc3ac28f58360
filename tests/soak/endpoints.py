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

EVENT_COUNT: Final = 8
EVENT_INTERVAL_S: Final = 0.05
SLOTS: Final = 64
HEALTH_PATH: Final = '/healthz'
_PLAIN_S: Final = 0.02
_OK: Final = 'HTTP/1.1 200 OK'


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


COMPLETE_STREAM: Final = b''.join(
    event(number) for number in range(1, EVENT_COUNT + 1)
)


class StandInEndpoint:
    """Serves streams under ``/stream/`` and plain responses elsewhere.

    Parameters
    ----------
    ip : str
        Loopback address to listen on.
    records : Records
        Receives the requests that arrive.
    """

    def __init__(self, ip: str, port: int, records: Records) -> None:
        self.address = f'{ip}:{port}'
        self.instance_id = f'i-{ip}'
        self._records = records

    async def start(self) -> None:
        """Listen for connections."""
        ip, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._serve, ip, int(port))

    def listed(self) -> dict[str, Any]:
        """Return the entry of this endpoint in the platform's list."""
        return {
            'id': self.instance_id,
            'service': 'app',
            'address': self.address,
            'zone': 'z',
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'warmup_left_ms': 0,
        }

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
                await self._respond(head, writer)

    async def _respond(self, head: Head, writer: asyncio.StreamWriter) -> None:
        if head.path == HEALTH_PATH:
            await _write(writer, self._plain_response(head))
            return
        source, _ = writer.get_extra_info('peername')
        run = Run(head.headers['attempt-id'], self.address, source)
        self._records.add_run(run)
        if head.path.startswith('/stream/'):
            await self._stream(head, writer)
        else:
            await asyncio.sleep(_PLAIN_S)
            await _write(writer, self._plain_response(head))
        run.ended = True

    async def _stream(self, head: Head, writer: asyncio.StreamWriter) -> None:
        headers = self._headers(head)
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        await _write(writer, encode(_OK, headers))
        for number in range(1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)  # noqa: WPS476 (paced)
            writer.write(encode_chunk(event(number)))
        await _write(writer, LAST_CHUNK)

    def _plain_response(self, head: Head) -> bytes:
        return encode_with_length(_OK, self._headers(head), b'done')

    def _headers(self, head: Head) -> dict[str, str]:
        return {
            'Attempt-Id': head.headers.get('attempt-id', ''),
            'Server-Stamp': 's',
            'Instance-Id': self.instance_id,
        }


async def _write(writer: asyncio.StreamWriter, blob: bytes) -> None:
    writer.write(blob)
    await writer.drain()
