"""Settings of a control host."""

from __future__ import annotations

from typing import Self

from apricotcart.settings.addresses import Address, LinkAddress, WebAddress
from apricotcart.settings.common import (
    ClusterSettings,
    LogSettings,
    MetricsSettings,
    TlsSettings,
    TracingSettings,
    check_link_tls,
    read_secret,
    secret_faults,
)
from apricotcart.settings.document import (
    Document,
    Field,
    Section,
    SectionReader,
)
from apricotcart.settings.kinds import FilePath, Name, Number, port
from apricotcart.settings.units import MIB, MS


class ControlHostSettings(Section):
    """Identity of the host and the port of the operators' API."""

    title = 'host'
    __slots__ = ('address', 'api_port', 'name', 'zone')
    fields = (
        Field('name', Name()),
        Field('zone', Name()),
        Field('address', Address()),
        Field('api_port', port(), '8081'),
    )

    name: str
    zone: str
    address: str
    api_port: int


class PeerSettings(Section):
    """Address for peers, and the initial voters of the cluster.

    Every key except ``listen`` is the name of a control host.
    """

    title = 'peers'
    __slots__ = ('listen', 'voters')
    fields = (Field('listen', LinkAddress()),)

    listen: str
    voters: dict[str, str]

    @classmethod
    def read(cls, reader: SectionReader) -> Self:
        """Read the listen address, and a voter from every other key."""
        listen = reader.read_field(cls.fields[0])
        voters = {
            name: reader.read_field(Field(name, LinkAddress()))
            for name in reader.unread_keys()
        }
        return cls(listen=listen, voters=voters)

    def faults(self) -> dict[str, str]:
        """Reject a list of voters that cannot form a cluster."""
        if not self.voters:
            return {'': 'lists no control host'}
        scheme = self.listen.partition(':')[0]
        faults: dict[str, str] = {}
        seen_addresses: set[str] = set()
        for name, address in self.voters.items():
            if address in seen_addresses:
                faults[name] = (
                    f'{address} is the address of another control host'
                )
            if address.partition(':')[0] != scheme:
                faults[name] = f'does not use {scheme}:// as listen does'
            seen_addresses.add(address)
        return faults


class RpcSettings(Section):
    """Address for requests of entry hosts."""

    title = 'rpc'
    __slots__ = ('listen',)
    fields = (Field('listen', LinkAddress()),)

    listen: str


class DataSettings(Section):
    """Folder of the replicated state."""

    title = 'data'
    __slots__ = ('folder',)
    fields = (Field('folder', FilePath()),)

    folder: str


class OperatorSettings(Section):
    """File of the token that operators' requests must carry."""

    title = 'operators'
    __slots__ = ('token_file',)
    fields = (Field('token_file', FilePath(must_exist=True)),)

    token_file: str

    def read_token(self) -> bytes:
        """Return the token that operators' requests must carry."""
        return read_secret(self.token_file)

    def faults(self) -> dict[str, str]:
        """Reject a token that is too short."""
        return secret_faults('token_file', self.token_file)


class PlatformSettings(Section):
    """URL of the platform; without a URL the platform is not used."""

    title = 'platform'
    __slots__ = ('url',)
    fields = (Field('url', WebAddress(), optional=True),)

    url: str | None


class TimingSettings(Section):
    """Timing of the control loop and of calls to the platform."""

    title = 'timing'
    __slots__ = ('send_timeout_s', 'snapshot_entries', 'tick_interval_s')
    fields = (
        Field('tick_interval_s', Number(MS, 0.1), '0.02'),
        # A call to the platform must end within the leader's lease of 2 s.
        Field('send_timeout_s', Number(10 * MS, 1), '1'),
        Field('snapshot_entries', Number(10, MIB, integer=True), '10000'),
    )

    tick_interval_s: float
    send_timeout_s: float
    snapshot_entries: int


class ControlConfig:
    """All settings of a control host."""

    __slots__ = (
        'cluster',
        'data',
        'host',
        'log',
        'metrics',
        'operators',
        'peers',
        'platform',
        'rpc',
        'timing',
        'tls',
        'tracing',
    )

    def __init__(self, document: Document) -> None:
        """Read all sections of the document."""
        self.host = document.read(ControlHostSettings)
        self.peers = document.read(PeerSettings)
        self.rpc = document.read(RpcSettings)
        self.data = document.read(DataSettings)
        self.cluster = document.read(ClusterSettings)
        self.operators = document.read(OperatorSettings)
        self.platform = document.read(PlatformSettings)
        self.timing = document.read(TimingSettings)
        self.tls = document.read(TlsSettings)
        self.log = document.read(LogSettings)
        self.metrics = document.read(MetricsSettings)
        self.tracing = document.read(TracingSettings)

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
        """Add the faults of sections that contradict each other."""
        if document.has_no_faults('peers', 'rpc'):
            if self.peers.listen == self.rpc.listen:
                document.add_fault(
                    'rpc', 'listen', 'is the same as [peers] listen'
                )
        if document.has_no_faults('host', 'metrics'):
            if self.metrics.port == self.host.api_port:
                document.add_fault(
                    'metrics', 'port', 'is the same as [host] api_port'
                )
        if document.has_no_faults('peers', 'rpc', 'tls'):
            self._check_tls(document)

    def _check_tls(self, document: Document) -> None:
        tls = self.tls
        for section, address in (
            ('peers', self.peers.listen),
            ('rpc', self.rpc.listen),
        ):
            check_link_tls(document, (section, 'listen'), address, tls.cert)
        for name, voter in self.peers.voters.items():
            check_link_tls(document, ('peers', name), voter, tls.ca)
