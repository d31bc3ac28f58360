"""What an endpoint has last said about itself, with the age of each word."""

from __future__ import annotations

from typing import Generic, TypeVar

from apricotcart.gateway.api import EndpointNotice

_Word = TypeVar('_Word')


class LatestWord(Generic[_Word]):
    """What the response to the latest request said about one matter.

    Attributes
    ----------
    word : object or None
        What it said; None if it said nothing.
    sent_at : float
        When the request was sent whose response last said so, in seconds.
    """

    __slots__ = ('sent_at', 'word')

    def __init__(self) -> None:
        self.word: _Word | None = None
        self.sent_at: float = 0

    def apply(self, word: _Word | None, sent_at: float) -> bool:
        """Apply the word of a response; return whether it has changed.

        A response to an earlier request than the last one says nothing new.
        """
        if sent_at < self.sent_at:
            return False
        self.sent_at = sent_at
        has_changed = word != self.word
        self.word = word
        return has_changed


class EndpointNotices:
    """Latest notices of one run of an endpoint, as heard by this host.

    Attributes
    ----------
    is_leaving : bool
        Whether it has said that it ends soon. That cannot be withdrawn: an
        endpoint that stays is another run of it.
    limit : LatestWord of float
        Requests a second that it takes from all hosts together.
    paused_until : float
        Time until which it wants no requests from this host, in seconds.
    rejections : LatestWord of int
        Requests of all hosts that it can reject in a second.
    cold_until : LatestWord of float
        Time up to which it is cold, in seconds; in the past if it is warm.
    """

    __slots__ = (
        'cold_until',
        'is_leaving',
        'limit',
        'paused_until',
        'rejections',
    )

    def __init__(self) -> None:
        self.is_leaving = False
        self.limit: LatestWord[float] = LatestWord()
        self.paused_until: float = 0
        self.rejections: LatestWord[int] = LatestWord()
        self.cold_until: LatestWord[float] = LatestWord()

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second from all hosts, None if it names no limit."""
        return self.limit.word

    @property
    def rejections_per_s(self) -> int | None:
        """Rejections a second that it withstands, None if it names none."""
        return self.rejections.word

    @property
    def heard_at(self) -> float:
        """When the request was sent that last brought a word on rejections."""
        return self.rejections.sent_at

    def is_cold(self, now: float) -> bool:
        """Return whether it has said that it is still cold."""
        return now < (self.cold_until.word or 0)

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
            When the request was sent, in seconds.
        now : float
            When the response arrived, in seconds.
        """
        has_changed = notice.is_leaving and not self.is_leaving
        self.is_leaving |= notice.is_leaving
        self.paused_until = max(self.paused_until, now + notice.pause_s)
        has_changed |= notice.pause_s > 0
        if not notice.is_limit_unreadable:
            has_changed |= self.limit.apply(notice.limit_per_s, sent_at)
        if not notice.is_rejections_unreadable:
            has_changed |= self.rejections.apply(
                notice.rejections_per_s, sent_at
            )
        if notice.cold_s is not None:
            was_cold = self.is_cold(now)
            self.cold_until.apply(now + notice.cold_s, sent_at)
            has_changed |= was_cold != self.is_cold(now)
        return has_changed
