"""Deterministic answer text of the engine stand-in."""

from __future__ import annotations

import hashlib
from typing import Any

_WORDS = (
    'tide', 'seal', 'crate', 'harbour', 'stamp', 'dune', 'foil', 'crane',
    'ledger', 'sail', 'press', 'wind', 'marram', 'quay', 'wax', 'sand',
)  # fmt: skip
_MIN_TOKENS = 8
_TOKEN_RANGE = 56
_DIGEST_CHARS = 8


def prompt_words(messages: list[dict[str, Any]]) -> list[str]:
    """Split the messages into words; one word counts as one token."""
    words: list[str] = []
    for message in messages:
        words.append(str(message.get('role', 'user')))
        words.extend(_content_text(message.get('content')).split())
    return words


def answer_length(words: list[str]) -> int:
    """Return the number of tokens of an answer without a token limit."""
    return _MIN_TOKENS + _digest(words)[0] % _TOKEN_RANGE


def answer_token(words: list[str], index: int) -> str:
    """Return the token at an index of the answer to a prompt.

    The first token is the start of the prompt's digest, which identifies
    the prompt that was answered; the others derive from the digest.
    """
    digest = _digest(words)
    if index == 0:
        return digest.hex()[:_DIGEST_CHARS]
    position = digest[index % len(digest)] + index
    word = _WORDS[position % len(_WORDS)]
    return f' {word}'


def answer_text(messages: list[dict[str, Any]], tokens: int) -> str:
    """Return the first tokens of the answer, to compare with in tests."""
    words = prompt_words(messages)
    return ''.join(answer_token(words, index) for index in range(tokens))


def _content_text(message_content: Any) -> str:
    if isinstance(message_content, list):
        parts = (str(part.get('text', '')) for part in message_content)
        return ' '.join(parts)
    return str(message_content or '')


def _digest(words: list[str]) -> bytes:
    return hashlib.sha256(' '.join(words).encode()).digest()
