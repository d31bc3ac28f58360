"""Kinds of setting for IP addresses and URLs."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from urllib.parse import SplitResult, urlsplit

from apricotcart.settings.kinds import FieldError, Kind

_LINK_SCHEMES = ('tcp', 'tls+tcp')
_WEB_SCHEMES = ('http', 'https')


class Address(Kind):
    """An IP address; host names are not allowed."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Return the address in its canonical form."""
        try:
            return str(ipaddress.ip_address(text))
        except ValueError:
            raise FieldError(f'{text!r} is not an IP address') from None


class LinkAddress(Kind):
    """Address of a process: ``tcp://IP:PORT`` or ``tls+tcp://IP:PORT``."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Return the address unchanged."""
        parts = _split_url(text, _LINK_SCHEMES)
        try:
            ipaddress.ip_address(parts.hostname or '')
        except ValueError:
            raise FieldError(f'{text!r} has no IP address as host') from None
        if not parts.port:
            raise FieldError(f'{text!r} has no port')
        if parts.path:
            raise FieldError(f'{text!r} has a path')
        return text


class LinkAddresses(Kind):
    """Comma-separated list of ``LinkAddress`` values."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> tuple[str, ...]:
        """Return the addresses in the given order."""
        kind = LinkAddress()
        entries = [entry.strip() for entry in text.split(',')]
        addresses = tuple(kind.parse(entry, folder) for entry in entries)
        if len(set(addresses)) < len(addresses):
            raise FieldError('the same address is listed twice')
        schemes = {address.partition(':')[0] for address in addresses}
        if len(schemes) > 1:
            raise FieldError('tcp and tls+tcp cannot be mixed')
        return addresses


class WebAddress(Kind):
    """An http or https URL."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Return the URL without a trailing slash."""
        parts = _split_url(text, _WEB_SCHEMES)
        if not parts.hostname:
            raise FieldError(f'{text!r} has no host')
        if parts.query or parts.fragment:
            raise FieldError(f'{text!r} has a query or a fragment')
        return text.rstrip('/')


def host_port(address: str, port_number: int) -> str:
    """Return address and port in URL syntax, with IPv6 in brackets."""
    host = f'[{address}]' if ':' in address else address
    return f'{host}:{port_number}'


def _split_url(text: str, schemes: tuple[str, ...]) -> SplitResult:
    parts = _parse_url(text)
    if parts.scheme not in schemes:
        allowed = ' or '.join(f'{scheme}://' for scheme in schemes)
        raise FieldError(f'{text!r} does not start with {allowed}')
    return parts


def _parse_url(text: str) -> SplitResult:
    try:
        return _check_port(urlsplit(text))
    except ValueError as exc:
        raise FieldError(f'{text!r} is not a valid address: {exc}') from None


def _check_port(parts: SplitResult) -> SplitResult:
    # urlsplit validates the port only when the attribute is read.
    if parts.port == 0:
        raise FieldError('port 0 is not allowed')
    return parts
