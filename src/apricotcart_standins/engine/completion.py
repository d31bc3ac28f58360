"""Chat completion and its encoding as a response or a stream."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from apricotcart_standins.engine.text import (
    answer_length,
    answer_token,
    prompt_words,
)

if TYPE_CHECKING:
    from apricotcart_standins.web import Call

END_MARKER = b'data: [DONE]\n\n'

_OBJECT = 'chat.completion'


class Completion:
    """A request for a chat completion and the answer to it.

    Parameters
    ----------
    fields : dict
        Body of the request, as in the published chat completions API, plus
        ``resume_from`` and ``ignore_eos``.
    request_id : str
        Identifier that the answer carries.
    """

    __slots__ = (
        'cached_tokens',
        'created',
        'fields',
        'length',
        'request_id',
        'words',
    )

    def __init__(self, fields: dict[str, Any], request_id: str) -> None:
        """Initialize the completion and compute its length in tokens."""
        self.fields = fields
        self.request_id = request_id
        self.words = prompt_words(fields.get('messages') or [])
        self.length = _length(fields, self.words)
        self.created = int(time.time())
        self.cached_tokens = 0

    @classmethod
    def from_call(cls, call: Call) -> Completion:
        """Build a completion from a received request."""
        request_id = call.header('X-Request-Id') or f'local-{time.time_ns()}'
        return cls(call.json(), request_id)

    @property
    def model(self) -> str:
        """Name of the requested model."""
        return str(self.fields.get('model', ''))

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is streamed token by token."""
        return bool(self.fields.get('stream'))

    @property
    def resume_from(self) -> int:
        """Number of answer tokens that the caller already has."""
        return int(self.fields.get('resume_from') or 0)

    @property
    def finish_reason(self) -> str:
        """Reason for the end of the answer: ``stop`` or ``length``."""
        ignore_eos = self.fields.get('ignore_eos') or 0
        natural = answer_length(self.words)
        return 'stop' if not ignore_eos and natural == self.length else 'length'

    def token(self, index: int) -> str:
        """Return the answer token at an index."""
        return answer_token(self.words, index)

    def usage(self) -> dict[str, Any]:
        """Return the token counts."""
        prompt_tokens = len(self.words)
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.length,
            'total_tokens': prompt_tokens + self.length,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }

    def encode_response(self) -> bytes:
        """Return the complete answer as a JSON document."""
        text = ''.join(map(self.token, range(self.length)))
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': self.finish_reason,
        }
        answer = self._base_fields(_OBJECT)
        answer['choices'] = [choice]
        answer['usage'] = self.usage()
        return json.dumps(answer).encode()

    def encode_token_event(self, index: int) -> bytes:
        """Return the stream event of one token."""
        delta = {'content': self.token(index)}
        if index == 0:
            delta['role'] = 'assistant'
        return self._encode_delta(delta, None)

    def encode_final_events(self) -> bytes:
        """Return the last events of a stream: reason, usage, end marker."""
        usage = self._base_fields(f'{_OBJECT}.chunk')
        usage['choices'] = []
        usage['usage'] = self.usage()
        reason = self._encode_delta({}, self.finish_reason)
        return reason + _encode_event(usage) + END_MARKER

    def _encode_delta(self, delta: dict[str, str], reason: str | None) -> bytes:
        event = self._base_fields(f'{_OBJECT}.chunk')
        event['choices'] = [
            {'index': 0, 'delta': delta, 'finish_reason': reason},
        ]
        return _encode_event(event)

    def _base_fields(self, kind: str) -> dict[str, Any]:
        return {
            'id': f'chatcmpl-{self.request_id}',
            'object': kind,
            'created': self.created,
            'model': self.model,
            'request_id': self.request_id,
        }


def other_completion(model: str) -> Completion:
    """Return the answer of the fault ``swap`` before any other request."""
    message = {'role': 'user', 'content': 'prompt of another request'}
    return Completion({'model': model, 'messages': [message]}, 'other-request')


def _length(fields: dict[str, Any], words: list[str]) -> int:
    natural = answer_length(words)
    limit = fields.get('max_completion_tokens') or fields.get('max_tokens')
    if limit is None:
        return natural
    if fields.get('ignore_eos'):
        return int(limit)
    return min(natural, int(limit))


def _encode_event(event: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % json.dumps(event).encode()
