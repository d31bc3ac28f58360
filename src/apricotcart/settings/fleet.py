"""Settings of a gateway or a coordinator."""

from __future__ import annotations

from typing import Any, Final, Self

from apricotcart.settings.addresses import Address
from apricotcart.settings.common import LogSettings, MetricsSettings
from apricotcart.settings.document import Document, Field, Section
from apricotcart.settings.fleet_kinds import (
    Flag,
    SocketAddress,
    SocketAddresses,
)
from apricotcart.settings.kinds import FilePath, Name, Names, port
from apricotcart.settings.kinds import Number as NumberKind

_MS_PER_S = 1000
_BYTES_PER_MB: Final = 1_000_000
_MAX_BOUND: Final = 1_000_000
# Share of the machine's memory for bodies of requests, and the same for
# answers; and the memory that is assumed where the settings name none.
_MEMORY_SHARE: Final = 0.125
# The longest answer of an endpoint, and what its connection holds.
_MIN_ANSWER_BYTES: Final = 17_000_000
_DEFAULT_MEMORY_MB: Final = 256
# Each process needs a port for its peers and one for other processes.
_MIN_LINK_PORTS: Final = 2


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
    __slots__ = ('address', 'list_lag_ms', 'zones')
    fields = (
        Field('address', SocketAddress()),
        Field('list_lag_ms', NumberKind(0, _MAX_BOUND), '1000'),
        Field('zones', Names(), optional=True),
    )

    address: str
    # Time in milliseconds after which the list of endpoints shows a change.
    list_lag_ms: float
    # All availability zones, None if they are not known.
    zones: tuple[str, ...] | None

    @property
    def list_lag_s(self) -> float:
        """Time in seconds after which the list shows a change."""
        return self.list_lag_ms / _MS_PER_S


class FleetMachineSettings(Section):
    """Resources of the host that the process may use."""

    title = 'machine'
    __slots__ = ('memory_mb',)
    fields = (Field('memory_mb', NumberKind(0, _MAX_BOUND), optional=True),)

    # Memory in megabytes above which the process is killed.
    memory_mb: float | None


class FleetBodySettings(Section):
    """Limits on the bodies that a process receives at the same time."""

    title = 'bodies'
    __slots__ = ('grace_ms', 'head_memory_mb', 'max_waiting', 'memory_mb')
    fields = (
        Field('memory_mb', NumberKind(1, _MAX_BOUND), optional=True),
        Field('grace_ms', NumberKind(0, _MAX_BOUND), '2000'),
        Field('max_waiting', NumberKind(1, _MAX_BOUND), '400'),
        Field('head_memory_mb', NumberKind(1, _MAX_BOUND), '8'),
    )

    # Memory in megabytes that all bodies hold together; None for a share of
    # the memory of the machine.
    memory_mb: float | None
    # Time in milliseconds within which an incomplete body gives way to none.
    grace_ms: float
    # Number of incomplete bodies beyond which the oldest gives way.
    max_waiting: float
    # Memory in megabytes that all unfinished heads hold together.
    head_memory_mb: float


class FleetAnswerSettings(Section):
    """Limits on the answers that callers of a process have not read."""

    title = 'answers'
    __slots__ = ('grace_ms', 'memory_mb')
    fields = (
        Field('memory_mb', NumberKind(1, _MAX_BOUND), optional=True),
        Field('grace_ms', NumberKind(0, _MAX_BOUND), '2000'),
    )

    # Memory in megabytes that all answers hold together; None for a share of
    # the memory of the machine.
    memory_mb: float | None
    # Time in milliseconds for which a caller may not read before its answer
    # gives way to others.
    grace_ms: float


class FleetBoundSettings(Section):
    """Limits and periods that the operators of the platform set."""

    title = 'bounds'
    __slots__ = (
        'answer_ttl_max_s',
        'budget_extra',
        'budget_ratio',
        'cold_overshoot',
        'cold_tolerance',
        'evacuation_ms',
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
        Field('evacuation_ms', NumberKind(0, _MAX_BOUND), '5000'),
        Field('cold_overshoot', NumberKind(0, 10), '1'),
        Field('cold_tolerance', NumberKind(0, _MAX_BOUND), '0'),
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
    # Time in milliseconds within which an evacuation is obeyed on every host.
    evacuation_ms: float
    # A cold endpoint withstands in one second the requests that it names times
    # the first number plus the second.
    cold_overshoot: float
    cold_tolerance: float

    @property
    def state_apply_s(self) -> float:
        """Time in seconds for which a state with a known successor is used."""
        return self.state_apply_ms / _MS_PER_S

    @property
    def state_lease_s(self) -> float:
        """Time in seconds for which an unconfirmed state may be used."""
        return (self.state_apply_ms + self.state_skew_ms) / _MS_PER_S

    @property
    def evacuation_lease_s(self) -> float:
        """Time in seconds for which unconfirmed evacuations may be used."""
        return (self.evacuation_ms + self.state_skew_ms) / _MS_PER_S


class HedgingSettings(Section):
    """Second attempts at requests that are late."""

    title = 'hedging'
    __slots__ = ('late_ratio', 'routes', 'share')
    fields = (
        Field('share', NumberKind(0, 1), '0'),
        Field('late_ratio', NumberKind(0.5, 1), '0.95'),
        Field('routes', Names(), optional=True),
    )

    # Second attempts for each request that may have one; 0 for none.
    share: float
    # Ratio of the answers of a kind that come before a second attempt is made.
    late_ratio: float
    # Names of the routes on which they are made; None for all.
    routes: tuple[str, ...] | None


class FleetConfig:
    """All settings of a gateway or a coordinator."""

    __slots__ = (
        'answers',
        'bodies',
        'bounds',
        'data',
        'hedging',
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
        self.answers = document.read(FleetAnswerSettings)
        self.bodies = document.read(FleetBodySettings)
        self.bounds = document.read(FleetBoundSettings)
        self.hedging = document.read(HedgingSettings)
        self.log = document.read(LogSettings)
        self.metrics = document.read(MetricsSettings)

    def body_limits(self) -> tuple[int, float, int]:
        """Return the limits on bodies: bytes, grace in seconds and number."""
        bodies = self.bodies
        return (
            self._share_bytes(bodies.memory_mb),
            bodies.grace_ms / _MS_PER_S,
            int(bodies.max_waiting),
        )

    def head_limit(self) -> int:
        """Return the limit on unfinished heads in bytes."""
        return int(self.bodies.head_memory_mb * _BYTES_PER_MB)

    def answer_limits(self) -> tuple[int, float]:
        """Return the limits on answers: bytes, and grace in seconds."""
        answers = self.answers
        limit_bytes = self._share_bytes(answers.memory_mb)
        return (
            max(limit_bytes, _MIN_ANSWER_BYTES),
            answers.grace_ms / _MS_PER_S,
        )

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

    def _share_bytes(self, memory_mb: float | None) -> int:
        """Return a limit in bytes, by default a share of the machine's."""
        if memory_mb is None:
            machine_mb = self.machine.memory_mb or _DEFAULT_MEMORY_MB
            memory_mb = machine_mb * _MEMORY_SHARE
        return int(memory_mb * _BYTES_PER_MB)
