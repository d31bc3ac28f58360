"""Proxies between processes that limit the bandwidth together."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import closing, suppress
from typing import Any, Final

_READ_BYTES: Final = 1460
_BITS: Final = 8
# Bytes that the link holds before senders have to wait.
_QUEUE_BYTES: Final = 65_536


class SlowLink:
    """One host's link, on which what arrives passes in order.

    Parameters
    ----------
    bits_per_s : float
        Bandwidth in each direction.

    Attributes
    ----------
    bytes_passed : int
        Bytes that have passed in both directions.
    is_cut : bool
        Whether nothing passes, and connections end.
    """

    __slots__ = ('_bytes_per_s', '_free_at', 'bytes_passed', 'is_cut')

    def __init__(self, bits_per_s: float) -> None:
        self._bytes_per_s = bits_per_s / _BITS
        self._free_at: dict[str, float] = {}
        self.bytes_passed = 0
        self.is_cut = False

    async def listen(self, ip: str, port: int, target_port: int) -> None:
        """Forward connections from one port of an address to another."""

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(reader, writer, (ip, target_port))

        await asyncio.start_server(serve, ip, port, limit=_READ_BYTES)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: tuple[str, int],
    ) -> None:
        with closing(writer), suppress(OSError):
            if self.is_cut:
                return
            back, forth = await asyncio.open_connection(
                *target, limit=_READ_BYTES
            )
            with closing(forth):
                await _run_until_first_ends(
                    [
                        self._pump('up', reader, forth),
                        self._pump('down', back, writer),
                    ]
                )

    async def _pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        queue_s = _QUEUE_BYTES / self._bytes_per_s
        while blob := await reader.read(_READ_BYTES):
            if self.is_cut:
                return
            now = loop.time()
            begins_at = max(now, self._free_at.get(direction, 0))
            ends_at = begins_at + len(blob) / self._bytes_per_s
            self._free_at[direction] = ends_at
            self.bytes_passed += len(blob)
            loop.call_at(ends_at, _write, writer, blob)
            await asyncio.sleep(max(0, ends_at - now - queue_s))


def _write(writer: asyncio.StreamWriter, blob: bytes) -> None:
    if not writer.is_closing():
        writer.write(blob)


async def _run_until_first_ends(pumps: Iterable[Any]) -> None:
    tasks = [asyncio.create_task(pump) for pump in pumps]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
