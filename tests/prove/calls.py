"""Calls of callers and operators, and their outcomes."""

from __future__ import annotations

import json
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

import orjson
import urllib3
from support.cluster import Cluster

from apricotcart_standins.engine.text import answer_text

_CALL_TIMEOUT_S = 60
_OPERATOR_ATTEMPT_TIMEOUT_S = 1.0
_OPERATOR_TIMEOUT_S = 25.0
_RETRY_DELAY_S = 0.02
Fields = dict[str, Any]


class Outcome:
    """Outcome of one call.

    Attributes
    ----------
    kind : str
        ``chat``, ``stream``, ``order``, ``write`` or ``stop``.
    subject : str
        Prompt, idempotency key or resource.
    status : int
        HTTP status; 0 if the connection broke; -1 while the call runs.
    error : dict
        The error object of the answer.
    text : str
        Body of the answer, or the text of a chat.
    is_expected_prefix : bool
        Whether the text is a prefix of the expected answer to the prompt.
    is_whole : bool
        Whether the answer ended and its text is the expected one.
    tokens : int
        Tokens of a stream received so far.
    """

    __slots__ = (
        'ended_at',
        'error',
        'fields',
        'is_expected_prefix',
        'is_whole',
        'kind',
        'started_at',
        'status',
        'subject',
        'text',
        'thread',
        'tokens',
    )

    def __init__(self, kind: str, subject: str, fields: Fields) -> None:
        self.kind = kind
        self.subject = subject
        self.fields = fields
        self.status = -1
        self.error: Fields = {}
        self.text = ''
        self.is_expected_prefix = True
        self.is_whole = False
        self.tokens = 0
        self.started_at = time.monotonic()
        self.ended_at = self.started_at
        self.thread: threading.Thread | None = None

    def run(self, action: Callable[[Outcome], None]) -> None:
        """Run the call; a broken connection is an outcome too."""
        try:
            action(self)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self.status = 0
            self.error = {'code': 'broken', 'message': str(exc)}
        self.ended_at = time.monotonic()

    def record_reply(self, reply: urllib3.BaseHTTPResponse) -> None:
        """Store the status and body of a complete answer."""
        self.text = reply.data.decode(errors='replace')
        self.status = reply.status
        if reply.status >= 400:
            self.error = json.loads(self.text or '{}').get('error', {})

    def summary(self) -> str:
        """Return a description for messages."""
        return f'{self.kind} {self.subject}: {self.status} {self.error}'


class Callers:
    """Sends calls to one cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.http = urllib3.PoolManager(retries=False, maxsize=64)

    def chat(self, entry: str, secret: str, outcome: Outcome) -> None:
        """Request a complete answer or a stream."""
        is_streamed = outcome.kind == 'stream'
        tokens = outcome.fields['tokens']
        messages = [{'role': 'user', 'content': outcome.subject}]
        reply = self.http.request(
            'POST',
            f'{self.cluster.entry_addresses[entry].url}/v1/chat/completions',
            json={
                'model': outcome.fields['route'],
                'messages': messages,
                'max_tokens': tokens,
                'ignore_eos': True,
                'stream': is_streamed,
            },
            headers=_caller_headers(secret),
            preload_content=not is_streamed,
            timeout=_CALL_TIMEOUT_S,
        )
        if is_streamed and reply.status == 200:
            ended = _read_stream(reply, outcome)
        else:
            outcome.record_reply(reply)
            ended = reply.status == 200
            if ended:
                choice = reply.json()['choices'][0]
                outcome.text = choice['message']['content']
        expected = answer_text(messages, tokens)
        outcome.is_whole = ended and outcome.text == expected
        if reply.status == 200:
            outcome.is_expected_prefix = expected.startswith(outcome.text)

    def order(self, entry: str, secret: str, outcome: Outcome) -> None:
        """Send an order."""
        reply = self.http.request(
            'POST',
            f'{self.cluster.entry_addresses[entry].url}'
            '/v1/services/dies/bookings',
            json={'order': outcome.subject},
            headers={
                **_caller_headers(secret),
                'Idempotency-Key': outcome.subject,
            },
            timeout=_CALL_TIMEOUT_S,
        )
        outcome.record_reply(reply)
        outcome.is_whole = outcome.text == json.dumps(
            {'order': outcome.subject},
            separators=(',', ':'),
        )

    def write(self, outcome: Outcome) -> None:
        """Declare resources as an operator, with one operation id."""
        body = {'op_id': uuid.uuid4().hex, 'changes': outcome.fields['changes']}
        reply = self.operator('POST', '/v1/apply', body)
        outcome.record_reply(reply)
        if reply.status == 200:
            outcome.fields.update(reply.json())

    def operator(
        self,
        method: str,
        path: str,
        body: Any = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to each control host until the leader answers."""
        deadline = time.monotonic() + _OPERATOR_TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self.cluster.control_addresses.values():
                reply = self._try(method, f'{address.url}{path}', body)
                if reply is not None:
                    return reply
            time.sleep(_RETRY_DELAY_S)
        raise urllib3.exceptions.HTTPError(
            f'no leader answered {method} {path} within {_OPERATOR_TIMEOUT_S} s'
        )

    def get(self, url: str, secret: str = '') -> Any:
        """Read a JSON document."""
        return self.http.request(
            'GET',
            url,
            headers={'Authorization': f'Bearer {secret}'} if secret else {},
            timeout=5,
        ).json()

    def _try(
        self,
        method: str,
        url: str,
        body: Any,
    ) -> urllib3.BaseHTTPResponse | None:
        """Send to one control host; None if it fails or answers 5xx."""
        token = self.cluster.operator_token
        try:
            reply = self.http.request(
                method,
                url,
                json=body,
                headers={'Authorization': f'Bearer {token}'},
                timeout=_OPERATOR_ATTEMPT_TIMEOUT_S,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return None if reply.status >= 500 else reply


def _caller_headers(secret: str) -> dict[str, str]:
    """Return the key in its header and in others not to be forwarded."""
    return {
        'Authorization': f'Bearer {secret}',
        'Cookie': f'key={secret}',
        'X-Api-Key': secret,
        'X-Forwarded-Authorization': secret,
    }


def _read_stream(reply: urllib3.BaseHTTPResponse, outcome: Outcome) -> bool:
    """Read the events and return whether the end marker was received."""
    buffered = b''
    for chunk in reply.stream(4096):
        buffered += chunk
        *events, buffered = buffered.split(b'\n\n')
        for event in events:
            if event == b'data: [DONE]':
                outcome.status = 200
                return True
            _record_event(event, outcome)
    outcome.status = reply.status
    return False


def _record_event(event: bytes, outcome: Outcome) -> None:
    document = orjson.loads(event.removeprefix(b'data: '))
    outcome.error = document.get('error', outcome.error)
    for choice in document.get('choices') or ():
        delta_text = choice.get('delta', {}).get('content') or ''
        outcome.text += delta_text
        outcome.tokens += bool(delta_text)
