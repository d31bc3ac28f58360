"""Interface to a platform that runs endpoints and accepts usage reports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from apricotcart.codec.record import Record
from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError


class PlatformUnavailableError(ApricotcartError):
    """The platform gave no usable answer."""

    code = 'platform_unavailable'


class StaleFencingError(ApricotcartError):
    """The platform has seen a higher fencing token."""

    code = 'stale_fencing'


class FencedCall(Record):
    """The calling host and the fencing token of its term."""

    __slots__ = ('holder', 'token')

    def __init__(self, *, holder: str, token: int) -> None:
        self.holder = holder
        self.token = token


class EndpointOrder(Record):
    """Number of endpoints of a service and kind that a zone is to have."""

    __slots__ = ('count', 'is_spot', 'service', 'zone')

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        count: int,
        is_spot: bool,
    ) -> None:
        self.service = service
        self.zone = zone
        self.count = count
        self.is_spot = is_spot


class FleetPlatform(ABC):
    """Calls to the platform.

    Every call raises `PlatformUnavailableError` if the platform gave no
    usable answer. The platform may still execute such a call later.
    """

    @abstractmethod
    def instances(self) -> Sequence[Instance]:
        """Return the complete list of endpoints."""

    @abstractmethod
    def order(self, call: FencedCall, order: EndpointOrder) -> bool:
        """Order endpoints and return False if there is no capacity.

        Raises
        ------
        StaleFencingError
            If the platform has seen a higher fencing token.
        """

    @abstractmethod
    def report(
        self,
        call: FencedCall,
        window: int,
        counts: Mapping[str, int],
    ) -> None:
        """Report the requests of each customer in a window.

        Raises
        ------
        StaleFencingError
            If the platform has seen a higher fencing token.
        """
