"""Loopback proxy that disturbs the connections through it."""

from __future__ import annotations

import asyncio
import enum
from contextlib import closing, suppress
from typing import Any, Final

_DELAY_S: Final = 0.15
_MAX_READ_BYTES: Final = 65_536


class ProxyMode(enum.StrEnum):
    """What becomes of connections through a proxy."""

    PASS = 'pass'
    DELAY = 'delay'
    # Open connections are reset, and new ones as soon as they are accepted.
    RESET = 'reset'
    # What goes one way is held back.
    REQUESTS_HELD = 'requests held'
    RESPONSES_HELD = 'responses held'
    SILENT = 'silent'


_REQUESTS_HELD: Final = (ProxyMode.REQUESTS_HELD, ProxyMode.SILENT)
_RESPONSES_HELD: Final = (ProxyMode.RESPONSES_HELD, ProxyMode.SILENT)


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    ip : str
        Loopback address to listen on, at the port of the target.
    target : str
        Address to forward to.
    """

    __slots__ = ('_ip', '_mode', '_mode_changed', '_target', '_transports')

    def __init__(self, ip: str, target: str) -> None:
        self._ip = ip
        self._target = target
        self._mode = ProxyMode.PASS
        self._mode_changed = asyncio.Event()
        self._transports: set[Any] = set()

    @property
    def address(self) -> str:
        """Address on which the proxy listens."""
        return f'{self._ip}:{self._target.rpartition(":")[2]}'

    async def start(self) -> None:
        """Listen for connections."""
        port = int(self._target.rpartition(':')[2])
        await asyncio.start_server(self._serve, self._ip, port)

    async def change_mode(self, mode: ProxyMode) -> None:
        """Disturb connections in another way from now on."""
        self._mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode is ProxyMode.RESET:
            for transport in self._transports:
                transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        ip, _, port = self._target.rpartition(':')
        with closing(writer), suppress(OSError):
            streams = await asyncio.open_connection(ip, int(port))
            with closing(streams[1]):
                transports = {writer.transport, streams[1].transport}
                self._transports |= transports
                await self._forward(reader, writer, *streams)
                self._transports -= transports

    async def _forward(
        self,
        caller: asyncio.StreamReader,
        to_caller: asyncio.StreamWriter,
        server: asyncio.StreamReader,
        to_server: asyncio.StreamWriter,
    ) -> None:
        pumps = [
            asyncio.create_task(self._pump(caller, to_server, _REQUESTS_HELD)),
            asyncio.create_task(self._pump(server, to_caller, _RESPONSES_HELD)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_modes: tuple[ProxyMode, ...],
    ) -> None:
        while True:
            blob = await reader.read(_MAX_READ_BYTES)
            if self._mode is ProxyMode.DELAY:
                await asyncio.sleep(_DELAY_S)
            while self._mode in held_modes:
                await self._mode_changed.wait()
            if not blob:
                return
            writer.write(blob)
            await writer.drain()
