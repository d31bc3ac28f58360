"""Settings of an entry host."""

from __future__ import annotations

from typing import Self

from apricotcart.settings.addresses import (
    Address,
    LinkAddresses,
    WebAddress,
    host_port,
)
from apricotcart.settings.common import (
    ClusterSettings,
    LogSettings,
    MetricsSettings,
    TlsSettings,
    TracingSettings,
    note_link_tls,
)
from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.kinds import Name, Number, port
from apricotcart.settings.units import HOUR_S, KIB, MIB, MS

_MAX_THREADS = 1000

_body_bytes = Number(KIB, 100 * MIB, whole=True)
_header_bytes = Number(KIB, MIB, whole=True)


class EntryHostSettings(Section):
    """Identity of the host and where it serves callers."""

    title = 'host'
    __slots__ = ('address', 'advertised_url', 'name', 'port', 'zone')
    fields = (
        Field('name', Name()),
        Field('zone', Name()),
        Field('address', Address()),
        Field('port', port(), '8080'),
        Field('advertised_url', WebAddress(), optional=True),
    )

    name: str
    zone: str
    address: str
    port: int
    advertised_url: str


class ControlLinkSettings(Section):
    """Where the control hosts are, and how often to ask them."""

    title = 'control'
    __slots__ = ('addresses', 'sync_interval_s')
    fields = (
        Field('addresses', LinkAddresses()),
        # New work stops 2.75 s after the start of the last sync, so that two
        # syncs must fit into that time.
        Field('sync_interval_s', Number(10 * MS, 1), '0.5'),
    )

    addresses: tuple[str, ...]
    sync_interval_s: float


class LimitSettings(Section):
    """Bounds on what callers can make the host hold."""

    title = 'limits'
    __slots__ = (
        'body_timeout_s',
        'header_timeout_s',
        'max_body_bytes',
        'max_header_bytes',
        'max_queue',
        'threads',
    )
    fields = (
        Field('max_body_bytes', _body_bytes, str(4 * MIB)),
        Field('max_header_bytes', _header_bytes, '32768'),
        Field('threads', Number(1, _MAX_THREADS, whole=True), '256'),
        Field('max_queue', Number(1, MIB, whole=True), '1000'),
        Field('header_timeout_s', Number(0.1, HOUR_S), '10'),
        Field('body_timeout_s', Number(0.1, HOUR_S), '30'),
    )

    max_body_bytes: int
    max_header_bytes: int
    threads: int
    max_queue: int
    header_timeout_s: float
    body_timeout_s: float


class HostsAnswerSettings(Section):
    """How long callers may keep an answer of ``/v1/hosts``."""

    title = 'hosts_answer'
    __slots__ = ('ttl_s',)
    fields = (Field('ttl_s', Number(0, HOUR_S), '5'),)

    ttl_s: float


class UsageSettings(Section):
    """How often usage figures go to the control hosts."""

    title = 'usage'
    __slots__ = ('flush_interval_s',)
    # A killed host may lose at most one second of usage figures.
    fields = (Field('flush_interval_s', Number(10 * MS, 1), '1'),)

    flush_interval_s: float


class EntryConfig:
    """All settings of an entry host."""

    __slots__ = (
        'cluster',
        'control',
        'host',
        'hosts_answer',
        'limits',
        'log',
        'metrics',
        'tls',
        'tracing',
        'usage',
    )

    def __init__(self, document: Document) -> None:
        """Read every section of the document."""
        self.host = document.read(EntryHostSettings)
        self.control = document.read(ControlLinkSettings)
        self.cluster = document.read(ClusterSettings)
        self.tls = document.read(TlsSettings)
        self.limits = document.read(LimitSettings)
        self.hosts_answer = document.read(HostsAnswerSettings)
        self.log = document.read(LogSettings)
        self.metrics = document.read(MetricsSettings)
        self.tracing = document.read(TracingSettings)
        self.usage = document.read(UsageSettings)

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read the file and check it whole.

        Raises
        ------
        SettingsError
            If anything is wrong; it names every fault.
        """
        document = Document.from_file(path)
        cfg = cls(document)
        cfg.check(document)
        document.finish()
        return cfg

    def check(self, document: Document) -> None:
        """Note what is wrong between sections and fill in defaults."""
        if document.clean('control', 'tls'):
            note_link_tls(
                document,
                ('control', 'addresses'),
                self.control.addresses[0],
                self.tls.ca,
            )
        if document.clean('host', 'metrics'):
            if self.metrics.port == self.host.port:
                document.note('metrics', 'port', 'is the same as [host] port')
        if document.clean('host', 'tls'):
            self._check_advertised(document)

    def _check_advertised(self, document: Document) -> None:
        scheme = 'https' if self.tls.enabled else 'http'
        if not self.host.advertised_url:
            place = host_port(self.host.address, self.host.port)
            self.host.advertised_url = f'{scheme}://{place}'
        if not self.host.advertised_url.startswith(f'{scheme}:'):
            document.note(
                'host',
                'advertised_url',
                f'does not start with {scheme}://, which [tls] calls for',
            )
