"""What a request, an answer and an endpoint say, in our own types."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from apricotcart.codec.record import Record

Headers = Sequence[tuple[str, str]]


class CallMessage:
    """What goes on to the endpoint unchanged."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Keep method, path with query, headers and body."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class PromptPart(Record):
    """One part of a prompt, which other requests may share."""

    __slots__ = ('part_id', 'tokens')

    def __init__(self, *, part_id: str, tokens: int) -> None:
        """Keep the fields."""
        self.part_id = part_id
        self.tokens = tokens


class CallTerms(Record):
    """What a caller's headers say of its request.

    Attributes
    ----------
    attempt_id : str
        Id of this attempt of the caller, empty without one.
    wait_s : float or None
        How long the caller waits, from the arrival of the headers.
    key : str
        The caller's key, empty without one.
    last_event_id : str
        Last event that the caller has of a stream, empty without one.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the most that are generated.
    length_hint : int
        The caller's estimate of the generated tokens, 0 without one.
    parts : list of PromptPart
        Parts of the prompt in their order.
    """

    __slots__ = (
        'attempt_id',
        'key',
        'last_event_id',
        'length_hint',
        'output_tokens',
        'parts',
        'prompt_tokens',
        'wait_s',
    )

    def __init__(
        self,
        *,
        attempt_id: str = '',
        wait_s: float | None = None,
        key: str = '',
        last_event_id: str = '',
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        length_hint: int = 0,
        parts: Sequence[PromptPart] = (),
    ) -> None:
        """Keep the fields."""
        self.attempt_id = attempt_id
        self.wait_s = wait_s
        self.key = key
        self.last_event_id = last_event_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.length_hint = length_hint
        self.parts = list(parts)


class SendTerms(Record):
    """What the host tells an endpoint with a request.

    Attributes
    ----------
    endpoint_id : str
        The only endpoint that may run the request.
    wait_s : float
        Time left until the caller's deadline.
    customer : str
        Customer that holds the caller's key, empty on public routes.
    urgency : int
        Rank at the endpoint, 0 first.
    last_event_id : str
        Event after which the stream goes on; empty as the caller sent it.
    cache_source : str
        ``IP:PORT`` of an endpoint that the cached parts of the prompt are
        copied from; empty without one.
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
        """Keep the fields."""
        self.cache_source = cache_source
        self.endpoint_id = endpoint_id
        self.wait_s = wait_s
        self.customer = customer
        self.urgency = urgency
        self.last_event_id = last_event_id


class EndpointLoad(Record):
    """Load that an endpoint tells."""

    __slots__ = ('running', 'slots', 'waiting')

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        """Keep the fields."""
        self.running = running
        self.waiting = waiting
        self.slots = slots


class AnswerTerms(Record):
    """What the headers of an endpoint's answer say.

    Attributes
    ----------
    attempt_id : str
        Attempt that the answer belongs to.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_genuine : bool
        Whether the answer bears the endpoint's receipt.
    is_encoded : bool
        Whether the body has an encoding, which no caller asks for.
    load : EndpointLoad or None
        Load of the endpoint.
    keeps_s : float or None
        How long the endpoint keeps the idle connection; 0 closes it.
    """

    __slots__ = (
        'attempt_id',
        'is_encoded',
        'is_genuine',
        'is_not_run',
        'keeps_s',
        'load',
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
    ) -> None:
        """Keep the fields."""
        self.attempt_id = attempt_id
        self.is_not_run = is_not_run
        self.is_genuine = is_genuine
        self.is_encoded = is_encoded
        self.load = load
        self.keeps_s = keeps_s


class Dialect(ABC):
    """Reads and writes the headers that callers and endpoints use."""

    @abstractmethod
    def call_terms(self, headers: Headers) -> CallTerms:
        """Read a caller's headers.

        Raises
        ------
        RequestError
            If a header cannot be read.
        """

    @abstractmethod
    def endpoint_headers(
        self,
        headers: Headers,
        terms: SendTerms,
    ) -> list[tuple[str, str]]:
        """Give the headers of a request to an endpoint."""

    @abstractmethod
    def answer_terms(self, headers: Headers) -> AnswerTerms:
        """Read the headers of an endpoint's answer."""

    @abstractmethod
    def caller_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Give the headers of an endpoint's answer for the caller."""

    @abstractmethod
    def own_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        """Give the headers of an answer of this host's own."""
