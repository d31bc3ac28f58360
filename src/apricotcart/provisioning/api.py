"""Records and interfaces between provisioning and the control host."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from apricotcart.codec.record import Record

STATUS_OK = 200
STATUS_CONFLICT = 409

STALE_FENCING = 'stale_fencing'
NO_CAPACITY = 'no_capacity'
EXPIRED = 'expired'
NO_ANSWER = 'no_answer'


class Proposal(Record):
    """A command for the replicated state.

    Attributes
    ----------
    ticket : int
        Number that the reply refers to.
    command : dict
        The command; the control host adds ``at_ms`` when it proposes it.
    """

    __slots__ = ('command', 'ticket')

    def __init__(self, *, ticket: int, command: dict[str, Any]) -> None:
        self.ticket = ticket
        self.command = command


class Request(Record):
    """A request to the platform or to an engine.

    Attributes
    ----------
    ticket : int
        Number that the answer refers to.
    url : str
        Base URL of an engine; empty for the platform.
    method, path : str
        Method and path.
    body : dict
        JSON fields, including the fencing token where one is needed.
    fenced : bool
        Whether only the holder of the fencing token in the body may send
        it. Reads are not fenced.
    extra_wait_s : float
        Time for which the sender must have been active, in seconds; above 0
        for receivers that ignore the fencing token.
    """

    __slots__ = (
        'body',
        'extra_wait_s',
        'fenced',
        'method',
        'path',
        'ticket',
        'url',
    )

    def __init__(
        self,
        *,
        ticket: int,
        path: str,
        body: dict[str, Any],
        url: str = '',
        method: str = 'POST',
        fenced: bool = True,
        extra_wait_s: float = 0,
    ) -> None:
        self.ticket = ticket
        self.path = path
        self.body = body
        self.url = url
        self.method = method
        self.fenced = fenced
        self.extra_wait_s = extra_wait_s


class Answer(Record):
    """The answer to a request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if there was no answer.
    body : dict
        Decoded JSON fields.
    code : str
        Code of the refusal; ``expired`` if the request was not sent because
        its deadline had passed, ``no_answer`` if its outcome is unknown.
    """

    __slots__ = ('body', 'code', 'status')

    def __init__(
        self,
        *,
        status: int = 0,
        body: dict[str, Any] | None = None,
        code: str = '',
    ) -> None:
        self.status = status
        self.body = body or {}
        self.code = code

    @property
    def is_ok(self) -> bool:
        """Whether the receiver accepted the request."""
        return self.status == STATUS_OK

    @property
    def is_stale(self) -> bool:
        """Whether the receiver has seen a newer fencing token."""
        return self.code == STALE_FENCING


class UsageFigures(Record):
    """Usage of one customer in one window."""

    __slots__ = ('calls', 'customer', 'tokens_in', 'tokens_out', 'window')

    def __init__(
        self,
        *,
        window: int,
        customer: str,
        tokens_in: int,
        tokens_out: int,
        calls: int,
    ) -> None:
        self.window = window
        self.customer = customer
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.calls = calls


class EndpointResource(Record):
    """A committed ``endpoint`` resource."""

    __slots__ = ('name', 'spec', 'status', 'version')

    def __init__(
        self,
        *,
        name: str,
        version: int,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> None:
        self.name = name
        self.version = version
        self.spec = spec
        self.status = status or {}


class LeaseSource(ABC):
    """Leader lease of the consensus node of this host."""

    @abstractmethod
    def lease_expires_at(self) -> float:
        """Return the end of the lease in monotonic seconds; 0.0 without one."""

    @abstractmethod
    def term(self) -> int:
        """Return the present term of the node."""


class UsageView(ABC):
    """Usage table as applied on this host."""

    @abstractmethod
    def open_windows(self) -> list[int]:
        """Return the windows that have figures and are not closed."""

    @abstractmethod
    def unreported(self) -> list[UsageFigures]:
        """Return the figures of closed windows not marked as reported."""


class FleetView(ABC):
    """Endpoints and demand that the leader knows."""

    @abstractmethod
    def endpoints(self) -> list[EndpointResource]:
        """Return all ``endpoint`` resources."""

    @abstractmethod
    def slots_needed(self, pool: str) -> float:
        """Return the requests in flight and queued for a pool on all hosts."""

    @abstractmethod
    def in_flight(self, endpoint: str) -> int:
        """Return the requests in flight on an endpoint from all hosts."""


class LeaderTask(ABC):
    """A provisioning task, which runs while this host is active."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Add the commands and requests that are due to the outbox.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """

    @abstractmethod
    def reset(self) -> None:
        """Discard the work in progress when a new fencing token is held."""
