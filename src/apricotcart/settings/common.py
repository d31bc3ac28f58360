"""Sections that several kinds of process share."""

from __future__ import annotations

from pathlib import Path

from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.kinds import Choice, FilePath, Name, port

_MIN_SECRET_BYTES = 16


class ClusterSettings(Section):
    """Name and secret of the host's cluster."""

    title = 'cluster'
    __slots__ = ('name', 'secret_file')
    fields = (
        Field('name', Name()),
        Field('secret_file', FilePath(must_exist=True)),
    )

    name: str
    secret_file: str

    def read_secret(self) -> bytes:
        """Return the secret that authenticates the cluster's messages."""
        return read_secret(self.secret_file)

    def faults(self) -> dict[str, str]:
        """Reject a secret that is too short."""
        return secret_faults('secret_file', self.secret_file)


class TlsSettings(Section):
    """Certificate and key of the host, which enable TLS, and the CA."""

    title = 'tls'
    __slots__ = ('ca', 'cert', 'key')
    fields = (
        Field('cert', FilePath(must_exist=True), optional=True),
        Field('key', FilePath(must_exist=True), optional=True),
        Field('ca', FilePath(must_exist=True), optional=True),
    )

    cert: str | None
    key: str | None
    ca: str | None

    @property
    def enabled(self) -> bool:
        """Whether the host serves with TLS."""
        return self.cert is not None

    def faults(self) -> dict[str, str]:
        """Reject a certificate without a key and a key without one."""
        if self.cert and not self.key:
            return {'key': 'is missing, but cert is set'}
        if self.key and not self.cert:
            return {'cert': 'is missing, but key is set'}
        return {}


class LogSettings(Section):
    """Format, level and file of the log."""

    title = 'log'
    __slots__ = ('file', 'format', 'level')
    fields = (
        Field('format', Choice('text', 'json'), 'text'),
        Field('level', Choice('debug', 'info', 'warning', 'error'), 'info'),
        Field('file', FilePath(), optional=True),
    )

    format: str
    level: str
    file: str | None


class MetricsSettings(Section):
    """Port of the metrics page; 0 disables the page."""

    title = 'metrics'
    __slots__ = ('port',)
    fields = (Field('port', port(allow_zero=True), '0'),)

    port: int


class TracingSettings(Section):
    """File to which spans are written; None disables them."""

    title = 'tracing'
    __slots__ = ('file',)
    fields = (Field('file', FilePath(), optional=True),)

    file: str | None


def read_secret(path: str) -> bytes:
    """Return the content of a secret file without surrounding blanks."""
    return Path(path).read_bytes().strip()


def secret_faults(key: str, path: str) -> dict[str, str]:
    """Return the fault of a secret file that is too short, by key."""
    if len(read_secret(path)) < _MIN_SECRET_BYTES:
        return {key: f'{path} has fewer than {_MIN_SECRET_BYTES} bytes'}
    return {}


def check_link_tls(
    document: Document,
    location: tuple[str, str],
    address: str,
    tls_file: str | None,
) -> None:
    """Add a fault if an address uses TLS without the needed [tls] key.

    Parameters
    ----------
    document : Document
        Settings file to which the fault is added.
    location : tuple of str
        Section and key of the address.
    address : str
        Address including its scheme.
    tls_file : str or None
        Value of the [tls] key that a TLS address requires.
    """
    if address.startswith('tls+tcp') and tls_file is None:
        document.add_fault(*location, 'uses tls+tcp, but [tls] is incomplete')
