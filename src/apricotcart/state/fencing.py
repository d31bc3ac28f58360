"""The fencing token of the active leader."""

from __future__ import annotations

from typing import Any

from apricotcart.state.fields import NAME_PATTERN, Text
from apricotcart.state.replies import invalid
from apricotcart.state.schema import Schema

_TAKE = Schema({'holder': Text(pattern=NAME_PATTERN)})


class FencingCounter:
    """A number that grows by one with each new holder."""

    __slots__ = ('holder', 'token')

    def __init__(self) -> None:
        """Start at 0 without a holder."""
        self.token = 0
        self.holder = ''

    def take(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Give the next token to a holder.

        Raises
        ------
        InvalidResourceError
            If the holder is no name.
        """
        full, faults = _TAKE.normalize(fields, '')
        if faults:
            raise invalid(faults)
        self.token += 1
        self.holder = full['holder']
        return {'fencing': self.token}

    def to_wire(self) -> dict[str, Any]:
        """Give the counter as a mapping."""
        return {'token': self.token, 'holder': self.holder}

    def load(self, wire: dict[str, Any]) -> None:
        """Replace the counter by one from ``to_wire``."""
        self.token = wire['token']
        self.holder = wire['holder']
