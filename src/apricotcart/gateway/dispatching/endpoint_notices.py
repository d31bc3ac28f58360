"""What an endpoint has last said about itself, with the age of each word."""

from __future__ import annotations

from apricotcart.gateway.api import EndpointNotice


class EndpointNotices:
    """Latest notices of one run of an endpoint, as heard by this host.

    Attributes
    ----------
    is_leaving : bool
        Whether it has said that it ends soon. That cannot be withdrawn: an
        endpoint that stays is another run of it.
    limit_per_s : float or None
        Requests a second that it takes from all hosts together; None if it
        names no limit.
    limit_at : float
        When the request was sent whose response last said so, in seconds.
    paused_until : float
        Time until which it wants no requests from this host, in seconds.
    """

    __slots__ = ('is_leaving', 'limit_at', 'limit_per_s', 'paused_until')

    def __init__(self) -> None:
        self.is_leaving = False
        self.limit_per_s: float | None = None
        self.limit_at: float = 0
        self.paused_until: float = 0

    def pause_left_s(self, now: float) -> float:
        """Return the time for which it still wants no requests, in seconds."""
        return max(0, self.paused_until - now)

    def apply(self, notice: EndpointNotice, sent_at: float, now: float) -> bool:
        """Apply a notice; return whether anything has changed.

        Parameters
        ----------
        notice : EndpointNotice
            Notice of a response.
        sent_at : float
            When the request was sent, in seconds. A response to an earlier
            request than the last one says nothing new about the limit.
        now : float
            When the response arrived, in seconds.
        """
        has_left = notice.is_leaving and not self.is_leaving
        self.is_leaving |= notice.is_leaving
        self.paused_until = max(self.paused_until, now + notice.pause_s)
        has_paused = notice.pause_s > 0
        return self._apply_limit(notice, sent_at) or has_left or has_paused

    def _apply_limit(self, notice: EndpointNotice, sent_at: float) -> bool:
        if notice.is_limit_unreadable or sent_at < self.limit_at:
            return False
        self.limit_at = sent_at
        if notice.limit_per_s == self.limit_per_s:
            return False
        self.limit_per_s = notice.limit_per_s
        return True
