"""Settings of a gateway or a coordinator."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Final, Self

from apricotcart.settings.addresses import Address
from apricotcart.settings.common import LogSettings, MetricsSettings
from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.kinds import (
    Choice,
    FieldError,
    FilePath,
    Kind,
    Name,
    port,
)
from apricotcart.settings.kinds import Number as NumberKind

_SOCKET_ADDRESS_PATTERN: Final = re.compile(r'([0-9.]+):([0-9]+)')
_MS_PER_S = 1000
_BYTES_PER_MB: Final = 1_000_000
_MAX_BOUND: Final = 1_000_000
# Each process needs a port for its peers and one for other processes.
_MIN_LINK_PORTS: Final = 2


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


class FleetHostSettings(Section):
    """Identity of the host."""

    title = 'host'
    __slots__ = ('address', 'first_start', 'name', 'region', 'zone')
    fields = (
        Field('name', Name()),
        Field('zone', Name()),
        Field('region', Name()),
        Field('address', Address()),
        Field('first_start', Flag(), 'false'),
    )

    name: str
    zone: str
    region: str
    address: str
    # True only at the first start of the whole system, with empty disks.
    first_start: bool


class ListenSettings(Section):
    """Addresses on which the process listens, except for its links."""

    title = 'listen'
    __slots__ = ('callers', 'directory', 'operators', 'readiness')
    fields = (
        Field('callers', SocketAddress(), optional=True),
        Field('readiness', SocketAddress(), optional=True),
        Field('operators', SocketAddress(), optional=True),
        Field('directory', SocketAddress(), optional=True),
    )

    callers: str | None
    readiness: str | None
    operators: str | None
    directory: str | None


class FleetLinkSettings(Section):
    """Port range of the links between processes, and seed addresses.

    The range is the same on all hosts. Control hosts are discovered through
    the seeds.
    """

    title = 'links'
    __slots__ = ('first_port', 'last_port', 'seeds')
    fields = (
        Field('first_port', port()),
        Field('last_port', port()),
        Field('seeds', SocketAddresses()),
    )

    first_port: int
    last_port: int
    seeds: tuple[str, ...]

    def faults(self) -> dict[str, str]:
        """Reject a range with too few ports for the links."""
        if self.last_port - self.first_port + 1 < _MIN_LINK_PORTS:
            return {
                'last_port': 'is not above first_port, but two ports are needed'
            }
        return {}


class FleetDataSettings(Section):
    """Folder of the durable state; a gateway has none."""

    title = 'data'
    __slots__ = ('folder',)
    fields = (Field('folder', FilePath(), optional=True),)

    folder: str | None


class FleetPlatformSettings(Section):
    """Address of the platform's API, and how late its list is."""

    title = 'platform'
    __slots__ = ('address', 'list_lag_ms')
    fields = (
        Field('address', SocketAddress()),
        Field('list_lag_ms', NumberKind(0, _MAX_BOUND), '1000'),
    )

    address: str
    # Time in milliseconds after which the list of endpoints shows a change.
    list_lag_ms: float

    @property
    def list_lag_s(self) -> float:
        """Time in seconds after which the list shows a change."""
        return self.list_lag_ms / _MS_PER_S


class FleetMachineSettings(Section):
    """Resources of the host that the process may use."""

    title = 'machine'
    __slots__ = (
        'descriptors',
        'link_mbps',
        'memory_mb',
        'processor_share',
        'processor_speed',
    )
    fields = (
        Field('memory_mb', NumberKind(0, _MAX_BOUND), optional=True),
        Field('descriptors', NumberKind(0, _MAX_BOUND), optional=True),
        Field('processor_share', NumberKind(0, _MAX_BOUND), '1'),
        Field('processor_speed', NumberKind(0, _MAX_BOUND), '1'),
        Field('link_mbps', NumberKind(0, _MAX_BOUND), optional=True),
    )

    # Memory in megabytes above which the process is killed.
    memory_mb: float | None
    # File descriptors that the process may open.
    descriptors: float | None
    # Share of a core that the process may use, and the speed of that core as a
    # multiple of the usual one.
    processor_share: float
    processor_speed: float
    # Bandwidth of the host's link in megabits a second.
    link_mbps: float | None

    @property
    def cores(self) -> float:
        """Processor time a second, in seconds of a usual core."""
        return self.processor_share * self.processor_speed

    @property
    def memory_bytes(self) -> int | None:
        """Memory limit in bytes, None if it is not known."""
        if self.memory_mb is None:
            return None
        return int(self.memory_mb * _BYTES_PER_MB)


class FleetBoundSettings(Section):
    """Limits and periods that the operators of the platform set."""

    title = 'bounds'
    __slots__ = (
        'answer_ttl_max_s',
        'budget_extra',
        'budget_ratio',
        'fencing_lease_ms',
        'state_apply_ms',
        'state_skew_ms',
        'stop_s',
        'usage_late_s',
        'usage_window_s',
    )
    fields = (
        Field('stop_s', NumberKind(0, _MAX_BOUND), '8'),
        Field('budget_ratio', NumberKind(0, 10), '0.2'),
        Field('budget_extra', NumberKind(0, _MAX_BOUND), '10'),
        Field('fencing_lease_ms', NumberKind(0, _MAX_BOUND), '3000'),
        Field('usage_window_s', NumberKind(0, _MAX_BOUND), '60'),
        Field('usage_late_s', NumberKind(0, _MAX_BOUND), '10'),
        Field('answer_ttl_max_s', NumberKind(0, _MAX_BOUND), '5'),
        Field('state_apply_ms', NumberKind(0, _MAX_BOUND), '2000'),
        Field('state_skew_ms', NumberKind(0, _MAX_BOUND), '5000'),
    )

    # Time in seconds from SIGTERM until the process is killed.
    stop_s: float
    # Retries allowed per recent request of a service, over all hosts.
    budget_ratio: float
    # Retries always allowed per service and window, over all hosts.
    budget_extra: float
    # Minimum time in milliseconds between the calls of two holders of a duty.
    fencing_lease_ms: float
    # Length in seconds of the windows for which usage is reported.
    usage_window_s: float
    # Time in seconds after the end of a window when its report is due.
    usage_late_s: float
    # Maximum time in seconds for which callers may cache an answer.
    answer_ttl_max_s: float
    # Time in milliseconds within which a change is in force on every host.
    state_apply_ms: float
    # Additional time in milliseconds while control hosts fail.
    state_skew_ms: float

    @property
    def state_apply_s(self) -> float:
        """Time in seconds for which a state with a known successor is used."""
        return self.state_apply_ms / _MS_PER_S

    @property
    def state_lease_s(self) -> float:
        """Time in seconds for which an unconfirmed state may be used."""
        return (self.state_apply_ms + self.state_skew_ms) / _MS_PER_S


class FleetConfig:
    """All settings of a gateway or a coordinator."""

    __slots__ = (
        'bounds',
        'data',
        'host',
        'links',
        'listen',
        'log',
        'machine',
        'metrics',
        'path',
        'platform',
    )

    def __init__(self, document: Document, path: str) -> None:
        """Read all sections of the document."""
        self.path = path
        self.host = document.read(FleetHostSettings)
        self.listen = document.read(ListenSettings)
        self.links = document.read(FleetLinkSettings)
        self.data = document.read(FleetDataSettings)
        self.platform = document.read(FleetPlatformSettings)
        self.machine = document.read(FleetMachineSettings)
        self.bounds = document.read(FleetBoundSettings)
        self.log = document.read(LogSettings)
        self.metrics = document.read(MetricsSettings)

    @classmethod
    def from_file(cls, path: str, *required_keys: str) -> Self:
        """Read and validate the whole file.

        Parameters
        ----------
        path : str
            The settings file.
        required_keys : str
            Keys of [listen] that this process requires.

        Raises
        ------
        SettingsError
            If the file has any fault; the error lists all of them.
        """
        document = Document.from_file(path)
        cfg = cls(document, path)
        for key in required_keys:
            address: Any = getattr(cfg.listen, key)
            if document.has_no_faults('listen') and address is None:
                document.add_fault('listen', key, 'is missing')
        document.finish()
        return cfg
