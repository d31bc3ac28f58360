"""Endpoint instances as listed by the platform."""

from __future__ import annotations

from apricotcart.codec.record import Record


class Instance(Record):
    """One running endpoint of a service.

    Attributes
    ----------
    instance_id : str
        Name; the endpoint rejects requests that expect another one.
    born_ms : int
        Start time of the process in Unix milliseconds; 0 if unknown.
    address : str
        ``IP:PORT``.
    is_ready : bool
        False while the endpoint drains.
    warmup_s : float
        Remaining time for which it is slow after its start, in seconds.
    is_spot : bool
        Whether the platform may reclaim it at short notice.
    leaves_s : float or None
        Time until it is removed in seconds; None if unknown.
    software_version : str
        Version of its software, which differs from that of its weights.
    """

    __slots__ = (
        'address',
        'born_ms',
        'instance_id',
        'is_ready',
        'is_spot',
        'leaves_s',
        'service',
        'slots',
        'software_version',
        'warmup_s',
        'zone',
    )

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        is_ready: bool,
        born_ms: int = 0,
        warmup_s: float = 0,
        is_spot: bool = False,
        leaves_s: float | None = None,
        software_version: str = '',
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.is_ready = is_ready
        self.born_ms = born_ms
        self.warmup_s = warmup_s
        self.is_spot = is_spot
        self.leaves_s = leaves_s
        self.software_version = software_version

    @property
    def run_id(self) -> str:
        """Id of one run: an endpoint may start again under its id."""
        return f'{self.instance_id}/{self.born_ms}'

    @property
    def key(self) -> tuple[str, int, str]:
        """Id, start time and version, which identify one run of it."""
        return (self.instance_id, self.born_ms, self.software_version)
