"""Types for requests and responses, independent of header names."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from apricotcart.codec.record import Record

Headers = Sequence[tuple[str, str]]


class ForwardedRequest:
    """The part of a request that is forwarded to the endpoint unchanged."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | memoryview,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class PromptPart(Record):
    """One segment of a prompt; prompts with the same ``part_id`` share it."""

    __slots__ = ('part_id', 'tokens')

    def __init__(self, *, part_id: str, tokens: int) -> None:
        self.part_id = part_id
        self.tokens = tokens


class RequestMetadata(Record):
    """Request metadata from the headers of a caller.

    Attributes
    ----------
    attempt_id : str
        Id of this attempt by the caller; empty if absent.
    wait_s : float or None
        Timeout of the caller in seconds, from the arrival of the headers.
    key : str
        API key of the caller; empty if absent.
    last_event_id : str
        Id of the last stream event that the caller has received; empty if
        absent.
    resumes : str
        Id of the attempt that brought the first event of a stream that the
        caller resumes; empty if absent.
    prompt_tokens, output_tokens : int
        Number of prompt tokens, and maximum number of generated tokens; 0 if
        absent.
    length_hint : int
        The caller's estimate of the generated tokens; 0 if absent.
    parts : list of PromptPart
        Segments of the prompt in order.
    """

    __slots__ = (
        'attempt_id',
        'key',
        'last_event_id',
        'length_hint',
        'output_tokens',
        'parts',
        'prompt_tokens',
        'resumes',
        'wait_s',
    )

    def __init__(
        self,
        *,
        attempt_id: str = '',
        wait_s: float | None = None,
        key: str = '',
        last_event_id: str = '',
        resumes: str = '',
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        length_hint: int = 0,
        parts: Sequence[PromptPart] = (),
    ) -> None:
        self.attempt_id = attempt_id
        self.wait_s = wait_s
        self.key = key
        self.last_event_id = last_event_id
        self.resumes = resumes
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.length_hint = length_hint
        self.parts = list(parts)


class EndpointRequestMetadata(Record):
    """Metadata that the host sends to an endpoint with a request.

    Attributes
    ----------
    endpoint_id : str
        The only endpoint that may run the request.
    wait_s : float
        Time until the caller's deadline in seconds.
    customer : str
        Customer that holds the caller's key; empty on public routes.
    urgency : int
        Priority at the endpoint; 0 is served first.
    last_event_id : str
        Id of the event after which the stream resumes; if empty, the
        caller's own header is forwarded.
    cache_source : str
        ``IP:PORT`` of the endpoint from which the KV cache of the shared
        prefix is copied; empty if it is not copied.
    """

    __slots__ = (
        'cache_source',
        'customer',
        'endpoint_id',
        'last_event_id',
        'urgency',
        'wait_s',
    )

    def __init__(
        self,
        *,
        endpoint_id: str,
        wait_s: float,
        customer: str,
        urgency: int,
        last_event_id: str = '',
        cache_source: str = '',
    ) -> None:
        self.cache_source = cache_source
        self.endpoint_id = endpoint_id
        self.wait_s = wait_s
        self.customer = customer
        self.urgency = urgency
        self.last_event_id = last_event_id


class EndpointLoad(Record):
    """Load that an endpoint reports with a response.

    Attributes
    ----------
    running, waiting : int
        Number of requests that run, and that are queued, at the endpoint.
    slots : int
        Maximum number of concurrent requests.
    """

    __slots__ = ('running', 'slots', 'waiting')

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class EndpointNotice(Record):
    """What an endpoint says about itself with a response.

    Attributes
    ----------
    is_leaving : bool
        Whether it ends soon and is to get no more requests.
    limit_per_s : float or None
        Requests a second that it takes from all hosts together; None if it
        names no limit.
    is_limit_unreadable : bool
        Whether it names a limit that is not a number of requests.
    pause_s : float
        Time in seconds for which it wants no requests from this host.
    rejections_per_s : int or None
        Requests of all hosts that it can reject in a second for want of room
        without ending; None if it says nothing about that.
    is_rejections_unreadable : bool
        Whether it names something else than a number of rejections.
    cold_s : float or None
        Time in seconds for which it is still cold, 0 if it is warm; None if it
        says nothing about that.
    """

    __slots__ = (
        'cold_s',
        'is_leaving',
        'is_limit_unreadable',
        'is_rejections_unreadable',
        'limit_per_s',
        'pause_s',
        'rejections_per_s',
    )

    def __init__(
        self,
        *,
        is_leaving: bool = False,
        limit_per_s: float | None = None,
        is_limit_unreadable: bool = False,
        pause_s: float = 0,
        rejections_per_s: int | None = None,
        is_rejections_unreadable: bool = False,
        cold_s: float | None = None,
    ) -> None:
        self.cold_s = cold_s
        self.pause_s = pause_s
        self.rejections_per_s = rejections_per_s
        self.is_rejections_unreadable = is_rejections_unreadable
        self.is_leaving = is_leaving
        self.limit_per_s = limit_per_s
        self.is_limit_unreadable = is_limit_unreadable


class ResponseMetadata(Record):
    """Metadata from the headers of an endpoint's response.

    Attributes
    ----------
    attempt_id : str
        Attempt to which the response belongs.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_genuine : bool
        Whether the response carries the stamp header with which endpoints
        mark their own responses.
    is_encoded : bool
        Whether the body has a content encoding; the host never requests one.
    load : EndpointLoad or None
        Load of the endpoint.
    keeps_s : float or None
        Keep-alive time of the idle connection in seconds; 0 if the endpoint
        closes it, None if it is not stated.
    notice : EndpointNotice
        What the endpoint says about itself.
    """

    __slots__ = (
        'attempt_id',
        'is_encoded',
        'is_genuine',
        'is_not_run',
        'keeps_s',
        'load',
        'notice',
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        is_not_run: bool,
        is_genuine: bool,
        is_encoded: bool,
        load: EndpointLoad | None,
        keeps_s: float | None,
        notice: EndpointNotice,
    ) -> None:
        self.notice = notice
        self.attempt_id = attempt_id
        self.is_not_run = is_not_run
        self.is_genuine = is_genuine
        self.is_encoded = is_encoded
        self.load = load
        self.keeps_s = keeps_s


class HeaderCodec(ABC):
    """Parses and builds the headers of callers and endpoints."""

    @abstractmethod
    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Parse the headers of a caller.

        Raises
        ------
        RequestError
            If a header is malformed.
        """

    @abstractmethod
    def build_endpoint_headers(
        self,
        headers: Headers,
        metadata: EndpointRequestMetadata,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an endpoint."""

    @abstractmethod
    def build_relayed_headers(
        self, headers: Headers, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request that another gateway takes over.

        Parameters
        ----------
        headers : list of (str, str)
            Headers of the caller.
        last_event_id : str
            Id of the event after which the stream resumes; if empty, the
            caller's own header is kept.
        """

    @abstractmethod
    def parse_response_headers(
        self, headers: Headers, status: int
    ) -> ResponseMetadata:
        """Parse the headers of an endpoint's response."""

    @abstractmethod
    def build_caller_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's response for the caller."""

    @abstractmethod
    def build_local_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        """Return the headers of a response that this host generates."""
