"""Where subcommands write."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import Any, TextIO

_INDENT = '  '


class Console:
    """Standard output and standard error of a subcommand."""

    __slots__ = ('_err', '_out')

    def __init__(
        self, out: TextIO | None = None, err: TextIO | None = None
    ) -> None:
        """Use the process's streams unless others are given."""
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def write(self, line: str) -> None:
        """Write a line at once, so that a reader of a pipe sees it."""
        self._out.write(f'{line}\n')
        self._out.flush()

    def error(self, line: str) -> None:
        """Write a line to standard error."""
        self._err.write(f'{line}\n')
        self._err.flush()

    def show(self, document: Any, form: str) -> None:
        """Write a JSON document as it is or as indented text.

        Parameters
        ----------
        document : object
            What a control host answered.
        form : str
            ``json`` or ``text``.
        """
        if form == 'json':
            self.write(json.dumps(document, indent=2, sort_keys=True))
            return
        for line in _text_lines(document, ''):
            self.write(line)


def _text_lines(document: Any, indent: str) -> Iterator[str]:
    if isinstance(document, dict):
        for name, part in document.items():
            yield from _named_lines(f'{indent}{name}:', part, indent)
    elif isinstance(document, list):
        for part in document:
            yield from _named_lines(f'{indent}-', part, indent)
    else:
        yield f'{indent}{_scalar(document)}'


def _named_lines(head: str, part: Any, indent: str) -> Iterator[str]:
    if isinstance(part, (dict, list)) and part:
        yield head
        yield from _text_lines(part, f'{indent}{_INDENT}')
    else:
        yield f'{head} {_scalar(part)}'


def _scalar(part: Any) -> str:
    return part if isinstance(part, str) else json.dumps(part)
