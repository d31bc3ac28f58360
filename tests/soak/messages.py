"""HTTP messages on raw connections.

Libraries hide how a message ended, which is what the soak checks.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Final

LAST_CHUNK: Final = b'0\r\n\r\n'
_HEAD_END: Final = b'\r\n\r\n'


class Head:
    """First line and headers of a request or response.

    Attributes
    ----------
    start : list of str
        Words of the first line.
    headers : dict
        Headers by lowercase name.
    """

    __slots__ = ('headers', 'start')

    def __init__(self, blob: bytes) -> None:
        lines = blob.decode('latin-1').split('\r\n')
        self.start = lines[0].split()
        self.headers: dict[str, str] = {}
        for line in filter(None, lines[1:]):
            name, _, text = line.partition(':')
            self.headers[name.lower()] = text.strip()

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.start[1]

    @property
    def closes(self) -> bool:
        """Whether the connection is closed after this message."""
        return 'close' in self.headers.get('connection', '').lower()


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    return Head(await reader.readuntil(_HEAD_END))


async def skip_body(reader: asyncio.StreamReader, head: Head) -> None:
    """Read a body that does not matter."""
    await reader.readexactly(int(head.headers.get('content-length', '0')))


async def read_parts(
    reader: asyncio.StreamReader, head: Head
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; return only if the body is complete."""
    if 'transfer-encoding' not in head.headers:
        length = int(head.headers.get('content-length', '0'))
        if length:
            yield await reader.readexactly(length)
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        yield part[:-2]


def encode(
    start: str, headers: Mapping[str, str | int], body: bytes = b''
) -> bytes:
    """Return the bytes of a message."""
    lines = [start]
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def encode_with_length(
    start: str, headers: Mapping[str, str | int], body: bytes
) -> bytes:
    """Return the bytes of a message whose head states the body's length."""
    return encode(start, {**headers, 'Content-Length': len(body)}, body)


def encode_chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(payload), payload)
