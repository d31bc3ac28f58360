"""Kinds of values that only settings of gateways and coordinators have."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

from apricotcart.settings.addresses import Address
from apricotcart.settings.kinds import Choice, FieldError, Kind, port

_SOCKET_ADDRESS_PATTERN: Final = re.compile(r'([0-9.]+):([0-9]+)')


class SocketAddress(Kind):
    """Address of a listening socket: ``IP:PORT``."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Return the address unchanged."""
        match = _SOCKET_ADDRESS_PATTERN.fullmatch(text)
        if match is None:
            raise FieldError(f'{text!r} is not of the form IP:PORT')
        Address().parse(match.group(1), folder)
        port().parse(match.group(2), folder)
        return text


class SocketAddresses(Kind):
    """Comma-separated list of ``IP:PORT``."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> tuple[str, ...]:
        """Return the addresses in the given order."""
        kind = SocketAddress()
        return tuple(
            kind.parse(entry.strip(), folder) for entry in text.split(',')
        )


class Flag(Kind):
    """``true`` or ``false``."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> bool:
        """Return the flag as a bool."""
        return Choice('true', 'false').parse(text, folder) == 'true'
