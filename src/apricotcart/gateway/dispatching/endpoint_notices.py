"""What an endpoint has last said about itself, with the age of each word."""

from __future__ import annotations

from apricotcart.gateway.api import EndpointNotice


class EndpointNotices:
    """Latest notices of one run of an endpoint, as heard by this host.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that it takes from all hosts together; None if it
        names no limit.
    limit_at : float
        When the request was sent whose response last said so, in seconds.
    """

    __slots__ = ('limit_at', 'limit_per_s')

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.limit_at: float = 0

    def apply(self, notice: EndpointNotice, sent_at: float) -> bool:
        """Apply a notice; return whether anything has changed.

        Parameters
        ----------
        notice : EndpointNotice
            Notice of a response.
        sent_at : float
            When the request was sent, in seconds. A response to an earlier
            request than the last one says nothing new.
        """
        if notice.is_limit_unreadable or sent_at < self.limit_at:
            return False
        self.limit_at = sent_at
        if notice.limit_per_s == self.limit_per_s:
            return False
        self.limit_per_s = notice.limit_per_s
        return True
