"""Kinds of setting that name an address."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from urllib.parse import SplitResult, urlsplit

from apricotcart.settings.kinds import FieldError, Kind

_LINK_SCHEMES = ('tcp', 'tls+tcp')
_WEB_SCHEMES = ('http', 'https')


class Address(Kind):
    """An IP address; host names are not looked up."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Give the address in its usual form."""
        try:
            return str(ipaddress.ip_address(text))
        except ValueError:
            raise FieldError(f'{text!r} is not an IP address') from None


class LinkAddress(Kind):
    """Address of one of our processes: ``tcp://IP:PORT`` or with TLS."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Give the address unchanged."""
        parts = _split(text, _LINK_SCHEMES)
        try:
            ipaddress.ip_address(parts.hostname or '')
        except ValueError:
            raise FieldError(f'{text!r} does not name an IP address') from None
        if not parts.port:
            raise FieldError(f'{text!r} has no port')
        if parts.path:
            raise FieldError(f'{text!r} has a path')
        return text


class LinkAddresses(Kind):
    """Comma list of addresses of our processes."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> tuple[str, ...]:
        """Give the addresses in their order."""
        link = LinkAddress()
        words = [word.strip() for word in text.split(',')]
        addresses = tuple(link.parse(word, folder) for word in words)
        if len(set(addresses)) < len(addresses):
            raise FieldError('an address is listed twice')
        schemes = {address.partition(':')[0] for address in addresses}
        if len(schemes) > 1:
            raise FieldError('tcp and tls+tcp cannot be mixed')
        return addresses


class WebAddress(Kind):
    """An http or https URL."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Give the URL without a slash at its end."""
        parts = _split(text, _WEB_SCHEMES)
        if not parts.hostname:
            raise FieldError(f'{text!r} names no host')
        if parts.query or parts.fragment:
            raise FieldError(f'{text!r} has a query or a fragment')
        return text.rstrip('/')


def host_port(address: str, port_number: int) -> str:
    """Give address and port as they stand in a URL."""
    place = f'[{address}]' if ':' in address else address
    return f'{place}:{port_number}'


def _split(text: str, schemes: tuple[str, ...]) -> SplitResult:
    parts = _parse(text)
    if parts.scheme not in schemes:
        allowed = ' or '.join(f'{scheme}://' for scheme in schemes)
        raise FieldError(f'{text!r} does not start with {allowed}')
    return parts


def _parse(text: str) -> SplitResult:
    try:
        return _with_port_checked(urlsplit(text))
    except ValueError as exc:
        raise FieldError(f'{text!r} is not an address: {exc}') from None


def _with_port_checked(parts: SplitResult) -> SplitResult:
    # urlsplit checks the port only when it is read.
    if parts.port == 0:
        raise FieldError('port 0 is not allowed')
    return parts
