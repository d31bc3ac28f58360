"""HTTP calls to stand-ins, used by several tests."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeAlias

import urllib3

ServeFixture: TypeAlias = Callable[..., str]

HTTP = urllib3.PoolManager(maxsize=32, retries=False, timeout=30)
CHAT_PATH = '/v1/chat/completions'


def call(
    method: str,
    url: str,
    fields: Any = None,
    **headers: str,
) -> Any:
    """Send a request and decode the JSON answer."""
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    answer = HTTP.request(method, url, json=fields, headers=names)
    return answer.json()


def chat_body(prompt: str, tokens: int, **more: Any) -> dict[str, Any]:
    """Build the body of a chat request for exactly ``tokens`` tokens."""
    fields = {
        'model': 'chat',
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'ignore_eos': True,
    }
    return {**fields, **more}


def read_stream(url: str, fields: dict[str, Any], request_id: str) -> list[Any]:
    """Read a stream to its end; the end marker is returned as ``[DONE]``."""
    answer = HTTP.request(
        'POST',
        url + CHAT_PATH,
        json={**fields, 'stream': True},
        headers={'X-Request-Id': request_id},
        preload_content=False,
    )
    events: list[Any] = []
    try:
        for line in answer:
            if line.startswith(b'data: '):
                events.append(_decode(line[6:].strip()))
    except urllib3.exceptions.HTTPError as exc:
        events.append(exc)
    return events


def join_tokens(events: list[Any]) -> str:
    """Join the text of the chunks of a stream."""
    chunks = [event for event in events if isinstance(event, dict)]
    return ''.join(
        choice['delta'].get('content', '')
        for event in chunks
        for choice in event['choices']
    )


def _decode(payload: bytes) -> Any:
    if payload == b'[DONE]':
        return '[DONE]'
    return json.loads(payload)
