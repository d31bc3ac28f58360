"""Validation of chat requests, and their form for engines."""

from __future__ import annotations

import hashlib
from typing import Any, Self

import orjson

from apricotcart.web.errors import InvalidFieldError

DEFAULT_MAX_TOKENS = 512
# English text has about four characters per token.
_CHARACTERS_PER_TOKEN = 4
# Prompts with this shared prefix are likely to share blocks in a prefix cache.
_PREFIX_CHARACTERS = 512
_DIGEST_BYTES = 16
_MODEL = 'model'
_MAX_TOKENS_FIELDS = ('max_completion_tokens', 'max_tokens')


class ChatRequest:
    """A chat completion request.

    Attributes
    ----------
    route_name : str
        The ``model`` that the caller named.
    is_streamed : bool
        Whether the answer is streamed.
    prompt_tokens, max_tokens : int
        Estimated length of the prompt and upper bound of the answer, in
        tokens.
    """

    __slots__ = (
        'fields',
        'fingerprint',
        'is_streamed',
        'max_tokens',
        'prefix_hash',
        'prompt_tokens',
        'route_name',
    )

    def __init__(self, fields: dict[str, Any]) -> None:
        """Compute sizes and hashes of checked ``fields``."""
        self.fields = fields
        self.route_name = str(fields[_MODEL])
        self.is_streamed = bool(fields.get('stream'))
        prompt = orjson.dumps(fields['messages'])
        self.prompt_tokens = len(prompt) // _CHARACTERS_PER_TOKEN + 1
        self.max_tokens = _max_tokens(fields)
        self.prefix_hash = _digest(prompt[:_PREFIX_CHARACTERS])
        self.fingerprint = _digest(prompt)

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> Self:
        """Validate the body of a request.

        Raises
        ------
        InvalidFieldError
            If fields are invalid; it names each of them.
        """
        faults = list(_faults(fields))
        if faults:
            raise InvalidFieldError(
                'invalid fields: '
                + ', '.join(fault['path'] for fault in faults),
                faults=faults,
            )
        return cls(fields)

    def engine_body(self, model: str, resume_from: int = 0) -> bytes:
        """Return the body for an engine that serves ``model``."""
        fields = {**self.fields, _MODEL: model}
        if resume_from:
            fields['resume_from'] = resume_from
        return orjson.dumps(fields)


def _max_tokens(fields: dict[str, Any]) -> int:
    for name in _MAX_TOKENS_FIELDS:
        limit = fields.get(name)
        if limit is not None:
            return int(limit)
    return DEFAULT_MAX_TOKENS


def _faults(fields: dict[str, Any]) -> Any:
    model = fields.get(_MODEL)
    if not isinstance(model, str) or not model:
        yield _fault(_MODEL, 'must name a route')
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        yield _fault('messages', 'must be a list with at least one message')
    else:
        yield from _message_faults(messages)
    for name in _MAX_TOKENS_FIELDS:
        limit = fields.get(name)
        if limit is not None and not _is_positive_integer(limit):
            yield _fault(name, 'must be a positive integer')
    if 'resume_from' in fields:
        yield _fault('resume_from', 'must not be set by callers')


def _message_faults(messages: list[Any]) -> Any:
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or 'role' not in message:
            yield _fault(f'messages[{number}]', 'must be an object with a role')


def _is_positive_integer(limit: Any) -> bool:
    is_integer = isinstance(limit, int) and not isinstance(limit, bool)
    return is_integer and limit > 0


def _fault(path: str, message: str) -> dict[str, str]:
    return {'path': path, 'message': message}


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
