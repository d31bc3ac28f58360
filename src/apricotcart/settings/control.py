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
    note_link_tls,
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
    """Identity of the host and where it serves operators."""

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
    """Where this host listens for its peers, and the first voters.

    Every key but ``listen`` is the name of a control host.
    """

    title = 'peers'
    __slots__ = ('listen', 'voters')
    fields = (Field('listen', LinkAddress()),)

    listen: str
    voters: dict[str, str]

    @classmethod
    def read(cls, reader: SectionReader) -> Self:
        """Read the listen address and a voter for each other key."""
        listen = reader.take(cls.fields[0])
        voters = {
            name: reader.take(Field(name, LinkAddress()))
            for name in reader.remaining()
        }
        return cls(listen=listen, voters=voters)

    def faults(self) -> dict[str, str]:
        """Refuse a list of voters that cannot form a cluster."""
        if not self.voters:
            return {'': 'names no control host'}
        scheme = self.listen.partition(':')[0]
        found: dict[str, str] = {}
        seen: set[str] = set()
        for name, address in self.voters.items():
            if address in seen:
                found[name] = f'{address} is listed twice'
            if address.partition(':')[0] != scheme:
                found[name] = f'does not use {scheme}:// like listen'
            seen.add(address)
        return found


class RpcSettings(Section):
    """Where the host listens for entry hosts."""

    title = 'rpc'
    __slots__ = ('listen',)
    fields = (Field('listen', LinkAddress()),)

    listen: str


class DataSettings(Section):
    """Where the replicated state is kept."""

    title = 'data'
    __slots__ = ('folder',)
    fields = (Field('folder', FilePath()),)

    folder: str


class OperatorSettings(Section):
    """Which token operators' requests must carry."""

    title = 'operators'
    __slots__ = ('token_file',)
    fields = (Field('token_file', FilePath(must_exist=True)),)

    token_file: str

    def read_token(self) -> bytes:
        """Give the token that operators' requests must carry."""
        return read_secret(self.token_file)

    def faults(self) -> dict[str, str]:
        """Refuse a token that could be guessed."""
        return secret_faults('token_file', self.token_file)


class PlatformSettings(Section):
    """Where the platform is; without a URL it is not used."""

    title = 'platform'
    __slots__ = ('url',)
    fields = (Field('url', WebAddress(), optional=True),)

    url: str | None


class TimingSettings(Section):
    """Timing of the control loop and of calls of the platform."""

    title = 'timing'
    __slots__ = ('send_timeout_s', 'snapshot_entries', 'tick_interval_s')
    fields = (
        Field('tick_interval_s', Number(MS, 0.1), '0.02'),
        # A call of the platform must end within the leader's lease of 2 s.
        Field('send_timeout_s', Number(10 * MS, 1), '1'),
        Field('snapshot_entries', Number(10, MIB, whole=True), '10000'),
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
        """Read every section of the document."""
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
        """Note what is wrong between sections."""
        if document.clean('peers', 'rpc'):
            if self.peers.listen == self.rpc.listen:
                document.note('rpc', 'listen', 'is the same as [peers] listen')
        if document.clean('host', 'metrics'):
            if self.metrics.port == self.host.api_port:
                document.note(
                    'metrics', 'port', 'is the same as [host] api_port'
                )
        if document.clean('peers', 'rpc', 'tls'):
            self._check_tls(document)

    def _check_tls(self, document: Document) -> None:
        tls = self.tls
        for place, address in (
            ('peers', self.peers.listen),
            ('rpc', self.rpc.listen),
        ):
            note_link_tls(document, (place, 'listen'), address, tls.cert)
        for name, voter in self.peers.voters.items():
            note_link_tls(document, ('peers', name), voter, tls.ca)
