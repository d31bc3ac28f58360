"""Settings of the scheduler."""

from __future__ import annotations

from apricotcart.codec.record import Record

DEFAULT_MAX_QUEUE = 512
RECLAIM_NOTICE_S = 5.0


class SchedulerConfig(Record):
    """Settings of the scheduler.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    max_queue : int
        Queue bound of pools that do not set their own.
    reclaim_notice_s : float
        Seconds between the reclaim notice and the loss of a spot endpoint.
    """

    __slots__ = ('zone', 'max_queue', 'reclaim_notice_s')

    def __init__(
        self,
        *,
        zone: str = '',
        max_queue: int = DEFAULT_MAX_QUEUE,
        reclaim_notice_s: float = RECLAIM_NOTICE_S,
    ) -> None:
        self.zone = zone
        self.max_queue = max_queue
        self.reclaim_notice_s = reclaim_notice_s
