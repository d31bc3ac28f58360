"""Sections that both processes have."""

from __future__ import annotations

from pathlib import Path

from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.kinds import Choice, FilePath, Name, port

_MIN_SECRET_BYTES = 16


class ClusterSettings(Section):
    """Which cluster the host belongs to."""

    title = 'cluster'
    __slots__ = ('name', 'secret_file')
    fields = (
        Field('name', Name()),
        Field('secret_file', FilePath(must_exist=True)),
    )

    name: str
    secret_file: str

    def read_secret(self) -> bytes:
        """Give the secret that authenticates the cluster's messages."""
        return read_secret(self.secret_file)

    def faults(self) -> dict[str, str]:
        """Refuse a secret that could be guessed."""
        return secret_faults('secret_file', self.secret_file)


class TlsSettings(Section):
    """Certificate and key; without them the host serves without TLS."""

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
        """Refuse a certificate without its key, and the reverse."""
        if self.cert and not self.key:
            return {'key': 'is missing, but cert is given'}
        if self.key and not self.cert:
            return {'cert': 'is missing, but key is given'}
        return {}


class LogSettings(Section):
    """Form, level and place of the log."""

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
    """Port of the metrics page; 0 means that there is none."""

    title = 'metrics'
    __slots__ = ('port',)
    fields = (Field('port', port(may_be_off=True), '0'),)

    port: int


class TracingSettings(Section):
    """File that spans are written to; None means that none are."""

    title = 'tracing'
    __slots__ = ('file',)
    fields = (Field('file', FilePath(), optional=True),)

    file: str | None


def read_secret(path: str) -> bytes:
    """Give the content of a secret file without the space around it."""
    return Path(path).read_bytes().strip()


def secret_faults(key: str, path: str) -> dict[str, str]:
    """Give the fault of a secret file that is too short, by key."""
    if len(read_secret(path)) < _MIN_SECRET_BYTES:
        return {key: f'{path} has fewer than {_MIN_SECRET_BYTES} bytes'}
    return {}


def note_link_tls(
    document: Document, place: tuple[str, str], address: str, needed: str | None
) -> None:
    """Note a TLS address for which [tls] lacks what it needs.

    Parameters
    ----------
    document : Document
        The file being read.
    place : tuple of str
        Section and key of the address.
    address : str
        The address, with its scheme.
    needed : str or None
        The [tls] value that the address needs.
    """
    if address.startswith('tls+tcp') and needed is None:
        document.note(*place, 'uses tls+tcp, but [tls] is incomplete')
