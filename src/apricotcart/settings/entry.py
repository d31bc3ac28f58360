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
    check_link_tls,
)
from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.kinds import Name, Number, port
from apricotcart.settings.units import HOUR_S, KIB, MIB, MS

_MAX_THREADS = 1000

_HELD_BYTES_RANGE = Number(MIB, KIB * MIB, integer=True)
_BODY_BYTES_RANGE = Number(KIB, 100 * MIB, integer=True)
_HEADER_BYTES_RANGE = Number(KIB, MIB, integer=True)


class EntryHostSettings(Section):
    """Identity of the host and its address for callers."""

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
    """Addresses of the control hosts and the synchronisation interval."""

    title = 'control'
    __slots__ = ('addresses', 'sync_interval_s')
    fields = (
        Field('addresses', LinkAddresses()),
        # Dispatching pauses 2.75 s after the start of the last successful
        # synchronisation (DRAIN_BOUND_S less SEND_MARGIN_S), so that two
        # must fit into that time.
        Field('sync_interval_s', Number(10 * MS, 1), '0.5'),
    )

    addresses: tuple[str, ...]
    sync_interval_s: float


class LimitSettings(Section):
    """Limits on the memory and threads that callers can use."""

    title = 'limits'
    __slots__ = (
        'body_timeout_s',
        'header_timeout_s',
        'held_body_bytes',
        'max_body_bytes',
        'max_header_bytes',
        'max_queue',
        'threads',
    )
    fields = (
        Field('max_body_bytes', _BODY_BYTES_RANGE, str(4 * MIB)),
        Field('max_header_bytes', _HEADER_BYTES_RANGE, '32768'),
        Field('threads', Number(1, _MAX_THREADS, integer=True), '256'),
        Field('max_queue', Number(1, MIB, integer=True), '1000'),
        Field('header_timeout_s', Number(0.1, HOUR_S), '10'),
        Field('body_timeout_s', Number(0.1, HOUR_S), '30'),
        Field('held_body_bytes', _HELD_BYTES_RANGE, '33554432'),
    )

    max_body_bytes: int
    max_header_bytes: int
    threads: int
    max_queue: int
    header_timeout_s: float
    body_timeout_s: float
    # Bytes that the bodies of all requests hold together.
    held_body_bytes: int


class HostsAnswerSettings(Section):
    """Time for which callers may cache an answer of ``/v1/hosts``."""

    title = 'hosts_answer'
    __slots__ = ('ttl_s',)
    fields = (Field('ttl_s', Number(0, HOUR_S), '5'),)

    ttl_s: float


class UsageSettings(Section):
    """Interval at which usage is reported to the control hosts."""

    title = 'usage'
    __slots__ = ('flush_interval_s',)
    # At most 1 s, so that a killed host loses at most 1 s of usage figures.
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
        """Read all sections of the document."""
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
        """Read and validate the whole file.

        Raises
        ------
        SettingsError
            If the file has any fault; the error lists all of them.
        """
        document = Document.from_file(path)
        cfg = cls(document)
        cfg.check(document)
        document.finish()
        return cfg

    def check(self, document: Document) -> None:
        """Add faults between sections and set the default of the URL."""
        if document.has_no_faults('control', 'tls'):
            check_link_tls(
                document,
                ('control', 'addresses'),
                self.control.addresses[0],
                self.tls.ca,
            )
        if document.has_no_faults('host', 'metrics'):
            if self.metrics.port == self.host.port:
                document.add_fault(
                    'metrics', 'port', 'is the same as [host] port'
                )
        if document.has_no_faults('host', 'tls'):
            self._check_advertised_url(document)

    def _check_advertised_url(self, document: Document) -> None:
        scheme = 'https' if self.tls.enabled else 'http'
        if not self.host.advertised_url:
            authority = host_port(self.host.address, self.host.port)
            self.host.advertised_url = f'{scheme}://{authority}'
        if not self.host.advertised_url.startswith(f'{scheme}:'):
            document.add_fault(
                'host',
                'advertised_url',
                f'does not start with {scheme}://, which [tls] requires',
            )
