"""Names of the platform's headers, and their meaning."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.gateway.api import (
    AnswerTerms,
    CallTerms,
    Dialect,
    EndpointLoad,
    Headers,
    PromptPart,
    SendTerms,
)
from apricotcart.web.errors import RequestError

_MS_PER_S: Final = 1000
_ATTEMPT: Final = 'attempt-id'
_DEADLINE: Final = 'deadline-ms'
_LAST_EVENT: Final = 'last-event-id'
_LENGTH_HINT: Final = 'length-hint'
_TOKENS: Final = 'token-usage'
_PARTS: Final = 'prompt-prefix'
_KEY: Final = 'key'
_CONNECTION: Final = 'connection'
_PRIORITY_MAX: Final = 9

# Headers that concern one connection only.
_HOP: Final = frozenset(
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
# Headers that only this system sets towards endpoints.
_OWN: Final = frozenset(
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
# Headers of an answer that speak to this system alone.
_INNER: Final = frozenset(('server-load', 'not-executed', 'instance-id'))


class PlatformDialect(Dialect):
    """Headers of callers and endpoints on the platform."""

    def call_terms(self, headers: Headers) -> CallTerms:
        """Read a caller's headers."""
        fields = _lowered(headers)
        prompt_tokens, output_tokens = _numbers(fields.get(_TOKENS, '0,0'), 2)
        return CallTerms(
            attempt_id=fields.get(_ATTEMPT, ''),
            wait_s=_seconds(fields.get(_DEADLINE)),
            key=fields.get(_KEY, ''),
            last_event_id=fields.get(_LAST_EVENT, ''),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            length_hint=_numbers(fields.get(_LENGTH_HINT, '0'), 1)[0],
            parts=_parts(fields.get(_PARTS, '')),
        )

    def endpoint_headers(
        self,
        headers: Headers,
        terms: SendTerms,
    ) -> list[tuple[str, str]]:
        """Give the headers of a request to an endpoint."""
        dropped = _OWN | _connection_only(headers)
        if terms.last_event_id:
            dropped |= {_LAST_EVENT}
        passed = _without(headers, dropped)
        passed.append(('Expect-Instance', terms.endpoint_id))
        left_ms = max(1, int(terms.wait_s * _MS_PER_S))
        passed.append(('Deadline-Ms', str(left_ms)))
        urgency = min(terms.urgency, _PRIORITY_MAX)
        passed.append(('Request-Priority', str(urgency)))
        if terms.customer:
            passed.append(('Tenant', terms.customer))
        if terms.cache_source:
            passed.append(('Kv-Fetch', terms.cache_source))
        if terms.last_event_id:
            passed.append(('Last-Event-Id', terms.last_event_id))
        return passed

    def answer_terms(self, headers: Headers) -> AnswerTerms:
        """Read the headers of an endpoint's answer."""
        fields = _lowered(headers)
        return AnswerTerms(
            attempt_id=fields.get(_ATTEMPT, ''),
            is_not_run='not-executed' in fields,
            is_genuine='server-stamp' in fields,
            is_encoded=fields.get('content-encoding', '')
            not in {
                '',
                'identity',
            },
            load=_load(fields.get('server-load')),
            keeps_s=_keeps_s(fields),
        )

    def caller_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Give the headers of an endpoint's answer for the caller."""
        return _without(headers, _INNER | _connection_only(headers))

    def own_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        """Give the headers of an answer of this host's own."""
        return [('Attempt-Id', attempt_id)] if attempt_id else []


def _lowered(headers: Headers) -> Mapping[str, str]:
    return MappingProxyType({name.lower(): text for name, text in headers})


def _without(
    headers: Headers,
    dropped: frozenset[str],
) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() not in dropped]


def _connection_only(headers: Headers) -> frozenset[str]:
    listed = {
        word.strip().lower()
        for name, text in headers
        if name.lower() == _CONNECTION
        for word in text.split(',')
    }
    return _HOP | listed


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    return _numbers(text, 1)[0] / _MS_PER_S


def _numbers(text: str, count: int) -> list[int]:
    try:
        found = [int(word) for word in text.split(',')]
    except ValueError:
        raise RequestError(f'{text!r} is no list of numbers') from None
    if len(found) != count or min(found) < 0:
        raise RequestError(f'{text!r} does not hold {count} counts')
    return found


def _parts(text: str) -> list[PromptPart]:
    parts = []
    for word in filter(None, text.split(',')):
        part_id, _, tokens = word.strip().partition(':')
        size = _numbers(tokens, 1)[0]
        parts.append(PromptPart(part_id=part_id, tokens=size))
    return parts


def _load(text: str | None) -> EndpointLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = [int(word) for word in text.split(',')]
    except ValueError:
        return None
    return EndpointLoad(running=running, waiting=waiting, slots=slots)


def _keeps_s(fields: Mapping[str, str]) -> float | None:
    if 'close' in fields.get(_CONNECTION, '').lower():
        return 0
    for word in fields.get('keep-alive', '').split(','):
        name, _, number = word.strip().partition('=')
        if name.lower() == 'timeout' and number.isdigit():
            return float(number)
    return None
