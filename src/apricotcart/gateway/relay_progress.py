"""What is known about passing one request on to another gateway."""

from __future__ import annotations


class RelayProgress:
    """State of one request that may be passed on.

    Attributes
    ----------
    is_taken_over : bool
        Whether another gateway has passed the request on to this host. Such a
        request is never passed on again.
    is_counted : bool
        Whether the retry budget of a host counts the request.
    is_withdrawn : bool
        Whether it was taken out of the queue since this host is cut off.
    tried_peers : set of str
        Gateways that it was, or could not be, passed on to.
    """

    __slots__ = ('is_counted', 'is_taken_over', 'is_withdrawn', 'tried_peers')

    def __init__(self) -> None:
        self.is_counted = False
        self.is_taken_over = False
        self.is_withdrawn = False
        self.tried_peers: set[str] = set()
