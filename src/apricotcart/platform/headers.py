"""Codec for the platform's request and response headers."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.codec.identifiers import bounded_identifier
from apricotcart.gateway.api import (
    EndpointLoad,
    EndpointRequestMetadata,
    HeaderCodec,
    Headers,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from apricotcart.platform.notices import (
    BRITTLE,
    COLD,
    LEAVING,
    LIMIT,
    parse_notice,
)
from apricotcart.web.errors import RequestError

_MS_PER_S: Final = 1000
_ATTEMPT: Final = 'attempt-id'
_DEADLINE: Final = 'deadline-ms'
_LAST_EVENT: Final = 'last-event-id'
# Attempt that brought the first event of the stream, whatever came between.
_RESUMES: Final = 'resumes'
_LENGTH_HINT: Final = 'length-hint'
# Prompt tokens and maximum output tokens of a request.
_TOKEN_COUNTS: Final = 'token-usage'
# All parts of a prompt, not only its shared prefix.
_PROMPT_PARTS: Final = 'prompt-prefix'
_KEY: Final = 'key'
_CONNECTION: Final = 'connection'
_MAX_PRIORITY: Final = 9
# Larger numbers are neither times nor tokens, and do not fit into a float.
_MAX_COUNT: Final = 1_000_000_000_000_000
# More tokens than any endpoint holds. Larger counts are taken for this one, so
# that the loads of all hosts can be added up.
_MAX_TOKENS: Final = 10_000_000
# Longer timeouts of callers are taken for this one.
_MAX_WAIT_S: Final = 86_400.0
# Longest keep-alive time that is believed, in seconds.
_KEEP_ALIVE_MAX_S: Final = 3600.0

# Hop-by-hop headers, which apply to a single connection.
_HOP_BY_HOP: Final = frozenset(
    (
        _CONNECTION,
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
# Headers to endpoints that only this system may set; those of a caller are
# dropped.
_RESERVED: Final = frozenset(
    (
        _KEY,
        _DEADLINE,
        'tenant',
        'expect-instance',
        'expect-version',
        'request-priority',
        'pin-ms',
        'cache-hold',
        'kv-backup',
        'kv-from',
        'kv-fetch',
        'accept-encoding',
    )
)
# Headers of endpoints' answers that are not forwarded to callers.
_INTERNAL: Final = frozenset(
    (
        'server-load',
        'not-executed',
        'instance-id',
        LIMIT,
        LEAVING,
        BRITTLE,
        COLD,
    )
)


class PlatformHeaderCodec(HeaderCodec):
    """Reads and writes the platform's headers."""

    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Parse a caller's headers."""
        fields = _lowercase_fields(headers)
        prompt_tokens, output_tokens = _parse_tokens(
            _TOKEN_COUNTS, fields.get(_TOKEN_COUNTS, '0,0'), 2
        )
        return RequestMetadata(
            attempt_id=fields.get(_ATTEMPT, ''),
            wait_s=_parse_seconds(fields.get(_DEADLINE)),
            key=fields.get(_KEY, ''),
            last_event_id=fields.get(_LAST_EVENT, ''),
            resumes=bounded_identifier(fields.get(_RESUMES, '')),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            length_hint=_parse_tokens(
                _LENGTH_HINT, fields.get(_LENGTH_HINT, '0'), 1
            )[0],
            parts=_parse_prompt_parts(fields.get(_PROMPT_PARTS, '')),
        )

    def build_endpoint_headers(
        self,
        headers: Headers,
        metadata: EndpointRequestMetadata,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an endpoint."""
        dropped_names = _RESERVED | _hop_by_hop_names(headers)
        if metadata.last_event_id:
            dropped_names |= {_LAST_EVENT}
        forwarded = _without_names(headers, dropped_names)
        forwarded.append(('Expect-Instance', metadata.endpoint_id))
        remaining_ms = max(1, int(metadata.wait_s * _MS_PER_S))
        forwarded.append(('Deadline-Ms', str(remaining_ms)))
        urgency = min(metadata.urgency, _MAX_PRIORITY)
        forwarded.append(('Request-Priority', str(urgency)))
        if metadata.customer:
            forwarded.append(('Tenant', metadata.customer))
        if metadata.cache_source:
            forwarded.append(('Kv-Fetch', metadata.cache_source))
        if metadata.last_event_id:
            forwarded.append(('Last-Event-Id', metadata.last_event_id))
        return forwarded

    def build_relayed_headers(
        self, headers: Headers, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request that another gateway takes over."""
        dropped_names = _hop_by_hop_names(headers)
        if not last_event_id:
            return _without_names(headers, dropped_names)
        relayed = _without_names(headers, dropped_names | {_LAST_EVENT})
        relayed.append(('Last-Event-Id', last_event_id))
        return relayed

    def parse_response_headers(
        self, headers: Headers, status: int
    ) -> ResponseMetadata:
        """Parse the headers of an endpoint's answer."""
        fields = _lowercase_fields(headers)
        return ResponseMetadata(
            attempt_id=fields.get(_ATTEMPT, ''),
            is_not_run='not-executed' in fields,
            # An endpoint stamps its responses; others are rejected.
            is_genuine='server-stamp' in fields,
            is_encoded=fields.get('content-encoding', '')
            not in {
                '',
                'identity',
            },
            load=_parse_load(fields.get('server-load')),
            keeps_s=_parse_keep_alive_s(fields),
            notice=parse_notice(headers, status),
        )

    def build_caller_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers of an answer to forward to the caller."""
        return _without_names(headers, _INTERNAL | _hop_by_hop_names(headers))

    def build_local_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        """Return the headers of an answer that this host generates."""
        return [('Attempt-Id', attempt_id)] if attempt_id else []


def _lowercase_fields(headers: Headers) -> Mapping[str, str]:
    return MappingProxyType({name.lower(): text for name, text in headers})


def _without_names(
    headers: Headers,
    dropped_names: frozenset[str],
) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() not in dropped_names]


def _hop_by_hop_names(headers: Headers) -> frozenset[str]:
    listed = {
        word.strip().lower()
        for name, text in headers
        if name.lower() == _CONNECTION
        for word in text.split(',')
    }
    return _HOP_BY_HOP | listed


def _parse_seconds(text: str | None) -> float | None:
    if text is None:
        return None
    wait_s = _parse_counts(_DEADLINE, text, 1)[0] / _MS_PER_S
    return min(wait_s, _MAX_WAIT_S)


def _parse_tokens(name: str, text: str, count: int) -> list[int]:
    counts = _parse_counts(name, text, count)
    return [min(number, _MAX_TOKENS) for number in counts]


def _parse_counts(name: str, text: str, count: int) -> list[int]:
    """Return the numbers of a header.

    Raises
    ------
    RequestError
        If it has others. The message names the header and not its content,
        which may be of any size.
    """
    try:
        counts = [int(word) for word in text.split(',')]
    except ValueError:
        counts = []
    in_range = all(0 <= number <= _MAX_COUNT for number in counts)
    if len(counts) != count or not in_range:
        raise RequestError(
            f'the header {name} of {len(text)} characters is not a list of '
            f'{count} integers from 0 to {_MAX_COUNT}'
        )
    return counts


def _parse_prompt_parts(text: str) -> list[PromptPart]:
    parts = []
    for word in filter(None, text.split(',')):
        part_id, _, tokens = word.strip().partition(':')
        token_count = _parse_tokens(_PROMPT_PARTS, tokens, 1)[0]
        key = bounded_identifier(part_id)
        parts.append(PromptPart(part_id=key, tokens=token_count))
    return parts


def _parse_load(text: str | None) -> EndpointLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = [int(word) for word in text.split(',')]
    except ValueError:
        return None
    return EndpointLoad(running=running, waiting=waiting, slots=slots)


def _parse_keep_alive_s(fields: Mapping[str, str]) -> float | None:
    if 'close' in fields.get(_CONNECTION, '').lower():
        return 0
    for word in fields.get('keep-alive', '').split(','):
        name, _, seconds = word.strip().partition('=')
        if name.lower() == 'timeout' and _is_ascii_number(seconds):
            return min(float(seconds), _KEEP_ALIVE_MAX_S)
    return None


def _is_ascii_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
