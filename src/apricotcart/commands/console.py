"""Output streams of subcommands."""

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
        """Default to the process's standard streams."""
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def write(self, line: str) -> None:
        """Write a line and flush it, so that a pipe receives it immediately."""
        self._out.write(f'{line}\n')
        self._out.flush()

    def error(self, line: str) -> None:
        """Write a line to standard error and flush it."""
        self._err.write(f'{line}\n')
        self._err.flush()

    def show(self, document: Any, output_format: str) -> None:
        """Write a document as JSON or as indented text.

        Parameters
        ----------
        document : object
            Document that a control host returned.
        output_format : str
            ``json`` or ``text``.
        """
        if output_format == 'json':
            self.write(json.dumps(document, indent=2, sort_keys=True))
            return
        for line in _format_lines(document, ''):
            self.write(line)


def _format_lines(document: Any, indent: str) -> Iterator[str]:
    if isinstance(document, dict):
        for name, child in document.items():
            yield from _format_child(f'{indent}{name}:', child, indent)
    elif isinstance(document, list):
        for child in document:
            yield from _format_child(f'{indent}-', child, indent)
    else:
        yield f'{indent}{_format_scalar(document)}'


def _format_child(prefix: str, child: Any, indent: str) -> Iterator[str]:
    if isinstance(child, (dict, list)) and child:
        yield prefix
        yield from _format_lines(child, f'{indent}{_INDENT}')
    else:
        yield f'{prefix} {_format_scalar(child)}'


def _format_scalar(child: Any) -> str:
    return child if isinstance(child, str) else json.dumps(child)
